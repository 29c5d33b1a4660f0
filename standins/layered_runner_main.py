"""Run the runner stand-ins of a site.

    python -m standins.layered_runner_main PLAN HISTORY

PLAN is a JSON file with the addresses `control` and `store`, the number of
`layers` of the model and the `runners`. A runner listens at `listen` and
announces itself as `address`, which may be that of a proxy. HISTORY is the file
to which runs are appended, one JSON object per line.
"""

import json
import pathlib
import typing

import fire
import immutables

from mustardvale.internal import addresses
from mustardvale.internal.edge import (
    channels,
    http_client,
    logs,
    loop,
    metrics,
    performer,
    relay_server,
)
from standins import (
    layered_runner_codec,
    layered_runners,
    runner_messages,
)


class RunnerLoop(loop.Loop):
    """Run the loop of all runners of a site, each at its own address."""

    def __init__(self, plan: dict[str, typing.Any], history: str) -> None:
        poller = channels.DirectPoller()
        super().__init__(
            layered_runners.reduce,
            layered_runners.State(
                plan['store'], plan['layers'], build_runners(plan)
            ),
            performer.perform,
            metrics.Metrics(),
            poller=poller,
        )
        table = channels.ChannelTable(poller)
        self.callers = relay_server.RelayServer(
            table, layered_runner_codec, self.emit_event
        )
        self.server = self.callers
        self.client = http_client.HttpClient(
            layered_runner_codec, self.poller, self.emit_event
        ).register(self)
        self.history = pathlib.Path(history)
        self.callers.listen(
            layered_runner_codec.CONTROL_LISTENER,
            addresses.split(plan['control']),
        )
        for row in plan['runners']:
            self.callers.listen(
                row['runner_id'], addresses.split(row['listen'])
            )

    def record(self, line: dict[str, typing.Any]) -> None:
        """Append a line to the history."""
        with self.history.open('a') as opened:
            opened.write(f'{json.dumps(line)}\n')


def build_runners(
    plan: dict[str, typing.Any],
) -> immutables.Map[str, runner_messages.Runner]:
    """Return the runners of a plan by id."""
    return immutables.Map(
        {
            row['runner_id']: runner_messages.Runner(
                **{key: row[key] for key in row if key != 'listen'}
            )
            for row in plan['runners']
        }
    )


@performer.perform.register(layered_runners.StartStream)
def start_stream(
    effect: layered_runners.StartStream, runtime: RunnerLoop
) -> None:
    """Send the head of a stream."""
    runtime.callers.start_stream(effect.request_id, effect.head)


@performer.perform.register(layered_runners.RecordRun)
def record_run(effect: layered_runners.RecordRun, runtime: RunnerLoop) -> None:
    """Append a run to the history."""
    run = effect.run
    runtime.record(
        {
            'event': effect.event,
            'id': run.attempt_id,
            'runner': run.runner_id,
            'digest': run.digest,
            'target': run.target,
            'tenant': run.tenant,
            'key_seen': run.key_seen,
            'deadline_ms': run.deadline_ms,
            'layers': [[part.first, part.end] for part in effect.chain],
            'last_event': run.last_event,
            'at': effect.wall_time,
            **describe_refusal(effect.refusal),
        }
    )


def describe_refusal(
    refusal: runner_messages.Refusal | None,
) -> dict[str, typing.Any]:
    """Return the fields of a refusal in the history, if it is one."""
    if refusal is None:
        return {}
    return {
        'status': refusal.status,
        'retry_after': refusal.retry_after_seconds,
    }


def serve(plan: str, history: str) -> None:
    """Serve until the process is stopped."""
    logs.configure('INFO', 'runners')
    RunnerLoop(json.loads(pathlib.Path(plan).read_text()), history).run()


if __name__ == '__main__':
    fire.Fire(serve)
