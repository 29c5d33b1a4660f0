"""Run an entry instance whose HTTP guard has short limits, for tests."""

import fire

from mustardvale import daemon, settings
from mustardvale.internal.edge import http_checks, logs


def serve(
    address: str,
    peer_address: str,
    log_address: str,
    list_address: str,
    instance_id: str = 'entry-0',
    request_seconds: float = 10,
    idle_seconds: float = 60,
    connections: int = 512,
    linger_seconds: float = 0.2,
    discard_seconds: float = 0.2,
    address_validity_seconds: float = 10,
) -> None:
    """Serve callers at `host:port`."""
    logs.configure('INFO', instance_id)
    loop = daemon.build(
        settings.Settings(
            instance_id=instance_id,
            address=address,
            peer_address=peer_address,
            availability_zone='melton-vault',
            region='east-mids',
            environment='production',
            log_address=log_address,
            list_address=list_address,
            log_level='INFO',
            seed=1,
            address_validity_seconds=address_validity_seconds,
        ),
        http_checks.Limits(
            request_seconds=request_seconds,
            idle_seconds=idle_seconds,
            linger_seconds=linger_seconds,
            discard_seconds=discard_seconds,
            sweep_seconds=0.1,
            connections=connections,
        ),
    )
    loop.run()


if __name__ == '__main__':
    fire.Fire(serve)
