"""Run the stand-in of the log service."""

import fire

from standins import log_codec, log_service, processes


def serve(
    address: str,
    retention_seconds: float = 3600,
    appends_per_second: float = 300,
) -> None:
    """Serve the log at `host:port`.

    Records are kept for `retention_seconds`; appends over the rate are refused.
    """
    state = log_service.State(
        float(retention_seconds),
        float(appends_per_second),
        append_tokens=float(appends_per_second),
    )
    processes.run('log', address, log_service.reduce, state, log_codec)


if __name__ == '__main__':
    fire.Fire(serve)
