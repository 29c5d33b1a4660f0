"""An instance forgets that a runner has left while it was partitioned.

Two instances, three runners. `entry-2` is partitioned from the store. Meanwhile
`entry-1` is restarted as planned, and one runner leaves without reporting
`draining`. Once `entry-2` is in touch again, clients send it requests.
"""

import asyncio
import os
import pathlib
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))

import platform3  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
SETTLE_SECONDS = 7.0
# Seconds after the start of the partition.
STOP_AT = 0.3
LEAVE_AT = 3.0
HEAL_AT = 5.5
CALL_AT = HEAL_AT + CONTACT_SECONDS + 0.2
# The runner serves on for drain-ms and some seconds more, and exits while it
# works on what it was sent.
WORK_SECONDS = 0.3
EXIT_AT = CALL_AT + 0.2
REQUESTS_AT_ONCE = 8


async def play(record, folder):
    """Play the case; return the exit code."""
    store = platform3.Store()
    await store.start()
    link = platform3.Link(store.port)
    await link.start()
    routes = [
        platform3.build_route('file', 'non_idempotent'),
        platform3.build_route('look', 'idempotent'),
    ]
    keys = {'ann': [platform3.KEY]}
    await store.append(
        'keyed.op', 'config', platform3.build_configuration(1, routes, keys)
    )
    runs = []

    def build_runner(name):
        def note_run(attempt_id):
            runs.append((record.now(), name, attempt_id))
            record.note(f'runner {name} runs {attempt_id}')

        return platform3.Runner(name, 'desk', store, note_run, WORK_SECONDS)

    runners = [build_runner(name) for name in ('i-1', 'i-2', 'i-3')]
    for runner in runners:
        await runner.start()
    leaver = runners[2]
    first = platform3.Entry('entry-1', store.port, folder)
    second = platform3.Entry('entry-2', link.port, folder)
    try:
        for entry in (first, second):
            entry.start()
        for entry in (first, second):
            if not await entry.wait_until_ready():
                record.note(f'{entry.name} does not get ready')
                return 2
        await asyncio.sleep(SETTLE_SECONDS)
        sent_at = {}

        async def call(entry, name):
            sent_at[name] = record.now()
            record.note(f'client sends {name} to {entry.name}')
            status = await platform3.send_request(entry, name, '/file/1')
            record.note(f'client gets {status} for {name}')
            return status

        before = [
            await call(entry, f'b{number}-{entry.name}')
            for entry in (first, second)
            for number in range(4)
        ]
        if set(before) != {200}:
            return 2
        begun_at = record.now()

        async def wait_until(seconds):
            await asyncio.sleep(max(begun_at + seconds - record.now(), 0))

        if HAS_TROUBLE:
            link.is_up.clear()
            record.note('entry-2 is partitioned from the store')
        await wait_until(STOP_AT)
        record.note('entry-1 gets SIGTERM')
        first.terminate()
        await wait_until(LEAVE_AT)
        await leaver.leave()
        left_at = record.now()
        record.note('the store has removed the entry of i-3, which serves on')
        if not await first.wait_for_exit(9):
            return 2
        record.note('entry-1 has ended and is started again')
        first.start()
        await wait_until(HEAL_AT)
        link.is_up.set()
        healed_at = record.now()
        record.note('the partition has ended')
        await wait_until(CALL_AT)
        calls = asyncio.gather(
            *(call(second, f'a{number}') for number in range(REQUESTS_AT_ONCE))
        )
        await wait_until(EXIT_AT)
        leaver.exit()
        record.note('i-3 exits')
        statuses = await calls
        if not any(status == 200 for status in statuses):
            return 2
    finally:
        first.end()
        second.end()
    late = [
        (ran_at, name)
        for ran_at, runner_name, name in runs
        if runner_name == 'i-3'
        and ran_at > left_at + DRAIN_SECONDS
        and sent_at[name] > healed_at + CONTACT_SECONDS
    ]
    for ran_at, name in late:
        record.note(
            f'DRAIN broken: {name} reached i-3 {ran_at - left_at:.1f} s after'
            f' its removal, {sent_at[name] - healed_at:.1f} s after the end of'
            ' the partition'
        )
    lost = sum(status not in {200, 503} for status in statuses)
    record.note(
        f'{len(late)} requests reached the runner that had left; {lost} of'
        f' {REQUESTS_AT_ONCE} ended without its answer or a promise that'
        ' they have not run'
    )
    return 1 if late else 0


def main():
    """Play the case in a temporary folder."""
    record = platform3.Record(HERE / 'record.txt')
    record.note(f'TROUBLE={int(HAS_TROUBLE)}')
    code = 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            code = asyncio.run(play(record, folder))
    finally:
        record.note(f'exit {code}')
        record.write()
    raise SystemExit(code)


if __name__ == '__main__':
    main()
