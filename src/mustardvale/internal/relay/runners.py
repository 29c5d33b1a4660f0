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
    position: int = 0
    missing_since: float | None = None
    avoid_until: float = 0.0
    shunned_until: float = 0.0
    failures: int = 0
    latency: float = 0.0
    failing: float = 0.0
    pace: float = 1.0
    paced_until: float = 0.0

    @property
    def usable(self) -> bool:
        """Return whether new work may go there."""
        return (
            self.missing_since is None
            and self.listed.state is ListedState.READY
        )


RunnerMap: typing.TypeAlias = 'immutables.Map[str, Runner]'

FIRST_AVOID_SECONDS = 0.5
LONGEST_AVOID_SECONDS = 8.0
MEAN_WEIGHT = 0.2
# Only runners that are silent are asked for their pace, so that one which has
# recovered is not asked again.
PACE_SECONDS = 5.0


def listed(table: RunnerMap, entry: ListedRunner, position: int) -> RunnerMap:
    """Take an entry of the list; a new start begins without a past."""
    known = table.get(entry.runner_id)
    if known is None or is_other_start(known.listed, entry):
        return table.set(entry.runner_id, Runner(entry, position))
    if known.listed == entry and known.missing_since is None:
        return table
    return table.set(
        entry.runner_id,
        dataclasses.replace(
            known,
            listed=entry,
            position=position,
            missing_since=None,
            shunned_until=0.0,
        ),
    )


def is_other_start(known: ListedRunner, entry: ListedRunner) -> bool:
    """Return whether an entry is of another start or place."""
    return (
        known.started_at_ms != entry.started_at_ms
        or known.address != entry.address
        or known.service != entry.service
    )


def unlisted(
    table: RunnerMap, runner_id: str, position: int, now: float
) -> RunnerMap:
    """Mark an upstream whose entry was dropped."""
    known = table.get(runner_id)
    if known is None or known.missing_since is not None:
        return table
    return table.set(
        runner_id,
        dataclasses.replace(known, position=position, missing_since=now),
    )


def failed(table: RunnerMap, runner_id: str, now: float) -> RunnerMap:
    """Let other upstreams go first, for longer after each failure."""
    known = table.get(runner_id)
    if known is None:
        return table
    seconds = min(
        FIRST_AVOID_SECONDS * 2**known.failures, LONGEST_AVOID_SECONDS
    )
    if known.avoid_until > now:
        # Requests that were sent together fail together.
        return table
    return table.set(
        runner_id,
        dataclasses.replace(
            known,
            failures=known.failures + 1,
            avoid_until=now + seconds,
            failing=known.failing + MEAN_WEIGHT * (1 - known.failing),
        ),
    )


def avoid(table: RunnerMap, runner_id: str, until: float) -> RunnerMap:
    """Let other upstreams go first until a moment, or longer."""
    known = table.get(runner_id)
    if known is None or known.avoid_until >= until:
        return table
    return table.set(runner_id, dataclasses.replace(known, avoid_until=until))


def shun(table: RunnerMap, runner_id: str, until: float) -> RunnerMap:
    """Send nothing new to an upstream until a moment, or a new entry."""
    known = table.get(runner_id)
    if known is None or known.shunned_until >= until:
        return table
    return table.set(runner_id, dataclasses.replace(known, shunned_until=until))


def answered(
    table: RunnerMap, runner_id: str, seconds: float, sound: bool
) -> RunnerMap:
    """Take the time of a whole answer, and whether it was a success."""
    known = table.get(runner_id)
    if known is None:
        return table
    latency = seconds
    if known.latency:
        latency = known.latency + MEAN_WEIGHT * (seconds - known.latency)
    failing = known.failing + MEAN_WEIGHT * (float(not sound) - known.failing)
    return table.set(
        runner_id,
        dataclasses.replace(
            known,
            latency=latency,
            failing=failing,
            failures=0 if sound else known.failures,
        ),
    )


def paced(
    table: RunnerMap, runner_id: str, pace: float, now: float
) -> RunnerMap:
    """Take how slow a runner says that it is; 1 is its usual pace."""
    known = table.get(runner_id)
    if known is None:
        return table
    return table.set(
        runner_id,
        dataclasses.replace(known, pace=pace, paced_until=now + PACE_SECONDS),
    )


def of_service(table: RunnerMap, service: str) -> tuple[Runner, ...]:
    """Return the upstreams of a service."""
    return tuple(
        runner for runner in table.values() if runner.listed.service == service
    )


def find_address(table: RunnerMap, address: str) -> str | None:
    """Return the id of the upstream at an address."""
    for runner_id, runner in table.items():
        if runner.listed.address == address and runner.missing_since is None:
            return runner_id
    return None
