#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python modules that need
# only the standard library, so that compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
