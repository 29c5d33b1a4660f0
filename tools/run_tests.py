"""Run the tests and compare the failures with KNOWN-RED.txt.

Tests listed there may fail and are printed. The run fails on any other failure,
on a listed test that passes when all tests run, and if no test ran.
"""

import pathlib
import re
import subprocess
import sys
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / 'KNOWN-RED.txt'
FAILED_TEST_PATTERN = re.compile(
    r'^(?:FAIL|ERROR): \S+ \((\S+?)\)', re.MULTILINE
)
TEST_COUNT_PATTERN = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)
SKIPPED_COUNT_PATTERN = re.compile(r'\bskipped=(\d+)')
LISTED_TEST_PATTERN = re.compile(r'^test: (\S+)', re.MULTILINE)


def run_nose2(names: list[str]) -> str:
    """Run nose2, forward its output line by line and return it."""
    command = [sys.executable, '-m', 'nose2', '-v', *names]
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    assert process.stdout is not None
    lines = []
    for line in process.stdout:
        sys.stdout.write(line)
        sys.stdout.flush()
        lines.append(line)
    process.wait()
    return ''.join(lines)


def read_known_red() -> set[str]:
    """Read the names of the tests that are known to fail."""
    if not KNOWN_RED_PATH.exists():
        return set()
    return set(LISTED_TEST_PATTERN.findall(KNOWN_RED_PATH.read_text()))


class Counts(typing.NamedTuple):
    """Hold the numbers of tests by result."""

    passed: int
    failed: int
    known_red: int
    skipped: int


def list_failed(output: str) -> set[str]:
    """Return the names of the tests that failed."""
    return {test.split(':')[0] for test in FAILED_TEST_PATTERN.findall(output)}


def count_results(output: str, known_red: set[str]) -> Counts:
    """Return the results in the output of nose2."""
    failed = list_failed(output)
    ran = TEST_COUNT_PATTERN.search(output)
    ran_count = int(ran.group(1)) if ran else 0
    skipped = SKIPPED_COUNT_PATTERN.search(output)
    skipped_count = int(skipped.group(1)) if skipped else 0
    return Counts(
        ran_count - len(failed) - skipped_count,
        len(failed - known_red),
        len(failed & known_red),
        skipped_count,
    )


def main(names: list[str]) -> int:
    """Run the named tests, or all, and return the exit status."""
    output = run_nose2(names)
    failed = list_failed(output)
    known_red = read_known_red()
    counts = count_results(output, known_red)
    for test in sorted(failed & known_red):
        print(f'known red: {test}')
    unexpected_passes = set() if names else known_red - failed
    for test in sorted(unexpected_passes):
        print(f'listed in KNOWN-RED.txt but passed: {test}')
    unexpected = failed - known_red
    for test in sorted(unexpected):
        print(f'failed: {test}')
    print(f'{counts.known_red} known red, {counts.skipped} did not run')
    print(f'{counts.passed} passed, {counts.failed} failed')
    return int(bool(unexpected or unexpected_passes or not counts.passed))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
