"""Run the stand-in of the weight store."""

import fire

from standins import processes, weight_codec, weight_store


def serve(
    address: str,
    units_per_second: float = 20,
    slots: int = 2,
) -> None:
    """Serve leases at `host:port`, at most `slots` at a time."""
    state = weight_store.State(float(units_per_second), int(slots))
    processes.run(
        'weights',
        address,
        weight_store.reduce,
        state,
        weight_codec,
    )


if __name__ == '__main__':
    fire.Fire(serve)
