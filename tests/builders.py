"""Build states, upstreams and answers for tests."""

import dataclasses
from collections import abc
from types import MappingProxyType

import immutables

from mustardvale.internal import (
    calls,
    log_streams,
    membership,
    state,
    upstreams,
)
from mustardvale.internal import configuration as configurations
from mustardvale.internal.edge import wire

POOL = 'mustardvale-pool'


def build_state() -> state.State:
    """Build the state of an instance without upstreams."""
    return state.State(
        identity=membership.Identity('entry-0', 'a:1', 'a:2', 'zone-0'),
        seed=7,
        configuration=configurations.ConfigurationState('trial'),
        log=log_streams.LogState('a:3'),
        membership=membership.Membership('a:4'),
    )


def build_row(number: int) -> calls.ListedInstance:
    """Build the row of a runner in the instance list."""
    return calls.ListedInstance(
        f'runner-{number}',
        POOL,
        f'10.0.{number // 200}.{number % 200}:80',
        'zone-0',
    )


def build_upstream(
    number: int,
    first_layer: int,
    end_layer: int,
    **changes: object,
) -> upstreams.Upstream:
    """Build a usable runner that holds a range of layers."""
    row = build_row(number)
    report = calls.LoadReport(
        row.instance_id,
        'standard',
        'affinage',
        '3',
        first_layer=first_layer,
        end_layer=end_layer,
        step_seconds=0.004,
    )
    built = dataclasses.replace(
        upstreams.build(row, 0),
        report=report,
        is_polled=True,
    )
    return dataclasses.replace(built, **changes)  # type: ignore[arg-type]


def build_table(
    members: abc.Iterable[upstreams.Upstream],
) -> upstreams.UpstreamTable:
    """Build a table of upstreams."""
    table = upstreams.UpstreamTable()
    for member in members:
        table = table.replace(member)
    return table


def build_tail(caught_up: bool) -> log_streams.Tail:
    """Build the tail of a stream."""
    return log_streams.Tail(next_offset=8, is_caught_up=caught_up)


def build_answer(
    status: int,
    body: bytes,
    headers: abc.Mapping[str, str] = MappingProxyType({}),
) -> wire.RawAnswer:
    """Build an HTTP answer as received."""
    return wire.RawAnswer(status, immutables.Map(headers), body)
