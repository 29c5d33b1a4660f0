"""Measure the resources of an idle entry instance at several site sizes.

    PYTHONPATH=src:. python -m bench.control_cost --output docs/measurements

For each size, a site runs without load. Processor time and memory are read from
the operating system, bytes from the counters of the instance.
"""

import dataclasses
import hashlib
import json
import pathlib
import re
import tempfile
import time
import typing

import fire

from bench import processes, site_specs, sites

SETTLE_SECONDS = 6.0
MEASURE_SECONDS = 10.0
CLOCK_TICKS_PER_SECOND = 100
BYTES_PER_KILOBYTE = 1024
BYTE_COUNTERS = re.compile(
    r'^mustardvale_(?:call|peer)_bytes_total\{[^}]*\} (\S+)$',
    re.MULTILINE,
)
# Client accounts in the example document.
EXAMPLE_ACCOUNT_COUNT = 10
RUNNER_COUNTS = (12, 24, 40, 60)
ENTRY_COUNTS = (2, 6, 12, 18)
ACCOUNT_COUNTS = (10, 170, 350, 690)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Hold the size of a site and the resources used by its entry instance.

    `core_share` is the processor seconds per second.
    """

    runners: int
    entries: int
    accounts: int
    core_share: float
    memory_bytes: int
    bytes_per_second: float


def read_processor_seconds(process_id: int) -> float:
    """Return the processor seconds that a process has used."""
    # The command name may contain spaces. After it, utime and stime are fields
    # 11 and 12, counted from 0.
    stat = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def read_memory_bytes(process_id: int) -> int:
    """Return the resident memory of a process in bytes."""
    status = pathlib.Path(f'/proc/{process_id}/status').read_text()
    match = re.search(r'VmRSS:\s+(\d+) kB', status)
    assert match is not None, 'the system reports resident memory'
    return int(match.group(1)) * BYTES_PER_KILOBYTE


def read_total_bytes(address: str) -> float:
    """Return the bytes of all calls and peer messages of an entry instance."""
    page = processes.send_request('GET', address, '/metrics').body.decode()
    return sum(float(count) for count in BYTE_COUNTERS.findall(page))


def write_document(accounts: int, directory: pathlib.Path) -> pathlib.Path:
    """Write the example document with additional client accounts.

    `accounts` includes those that the example document has itself.
    """
    text = (site_specs.EXAMPLES / 'cooperative.toml').read_text()
    rows = []
    for number in range(max(accounts - EXAMPLE_ACCOUNT_COUNT, 0)):
        digest = hashlib.sha256(f'extra-{number}-key'.encode()).hexdigest()
        rows.append(
            '\n[[client_accounts]]\n'
            f'name = "extra-{number}"\nkey_sha256 = "{digest}"\n'
            'priority = "interactive"\nrequests_per_second = 10.0\n'
            'tokens_per_second = 500.0\nmodels = ["affinage"]\n'
            'services = ["cellar-ledger"]\n',
        )
    path = directory / f'accounts-{accounts}.toml'
    path.write_text(text + ''.join(rows))
    return path


def measure(runners: int, entries: int, accounts: int) -> Sample:
    """Run a site of one size and measure its first entry instance."""
    directory = pathlib.Path(tempfile.mkdtemp())
    spec = site_specs.SiteSpec(
        entries=entries,
        runners=runners,
        runners_per_process=30,
        action_runners=1,
        document_path=write_document(accounts, directory),
    )
    with sites.Site(spec) as site:
        entry = site.plan.entries[0]
        process_id = site.find_process(entry.instance_id).process_id
        time.sleep(SETTLE_SECONDS)
        processor_seconds_before = read_processor_seconds(process_id)
        bytes_before = read_total_bytes(entry.address)
        time.sleep(MEASURE_SECONDS)
        processor_seconds = (
            read_processor_seconds(process_id) - processor_seconds_before
        )
        transferred_bytes = read_total_bytes(entry.address) - bytes_before
        memory_bytes = read_memory_bytes(process_id)
    return Sample(
        runners,
        entries,
        accounts,
        round(processor_seconds / MEASURE_SECONDS, 4),
        memory_bytes,
        round(transferred_bytes / MEASURE_SECONDS, 1),
    )


def main(output: str = 'docs/measurements') -> None:
    """Measure all sizes, print the results and write them to a folder."""
    sizes = [
        *((runners, 2, EXAMPLE_ACCOUNT_COUNT) for runners in RUNNER_COUNTS),
        *((12, entries, EXAMPLE_ACCOUNT_COUNT) for entries in ENTRY_COUNTS),
        *((12, 2, accounts) for accounts in ACCOUNT_COUNTS),
    ]
    rows: list[dict[str, typing.Any]] = []
    for size in sizes:
        row = dataclasses.asdict(measure(*size))
        print(json.dumps(row), flush=True)
        rows.append(row)
    path = pathlib.Path(output) / 'control_cost.json'
    path.write_text(json.dumps(rows, indent=1) + '\n')


if __name__ == '__main__':
    fire.Fire(main)
