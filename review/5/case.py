"""Let a runner leave while the store rejects one instance."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))

import runner as runners  # noqa: E402
import small_site as sites  # noqa: E402

ZONES = ('astana-a', 'astana-b', 'astana-c')
# The store rejects one of three machines. The sheet of the portal has 0.35 of
# them for 9 s.
REJECTED_SECONDS = 9.0
# The runner goes on serving for `drain-ms` and a little longer.
SERVING_SECONDS = 4.0
REQUEST_PERIOD_SECONDS = 0.05


async def play(folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether a request reached the leaving runner after the bound."""
    site = sites.Site(folder)
    plain: list[runners.Runner] = []
    try:
        await site.write_configuration(
            [sites.build_route('filing', 'non_idempotent', 'portal-app')]
        )
        host = sites.choose_host()
        for zone in ZONES:
            plain.append(
                runners.Runner(
                    f'i-{zone}', 'portal-app', zone, site.store, site.record
                )
            )
            await plain[-1].start(host)
        entries = [
            await site.add_entry(f'entry-{number}', zone)
            for number, zone in enumerate(ZONES)
        ]
        for entry in entries:
            await site.start_entry(entry)
        await asyncio.sleep(sites.CONTACT_SECONDS)
        leaving = plain[0]
        if has_trouble:
            site.store.rejected.add(entries[0].name)
            site.record('store_rejects', entry=entries[0].name)
        left_at = await leaving.announce_draining()
        site.record('draining', runner=leaving.runner_id)
        requests = []
        while time.time() < left_at + SERVING_SECONDS:
            requests += send_to_all(site)
            await asyncio.sleep(REQUEST_PERIOD_SECONDS)
        # The runner ends while requests that it has accepted still run.
        requests += [task for _ in range(4) for task in send_to_all(site)]
        await asyncio.sleep(0.03)
        leaving.end()
        await leaving.deregister()
        site.record('runner_ended', runner=leaving.runner_id)
        await asyncio.gather(*requests)
        return judge(site, leaving)
    finally:
        for runner in plain:
            runner.end()
        site.end()


def send_to_all(site: sites.Site) -> list[asyncio.Future]:
    """Send a request to each instance."""
    return [
        asyncio.ensure_future(site.send(entry, 'POST', '/filing/1'))
        for entry in site.entries
    ]


def judge(site: sites.Site, leaving: runners.Runner) -> bool:
    """Count the requests that reached the runner after the bound."""
    lines = site.recorder.lines
    sent = {line['id']: line for line in lines if line['event'] == 'sent'}
    answered = {
        line['id']: line for line in lines if line['event'] == 'answered'
    }
    arrived = [
        line['id']
        for line in lines
        if line['event'] == 'arrived' and line['runner'] == leaving.runner_id
    ]
    is_broken = False
    for entry in site.entries:
        told_at = min(
            (
                line['at']
                for line in answered.values()
                if line['leaving'] and sent[line['id']]['entry'] == entry.name
            ),
            default=None,
        )
        late = [
            attempt_id
            for attempt_id in arrived
            if told_at is not None
            and sent[attempt_id]['entry'] == entry.name
            and sent[attempt_id]['at'] > told_at + sites.DRAIN_SECONDS
        ]
        cut = [
            attempt_id
            for attempt_id in late
            if answered[attempt_id]['status'] != 200
        ]
        site.recorder.say(
            f'{entry.name}: {len(late)} requests sent later than'
            f' {sites.DRAIN_SECONDS} s after it had passed on an answer with'
            f' Server-Leaving reached {leaving.runner_id}; {len(cut)} of them'
            ' were cut off when it ended'
        )
        is_broken = is_broken or bool(late)
    site.recorder.say('DRAIN is broken' if is_broken else 'DRAIN holds')
    return is_broken


if __name__ == '__main__':
    sites.run_case(play, __file__)
