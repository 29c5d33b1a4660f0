#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are plain Python and need no
# package; there is nothing to install.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/standins-3/*.py review/1[1-5]/*.py
