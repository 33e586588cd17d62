#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. They are Python modules that
# use the libraries in target/deps, which the build command of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/aiohttp ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q standins review/lib
