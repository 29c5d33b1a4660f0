#!/usr/bin/env bash
# Runs case $1. Exits with 1 if the rule was broken, with 0 if it held, and with
# 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/deps ]; then
  echo 'target/deps is missing: run the build of the deploy file first'
  exit 2
fi
timeout -k 5 115 python3 "review/$1/case.py"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
