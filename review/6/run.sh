#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves its disruption out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec python3 case.py
