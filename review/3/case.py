"""Let a runner leave while a new entry instance reads the list in pages."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))

import runner as runners  # noqa: E402
import small_site as sites  # noqa: E402

# As in grown/hb-portal-grown.toml: 93 + 4 runners, pages of 50 entries, and the
# bounds `drain-ms` and `contact-ms`.
MODEL_RUNNER_COUNT = 93
PLAIN_RUNNER_COUNT = 4
PAGE_SIZE = 50
DRAIN_SECONDS = 3.0
CONTACT_SECONDS = 4.0
LEAVING_ID = 'i-04c1d2'
# The runner goes on serving for `drain-ms` and some seconds more.
SERVING_SECONDS = 10.0
REQUEST_PERIOD_SECONDS = 0.05


async def play(folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether a request reached the runner after the bound."""
    site = sites.Site(folder, PAGE_SIZE)
    listed: list[runners.Runner] = []
    try:
        await site.write_configuration(
            [sites.build_route('filing', 'non_idempotent', 'portal-app')]
        )
        host = sites.choose_host()
        for number in range(MODEL_RUNNER_COUNT):
            listed.append(build_model_runner(number, site))
        plain = [
            build_plain_runner(number, site)
            for number in range(PLAIN_RUNNER_COUNT)
        ]
        listed += plain
        for runner in listed:
            await runner.start(host, is_listening=runner in plain)
        return await compare_entries(site, plain, has_trouble)
    finally:
        for runner in listed:
            runner.end()
        site.end()


def build_model_runner(number: int, site: sites.Site) -> runners.Runner:
    """Return a runner that is only listed; no route leads to its service."""
    return runners.Runner(
        f'i-{number * 2689 % 4096 + 4096:04x}',
        'assistant-llm',
        'astana-b',
        site.store,
        site.record,
    )


def build_plain_runner(number: int, site: sites.Site) -> runners.Runner:
    """Return a runner of the plain service; the first one is to leave."""
    runner_id = LEAVING_ID if number == 0 else f'i-{number}f77b{number}'
    return runners.Runner(
        runner_id, 'portal-app', 'astana-a', site.store, site.record
    )


async def compare_entries(
    site: sites.Site, plain: list[runners.Runner], has_trouble: bool
) -> bool:
    """Send requests to an older and a new instance after the runner left."""
    older = await site.add_entry('entry-1', 'astana-a')
    await site.start_entry(older)
    await asyncio.sleep(CONTACT_SECONDS)
    new = await site.add_entry('entry-2', 'astana-b')
    left_at: list[float] = []
    leaving = plain[0]

    async def leave() -> None:
        left_at.append(await leaving.deregister())
        site.record('entry_removed', runner=leaving.runner_id)

    def after_page(after: str) -> None:
        site.record('page_sent', after=after or '(first page)')
        if has_trouble and not after and not left_at:
            tasks.append(asyncio.ensure_future(leave()))

    tasks: list[asyncio.Future] = []
    is_control = os.environ.get('CONTROL', '0') == '1'
    if not is_control:
        site.store.after_page = after_page
    await site.start_entry(new)
    if is_control:
        await asyncio.sleep(1.0)
        await leave()
    # Requests count once the new instance has been in touch for long enough.
    reference = left_at[0] if left_at else time.time()
    await asyncio.sleep(max(reference + CONTACT_SECONDS + 0.5 - time.time(), 0))
    requests = []
    while time.time() < reference + SERVING_SECONDS - 0.5:
        for entry in (older, new):
            requests.append(
                asyncio.ensure_future(site.send(entry, 'POST', '/filing/1'))
            )
        await asyncio.sleep(REQUEST_PERIOD_SECONDS)
    if has_trouble:
        # The runner ends while requests that it has accepted still run.
        requests += [
            asyncio.ensure_future(site.send(new, 'POST', '/filing/1'))
            for _ in range(8)
        ]
        await asyncio.sleep(0.03)
        leaving.end()
        site.record('runner_ended', runner=leaving.runner_id)
    await asyncio.gather(*requests)
    return judge(site, reference if left_at else None)


def judge(site: sites.Site, left_at: float | None) -> bool:
    """Count the requests that reached the runner after the bound."""
    lines = site.recorder.lines
    entry_by_id = {
        line['id']: line['entry'] for line in lines if line['event'] == 'sent'
    }
    statuses = {
        line['id']: line['status']
        for line in lines
        if line['event'] == 'answered'
    }
    ran = {line['id'] for line in lines if line['event'] == 'ran'}
    late = [
        line
        for line in lines
        if line['event'] == 'arrived'
        and line['runner'] == LEAVING_ID
        and left_at is not None
        and line['at'] > left_at + DRAIN_SECONDS
    ]
    for name in ('entry-1', 'entry-2'):
        own = [line for line in late if entry_by_id[line['id']] == name]
        cut = [line for line in own if line['id'] not in ran]
        site.recorder.say(
            f'{name}: {len(own)} requests reached {LEAVING_ID} later than'
            f' {DRAIN_SECONDS} s after its entry was removed;'
            f' {len(cut)} of them were cut off when it ended, answered with'
            f' {sorted({str(statuses[line["id"]]) for line in cut})}'
        )
    site.recorder.say('DRAIN is broken' if late else 'DRAIN holds')
    return bool(late)


if __name__ == '__main__':
    sites.run_case(play, __file__)
