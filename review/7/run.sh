#!/usr/bin/env bash
# Exits with 1 if a request was broken off, 0 if none was, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 112 python3 review/7/case.py
