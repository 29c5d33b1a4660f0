"""Stop an instance while callers have sent their next request already."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))

import http1  # noqa: E402
import runner as runners  # noqa: E402
import small_site as sites  # noqa: E402

CONNECTION_COUNT = 10
# Work of one request, within its target and its time budget.
WORK_SECONDS = 0.35
SECOND_AFTER_SECONDS = 0.02
STOP_AFTER_SECONDS = 0.05
LOSS_SLACK_SECONDS = 0.2
DEADLINE_MS = 3000


async def play(folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether a request that was read got no answer."""
    site = sites.Site(folder)
    plain: list[runners.Runner] = []
    try:
        await site.write_configuration(
            [sites.build_route('page', 'idempotent', 'portal-app')]
        )
        host = sites.choose_host()
        for number in range(3):
            runner = runners.Runner(
                f'i-{number}', 'portal-app', 'astana-a', site.store, site.record
            )
            runner.work_seconds = WORK_SECONDS
            runner.slots = 30
            plain.append(runner)
            await runner.start(host)
        entries = [
            await site.add_entry(f'entry-{number}', 'astana-a')
            for number in range(2)
        ]
        for entry in entries:
            await site.start_entry(entry)
        await asyncio.sleep(sites.CONTACT_SECONDS)
        calls = [
            asyncio.ensure_future(call_twice(number, site))
            for number in range(CONNECTION_COUNT)
        ]
        await asyncio.sleep(SECOND_AFTER_SECONDS + STOP_AFTER_SECONDS)
        if has_trouble:
            entries[0].signal(signal.SIGTERM)
            site.record('sigterm', entry=entries[0].name)
        unanswered = sum(await asyncio.gather(*calls))
        site.recorder.say(
            f'{unanswered} of {CONNECTION_COUNT} second requests ended without'
            ' an answer'
        )
        site.recorder.say('LOST is broken' if unanswered else 'LOST holds')
        return bool(unanswered)
    finally:
        for runner in plain:
            runner.end()
        site.end()


async def call_twice(number: int, site: sites.Site) -> bool:
    """Send two requests on one connection; return whether one was lost."""
    reader, writer = await asyncio.open_connection(*site.entries[0].front)
    try:
        first_id, second_id = f'q{number}-1', f'q{number}-2'
        send(first_id, writer, site)
        await asyncio.sleep(SECOND_AFTER_SECONDS)
        sent_at = send(second_id, writer, site)
        for attempt_id in (first_id, second_id):
            answer = await asyncio.wait_for(
                http1.read_message(reader), DEADLINE_MS / 1000
            )
            seconds = time.time() - sent_at
            if answer is None:
                site.record('closed_without_an_answer', id=attempt_id)
                return seconds > LOSS_SLACK_SECONDS
            site.record(
                'answered',
                id=attempt_id,
                status=answer.status,
                connection=answer.headers.get('connection', ''),
            )
        return False
    finally:
        writer.close()


def send(
    attempt_id: str, writer: asyncio.StreamWriter, site: sites.Site
) -> float:
    """Write a request; return when its last byte was sent."""
    headers = {
        'Host': sites.HOST,
        'Attempt-Id': attempt_id,
        'Deadline-Ms': str(DEADLINE_MS),
        'Api-Key': sites.KEY,
    }
    writer.write(http1.encode('GET /page/1 HTTP/1.1', headers))
    site.record('sent', id=attempt_id)
    return time.time()


if __name__ == '__main__':
    sites.run_case(play, __file__)
