"""Keep what is known of the upstreams that the platform lists."""

import dataclasses
import enum
import typing

import immutables


class ListedState(enum.Enum):
    """Name what an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class LayerRange:
    """Name the layers that a runner holds, the end exclusive."""

    first: int
    end: int

    @property
    def count(self) -> int:
        """Return the number of layers."""
        return self.end - self.first


@dataclasses.dataclass(frozen=True, slots=True)
class ListedRunner:
    """Describe one entry of the platform's list.

    `started_at_ms` tells two starts under one id apart. A plain service has
    neither an accelerator nor layers.
    """

    runner_id: str
    service: str
    address: str
    availability_zone: str
    state: ListedState = ListedState.READY
    started_at_ms: int = 0
    slots: int = 0
    accelerator: str = ''
    layers: LayerRange | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """Pair an entry with what this instance has seen of the upstream.

    `position` is that of the list when the entry last changed or was dropped,
    `missing_since` when it was dropped, `avoid_until` how long other
    upstreams go first after failures, `shunned_until` how long nothing new
    goes there at all. `latency` is a moving mean in seconds, `failing` one of
    the failed share. `pace` is how many times longer than usual the runner
    needs, by its own report, which holds until `paced_until`.
    """

    listed: ListedRunner
    changed_position: int = 0
    delisted_at: float | None = None
    deprioritized_until: float = 0.0
    excluded_until: float = 0.0
    consecutive_failures: int = 0
    mean_latency_seconds: float = 0.0
    failure_rate: float = 0.0
    slowdown: float = 1.0
    slowdown_until: float = 0.0

    @property
    def is_usable(self) -> bool:
        """Return whether new work may go there."""
        return (
            self.delisted_at is None and self.listed.state is ListedState.READY
        )


RunnerMap: typing.TypeAlias = 'immutables.Map[str, Runner]'

INITIAL_BACKOFF_SECONDS = 0.5
MAXIMUM_BACKOFF_SECONDS = 8.0
SMOOTHING_WEIGHT = 0.2
# Only runners that are silent are asked for their pace, so that one which has
# recovered is not asked again.
SLOWDOWN_VALID_SECONDS = 5.0


def record_listing(
    table: RunnerMap, entry: ListedRunner, position: int
) -> RunnerMap:
    """Take an entry of the list; a new start begins without a past."""
    known = table.get(entry.runner_id)
    if known is None or is_different_process(known.listed, entry):
        return table.set(entry.runner_id, Runner(entry, position))
    if known.listed == entry and known.delisted_at is None:
        return table
    return table.set(
        entry.runner_id,
        dataclasses.replace(
            known,
            listed=entry,
            changed_position=position,
            delisted_at=None,
            excluded_until=0.0,
        ),
    )


def is_different_process(known: ListedRunner, entry: ListedRunner) -> bool:
    """Return whether an entry is of another start or place."""
    return (
        known.started_at_ms != entry.started_at_ms
        or known.address != entry.address
        or known.service != entry.service
    )


def record_delisting(
    table: RunnerMap, runner_id: str, position: int, now: float
) -> RunnerMap:
    """Mark an upstream whose entry was dropped."""
    known = table.get(runner_id)
    if known is None or known.delisted_at is not None:
        return table
    return table.set(
        runner_id,
        dataclasses.replace(known, changed_position=position, delisted_at=now),
    )


def record_failure(table: RunnerMap, runner_id: str, now: float) -> RunnerMap:
    """Let other upstreams go first, for longer after each failure."""
    known = table.get(runner_id)
    if known is None:
        return table
    seconds = min(
        INITIAL_BACKOFF_SECONDS * 2**known.consecutive_failures,
        MAXIMUM_BACKOFF_SECONDS,
    )
    if known.deprioritized_until > now:
        # Requests that were sent together fail together.
        return table
    return table.set(
        runner_id,
        dataclasses.replace(
            known,
            consecutive_failures=known.consecutive_failures + 1,
            deprioritized_until=now + seconds,
            failure_rate=known.failure_rate
            + SMOOTHING_WEIGHT * (1 - known.failure_rate),
        ),
    )


def deprioritize(table: RunnerMap, runner_id: str, until: float) -> RunnerMap:
    """Let other upstreams go first until a moment, or longer."""
    known = table.get(runner_id)
    if known is None or known.deprioritized_until >= until:
        return table
    return table.set(
        runner_id, dataclasses.replace(known, deprioritized_until=until)
    )


def exclude(table: RunnerMap, runner_id: str, until: float) -> RunnerMap:
    """Send nothing new to an upstream until a moment, or a new entry."""
    known = table.get(runner_id)
    if known is None or known.excluded_until >= until:
        return table
    return table.set(
        runner_id, dataclasses.replace(known, excluded_until=until)
    )


def record_answer(
    table: RunnerMap, runner_id: str, seconds: float, is_success: bool
) -> RunnerMap:
    """Take the time of a whole answer, and whether it was a success."""
    known = table.get(runner_id)
    if known is None:
        return table
    latency = seconds
    if known.mean_latency_seconds:
        latency = known.mean_latency_seconds + SMOOTHING_WEIGHT * (
            seconds - known.mean_latency_seconds
        )
    failing = known.failure_rate + SMOOTHING_WEIGHT * (
        float(not is_success) - known.failure_rate
    )
    return table.set(
        runner_id,
        dataclasses.replace(
            known,
            mean_latency_seconds=latency,
            failure_rate=failing,
            consecutive_failures=0
            if is_success
            else known.consecutive_failures,
        ),
    )


def record_slowdown(
    table: RunnerMap, runner_id: str, slowdown: float, now: float
) -> RunnerMap:
    """Take how slow a runner says that it is; 1 is its usual pace."""
    known = table.get(runner_id)
    if known is None:
        return table
    return table.set(
        runner_id,
        dataclasses.replace(
            known,
            slowdown=slowdown,
            slowdown_until=now + SLOWDOWN_VALID_SECONDS,
        ),
    )


def list_service_runners(table: RunnerMap, service: str) -> tuple[Runner, ...]:
    """Return the upstreams of a service."""
    return tuple(
        runner for runner in table.values() if runner.listed.service == service
    )


def find_id_by_address(table: RunnerMap, address: str) -> str | None:
    """Return the id of the upstream at an address."""
    for runner_id, runner in table.items():
        if runner.listed.address == address and runner.delisted_at is None:
            return runner_id
    return None
