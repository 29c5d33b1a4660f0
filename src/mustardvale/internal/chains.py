"""Choose runners whose layer ranges together hold a whole model."""

import dataclasses

from mustardvale import document as documents
from mustardvale.internal import calls, routing, upstreams


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """Name the runner that holds layers `first_layer` up to `end_layer`."""

    instance_id: str
    address: str
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """Hold stages that cover all layers in order; no stages if none do."""

    stages: tuple[Stage, ...]
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChainWanted:
    """Say what a chain has to run, and on which runners it must not."""

    model: documents.Model
    adapter: str
    excluded: frozenset[str] = frozenset()


def choose_chain(
    wanted: ChainWanted,
    table: upstreams.UpstreamTable,
    policy: routing.Policy,
    seed: int,
    now: float,
) -> Chain:
    """Choose one runner for each layer range, from the first layer on."""
    usable = tuple(
        upstream
        for upstream in table.by_id.values()
        if holds(upstream, wanted) and upstreams.is_usable(upstream, now)
    )
    stages: list[Stage] = []
    layer = 0
    while layer < wanted.model.layers:
        fitting = tuple(
            upstream
            for upstream in usable
            if report_of(upstream).first_layer == layer
        )
        if not fitting:
            return Chain((), seed)
        choice = routing.choose(
            policy,
            tuple(to_candidate(upstream) for upstream in fitting),
            seed,
        )
        seed = choice.seed
        stage = to_stage(table.by_id[choice.candidate.instance_id])
        assert stage.end_layer > layer, 'a stage holds at least one layer'
        stages.append(stage)
        layer = stage.end_layer
    return Chain(tuple(stages), seed)


def report_of(upstream: upstreams.Upstream) -> calls.LoadReport:
    """Return the report of an upstream that has one."""
    assert upstream.report is not None, 'only reported upstreams are usable'
    return upstream.report


def holds(upstream: upstreams.Upstream, wanted: ChainWanted) -> bool:
    """Return whether a runner holds part of the wanted model."""
    listed = upstream.listed
    report = upstream.report
    if report is None or listed.pool != wanted.model.pool:
        return False
    if listed.instance_id in wanted.excluded:
        return False
    if wanted.adapter and wanted.adapter not in report.adapters:
        return False
    held = (report.model, report.version)
    return held == (wanted.model.name, wanted.model.version) and (
        report.end_layer > report.first_layer
    )


def to_candidate(upstream: upstreams.Upstream) -> routing.Candidate:
    """Describe an upstream to a policy."""
    report = report_of(upstream)
    return routing.Candidate(
        instance_id=upstream.listed.instance_id,
        in_flight=upstream.in_flight,
        queued=report.queued,
        step_seconds=report.step_seconds,
    )


def to_stage(upstream: upstreams.Upstream) -> Stage:
    """Describe an upstream as a stage."""
    report = report_of(upstream)
    return Stage(
        upstream.listed.instance_id,
        upstream.listed.address,
        report.first_layer,
        report.end_layer,
    )
