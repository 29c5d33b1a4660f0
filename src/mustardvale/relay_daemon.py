"""Run an entry instance that relays requests on the users' platform."""

import functools
import os
import secrets
import sys
import types
from collections import abc

from mustardvale import errors, relay_settings
from mustardvale.internal import addresses
from mustardvale.internal.edge import (
    bounded_output,
    logs,
    peer_feed_codec,
    relay_loop,
    relay_metrics,
    relay_performer,
)
from mustardvale.internal.relay import (
    connection_limits,
    handlers,
    instance_settings,
    store_copies,
)
from mustardvale.internal.relay import state as states
from mustardvale.platform import call_codec, front_codec

SETTINGS_PATH_VARIABLE = 'MUSTARDVALE_NODE_FILE'
EXIT_BAD_SETTINGS = 2
PEERS = 'peers'
LISTENER_SHARES = types.MappingProxyType(
    {
        front_codec.FRONT: connection_limits.FRONT_SHARE,
        front_codec.READINESS: connection_limits.OTHER_SHARE,
        front_codec.DIRECTORY: connection_limits.OTHER_SHARE,
        front_codec.METRICS: connection_limits.OTHER_SHARE,
        PEERS: connection_limits.PEER_SHARE,
    }
)
SEED_BITS = 63


def build_loop(settings: relay_settings.RelaySettings) -> relay_loop.RelayLoop:
    """Return the loop of an instance, with its listeners open."""
    loop = relay_loop.RelayLoop(
        handlers.reduce,
        states.State(
            identity=settings.identity,
            limits=settings.limits,
            seed=secrets.randbits(SEED_BITS),
            store_copy=store_copies.CopyState(
                starts_with_site=settings.is_bootstrap
            ),
        ),
        relay_performer.perform,
        relay_metrics.build(),
        relay_loop.Codecs(front_codec, front_codec, call_codec),
    )
    own = settings.identity.addresses
    listeners = (
        (front_codec.FRONT, own.front, front_codec),
        (front_codec.READINESS, own.readiness, front_codec),
        (front_codec.DIRECTORY, own.directory, front_codec),
        (front_codec.METRICS, own.metrics, front_codec),
        (PEERS, own.peers, peer_feed_codec),
    )
    for name, address, codec in listeners:
        loop.callers.listen(name, addresses.split(address), codec)
    loop.limit_resources(
        settings.limits.memory_mb,
        settings.limits.maximum_descriptors,
        LISTENER_SHARES,
    )
    return loop


def read_limits(path: str) -> instance_settings.Limits:
    """Read the limits, which may change while an instance runs."""
    return relay_settings.read(path).limits


def main(arguments: abc.Sequence[str] | None = None) -> None:
    """Run the daemon until it is stopped.

    The argument is the path of the settings file. Without one, the path comes
    from the environment variable `MUSTARDVALE_NODE_FILE`.
    """
    given_arguments = sys.argv[1:] if arguments is None else arguments
    path = (
        given_arguments[0]
        if given_arguments
        else os.environ.get(SETTINGS_PATH_VARIABLE, '')
    )
    try:
        settings = relay_settings.read(path)
    except errors.SettingsError as error:
        for problem in error.problems:
            sys.stderr.write(f'mustardvale: {problem}\n')
        raise SystemExit(EXIT_BAD_SETTINGS) from error
    output = bounded_output.BoundedOutput(sys.stdout.fileno())
    logs.configure('INFO', settings.identity.instance_id, output)
    loop = build_loop(settings)
    loop.output = output
    loop.watch_settings(path, functools.partial(read_limits, path))
    loop.run()


if __name__ == '__main__':
    main()
