"""A request crashes runners after their first event; see claim.txt."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import site2  # noqa: E402

CONTACT_SECONDS = 3.0
MOST_RETRIES = 3
BACK_SECONDS = 3.0
RUNNERS = 8
CLIENTS = 10
LOAD_SECONDS = 30.0
HARM_AT_SECONDS = 3.0
HARM_PERIOD_SECONDS = 1.5
EVENTS = 43
EVENT_SECONDS = 0.03
FIRST_EVENT_SECONDS = 0.08
# Time from the first event to the crash.
CRASH_SECONDS = 0.03
KEY, HARMFUL_KEY = 'key-of-ann', 'key-of-eve'
HARMFUL_TARGET = '/rind-note/harmful'
HARMFUL_BODY = b'the same prompt each time'


class ModelRunner(site2.Runner):
    """Crash under a harmful request, and come back as a new process."""

    async def crash(self):
        """End the process; start it again after some seconds."""
        self.record.write(f'{self.runner_id} crashes')
        self.has_left = True
        self.exit()
        await asyncio.sleep(BACK_SECONDS)
        self.number += 1
        self.runner_id = f'{self.name}-{self.number}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.has_left = False
        await self.start()
        self.record.write(f'{self.runner_id} is back')


class Case:
    """Hold the crashes, the arrivals of the harmful request and the load."""

    def __init__(self, record):
        self.record = record
        self.crashes = []
        self.arrivals = []
        self.sound = 0
        self.whole = 0

    async def answer(self, runner, request, reader, writer):
        """Run a stream; a harmful one crashes the runner at its start."""
        is_harmful = (
            request.target == HARMFUL_TARGET and request.body == HARMFUL_BODY
        )
        runner.note_run(request)
        if is_harmful:
            self.arrivals.append(self.record.now())
        first = int(request.headers.get('last-event-id') or 0) + 1
        headers = runner.build_headers(request)
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        head = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
        for number in range(first, EVENTS + 1):
            event = f'id: {number}\ndata: {"y" * 48}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            if is_harmful and site2.has_trouble():
                await asyncio.sleep(CRASH_SECONDS)
                if not runner.has_left:
                    self.crashes.append(self.record.now())
                    asyncio.ensure_future(runner.crash())
                return False
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    async def ask(self, relay, attempt, key, target, body):
        """Ask for a stream on a new connection; return whether it is whole."""
        client = site2.Client(self.record, relay.ports['front'])
        self.record.write(f'sent {attempt} to {relay.name}')
        is_whole = False
        try:
            async with asyncio.timeout(20):
                answer = await client.ask(
                    'POST', target,
                    {
                        'Attempt-Id': attempt, 'Api-Key': key,
                        'Deadline-Ms': '20000', 'Model': 'm0',
                        'Token-Count': '800,172',
                        'Prompt-Prefix': f'aa:40,{attempt}:760',
                    },
                    body,
                )
            events = answer.body.count(b'id: ')
            is_whole = answer.status == 200 and events == EVENTS
            self.record.write(f'answer {attempt} {answer.status} {events} events')
        except (OSError, TimeoutError) as error:
            self.record.write(f'cut {attempt} {error!r}')
        client.close()
        return is_whole

    async def run_client(self, number, relay, until):
        """Ask for sound streams, one after the other."""
        count = 0
        await asyncio.sleep(1.5 * number / CLIENTS)
        while time.monotonic() < until:
            count += 1
            attempt = f'{relay.name}-c{number}-{count}'
            self.sound += 1
            is_whole = await self.ask(
                relay, attempt, KEY, '/rind-note/1', attempt.encode()
            )
            self.whole += is_whole
            await asyncio.sleep(0.1)

    async def repeat_harmful(self, relays, until):
        """Send the harmful request again and again, at any machine."""
        await asyncio.sleep(HARM_AT_SECONDS)
        count = 0
        tasks = []
        while time.monotonic() < until:
            relay = relays[count % len(relays)]
            count += 1
            tasks.append(
                asyncio.ensure_future(
                    self.ask(
                        relay, f'harmful-{count}', HARMFUL_KEY, HARMFUL_TARGET,
                        HARMFUL_BODY,
                    )
                )
            )
            await asyncio.sleep(HARM_PERIOD_SECONDS)
        await asyncio.gather(*tasks)


async def play(record, work):
    """Play the case, and return how the rule was broken, or nothing."""
    case = Case(record)
    store = site2.Store(record)
    await store.start()
    routes = [
        site2.build_route(
            'rind-note', 'streaming', 'pool',
            **{
                'timeout-ms': 20000, 'target-latency-ms': 500,
                'gap-target-ms': 250, 'resumable': True, 'sticky': True,
            },
        )
    ]
    await store.append(
        'keyed.op', 'config',
        site2.build_configuration(
            7, routes, [{'name': 'pool', 'engine': site2.ENGINE}],
            {'ann': [KEY], 'eve': [HARMFUL_KEY]},
        ),
    )
    for number in range(RUNNERS):
        runner = ModelRunner(
            record, store, f'm{number}-0', 'pool', case.answer, layers=(0, 80),
            slots=96,
        )
        runner.name, runner.number = f'm{number}', 0
        await runner.start()
    relays = await site2.start_relays(record, store, work, ('edge-1', 'edge-2'))
    await asyncio.sleep(4)
    until = time.monotonic() + LOAD_SECONDS
    await asyncio.gather(
        *(
            case.run_client(number, relay, until)
            for relay in relays
            for number in range(CLIENTS)
        ),
        case.repeat_harmful(relays, until),
    )
    third = case.crashes[2] if len(case.crashes) > 2 else float('inf')
    late = [at for at in case.arrivals if at > third + CONTACT_SECONDS]
    record.write(
        f'{len(case.crashes)} crashes; the harmful request reached runners'
        f' {len(case.arrivals)} times, {len(late)} of them later than'
        f' contact-ms after the third crash; {case.whole} of {case.sound} sound'
        ' streams whole'
    )
    if len(late) > MOST_RETRIES:
        return (
            f'BUDGET: {len(case.crashes)} crashes, {len(late)} retries later'
            f' than contact-ms after the third; {case.whole} of {case.sound}'
            ' sound streams whole'
        )
    return ''


site2.run_case(play, FOLDER)
