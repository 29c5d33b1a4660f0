#!/usr/bin/env bash
# Builds the stand-ins that the cases start: they are Python without further
# packages, so that compiling them is all. The entry instances come from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common 1 2 3 4 5
