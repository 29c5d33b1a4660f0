"""Run engine stand-ins: one from flags, or several from a settings file."""

import dataclasses
import pathlib
import typing

import fire
import msgspec

from mustardvale.internal.edge import http_client, logs, metrics, performer
from standins import engine, engine_codec, engine_group, engine_servers

MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Pair the configuration of an engine with its `host:port`."""

    address: str
    held: engine.EngineConfig


def run(settings: tuple[EngineSettings, ...]) -> None:
    """Serve engines until the process is stopped."""
    logs.configure(
        'INFO',
        '+'.join(
            engine_settings.held.instance_id for engine_settings in settings
        ),
    )
    loop = engine_servers.EngineRuntime(
        engine_group.reduce,
        engine_group.build_state(
            tuple(engine_settings.held for engine_settings in settings)
        ),
        performer.perform,
        metrics.Metrics(),
    )
    for engine_settings in settings:
        loop.group.add(
            engine_settings.held.instance_id, engine_settings.address, loop
        )
    loop.client = http_client.HttpClient(
        engine_codec,
        loop.poller,
        loop.emit_event,
    ).register(loop)
    loop.run()


def serve_file(path: str) -> None:
    """Serve the engines of a JSON file with a list of `EngineSettings`."""
    text = pathlib.Path(path).read_bytes()
    run(msgspec.json.decode(text, type=tuple[EngineSettings, ...]))


def serve(
    address: str = '',
    instance_id: str = '',
    model: str = '',
    version: str = '',
    layers: int = 0,
    first_layer: int = 0,
    end_layer: int = 0,
    adapters: str = '',
    accelerator: str = 'standard',
    iteration_ms: float = 4,
    input_ms: float = 0.02,
    settings_file: str = '',
    **config_fields: typing.Any,
) -> None:
    """Serve the half-open layer range `first_layer` to `end_layer`.

    `address` is `host:port`, `adapters` are names joined by `+`.
    `--settings_file` names a JSON file with a list of `EngineSettings` to serve
    instead. Further flags set the other fields of `engine.EngineConfig`.
    """
    if settings_file:
        serve_file(settings_file)
        return
    config = engine.EngineConfig(
        instance_id=str(instance_id),
        accelerator=accelerator,
        model=str(model),
        version=str(version),
        adapters=tuple(name for name in str(adapters).split('+') if name),
        layers=layers,
        first_layer=first_layer,
        end_layer=end_layer,
        iteration_seconds=iteration_ms / MILLISECONDS_PER_SECOND,
        input_seconds=input_ms / MILLISECONDS_PER_SECOND,
        **config_fields,
    )
    run((EngineSettings(address, config),))


if __name__ == '__main__':
    fire.Fire(serve)
