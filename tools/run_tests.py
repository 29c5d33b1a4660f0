"""Run the tests and compare the failures with KNOWN-RED.txt.

A test that is listed there may fail; it is printed. Any other failure, and a
listed test that passes, makes the run fail.
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
FAILED = re.compile(r'^(?:FAIL|ERROR): \S+ \((\S+?)\)', re.MULTILINE)
COUNTED = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)
LISTED = re.compile(r'^test: (\S+)', re.MULTILINE)


def run(names: list[str]) -> str:
    """Run nose2 and return what it printed, which is also passed on."""
    command = [sys.executable, '-m', 'nose2', '-v', *names]
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    assert process.stdout is not None
    printed = []
    for line in process.stdout:
        sys.stdout.write(line)
        sys.stdout.flush()
        printed.append(line)
    process.wait()
    return ''.join(printed)


def known_red() -> set[str]:
    """Return the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    return set(LISTED.findall(KNOWN_RED.read_text()))


def main(names: list[str]) -> int:
    """Run the tests and return the exit status."""
    printed = run(names)
    failed = {test.split(':')[0] for test in FAILED.findall(printed)}
    counted = COUNTED.search(printed)
    count = int(counted.group(1)) if counted else 0
    listed = known_red()
    for test in sorted(failed & listed):
        print(f'known red: {test}')
    repaired = set() if names else listed - failed
    for test in sorted(repaired):
        print(f'listed in KNOWN-RED.txt but passed: {test}')
    new = failed - listed
    for test in sorted(new):
        print(f'failed: {test}')
    red = len(failed & listed)
    print(f'{count - len(failed)} passed, {len(new)} failed, {red} skipped')
    return int(bool(new or repaired or not count))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
