"""A follower takes a reader's confirmation for its own version; see claim.txt."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import site2  # noqa: E402

REVOKE_SECONDS = 5.0
ASK_PERIOD_SECONDS = 0.05
# All times count from the confirmation that takes the key away.
REJECT_AT = -1.5
AWAY_AT = 4.3
BACK_AT = 4.5
# The operator writes its last version again two seconds after the return.
REWRITE_AT = BACK_AT + 2.0
END_AT = 9.5
KEEP, TAKEN = 'key-of-ann', 'key-of-eve'


async def ask(record, relay, key, attempt):
    """Send one request on a new connection; return when it was sent."""
    client = site2.Client(record, relay.ports['front'])
    sent_at = time.monotonic()
    try:
        async with asyncio.timeout(3):
            await client.connect()
            sent_at = time.monotonic()
            record.write(f'sent {attempt} key {key} to {relay.name}')
            answer = await client.ask(
                'GET', '/rack-look/1',
                {'Attempt-Id': attempt, 'Api-Key': key, 'Deadline-Ms': '3000'},
            )
            record.write(f'answer {attempt} {answer.status}')
    except (OSError, TimeoutError) as error:
        record.write(f'no answer {attempt} {error!r}')
    client.close()
    return sent_at


async def keep_asking(record, relays, key, sent, until):
    """Send requests with a key to all instances until a time."""
    count = 0
    tasks = []
    while time.monotonic() < until:
        for relay in relays:
            count += 1
            attempt = f'{key}-{relay.name}-{count}'

            async def send(relay=relay, attempt=attempt):
                sent[attempt] = await ask(record, relay, key, attempt)

            tasks.append(asyncio.ensure_future(send()))
        await asyncio.sleep(ASK_PERIOD_SECONDS)
    await asyncio.gather(*tasks)


async def sleep_until(at):
    """Sleep until a time of the steady clock."""
    await asyncio.sleep(max(0, at - time.monotonic()))


async def play(record, work):
    """Play the case, and return how the rule was broken, or nothing."""
    store = site2.Store(record)
    await store.start()
    routes = [
        site2.build_route(
            'rack-look', 'idempotent', 'ledger',
            **{'timeout-ms': 1500, 'target-latency-ms': 300},
        )
    ]
    services = [{'name': 'ledger'}]
    with_key = site2.build_configuration(
        7, routes, services, {'ann': [KEEP], 'eve': [TAKEN]}
    )
    without_key = site2.build_configuration(
        9, routes, services, {'ann': [KEEP], 'eve': []}
    )
    await store.append('keyed.op', 'config', with_key)
    runners = [
        site2.Runner(
            record, store, name, 'ledger', site2.build_plain_handler(0.03)
        )
        for name in ('p1', 'p2', 'p3')
    ]
    for runner in runners:
        await runner.start()
    relays = await site2.start_relays(
        record, store, work, ('edge-1', 'edge-2', 'edge-3', 'edge-4')
    )
    # The last instances of the zone follow one of the first two.
    follower = relays[3]
    await asyncio.sleep(9)
    confirmed_at = time.monotonic() - REJECT_AT
    if site2.has_trouble():
        record.write(f'the store rejects {follower.name}')
        store.rejected.add(follower.store_port)
    await sleep_until(confirmed_at)
    copied = store.copy()
    await store.append('keyed.op', 'config', without_key)
    confirmed_at = time.monotonic()
    record.write('confirmed: version 9, without key-of-eve')
    sent = {}
    asking = [
        asyncio.ensure_future(
            keep_asking(record, relays, key, sent, confirmed_at + END_AT)
        )
        for key in (KEEP, TAKEN)
    ]
    if site2.has_trouble():
        await sleep_until(confirmed_at + AWAY_AT)
        record.write('the store is away')
        await store.go_away()
        await sleep_until(confirmed_at + BACK_AT)
        store.rejected.clear()
        await store.come_back(copied)
        record.write('the store is back from a copy, era 2, for all')
        for runner in runners:
            await runner.write_entry()
        await sleep_until(confirmed_at + REWRITE_AT)
        await store.append('keyed.op', 'config', without_key)
        record.write('the operator has written version 9 again')
    await asyncio.gather(*asking)
    late = [
        attempt
        for runner in runners
        for _, attempt in runner.runs
        if attempt.startswith(TAKEN)
        and sent[attempt] > confirmed_at + REVOKE_SECONDS
    ]
    if late:
        last = max(sent[attempt] for attempt in late) - confirmed_at
        return (
            f'CONFIG: {len(late)} requests with a key that was taken away ran,'
            f' the last one sent {last:.3f} s after the confirmation'
        )
    return ''


site2.run_case(play, FOLDER)
