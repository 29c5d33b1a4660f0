"""Explore the specifications exhaustively with Spin.

Each specification must hold, and must fail with every fault that it seeds
under `#ifdef FAULT_…`. Prints the number of states of each run.
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
SPECIFICATIONS = ROOT / 'spec'
FAULT = re.compile(r'^#if(?:n?def) (FAULT_\w+)', re.MULTILINE)
ERRORS = re.compile(r'errors: (\d+)')
STATES = re.compile(r'^\s*([\d.e+]+) states, stored', re.MULTILINE)
INCOMPLETE = ('max search depth too small', 'Search not completed')
DEPTH = 100_000
MEMORY_MEGABYTES = 2048
RUN_SECONDS = 60


@dataclasses.dataclass(frozen=True)
class Exploration:
    """Hold what Spin reported of one run."""

    errors: int
    states: int
    is_complete: bool
    seconds: float


def explore(path: pathlib.Path, fault: str) -> Exploration:
    """Explore one specification, with a seeded fault if one is named."""
    started = time.monotonic()
    defines = [f'-D{fault}'] if fault else []
    with tempfile.TemporaryDirectory() as directory:
        run(['spin', *defines, '-a', str(path)], directory)
        run(
            [
                'gcc',
                '-O1',
                '-DSAFETY',
                '-DCOLLAPSE',
                f'-DMEMLIM={MEMORY_MEGABYTES}',
                '-o',
                'pan',
                'pan.c',
            ],
            directory,
        )
        printed = run(['./pan', f'-m{DEPTH}'], directory)
    found = ERRORS.search(printed)
    states = STATES.search(printed)
    if found is None or states is None:
        raise SystemExit(f'{path.name}: no result\n{printed}')
    return Exploration(
        int(found.group(1)),
        int(float(states.group(1))),
        not any(text in printed for text in INCOMPLETE),
        time.monotonic() - started,
    )


def run(command: list[str], directory: str) -> str:
    """Run a command and return what it printed."""
    done = subprocess.run(
        command,
        cwd=directory,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=RUN_SECONDS,
        check=False,
    )
    if done.returncode:
        raise SystemExit(f'{command[0]} failed:\n{done.stdout}')
    return done.stdout


def check(path: pathlib.Path) -> bool:
    """Check one specification and its seeded faults."""
    holds = explore(path, '')
    passed = holds.is_complete and not holds.errors
    verdict = 'holds' if passed else 'FAILS'
    print(f'{path.name}: {verdict}, {describe(holds)}')
    faults = sorted(set(FAULT.findall(path.read_text())))
    if not faults:
        print(f'{path.name}: NO SEEDED FAULT')
        passed = False
    for fault in faults:
        broken = explore(path, fault)
        found = broken.errors > 0
        verdict = 'found' if found else 'NOT FOUND'
        print(f'{path.name} with {fault}: {verdict}, {describe(broken)}')
        passed = passed and found
    return passed


def describe(exploration: Exploration) -> str:
    """Describe the size of a run."""
    extent = 'all' if exploration.is_complete else 'up to the first error'
    if not (exploration.is_complete or exploration.errors):
        extent = 'NOT ALL'
    return (
        f'{exploration.states} states ({extent}), {exploration.seconds:.1f} s'
    )


def main() -> int:
    """Check all specifications and return the exit status."""
    paths = sorted(SPECIFICATIONS.glob('*.pml'))
    with futures.ThreadPoolExecutor(len(paths)) as pool:
        passed = list(pool.map(check, paths))
    return int(not (passed and all(passed)))


if __name__ == '__main__':
    sys.exit(main())
