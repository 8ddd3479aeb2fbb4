#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start; they need the standard library only.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/common2
