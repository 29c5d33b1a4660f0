#!/usr/bin/env bash
# Installs the daemon's dependencies and the package itself in target/deps.
set -euo pipefail
mkdir -p target
# Some dependencies are compiled: a folder that was built on another kind of
# machine, or for another Python, is built again.
python3 -c 'import sysconfig; print("#", sysconfig.get_config_var("SOABI"))' \
  > target/daemon.txt
grep -E '^(circuits|h11|immutables|msgspec|prometheus_client|python-json-logger|typing_extensions)==' \
  requirements.txt >> target/daemon.txt
if ! cmp -s target/daemon.txt target/installed.txt; then
  rm -rf target/deps
  python3 -m pip install -q --disable-pip-version-check --no-deps \
    --target target/deps -r target/daemon.txt
  cp target/daemon.txt target/installed.txt
fi
rm -rf target/deps/mustardvale
cp -r src/mustardvale target/deps/mustardvale
python3 -m compileall -q target/deps
