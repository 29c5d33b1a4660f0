"""One answer of a runner is bytes without an end; see claim.txt."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import site2  # noqa: E402

TIMEOUT_SECONDS = 1.5
LATE_SECONDS = 0.5
DEADLINE_MS = 3000
CLIENTS = 40
PAUSE_SECONDS = 1.0
LOAD_SECONDS = 25.0
FAULT_AT_SECONDS = 6.0
# Size of the pieces of a stream on the small installations (site file).
PIECE = b'x' * 65
# Answers of the runners that are faulty, each to a client of its own.
FAULTY_ANSWERS = 1
# Requests without an answer 0.5 s after the route's timeout that break the
# rule, if they are also more than this share of those that last longer than it.
LEAST_REQUESTS = 8
LEAST_SHARE = 0.25
KEY = 'key-of-ann'


class Case:
    """Hold the outcome of the requests of all clients."""

    def __init__(self, record):
        self.record = record
        self.sent = 0
        self.unanswered_at_timeout = []
        self.unanswered_later = []
        self.served = 0
        self.faulty = 0

    async def answer_stream(self, runner, request, reader, writer):
        """Begin an event, and never end it, in the first answers."""
        runner.note_run(request)
        headers = runner.build_headers(request)
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        head = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
        writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
        if self.faulty == FAULTY_ANSWERS or not site2.has_trouble():
            for number in range(1, 44):
                event = f'id: {number}\ndata: {"y" * 48}\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.02)
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            return True
        self.faulty += 1
        sent_bytes = 0
        self.record.write(f'{runner.runner_id} begins bytes without an end')
        chunks = (b'%x\r\n%b\r\n' % (len(PIECE), PIECE)) * 100
        writer.write(b'%x\r\n%b\r\n' % (10, b'id: 1\ndata'))
        try:
            while True:
                writer.write(chunks)
                await writer.drain()
                sent_bytes += 100 * len(PIECE)
                await asyncio.sleep(0)
        except ConnectionError:
            self.record.write(
                f'{runner.runner_id} is cut off after {sent_bytes} bytes'
            )
        return False

    async def run_client(self, number, relay, until):
        """Send a request each second, on a kept connection."""
        await asyncio.sleep(PAUSE_SECONDS * number / CLIENTS)
        client = site2.Client(self.record, relay.ports['front'])
        count = 0
        while time.monotonic() < until:
            count += 1
            attempt = f'{relay.name}-c{number}-{count}'
            began = time.monotonic()
            self.sent += 1
            self.record.write(f'sent {attempt} to {relay.name}')
            task = asyncio.ensure_future(
                client.ask(
                    'GET',
                    '/rack-look/1',
                    {
                        'Attempt-Id': attempt,
                        'Api-Key': KEY,
                        'Deadline-Ms': str(DEADLINE_MS),
                    },
                )
            )
            await asyncio.wait([task], timeout=TIMEOUT_SECONDS)
            if not task.done():
                self.unanswered_at_timeout.append(attempt)
                await asyncio.wait([task], timeout=LATE_SECONDS)
                if not task.done():
                    self.unanswered_later.append(attempt)
            await asyncio.wait([task], timeout=DEADLINE_MS / 1000 - 2)
            if not task.done():
                task.cancel()
                client.close()
                self.record.write(f'no answer {attempt} in {DEADLINE_MS} ms')
            elif task.exception() is not None:
                client.close()
                self.record.write(f'failed {attempt} {task.exception()!r}')
            else:
                status = task.result().status
                self.served += status == 200
                took = time.monotonic() - began
                self.record.write(f'answer {attempt} {status} in {took:.3f} s')
            await asyncio.sleep(max(0, began + PAUSE_SECONDS - time.monotonic()))
        client.close()

    async def run_stream(self, relay, attempt):
        """Ask for one stream, and leave it after a gap as clients do."""
        await asyncio.sleep(FAULT_AT_SECONDS)
        client = site2.Client(self.record, relay.ports['front'])
        self.record.write(f'sent {attempt} to {relay.name}')
        await client.send(
            'POST',
            '/rind-note/1',
            {
                'Attempt-Id': attempt,
                'Api-Key': KEY,
                'Deadline-Ms': '20000',
                'Model': 'm0',
                'Token-Count': '800,172',
                'Prompt-Prefix': 'aa:40,bb:760',
            },
            b'p' * 800,
        )
        received = b''
        try:
            while not received.endswith(b'0\r\n\r\n'):
                # Clients abandon a stream after a gap of two seconds.
                piece = await asyncio.wait_for(client.reader.read(65536), 2.0)
                if not piece:
                    break
                received += piece
            self.record.write(f'{attempt} ends after {len(received)} bytes')
        except (TimeoutError, ConnectionError) as error:
            self.record.write(f'client leaves {attempt}: {error!r}')
        client.close()

    async def watch_readiness(self, relay):
        """Ask for the readiness each second, as the platform does."""
        while True:
            began = time.monotonic()
            is_ready = await relay.is_ready()
            if not is_ready:
                self.record.write(f'readiness of {relay.name}: no 200')
            await asyncio.sleep(max(0, began + 1 - time.monotonic()))


async def play(record, work):
    """Play the case, and return how the rule was broken, or nothing."""
    case = Case(record)
    store = site2.Store(record)
    await store.start()
    routes = [
        site2.build_route(
            'rack-look', 'idempotent', 'ledger', **{
                'timeout-ms': TIMEOUT_SECONDS * 1000, 'target-latency-ms': 300,
            }
        ),
        site2.build_route(
            'rind-note', 'streaming', 'pool', **{
                'timeout-ms': 20000, 'target-latency-ms': 500,
                'gap-target-ms': 250, 'resumable': True, 'sticky': True,
            }
        ),
    ]
    services = [{'name': 'ledger'}, {'name': 'pool', 'engine': site2.ENGINE}]
    configuration = site2.build_configuration(
        7, routes, services, {'ann': [KEY]}
    )
    await store.append('keyed.op', 'config', configuration)
    plain = site2.build_plain_handler(0.06)
    for name in ('p1', 'p2', 'p3'):
        await site2.Runner(record, store, name, 'ledger', plain).start()
    for name in ('m1', 'm2', 'm3'):
        await site2.Runner(
            record, store, name, 'pool', case.answer_stream, layers=(0, 80),
            slots=96,
        ).start()
    relays = await site2.start_relays(record, store, work, ('edge-1', 'edge-2'))
    await asyncio.sleep(3.5)
    until = time.monotonic() + LOAD_SECONDS
    watches = [
        asyncio.ensure_future(case.watch_readiness(relay)) for relay in relays
    ]
    await asyncio.gather(
        *(
            case.run_client(number, relay, until)
            for relay in relays
            for number in range(CLIENTS)
        ),
        *(
            case.run_stream(relays[0], f'stream-{number + 1}')
            for number in range(FAULTY_ANSWERS)
        ),
    )
    for watch in watches:
        watch.cancel()
    open_count = len(case.unanswered_at_timeout)
    late_count = len(case.unanswered_later)
    record.write(
        f'{case.sent} requests, {case.served} answered 200, {open_count} without'
        f' an answer at timeout-ms, {late_count} of them 0.5 s later'
    )
    if late_count >= LEAST_REQUESTS and late_count > open_count * LEAST_SHARE:
        return (
            f'CONFIG: {open_count} of {case.sent} requests lasted longer than their'
            f' timeout-ms, {late_count} of them had no answer 0.5 s later'
        )
    return ''


site2.run_case(play, FOLDER)
