"""Send load to a site, check every answer and write a history.

    python -m bench.load --entries HOST:PORT,... --document FILE \
        --history history.jsonl --summary summary.json

The exit code is 1 if an answer was wrong or stayed incomplete.
`bench.load_history` describes the history.
"""

import dataclasses
import pathlib
import typing

import fire
import msgspec

from bench import (
    load_client,
    load_codec,
    load_history,
    load_metrics,
    load_reducer,
    load_state,
    load_work,
)
from mustardvale import document as documents
from mustardvale.internal.edge import logs, performer, runtime


class LoadRuntime(runtime.Runtime):
    """Run the reducer of the load tool, and write its history and summary."""

    def __init__(
        self,
        plan: load_state.LoadPlan,
        history: typing.TextIO,
        summary_path: pathlib.Path | None,
    ) -> None:
        self.load_metrics = load_metrics.LoadMetrics()
        super().__init__(
            load_reducer.reduce,
            load_state.State(plan, plan.seed),
            performer.perform,
            self.load_metrics,
        )
        self.history = history
        self.summary_path = summary_path
        self.client = load_client.LoadClient(
            load_codec,
            self.poller,
            self.emit_event,
        ).register(self)


@performer.perform.register(load_history.Record)
def write_record(
    effect: load_history.Record,
    runtime: runtime.Runtime,  # noqa: WPS442
) -> None:
    """Write one line of the history."""
    assert isinstance(runtime, LoadRuntime), 'only LoadRuntime has a history'
    line = msgspec.json.encode(effect.to_object())
    runtime.history.write(f'{line.decode()}\n')


@performer.perform.register(load_client.AbandonCall)
def abandon_call(
    effect: load_client.AbandonCall,
    runtime: runtime.Runtime,  # noqa: WPS442
) -> None:
    """Abandon a call for a model answer."""
    assert isinstance(runtime.client, load_client.LoadClient), (
        'LoadRuntime has a client'
    )
    runtime.client.abandon(effect)


@performer.perform.register(load_history.WriteSummary)
def write_summary(
    effect: load_history.WriteSummary,
    runtime: runtime.Runtime,  # noqa: WPS442
) -> None:
    """Write the summary to its file, or to the standard output."""
    assert isinstance(runtime, LoadRuntime), 'only LoadRuntime has a summary'
    runtime.history.flush()
    text = runtime.load_metrics.summarise(effect.seconds).to_json()
    if runtime.summary_path is None:
        print(text)
    else:
        runtime.summary_path.write_text(f'{text}\n')


def run_load(
    plan: load_state.LoadPlan,
    history_path: pathlib.Path,
    summary_path: pathlib.Path | None = None,
) -> None:
    """Send the load of a plan; end with `SystemExit`."""
    logs.configure('INFO', plan.run_id)
    with history_path.open('w') as history:
        LoadRuntime(plan, history, summary_path).run()


def main(
    entries: str,
    document: str,
    history: str = 'history.jsonl',
    summary: str = '',
    zones: str = '',
    versions: str = '',
    **options: typing.Any,
) -> None:
    """Send load to the entry addresses, which are separated by commas.

    Further options are the fields of `load_state.LoadPlan` and `load_work.Mix`,
    such as `--rate`, `--duration_seconds`, `--seed` and `--answers`.
    """
    parsed = documents.parse(pathlib.Path(document).read_text())
    mix_names = {field.name for field in dataclasses.fields(load_work.Mix)}
    mix = {name: options.pop(name) for name in mix_names & set(options)}
    plan = load_state.LoadPlan(
        run_id=f'load-{options.get("seed", 1)}',
        document=parsed,
        bootstrap=split_flag(entries),
        zones=split_flag(zones) or ('',),
        mix=load_work.Mix(**mix),
        versions=split_flag(versions) or (parsed.models[0].version,),
        **options,
    )
    run_load(
        plan, pathlib.Path(history), pathlib.Path(summary) if summary else None
    )


def split_flag(text: typing.Any) -> tuple[str, ...]:
    """Split a flag at its commas; fire may pass it as a tuple or list."""
    parts = text if isinstance(text, (tuple, list)) else str(text).split(',')
    return tuple(str(part) for part in parts if str(part))


if __name__ == '__main__':
    fire.Fire(main)
