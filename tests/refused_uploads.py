"""Measure how many callers of an instance read the refusal of an upload.

The callers send uploads at the same time, and read only after they have sent
everything: `python -m tests.refused_uploads limit|version|stop|guard`.
"""

import asyncio
import collections
import signal
import time

import fire

from tests import relay_site, site_processes

UPLOAD_COUNT = 200
UPLOAD_BYTES = 120_000
PART_COUNT = 24
SHORTEST_SECONDS = 1.0
LONGEST_SECONDS = 8.0
READ_SECONDS = 10.0
CHANGE_AFTER_SECONDS = 0.5
STOP_SECONDS = 8
APPLY_SECONDS = 1.0


async def upload(address: str, number: int, headers: str = '') -> str:
    """Send one upload; return the status of its answer, or the error."""
    host, _, port = address.rpartition(':')
    seconds = SHORTEST_SECONDS + (LONGEST_SECONDS - SHORTEST_SECONDS) * (
        number / (UPLOAD_COUNT - 1)
    )
    request = relay_site.encode_request(
        '/read/x', f'a{number}', b'x' * UPLOAD_BYTES, headers
    )
    size = len(request) // PART_COUNT + 1
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        for start in range(0, len(request), size):
            writer.write(request[start : start + size])
            await writer.drain()
            await asyncio.sleep(seconds / PART_COUNT)
        line = await asyncio.wait_for(reader.readline(), READ_SECONDS)
        writer.close()
    except (OSError, TimeoutError) as error:
        return type(error).__name__
    return line.decode().partition(' ')[2].strip() or 'closed'


async def disturb(site: relay_site.RelaySite, kind: str) -> None:
    """Lower the limit or stop the instance while the uploads are open."""
    await asyncio.sleep(CHANGE_AFTER_SECONDS)
    started_at = time.monotonic()
    if kind == 'version':
        site.store.append_record('keyed.op', 'config', build(3, 20_000))
    if kind == 'stop':
        assert site.process is not None, 'the instance was started'
        site.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(site.process.wait, timeout=READ_SECONDS)
        seconds = time.monotonic() - started_at
        print(f'the process ended after {seconds:.2f} s')


def build(version: int, body_bytes: int) -> dict[str, object]:
    """Return a configuration with a limit for bodies."""
    configuration = relay_site.CONFIGURATION
    limits = {**configuration['limits'], 'max-body-bytes': body_bytes}
    return {**configuration, 'version': version, 'limits': limits}


async def run_all(site: relay_site.RelaySite, kind: str) -> list[str]:
    """Send all uploads, and return their outcomes."""
    uploads = (upload(site.front, number) for number in range(UPLOAD_COUNT))
    *outcomes, _ = await asyncio.gather(*uploads, disturb(site, kind))
    return outcomes


async def refuse_all(address: str) -> list[str]:
    """Send uploads whose encoding the entry instance refuses."""
    return await asyncio.gather(
        *(
            upload(address, number, 'Content-Encoding: gzip\r\n')
            for number in range(UPLOAD_COUNT)
        )
    )


def run_guard() -> list[str]:
    """Start an entry instance that does not relay, and return the outcomes."""
    site = site_processes.Site()
    try:
        site.start(linger_seconds=1, discard_seconds=15)
        return asyncio.run(refuse_all(site.address))
    finally:
        site.stop()


def run_relay(kind: str) -> list[str]:
    """Start an instance that relays, and return the outcomes."""
    site = relay_site.RelaySite()
    limit = 100_000 if kind == 'limit' else 130_000
    try:
        site.start(**{'stop-seconds': STOP_SECONDS})
        site.store.append_record('keyed.op', 'config', build(2, limit))
        time.sleep(APPLY_SECONDS)
        return asyncio.run(run_all(site, kind))
    finally:
        site.stop()


def main(kind: str = 'limit') -> None:
    """Print how often each outcome occurred."""
    outcomes = run_guard() if kind == 'guard' else run_relay(kind)
    print(kind, dict(collections.Counter(outcomes)))


if __name__ == '__main__':
    fire.Fire(main)
