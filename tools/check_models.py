"""Check the Promela models exhaustively with Spin.

Each model must be free of errors, and each fault that it seeds under
`#ifdef FAULT_…` must cause one. Prints the number of states of each search.
"""

import dataclasses
import pathlib
import re
import subprocess
import sys
import tempfile
import time
from concurrent import futures

ROOT = pathlib.Path(__file__).resolve().parent.parent
MODEL_DIRECTORY = ROOT / 'spec'
FAULT_PATTERN = re.compile(r'^#if(?:n?def) (FAULT_\w+)', re.MULTILINE)
ERROR_COUNT_PATTERN = re.compile(r'errors: (\d+)')
STATE_COUNT_PATTERN = re.compile(r'^\s*([\d.e+]+) states, stored', re.MULTILINE)
INCOMPLETE_SEARCH_MESSAGES = (
    'max search depth too small',
    'Search not completed',
)
MAXIMUM_DEPTH_STEPS = 100_000
MEMORY_LIMIT_MEGABYTES = 2048
COMMAND_TIMEOUT_SECONDS = 60


@dataclasses.dataclass(frozen=True)
class SearchResult:
    """Hold what Spin reported about one search.

    `is_complete` is false if the search stopped at an error or at a limit.
    `seconds` includes the compilation.
    """

    error_count: int
    state_count: int
    is_complete: bool
    seconds: float


def search_states(path: pathlib.Path, fault: str) -> SearchResult:
    """Search the states of a model with the seeded fault, if any.

    An empty `fault` selects the model without faults.
    """
    started = time.monotonic()
    defines = [f'-D{fault}'] if fault else []
    with tempfile.TemporaryDirectory() as directory:
        run_command(['spin', *defines, '-a', str(path)], directory)
        run_command(
            [
                'gcc',
                '-O1',
                '-DSAFETY',
                '-DCOLLAPSE',
                f'-DMEMLIM={MEMORY_LIMIT_MEGABYTES}',
                '-o',
                'pan',
                'pan.c',
            ],
            directory,
        )
        output = run_command(['./pan', f'-m{MAXIMUM_DEPTH_STEPS}'], directory)
    errors = ERROR_COUNT_PATTERN.search(output)
    states = STATE_COUNT_PATTERN.search(output)
    if errors is None or states is None:
        raise SystemExit(
            f'{path.name}: no error or state count in the output:\n{output}'
        )
    return SearchResult(
        int(errors.group(1)),
        int(float(states.group(1))),
        not any(text in output for text in INCOMPLETE_SEARCH_MESSAGES),
        time.monotonic() - started,
    )


def run_command(command: list[str], directory: str) -> str:
    """Run a command and return its output."""
    completed = subprocess.run(
        command,
        cwd=directory,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=COMMAND_TIMEOUT_SECONDS,
        check=False,
    )
    if completed.returncode:
        raise SystemExit(f'{command[0]} failed:\n{completed.stdout}')
    return completed.stdout


def check_model(path: pathlib.Path) -> bool:
    """Check that a model holds and that each seeded fault is found."""
    faultless = search_states(path, '')
    passed = faultless.is_complete and not faultless.error_count
    verdict = 'holds' if passed else 'FAILS'
    print(f'{path.name}: {verdict}, {describe_search(faultless)}')
    faults = sorted(set(FAULT_PATTERN.findall(path.read_text())))
    if not faults:
        print(f'{path.name}: NO SEEDED FAULT')
        passed = False
    for fault in faults:
        faulty = search_states(path, fault)
        is_found = faulty.error_count > 0
        verdict = 'found' if is_found else 'NOT FOUND'
        print(f'{path.name} with {fault}: {verdict}, {describe_search(faulty)}')
        passed = passed and is_found
    return passed


def describe_search(search: SearchResult) -> str:
    """Describe the size of a search and whether it was complete."""
    extent = 'all' if search.is_complete else 'up to the first error'
    if not (search.is_complete or search.error_count):
        extent = 'NOT ALL'
    return f'{search.state_count} states ({extent}), {search.seconds:.1f} s'


def main() -> int:
    """Check all models and return the exit status."""
    paths = sorted(MODEL_DIRECTORY.glob('*.pml'))
    with futures.ThreadPoolExecutor(len(paths)) as pool:
        passed = list(pool.map(check_model, paths))
    return int(not (passed and all(passed)))


if __name__ == '__main__':
    sys.exit(main())
