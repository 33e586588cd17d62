#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && PYTHONPATH=target/deps exec python3 review/5/run.py
