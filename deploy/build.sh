#!/usr/bin/env bash
# Installs the daemon's dependencies and the package itself in target/deps.
set -euo pipefail
mkdir -p target
grep -E '^(circuits|h11|immutables|msgspec|prometheus_client|python-json-logger|typing_extensions)==' \
  requirements.txt > target/daemon.txt
if ! cmp -s target/daemon.txt target/installed.txt; then
  rm -rf target/deps
  python3 -m pip install -q --disable-pip-version-check --no-deps \
    --target target/deps -r target/daemon.txt
  cp target/daemon.txt target/installed.txt
fi
rm -rf target/deps/mustardvale
cp -r src/mustardvale target/deps/mustardvale
python3 -m compileall -q target/deps
