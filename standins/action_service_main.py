"""Run the stand-in of an upstream service."""

import fire

from standins import action_service, action_service_codec, processes


def serve(
    address: str,
    instance_id: str,
    checks_keys: bool = False,
    operation_ms: float = 0,
) -> None:
    """Serve operations at `host:port`."""
    state = action_service.State(
        instance_id=str(instance_id),
        checks_keys=checks_keys,
        operation_seconds=operation_ms / 1000,
    )
    processes.run(
        state.instance_id,
        address,
        action_service.reduce,
        state,
        action_service_codec,
    )


if __name__ == '__main__':
    fire.Fire(serve)
