"""Run the stand-in of a model engine."""

import fire

from standins import engine, engine_codec, processes


def serve(
    address: str,
    instance_id: str,
    model: str,
    version: str,
    layers: int,
    first_layer: int,
    end_layer: int,
    adapters: str = '',
    accelerator: str = 'standard',
    iteration_ms: float = 4,
    input_ms: float = 0.02,
) -> None:
    """Serve layers `first_layer` up to `end_layer` at `host:port`."""
    held = engine.Held(
        instance_id=str(instance_id),
        accelerator=accelerator,
        model=str(model),
        version=str(version),
        adapters=tuple(name for name in str(adapters).split('+') if name),
        layers=layers,
        first_layer=first_layer,
        end_layer=end_layer,
        iteration_seconds=iteration_ms / 1000,
        input_seconds=input_ms / 1000,
    )
    processes.run(
        held.instance_id,
        address,
        engine.reduce,
        engine.State(held),
        engine_codec,
    )


if __name__ == '__main__':
    fire.Fire(serve)
