"""Write the results of measurements into the documentation's folder."""

import json
import pathlib
import platform
import subprocess
import time
import typing

from bench import processes

DIRECTORY = processes.ROOT / 'docs' / 'measurements'


def write(
    name: str, command: str, results: dict[str, typing.Any]
) -> pathlib.Path:
    """Write results with the command and the commit that reproduce them."""
    path = DIRECTORY / f'{name}.json'
    document = {
        'command': command,
        'measured_at': time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime()),
        'commit': describe_commit(),
        'python': platform.python_version(),
        **results,
    }
    path.write_text(f'{json.dumps(document, indent=2)}\n')
    return path


def describe_commit() -> str:
    """Return the measured commit, with `-dirty` if there are local changes."""
    described = subprocess.run(
        ('git', 'describe', '--always', '--dirty', '--exclude=*'),
        cwd=processes.ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return described.stdout.strip()
