"""Stand in for a model runner that holds all layers of a small model.

It follows PROTOCOL.md, sections "Requests" and "Runners": it starts empty, loads
layers when it is ordered to, and streams events. Chains of other runners are
refused with 421, because the case has only chains of one part.
"""

import asyncio
import json
import time

import http1
import runner as runners

LAYER_COUNT = 8
LAYER_MB = 1750
KIND = 'a100'
SIZE_MB = 72_000
LOAD_SECONDS = 0.5
FIRST_EVENT_SECONDS = 0.05
EVENT_SECONDS = 0.03
EVENT_COUNT = 43
# A crashed runner is back after some seconds.
DOWN_SECONDS = 3.0


def build_engine() -> dict[str, object]:
    """Return the engine of the service in the configuration."""
    return {
        'layers': LAYER_COUNT,
        'layer-mb': LAYER_MB,
        'kv-token-bytes': 590_000,
        'slots': 96,
        'step_ms': 1.02,
        'read_per_s': 164_000,
        'pipe-mbps': 16_000,
        'loads_at_once': 6,
        'models': [{'name': 'm0', 'load-s': LOAD_SECONDS}],
        'kinds': [
            {
                'name': KIND,
                'size-mb': SIZE_MB,
                'pace': 2.4,
                'read-factor': 3.2,
            }
        ],
    }


class ModelRunner(runners.Runner):
    """Stream answers, and crash if the body of a request is harmful.

    A crash ends all that runs. The runner starts again at the same address and
    with the same id, without layers.
    """

    harmful_body = b''
    layers: tuple[int, int] | None = None
    order_count = 0
    is_busy = False

    def build_entry(self) -> dict[str, object]:
        """Return the entry, with the kind and the layers."""
        entry = super().build_entry()
        entry['kind'] = KIND
        if self.layers is not None:
            entry['layers'] = [self.describe_layers()]
        return entry

    def describe_layers(self) -> dict[str, int]:
        """Return the layers as the pages write them."""
        assert self.layers is not None, 'the runner holds layers'
        first, end = self.layers
        return {'source': first, 'target': end, 'version': 1}

    async def answer(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a report, an order or a request to run."""
        if request.target == '/api/report':
            self.write_report(writer)
        elif request.target == '/api/order':
            self.write_order_answer(json.loads(request.body), writer)
        else:
            await self.run(request, writer)

    def write_report(self, writer: asyncio.StreamWriter) -> None:
        """Answer with the state of the runner."""
        report = {
            'stage': 'colocated',
            'models': [{'name': 'm0', 'version': 1, 'adapters': []}],
            'busy': self.is_busy,
            'seq': self.order_count,
            'active-requests': self.running,
            'pace': 1.0,
            'born': self.born,
            'stalled': [],
        }
        body = json.dumps(report).encode()
        writer.write(http1.encode('HTTP/1.1 200 OK', {}, body))

    def write_order_answer(
        self, order: dict[str, object], writer: asyncio.StreamWriter
    ) -> None:
        """Begin an order, or refuse it."""
        status = 202
        if order['op'] != 'place':
            status = 404
        elif order.get('precondition') != self.order_count:
            status = 409
        else:
            self.order_count += 1
            self.is_busy = True
            target = (int(order['source']), int(order['target']))
            asyncio.ensure_future(self.load(target, self.born))
        writer.write(http1.encode(f'HTTP/1.1 {status} Any', {}, b'{}'))

    async def load(self, target: tuple[int, int], born: int) -> None:
        """Load layers, unless the runner ends meanwhile."""
        share = (target[1] - target[0]) / LAYER_COUNT
        await asyncio.sleep(LOAD_SECONDS * share)
        if born == self.born and self.is_registered:
            self.layers = target
            self.is_busy = False
            await self.write_entry()

    async def run(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Stream an answer, refuse the request, or crash."""
        attempt_id = request.headers.get('attempt-id', '')
        headers = {'Attempt-Id': attempt_id, 'At-Server': self.address}
        expected_chain = f'{self.address}=0-{LAYER_COUNT}'
        is_expected = (
            request.headers.get('expect-instance') == self.runner_id
            and request.headers.get('hop-count') == expected_chain
            and self.layers == (0, LAYER_COUNT)
        )
        if not is_expected:
            headers['Not-Executed'] = '1'
            writer.write(http1.encode('HTTP/1.1 421 Any', headers))
            return
        self.record('arrived', runner=self.runner_id, id=attempt_id)
        self.running += 1
        born = self.born
        try:
            await asyncio.sleep(FIRST_EVENT_SECONDS)
            if self.harmful_body and request.body == self.harmful_body:
                if born == self.born and self.is_registered:
                    self.crash()
                return
            await self.stream(attempt_id, writer)
            self.record('ran', runner=self.runner_id, id=attempt_id)
        finally:
            self.running -= 1

    async def stream(
        self, attempt_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Send the events of an answer."""
        headers = {
            'Attempt-Id': attempt_id,
            'Server-Stamp': f'{self.runner_id}.{attempt_id}',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(http1.encode('HTTP/1.1 200 OK', headers, None))
        for number in range(1, EVENT_COUNT + 1):
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(http1.encode_chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(http1.encode_chunk(b''))
        await writer.drain()

    def crash(self) -> None:
        """End with all that runs, and start again after a while."""
        self.record('crashed', runner=self.runner_id, running=self.running)
        self.end()
        asyncio.ensure_future(self.start_again())

    async def start_again(self) -> None:
        """Start at the same address and with the same id, without layers."""
        await asyncio.sleep(DOWN_SECONDS)
        self.born = int(time.time() * 1000)
        self.layers = None
        self.order_count = 0
        self.is_busy = False
        host, _, port = self.address.partition(':')
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=http1.MAXIMUM_LINE_BYTES
        )
        self.is_registered = True
        await self.write_entry()
        self.heartbeat = asyncio.create_task(self.write_entries())
        self.record('back', runner=self.runner_id)
