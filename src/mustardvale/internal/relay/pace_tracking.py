"""Keep the pace of upstreams that start or return, from the events there."""

import dataclasses
import typing
from collections import abc

from mustardvale.internal import effects, transitions
from mustardvale.internal.relay import (
    calls,
    configuration,
    engines,
    exchanges,
    loads,
    members,
    reducer,
    requests,
    runners,
    upstream_pace,
)
from mustardvale.internal.relay import effects as relay_effects

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import state as states

# Length of a request of a plain service that has not answered yet.
DEFAULT_PLAIN_SECONDS = 0.1


def find_service(name: str, state: 'states.State') -> configuration.Service:
    """Return a service of the active version, by default a plain one."""
    active = state.configuration.active
    service = active.services.get(name) if active else None
    return service or configuration.Service(name)


def store_paces(
    paces: upstream_pace.PaceMap, state: 'states.State'
) -> 'states.State':
    """Return the state with other paces."""
    if paces is state.paces.paces:
        return state
    return dataclasses.replace(
        state, paces=dataclasses.replace(state.paces, paces=paces)
    )


def list_used_up(now: float, state: 'states.State') -> frozenset[str]:
    """Return the upstreams to which this instance may send no more now."""
    if not state.paces.paces:
        return frozenset()
    return upstream_pace.list_used_up(
        state.paces.paces,
        state.loads,
        find_place(state),
        now,
    )


def find_place(state: 'states.State') -> upstream_pace.Place:
    """Return the place of this instance among those of its zone."""
    own_id = state.identity.instance_id
    other_ids = {member.instance_id for member in state.members.zone.listed} - {
        own_id
    }
    return upstream_pace.Place(
        sum(other_id < own_id for other_id in other_ids),
        len(other_ids) + 1,
        members.count_instances(state),
    )


def begin(
    runner_ids: abc.Iterable[str],
    kind: upstream_pace.PaceKind,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Limit the requests to upstreams that start or return."""
    for runner_id in sorted(runner_ids):
        state = begin_one(runner_id, kind, now, state)
    return state


def begin_one(
    runner_id: str,
    kind: upstream_pace.PaceKind,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Limit one upstream, if the others of its service serve its requests."""
    runner = state.runners.get(runner_id)
    if runner is None:
        return state
    paces = state.paces.paces
    known = paces.get(runner_id)
    started_at_ms = runner.listed.started_at_ms
    if known is not None and known.started_at_ms == started_at_ms:
        restarted = upstream_pace.restart(known, kind, now)
        return store_paces(paces.set(runner_id, restarted), state)
    service = find_service(runner.listed.service, state)
    capacity = estimate_capacity(runner.listed, service)
    if not capacity or not has_enough_others(runner, now, state):
        return state
    begun = upstream_pace.Pace(
        kind,
        started_at_ms,
        capacity,
        estimate_turn_seconds(service, state),
        now,
        now,
        upstream_pace.draw_offset(
            state.identity.availability_zone, runner_id, started_at_ms
        ),
    )
    return store_paces(paces.set(runner_id, begun), state)


def has_enough_others(
    runner: runners.Runner, now: float, state: 'states.State'
) -> bool:
    """Return whether as many others have served as would be limited.

    After a start of a whole site none has, and its upstreams are used at once.
    """
    paces = state.paces.paces
    own_id = runner.listed.runner_id
    if len(paces) >= upstream_pace.MAXIMUM_PACES:
        return False
    others = [
        other
        for other in runners.list_service_runners(
            state.runners, state.runner_index, runner.listed.service
        )
        if other.listed.runner_id != own_id
    ]
    limited = sum(other.listed.runner_id in paces for other in others)
    serving = sum(
        other.has_served
        and other.may_get_requests(now)
        and other.listed.runner_id not in paces
        for other in others
    )
    return serving > limited


def estimate_capacity(
    listed: runners.ListedRunner, service: configuration.Service
) -> float:
    """Return how many requests an upstream can hold, 0 if it cannot run any."""
    engine = service.engine
    if engine is None:
        return max(listed.slots, 1)
    layers = listed.layers
    if layers is None or not layers.count:
        return 0.0
    if listed.accelerator not in engine.accelerators:
        return 0.0
    tokens = engine.typical_prompt_tokens + engine.typical_output_tokens
    held = engines.compute_token_capacity(
        engine, listed.accelerator, layers.count
    )
    return max(min(held / max(tokens, 1), engine.slots), 0.0)


def estimate_turn_seconds(
    service: configuration.Service, state: 'states.State'
) -> float:
    """Return how long a request of a service usually lasts."""
    engine = service.engine
    if engine is None:
        return state.paces.baselines.get(service.name, DEFAULT_PLAIN_SECONDS)
    return (
        engine.typical_prompt_tokens / engine.prefill_tokens_per_second
        + engine.base_step_seconds * engine.typical_output_tokens
    )


def begin_listed(
    before: runners.RunnerMap, now: float, state: 'states.State'
) -> reducer.Transition:
    """Limit the upstreams that a new list shows first or again.

    Drops the paces that are over or of another process, and logs the changes.
    """
    kinds = upstream_pace.PaceKind
    state = drop_ended(now, state)
    if before and before is not state.runners:
        for kind in (kinds.RECOVERED, kinds.COLD):
            listed = [
                runner_id
                for runner_id, runner in state.runners.items()
                if find_listed_kind(before.get(runner_id), runner) is kind
            ]
            state = begin(listed, kind, now, state)
    return log_changes(state)


def find_listed_kind(
    known: runners.Runner | None, runner: runners.Runner
) -> upstream_pace.PaceKind | None:
    """Return how a changed entry limits an upstream, if it does."""
    if known is runner or runner.delisted_at is not None:
        return None
    if known is None or is_started(known, runner):
        return upstream_pace.PaceKind.COLD
    if known.delisted_at is not None:
        return upstream_pace.PaceKind.RECOVERED
    return None


def log_changes(state: 'states.State') -> reducer.Transition:
    """Count and log the limits that have begun or ended since the last time."""
    known = state.paces
    if known.paces is known.logged_paces:
        return transitions.Transition(state)
    logged = dataclasses.replace(known, logged_paces=known.paces)
    return transitions.Transition(
        dataclasses.replace(state, paces=logged),
        build_change_effects(known.logged_paces, known.paces),
    )


def is_started(known: runners.Runner, runner: runners.Runner) -> bool:
    """Return whether a process is listed for the first time as able to run.

    A model runner is listed without layers until it has loaded them.
    """
    if runners.is_different_process(known.listed, runner.listed):
        return True
    had_layers = known.listed.layers is not None and known.listed.layers.count
    has_layers = runner.listed.layers is not None and runner.listed.layers.count
    return bool(has_layers and not had_layers)


def drop_ended(now: float, state: 'states.State') -> 'states.State':
    """Drop the paces that are over and those of earlier processes."""
    paces = state.paces.paces
    for runner_id, pace in paces.items():
        runner = state.runners.get(runner_id)
        is_listed = (
            runner is not None
            and runner.listed.started_at_ms == pace.started_at_ms
        )
        if not is_listed or upstream_pace.is_over(pace, now):
            paces = paces.delete(runner_id)
    return store_paces(paces, state)


def build_change_effects(
    before: upstream_pace.PaceMap, after: upstream_pace.PaceMap
) -> tuple[effects.Effect, ...]:
    """Return the counts and log lines of limits that begin or end."""
    changed: list[effects.Effect] = []
    for runner_id, pace in before.items():
        if not is_same(pace, after.get(runner_id)):
            changed += build_change('ended', runner_id, pace)
    for runner_id, pace in after.items():
        if not is_same(pace, before.get(runner_id)):
            changed += build_change('began', runner_id, pace)
    return tuple(changed)


def is_same(pace: upstream_pace.Pace, other: upstream_pace.Pace | None) -> bool:
    """Return whether two paces are of the same process."""
    return other is not None and pace.started_at_ms == other.started_at_ms


def build_change(
    change: str, runner_id: str, pace: upstream_pace.Pace
) -> tuple[effects.Effect, ...]:
    """Return the count and the log line of one limit."""
    return (
        effects.Count('upstream_paces', (pace.kind.value, change)),
        relay_effects.LogDecision(
            f'upstream_pace_{change}',
            (
                ('runner', runner_id),
                ('cause', pace.kind.value),
                ('capacity', round(pace.capacity, 1)),
                ('share', round(pace.share, 3)),
                ('steps', pace.step),
            ),
        ),
    )


def note_evidence(
    runner_id: str,
    evidence: upstream_pace.Evidence,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Change the pace of an upstream by what a request has shown."""
    paces = state.paces.paces
    pace = paces.get(runner_id)
    if pace is None:
        return state
    judged = upstream_pace.judge(evidence, pace, now)
    return store_paces(paces.set(runner_id, judged), state)


def note_answer(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    now: float,
    state: 'states.State',
) -> 'states.State':
    """Record the first event of a stream, or the answer of a plain service.

    The time of a chain is that of its slowest part. It is held against those
    parts alone whose speed is not known yet. A request that was moved, or that
    waited for a part known to be slow, tells nothing.
    """
    part_ids = [part.runner_id for part in attempt.chain] or [attempt.runner_id]
    runner_map = state.runners
    for runner_id in part_ids:
        runner_map = runners.record_served(runner_map, runner_id)
    state = dataclasses.replace(state, runners=runner_map)
    is_slow = any(is_known_slow(runner_map.get(name), now) for name in part_ids)
    if is_slow or attempt.move_count or attempt.pending_chain:
        return state
    seconds = now - attempt.started_at
    modelled_seconds = model_seconds(exchange, attempt, state)
    limited = [name for name in part_ids if name in state.paces.paces]
    if not limited:
        ratio = seconds / modelled_seconds
        return record_baseline(exchange.service, ratio, state)
    usual = state.paces.baselines.get(exchange.service, 1.0)
    evidence = upstream_pace.Answered(
        attempt.started_at, seconds, modelled_seconds * usual
    )
    for runner_id in limited:
        state = note_evidence(runner_id, evidence, now, state)
    return state


def is_known_slow(runner: runners.Runner | None, now: float) -> bool:
    """Return whether an upstream is avoided or reports to be slow."""
    if runner is None:
        return True
    return runner.deprioritized_until > now or (
        runner.slowdown_until > now and runner.slowdown > 1
    )


def record_baseline(
    service: str, ratio: float, state: 'states.State'
) -> 'states.State':
    """Record how the time of an upstream that is not limited compares."""
    known = state.paces
    usual = upstream_pace.update_baseline(known.baselines.get(service), ratio)
    baselines = known.baselines.set(service, usual)
    return dataclasses.replace(
        state, paces=dataclasses.replace(known, baselines=baselines)
    )


def model_seconds(
    exchange: exchanges.Exchange,
    attempt: exchanges.Attempt,
    state: 'states.State',
) -> float:
    """Return the modelled time to the first event, by accelerators and loads.

    The time of a plain service is 1 on an idle upstream. The baseline has its
    seconds.
    """
    engine = find_service(exchange.service, state).engine
    if engine is None:
        runner = state.runners.get(attempt.runner_id)
        slots = max(runner.listed.slots, 1) if runner else 1
        own = state.loads.get(attempt.runner_id, loads.NO_LOAD)
        return 1 + own.request_count / slots
    prompt = exchange.request.prompt
    tokens = prompt.token_count if prompt else engine.typical_prompt_tokens
    seconds = sum(
        model_part_seconds(part, tokens, engine, state)
        for part in attempt.chain
    )
    return max(seconds, upstream_pace.SLACK_SECONDS)


def model_part_seconds(
    part: requests.ChainPart,
    tokens: int,
    engine: engines.Engine,
    state: 'states.State',
) -> float:
    """Return the modelled time of the first token in one part of a chain."""
    runner = state.runners.get(part.runner_id)
    accelerator = runner.listed.accelerator if runner else ''
    if accelerator not in engine.accelerators:
        return 0.0
    count = part.end_layer - part.first_layer
    load = loads.estimate_total_load(
        part.runner_id,
        state.loads,
        state.mean_loads,
        members.count_instances(state),
    )
    return engines.compute_prefill_seconds(
        engine, accelerator, count, tokens
    ) + engines.compute_step_seconds(
        engine, accelerator, count, load.request_count
    )


def apply_reports(
    reported: tuple[calls.ReportedPace, ...], now: float, state: 'states.State'
) -> 'states.State':
    """Adopt what other instances have found."""
    if not reported:
        return state
    return store_paces(
        upstream_pace.merge_reports(state.paces.paces, reported, now), state
    )
