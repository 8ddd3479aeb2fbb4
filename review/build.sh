#!/usr/bin/env bash
# Build the stand-ins of the review's scripts: pure Python without dependencies, so only compiled.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common ./[1-5]
