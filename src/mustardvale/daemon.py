"""Run an entry instance (`mustardvaled`)."""

import os
import secrets
import sys
from collections import abc

from mustardvale import errors
from mustardvale import settings as settings_module
from mustardvale.internal import (
    addresses,
    configuration,
    handlers,
    log_streams,
    membership,
    orders,
    routing,
    state,
    timing,
)
from mustardvale.internal.edge import (
    codec,
    codec_peer,
    codec_upstream,
    entry_metrics,
    http_checks,
    http_client,
    http_server,
    logs,
    peer_socket,
    performer,
    runtime,
)

EXIT_BAD_SETTINGS = 2
SEED_BITS = 63
DEFAULT_LIMITS = http_checks.Limits()


def build_initial_state(settings: settings_module.Settings) -> state.State:
    """Return the state of an instance before its first event."""
    return state.State(
        identity=membership.Identity(
            instance_id=settings.instance_id,
            address=settings.address,
            peer_address=settings.peer_address,
            availability_zone=settings.availability_zone,
            region=settings.region,
        ),
        seed=settings.seed or secrets.randbits(SEED_BITS),
        policy=routing.POLICIES[settings.policy],
        configuration=configuration.ConfigurationState(settings.environment),
        log=log_streams.LogState(settings.log_address),
        membership=membership.Membership(settings.list_address),
        orders=orders.OrderState(settings.weight_store_address),
        timing=timing.Timing(
            address_validity_seconds=settings.address_validity_seconds,
            drain_seconds=settings.drain_seconds,
            log_retention_seconds=settings.log_retention_seconds,
        ),
    )


def build(
    settings: settings_module.Settings,
    limits: http_checks.Limits = DEFAULT_LIMITS,
) -> runtime.Runtime:
    """Return an entry instance that is ready to run."""
    loop = runtime.Runtime(
        handlers.reduce,
        build_initial_state(settings),
        performer.perform,
        entry_metrics.build(),
    )
    loop.client = http_client.HttpClient(
        codec_upstream,
        loop.poller,
        loop.emit_event,
        entry_metrics.count_call_bytes(loop.metrics),
    ).register(loop)
    loop.peers = peer_socket.PeerSocket(
        settings.peer_address,
        codec_peer,
        loop.poller,
        loop.emit_event,
        loop.metrics.count,
    ).register(loop)
    loop.server = http_server.HttpServer(
        addresses.split(settings.address),
        codec,
        loop.emit_event,
        f'{settings.instance_id}-{secrets.token_hex(4)}',
        limits,
    ).register(loop)
    return loop


def main(arguments: abc.Sequence[str] | None = None) -> None:
    """Run the daemon until it is stopped."""
    try:
        settings = settings_module.read(
            sys.argv[1:] if arguments is None else arguments,
            os.environ,
        )
    except errors.SettingsError as error:
        for problem in error.problems:
            sys.stderr.write(f'mustardvaled: {problem}\n')
        raise SystemExit(EXIT_BAD_SETTINGS) from error
    if settings.is_check_only:
        sys.stdout.write('mustardvaled: settings are valid\n')
        return
    logs.configure(settings.log_level, settings.instance_id)
    build(settings).run()


if __name__ == '__main__':
    main()
