#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../common/run.sh" 5
