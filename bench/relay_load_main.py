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
    input_pacing,
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
# Numbers of prompt and output tokens, which the header separates by a comma.
TOKEN_COUNT_HEADER = '800,400'


class CallerCodec:
    """Encode the requests of callers and decode the answers."""

    def encode_send(
        self, send: relay_attempts.Attempt
    ) -> relay_wire.EncodedSend:
        """Encode an attempt as an HTTP request."""
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
        headers = dict(received.headers)
        retry_after = headers.get('retry-after')
        return relay_load.AnswerHead(
            received.status,
            headers.get('server-stamp', ''),
            float(retry_after) if retry_after else None,
            headers.get('server-leaving') == '1',
        )

    def decode_announcement(self, received: relay_wire.ReceivedHead) -> None:
        """Return nothing: a caller hears nothing of upstreams."""

    def is_answer_to(
        self,
        send: relay_attempts.Attempt,
        received: relay_wire.ReceivedHead,
        is_reused: bool,
    ) -> bool:
        """Accept every answer; `relay_checks` reports the wrong ones."""
        return True

    def encode_call(self, call: relay_load.ReadDirectory) -> wire.RawCall:
        """Encode a request for the entry addresses."""
        return wire.RawCall('GET', f'/api/resolve?name={relay_load.HOST}')

    def decode_answer(
        self, call: relay_load.ReadDirectory, raw: wire.RawAnswer
    ) -> relay_load.DirectoryAnswer:
        """Decode entry addresses, or raise `DecodeError`."""
        try:
            return relay_load.DirectoryAnswer(
                tuple(json.loads(raw.body)['addrs'])
            )
        except (KeyError, ValueError) as error:
            raise wire.DecodeError(0, 'answer', repr(error)) from error

    def decode_part(self, call: relay_load.ReadDirectory, line: bytes) -> None:
        """Raise an error: no call has a streamed answer."""
        raise wire.DecodeError(0, 'answer', 'no call has a streamed answer')


class LoadLoop(loop.Loop):
    """Send the requests of a plan and write the history."""

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
            channels.ChannelTable(poller),
            codec,
            self.emit_event,
            input_pacing.InputPacer().register(self),
        )
        self.client = http_client.HttpClient(
            codec, self.poller, self.emit_event
        ).register(self)
        self.history = pathlib.Path(history)

    def record(self, line: dict[str, typing.Any]) -> None:
        """Append a line to the history."""
        with self.history.open('a') as opened:
            opened.write(f'{json.dumps(line)}\n')


@performer.perform.register(relay_load.Record)
def perform_record(effect: relay_load.Record, runtime: LoadLoop) -> None:
    """Append a line to the history, with the wall time as `at`."""
    runtime.record(dict(effect.line) | {'at': effect.wall_time})


def read_plan(path: str) -> relay_load.LoadPlan:
    """Read a plan from a JSON file."""
    fields = json.loads(pathlib.Path(path).read_text())
    return relay_load.LoadPlan(
        **fields
        | {
            'directories': tuple(fields['directories']),
            'keys': tuple(map(tuple, fields['keys'])),
        }
    )


def main(plan: str, history: str) -> None:
    """Send the load of a plan file and append to a history file."""
    logs.configure('INFO', 'load')
    LoadLoop(read_plan(plan), history).run()


if __name__ == '__main__':
    fire.Fire(main)
