"""Define the records of upstreams and how observations change them."""

import dataclasses
import enum
import typing

import immutables


class ListedState(enum.Enum):
    """Name the state that an upstream reports in its entry."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class LayerRange:
    """Hold a range of layers; `end` is exclusive."""

    first: int
    end: int

    @property
    def count(self) -> int:
        """Return the number of layers."""
        return self.end - self.first


@dataclasses.dataclass(frozen=True, slots=True)
class ListedRunner:
    """Hold an entry of the platform's list of upstreams.

    `started_at_ms` distinguishes processes that were started under one id, and
    `sequence` rises with each heartbeat of a process, 0 if it is unknown. The
    runner of a plain service has neither an accelerator nor layers.
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
    sequence: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Identify one heartbeat of one process."""

    started_at_ms: int
    sequence: int


class ObstacleKind(enum.Enum):
    """Name why an upstream may get no request, as log lines show it."""

    DELISTED = 'not listed'
    DRAINING = 'listed as draining'
    LEAVING = 'leaving by its own word'
    ASKED_TO_WAIT = 'asking to wait'
    EXCLUDED = 'excluded after a failure'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """Hold why an upstream may get no request, and until when if it ends."""

    kind: ObstacleKind
    until: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """Hold an entry and what this instance has observed of the upstream.

    `changed_position` is the position of the list at which the entry last
    changed or was dropped, and `delisted_at` the time at which it was dropped.
    `doubtful` is a heartbeat that may be that of a process that has left.
    `is_leaving` is true once the process has said in an answer that it leaves,
    and until `waits_until` it has asked to get no requests. Callers that are
    refused meanwhile return within `return_spread_seconds` after that.
    Until `deprioritized_until` other upstreams are preferred, and until
    `excluded_until` the upstream is left out of new chains. `unreachable_until`
    is how long it is avoided because a probe was not answered, and 0 after an
    answer. Until `unconnected_until` its process is assumed to have ended.
    `silent_since` is when it was excluded for its silence alone, which does not
    show that it is gone, and 0 if something else is known of it.

    `mean_latency_seconds` and `failure_rate` are exponential moving averages.
    `slowdown` is the factor by which the runner reports to be slower than
    usual, valid until `slowdown_until`. `has_served` is true once a request of
    this instance has got its first event or its answer.
    """

    listed: ListedRunner
    changed_position: int = 0
    delisted_at: float | None = None
    doubtful: Heartbeat | None = None
    is_leaving: bool = False
    waits_until: float = 0.0
    return_spread_seconds: float = 0.0
    deprioritized_until: float = 0.0
    excluded_until: float = 0.0
    unreachable_until: float = 0.0
    unconnected_until: float = 0.0
    silent_since: float = 0.0
    consecutive_failures: int = 0
    mean_latency_seconds: float = 0.0
    failure_rate: float = 0.0
    slowdown: float = 1.0
    slowdown_until: float = 0.0
    has_served: bool = False

    @property
    def is_usable(self) -> bool:
        """Return whether the process stays, by its entry and by its answers."""
        is_ready = self.listed.state is ListedState.READY
        return self.delisted_at is None and is_ready and not self.is_leaving

    @property
    def is_exiting(self) -> bool:
        """Return whether the process is about to exit as planned."""
        return self.is_leaving or self.listed.state is ListedState.DRAINING

    def wants_no_requests(self, now: float) -> bool:
        """Return whether the process has asked for none in its answers."""
        return self.is_leaving or self.waits_until > now

    def may_get_requests(self, now: float) -> bool:
        """Return whether there is no obstacle, without naming one."""
        if self.waits_until > now or self.excluded_until > now:
            return False
        return (
            self.delisted_at is None
            and not self.is_leaving
            and self.listed.state is ListedState.READY
        )

    def find_obstacle(self, now: float) -> 'Obstacle | None':
        """Return why the upstream may get no request now, if it may not."""
        if self.is_usable:
            if self.waits_until > now:
                return Obstacle(ObstacleKind.ASKED_TO_WAIT, self.waits_until)
            if self.excluded_until > now:
                kind = (
                    ObstacleKind.SILENT
                    if self.silent_since
                    else ObstacleKind.EXCLUDED
                )
                return Obstacle(kind, self.excluded_until)
            return None
        if self.delisted_at is not None:
            return Obstacle(ObstacleKind.DELISTED)
        if self.is_leaving:
            return Obstacle(ObstacleKind.LEAVING)
        return Obstacle(ObstacleKind.DRAINING)

    @property
    def needs_layers(self) -> bool:
        """Return whether the runner could hold layers and has none."""
        if not self.is_usable or not self.listed.accelerator:
            return False
        return self.listed.layers is None or not self.listed.layers.count


RunnerMap: typing.TypeAlias = 'immutables.Map[str, Runner]'

INITIAL_BACKOFF_SECONDS = 0.5
MAXIMUM_BACKOFF_SECONDS = 8.0
# A full upstream soon has capacity again.
INITIAL_REFUSAL_BACKOFF_SECONDS = 0.3
MAXIMUM_REFUSAL_BACKOFF_SECONDS = 2.0
# Weight of a new observation in the moving averages.
SMOOTHING_WEIGHT = 0.2
# A reported slowdown has to expire by itself: only silent runners are asked for
# a report, so that a runner that has recovered is not asked again.
SLOWDOWN_VALID_SECONDS = 5.0


def record_heartbeat(
    runner_map: RunnerMap, entry: ListedRunner, position: int
) -> RunnerMap:
    """Store an entry, unless it may be older than what is known.

    The store may execute a heartbeat late, after a newer one or after the entry
    was dropped. A process that still runs shows this with its next heartbeat.
    """
    known = runner_map.get(entry.runner_id)
    if known is None or not entry.sequence:
        return record_listing(runner_map, entry, position)
    if is_superseded(known.listed, entry):
        return runner_map
    if not is_doubtful(known, entry):
        return record_listing(runner_map, entry, position)
    seen = known.doubtful
    if seen is None or seen.started_at_ms != entry.started_at_ms:
        doubted = Heartbeat(entry.started_at_ms, entry.sequence)
        return runner_map.set(
            entry.runner_id, dataclasses.replace(known, doubtful=doubted)
        )
    if entry.sequence <= seen.sequence:
        return runner_map
    return record_listing(runner_map, entry, position)


def is_superseded(listed: ListedRunner, entry: ListedRunner) -> bool:
    """Return whether the same process has sent a later heartbeat."""
    is_same = not is_different_process(listed, entry)
    return is_same and entry.sequence < listed.sequence


def is_doubtful(known: Runner, entry: ListedRunner) -> bool:
    """Return whether an entry may be that of a process that has left."""
    started_at_ms = known.listed.started_at_ms
    if entry.started_at_ms != started_at_ms:
        return entry.started_at_ms < started_at_ms
    is_same = not is_different_process(known.listed, entry)
    return is_same and known.delisted_at is not None


def record_listing(
    runner_map: RunnerMap, entry: ListedRunner, position: int
) -> RunnerMap:
    """Store an entry; one of a new process discards the old observations."""
    known = runner_map.get(entry.runner_id)
    if known is None or is_different_process(known.listed, entry):
        return runner_map.set(entry.runner_id, Runner(entry, position))
    if known.listed == entry and known.delisted_at is None:
        return runner_map
    return runner_map.set(
        entry.runner_id,
        dataclasses.replace(
            known,
            listed=entry,
            changed_position=position,
            delisted_at=None,
            doubtful=None,
            excluded_until=0.0,
            unconnected_until=0.0,
            silent_since=0.0,
        ),
    )


def is_different_process(known: ListedRunner, entry: ListedRunner) -> bool:
    """Return whether two entries under one id are of different processes."""
    return (
        known.started_at_ms != entry.started_at_ms
        or known.address != entry.address
        or known.service != entry.service
    )


def record_delisting(
    runner_map: RunnerMap, runner_id: str, position: int, now: float
) -> RunnerMap:
    """Record that the entry of an upstream was dropped."""
    known = runner_map.get(runner_id)
    if known is None or known.delisted_at is not None:
        return runner_map
    return runner_map.set(
        runner_id,
        dataclasses.replace(known, changed_position=position, delisted_at=now),
    )


def record_leaving(runner_map: RunnerMap, runner_id: str) -> RunnerMap:
    """Record that the process of an upstream has said that it leaves."""
    known = runner_map[runner_id]
    return runner_map.set(
        runner_id, dataclasses.replace(known, is_leaving=True)
    )


def record_wait(
    runner_map: RunnerMap,
    runner_id: str,
    until: float,
    return_spread_seconds: float,
) -> RunnerMap:
    """Record until when an upstream has asked to get no requests."""
    known = runner_map[runner_id]
    if known.waits_until >= until:
        return runner_map
    return runner_map.set(
        runner_id,
        dataclasses.replace(
            known,
            waits_until=until,
            return_spread_seconds=return_spread_seconds,
        ),
    )


def record_failure(
    runner_map: RunnerMap, runner_id: str, now: float
) -> RunnerMap:
    """Record a failure and prefer other upstreams, with growing backoff."""
    known = runner_map.get(runner_id)
    if known is None:
        return runner_map
    seconds = min(
        INITIAL_BACKOFF_SECONDS * 2**known.consecutive_failures,
        MAXIMUM_BACKOFF_SECONDS,
    )
    if known.deprioritized_until > now:
        # Concurrent requests fail together and count as one failure.
        return runner_map
    return runner_map.set(
        runner_id,
        dataclasses.replace(
            known,
            consecutive_failures=known.consecutive_failures + 1,
            deprioritized_until=now + seconds,
            failure_rate=known.failure_rate
            + SMOOTHING_WEIGHT * (1 - known.failure_rate),
        ),
    )


def record_refusal(
    runner_map: RunnerMap, runner_id: str, now: float
) -> RunnerMap:
    """Record a refusal and prefer other upstreams, with growing backoff.

    An upstream that refuses at once has few open requests, and would look like
    the least loaded one. That it is full is no failure.
    """
    known = runner_map.get(runner_id)
    if known is None or known.deprioritized_until > now:
        return runner_map
    seconds = min(
        INITIAL_REFUSAL_BACKOFF_SECONDS * 2**known.consecutive_failures,
        MAXIMUM_REFUSAL_BACKOFF_SECONDS,
    )
    return runner_map.set(
        runner_id,
        dataclasses.replace(
            known,
            consecutive_failures=known.consecutive_failures + 1,
            deprioritized_until=now + seconds,
        ),
    )


def deprioritize(
    runner_map: RunnerMap, runner_id: str, until: float
) -> RunnerMap:
    """Prefer other upstreams at least until a time."""
    known = runner_map.get(runner_id)
    if known is None or known.deprioritized_until >= until:
        return runner_map
    return runner_map.set(
        runner_id, dataclasses.replace(known, deprioritized_until=until)
    )


def exclude(runner_map: RunnerMap, runner_id: str, until: float) -> RunnerMap:
    """Leave an upstream out of new chains until a time or a changed entry."""
    known = runner_map.get(runner_id)
    if known is None:
        return runner_map
    if known.excluded_until >= until and not known.silent_since:
        return runner_map
    return runner_map.set(
        runner_id,
        dataclasses.replace(
            known,
            excluded_until=max(until, known.excluded_until),
            silent_since=0.0,
        ),
    )


def exclude_silent(
    runner_map: RunnerMap, runner_id: str, now: float, until: float
) -> RunnerMap:
    """Leave out a silent upstream, unless more than silence excludes it."""
    known = runner_map.get(runner_id)
    if known is None or known.excluded_until >= until:
        return runner_map
    is_known_gone = known.excluded_until > now and not known.silent_since
    if is_known_gone:
        return exclude(runner_map, runner_id, until)
    return runner_map.set(
        runner_id,
        dataclasses.replace(
            known,
            excluded_until=until,
            silent_since=known.silent_since
            if known.excluded_until > now
            else now,
        ),
    )


def record_unreachable(
    runner_map: RunnerMap, runner_id: str, until: float
) -> RunnerMap:
    """Record until when an upstream is avoided that did not answer.

    A further probe without an answer does not extend that time.
    """
    known = runner_map.get(runner_id)
    if known is None:
        return runner_map
    avoided_until = min(until, known.deprioritized_until)
    return runner_map.set(
        runner_id, dataclasses.replace(known, unreachable_until=avoided_until)
    )


def record_reachable(runner_map: RunnerMap, runner_id: str) -> RunnerMap:
    """Use an upstream again that answers, unless avoided for longer."""
    known = runner_map.get(runner_id)
    if known is None or not known.unreachable_until:
        return runner_map
    until = known.unreachable_until
    return runner_map.set(
        runner_id,
        dataclasses.replace(
            known,
            unreachable_until=0.0,
            silent_since=0.0,
            deprioritized_until=0.0
            if known.deprioritized_until <= until
            else known.deprioritized_until,
            excluded_until=0.0
            if known.excluded_until <= until
            else known.excluded_until,
        ),
    )


def record_activity(runner_map: RunnerMap, runner_id: str) -> RunnerMap:
    """Use an upstream again through which a silent stream has continued."""
    known = runner_map.get(runner_id)
    if known is None or not known.silent_since:
        return runner_map
    active = dataclasses.replace(known, silent_since=0.0, excluded_until=0.0)
    return record_reachable(runner_map.set(runner_id, active), runner_id)


def record_unconnected(
    runner_map: RunnerMap, runner_id: str, until: float
) -> RunnerMap:
    """Assume until a time or a changed entry that a process has ended."""
    known = runner_map.get(runner_id)
    if known is None:
        return runner_map
    return runner_map.set(
        runner_id, dataclasses.replace(known, unconnected_until=until)
    )


def record_answer(
    runner_map: RunnerMap, runner_id: str, seconds: float, is_success: bool
) -> RunnerMap:
    """Record the duration and the success of a complete answer."""
    known = runner_map.get(runner_id)
    if known is None:
        return runner_map
    latency = seconds
    if known.mean_latency_seconds:
        latency = known.mean_latency_seconds + SMOOTHING_WEIGHT * (
            seconds - known.mean_latency_seconds
        )
    failure_rate = known.failure_rate + SMOOTHING_WEIGHT * (
        float(not is_success) - known.failure_rate
    )
    return runner_map.set(
        runner_id,
        dataclasses.replace(
            known,
            mean_latency_seconds=latency,
            failure_rate=failure_rate,
            consecutive_failures=0
            if is_success
            else known.consecutive_failures,
        ),
    )


def record_served(runner_map: RunnerMap, runner_id: str) -> RunnerMap:
    """Record that an upstream has served a request."""
    known = runner_map.get(runner_id)
    if known is None or known.has_served:
        return runner_map
    return runner_map.set(
        runner_id, dataclasses.replace(known, has_served=True)
    )


def record_slowdown(
    runner_map: RunnerMap, runner_id: str, slowdown: float, now: float
) -> RunnerMap:
    """Record the slowdown factor that a runner reports; 1 is none."""
    known = runner_map.get(runner_id)
    if known is None:
        return runner_map
    return runner_map.set(
        runner_id,
        dataclasses.replace(
            known,
            slowdown=slowdown,
            slowdown_until=now + SLOWDOWN_VALID_SECONDS,
        ),
    )


# The ids of the runners of each service, by zone.
RunnerIndex: typing.TypeAlias = (
    'immutables.Map[str, immutables.Map[str, tuple[str, ...]]]'
)


def build_index(runner_map: RunnerMap) -> RunnerIndex:
    """Return the index of the runners by service and zone."""
    ids: dict[str, dict[str, list[str]]] = {}
    for runner_id, runner in runner_map.items():
        zones = ids.setdefault(runner.listed.service, {})
        zones.setdefault(runner.listed.availability_zone, []).append(runner_id)
    return immutables.Map(
        {
            service: immutables.Map(
                {zone: tuple(sorted(names)) for zone, names in zones.items()}
            )
            for service, zones in ids.items()
        }
    )


def list_service_runners(
    runner_map: RunnerMap, index: RunnerIndex, service: str
) -> tuple[Runner, ...]:
    """Return the runners of a service, ordered by zone and id."""
    zones = index.get(service, immutables.Map())
    return tuple(
        runner
        for zone in sorted(zones)
        for runner in list_zone_runners(runner_map, index, service, zone)
    )


def list_zone_runners(
    runner_map: RunnerMap, index: RunnerIndex, service: str, zone: str
) -> tuple[Runner, ...]:
    """Return the runners of a service in one zone."""
    names = index.get(service, immutables.Map()).get(zone, ())
    return tuple(runner_map[name] for name in names)


def find_id_by_address(runner_map: RunnerMap, address: str) -> str | None:
    """Return the id of the listed upstream at an address, if there is one."""
    for runner_id, runner in runner_map.items():
        if runner.listed.address == address and runner.delisted_at is None:
            return runner_id
    return None
