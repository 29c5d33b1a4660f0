"""Send a mixed load to entry instances that relay requests.

    python -m bench.relay_load_main PLAN HISTORY

PLAN is a JSON file with the fields of `relay_load.LoadPlan`.
"""

import json
import pathlib
import typing

import fire

from bench import relay_attempts, relay_load
from mustardvale.internal.edge import (
    channels,
    http_client,
    logs,
    loop,
    metrics,
    performer,
    relay_client,
    relay_performer,
    relay_wire,
    wire,
)

MILLISECONDS_PER_SECOND = 1000
TOKEN_COUNT_HEADER = '800,400'


class CallerCodec:
    """Encode what callers send and decode what they get."""

    def encode_send(
        self, send: relay_attempts.Attempt
    ) -> relay_wire.EncodedSend:
        """Encode an attempt."""
        headers = [
            ('Host', relay_load.HOST),
            ('Attempt-Id', send.attempt_id),
            ('Api-Key', send.key),
            (
                'Deadline-Ms',
                str(int(relay_load.DEADLINE_SECONDS * MILLISECONDS_PER_SECOND)),
            ),
        ]
        if send.kind.is_streamed:
            headers.append(('Token-Count', TOKEN_COUNT_HEADER))
        if send.resumed_after_event is not None:
            headers.append(('Last-Event-Id', str(send.resumed_after_event)))
        if send.kind.method != 'GET':
            headers.append(('Content-Length', str(len(send.body))))
        return relay_wire.EncodedSend(
            send.kind.method, send.target, tuple(headers), send.body
        )

    def decode_head(
        self, send: relay_attempts.Attempt, received: relay_wire.ReceivedHead
    ) -> relay_load.AnswerHead:
        """Decode the head of an answer."""
        found = dict(received.headers)
        wait = found.get('retry-after')
        return relay_load.AnswerHead(
            received.status,
            found.get('server-stamp', ''),
            float(wait) if wait else None,
        )

    def is_answer_to(
        self, send: relay_attempts.Attempt, received: relay_wire.ReceivedHead
    ) -> bool:
        """Take every answer; a wrong one is a finding."""
        return True

    def encode_call(self, call: relay_load.ReadDirectory) -> wire.RawCall:
        """Encode a question for entry addresses."""
        return wire.RawCall('GET', f'/api/resolve?name={relay_load.HOST}')

    def decode_answer(
        self, call: relay_load.ReadDirectory, raw: wire.RawAnswer
    ) -> relay_load.DirectoryAnswer:
        """Decode entry addresses."""
        try:
            return relay_load.DirectoryAnswer(
                tuple(json.loads(raw.body)['addrs'])
            )
        except (KeyError, ValueError) as error:
            raise wire.DecodeError(0, 'answer', repr(error)) from error

    def decode_part(self, call: relay_load.ReadDirectory, line: bytes) -> None:
        """Refuse parts: the directory answers whole."""
        raise wire.DecodeError(0, 'answer', 'no call is answered in parts')


class LoadLoop(loop.Loop):
    """Send requests and write the history."""

    def __init__(self, plan: relay_load.LoadPlan, history: str) -> None:
        poller = channels.DirectPoller()
        super().__init__(
            relay_load.reduce,
            relay_load.LoadState(plan, plan.seed),
            relay_performer.perform,
            metrics.Metrics(),
            poller=poller,
        )
        codec = CallerCodec()
        self.upstreams = relay_client.RelayClient(
            channels.ChannelTable(poller), codec, self.emit_event
        )
        self.client = http_client.HttpClient(
            codec, self.poller, self.emit_event
        ).register(self)
        self.history = pathlib.Path(history)

    def record(self, line: dict[str, typing.Any]) -> None:
        """Write a line of the history."""
        with self.history.open('a') as opened:
            opened.write(f'{json.dumps(line)}\n')


@performer.perform.register(relay_load.Record)
def perform_record(effect: relay_load.Record, runtime: LoadLoop) -> None:
    """Write a line of the history."""
    runtime.record(dict(effect.line) | {'at': effect.wall})


def read_plan(path: str) -> relay_load.LoadPlan:
    """Read a plan."""
    table = json.loads(pathlib.Path(path).read_text())
    return relay_load.LoadPlan(
        **table
        | {
            'directories': tuple(table['directories']),
            'keys': tuple(map(tuple, table['keys'])),
        }
    )


def main(plan: str, history: str) -> None:
    """Send the load of a plan."""
    logs.configure('INFO', 'load')
    LoadLoop(read_plan(plan), history).run()


if __name__ == '__main__':
    fire.Fire(main)
