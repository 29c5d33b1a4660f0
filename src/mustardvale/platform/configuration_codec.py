"""Decode the configuration that operators write to the store."""

import typing

import immutables
import msgspec

from mustardvale.internal.edge import wire
from mustardvale.internal.relay import configuration, engines

# Errors that decoding JSON of an unexpected form raises.
DECODING_ERRORS = (
    msgspec.DecodeError,
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    # Numbers too large for a float, and values that are nested too deeply.
    ArithmeticError,
    RecursionError,
)
MILLISECONDS_PER_SECOND = 1000
REQUEST_KINDS = immutables.Map(
    {
        'idempotent': configuration.RequestKind.IDEMPOTENT,
        'non_idempotent': configuration.RequestKind.NON_IDEMPOTENT,
        'streaming': configuration.RequestKind.STREAMING,
    }
)
JsonObject: typing.TypeAlias = 'dict[str, typing.Any]'


def decode(encoded: bytes) -> configuration.Configuration:
    """Decode a configuration, or raise `wire.DecodeError`."""
    try:
        return decode_configuration(msgspec.json.decode(encoded))
    except DECODING_ERRORS as error:
        raise wire.DecodeError(
            0, 'configuration', f'configuration does not decode: {error!r}'
        ) from error


def decode_configuration(decoded: JsonObject) -> configuration.Configuration:
    """Decode the parts of a configuration."""
    routes_by_host: dict[str, list[configuration.Route]] = {}
    for row in decoded['routes']:
        route = decode_route(row)
        routes_by_host.setdefault(route.host, []).append(route)
    services = [decode_service(row) for row in decoded.get('services', ())]
    tenants = decoded.get('tenants')
    return configuration.Configuration(
        version=int(decoded['version']),
        routes_by_host=immutables.Map(
            {
                host: tuple(sorted(routes, key=compute_prefix_order))
                for host, routes in routes_by_host.items()
            }
        ),
        services=immutables.Map(
            {service.name: service for service in services}
        ),
        tenants_by_key=decode_tenants(tenants or ()),
        is_key_required=tenants is not None,
        caller_limits=decode_caller_limits(decoded.get('limits') or {}),
    )


def compute_prefix_order(route: configuration.Route) -> tuple[int, str]:
    """Return a sort key that puts the longest prefix first."""
    return -len(route.prefix), route.prefix


def decode_route(row: JsonObject) -> configuration.Route:
    """Decode a route; without a traffic split it has one service.

    Services of weight 0 are left out, unless all have it.
    """
    shares = [
        configuration.ServiceShare(share['service'], float(share['weight']))
        for share in row.get('traffic-split') or ()
    ] or [configuration.ServiceShare(row['service'], 1)]
    timeout = float(row['timeout-ms']) / MILLISECONDS_PER_SECOND
    return configuration.Route(
        name=row['name'],
        host=row['host'].lower(),
        prefix=row['path-prefix'],
        kind=REQUEST_KINDS[row['kind']],
        shares=tuple(share for share in shares if share.weight > 0)
        or tuple(shares),
        timeout_seconds=timeout,
        target_latency_seconds=float(row.get('target-latency-ms') or 0)
        / MILLISECONDS_PER_SECOND
        or timeout,
        maximum_attempts=int(row.get('max-attempts') or 1),
        priority=int(row.get('priority') or 0),
        is_public=bool(row.get('public')),
        is_resumable=bool(row.get('resumable')),
        event_gap_seconds=float(row.get('gap-target-ms') or 0)
        / MILLISECONDS_PER_SECOND,
    )


def decode_service(row: JsonObject) -> configuration.Service:
    """Decode a service; `engine` describes its model runners, if any."""
    engine = row.get('engine')
    return configuration.Service(
        row['name'],
        decode_engine(engine) if engine and engine.get('layers') else None,
    )


def decode_engine(row: JsonObject) -> engines.Engine:
    """Decode the parameters of an engine's time and memory.

    `step_ms` is the time of a step. Each sequence adds `per_seq_ms` to it, and
    each 1,000 tokens of its context add `context_per_k` ms. `pipe-mbps` is the
    bandwidth between two zones, which all chains share.
    """
    usual: JsonObject = row.get('usual') or {}
    models: list[JsonObject] = row.get('models') or [{}]
    return engines.Engine(
        layer_count=int(row['layers']),
        layer_mb=float(row['layer-mb']),
        cache_bytes_per_token=float(row['kv-token-bytes']),
        slots=int(row['slots']),
        accelerators=decode_accelerators(row['kinds']),
        base_step_seconds=float(row['step_ms']) / MILLISECONDS_PER_SECOND,
        step_seconds_per_sequence=float(row.get('per_seq_ms') or 0)
        / MILLISECONDS_PER_SECOND,
        step_seconds_per_thousand_tokens=float(row.get('context_per_k') or 0)
        / MILLISECONDS_PER_SECOND,
        prefill_tokens_per_second=float(row['read_per_s']),
        activation_bytes_per_token=float(row.get('activation-bytes') or 0),
        zone_link_mbps=float(row.get('pipe-mbps') or 0),
        zone_delay_seconds=decode_delays(row.get('delays') or ()),
        typical_prompt_tokens=int(usual.get('prompt') or 800),
        typical_output_tokens=int(usual.get('answer') or 200),
        model_load_seconds=float(models[0].get('load-s') or 10),
        concurrent_loads=int(row.get('loads_at_once') or 1),
    )


def decode_accelerators(
    rows: typing.Iterable[JsonObject],
) -> immutables.Map[str, engines.Accelerator]:
    """Decode the kinds of accelerators, mapped by name."""
    return immutables.Map(
        {
            row['name']: engines.Accelerator(
                row['name'],
                float(row['size-mb']),
                float(row.get('pace') or 1),
                float(row.get('read-factor') or 1),
            )
            for row in rows
        }
    )


def decode_delays(
    rows: typing.Iterable[JsonObject],
) -> immutables.Map[tuple[str, str], float]:
    """Decode the one-way delays from zone to zone, in seconds."""
    return immutables.Map(
        {
            (row['source'], row['target']): float(row['delay_ms'])
            / MILLISECONDS_PER_SECOND
            for row in rows
        }
    )


def decode_tenants(
    rows: typing.Iterable[JsonObject],
) -> immutables.Map[str, configuration.Tenant]:
    """Decode the tenants, mapped by each of their API keys."""
    tenants_by_key: dict[str, configuration.Tenant] = {}
    for row in rows:
        priority = row.get('priority')
        tenant = configuration.Tenant(
            row['name'], None if priority is None else int(priority)
        )
        for key in row.get('api-keys') or ():
            tenants_by_key[key] = tenant
    return immutables.Map(tenants_by_key)


def decode_caller_limits(row: JsonObject) -> configuration.CallerLimits | None:
    """Decode the limits on what callers send and how long they take."""
    if not row:
        return None
    return configuration.CallerLimits(
        int(row['max-header-bytes']),
        int(row['max-body-bytes']),
        float(row['header-timeout-ms']) / MILLISECONDS_PER_SECOND,
        float(row['idle-timeout-ms']) / MILLISECONDS_PER_SECOND,
    )
