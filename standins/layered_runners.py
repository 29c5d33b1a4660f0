"""Stand in for the platform's runners: layers, chains, orders, entries.

One process plays all runners of a site, each at its own address. A chain is
checked part by part, and its events come at a fixed pace, whatever its load.
Every run is recorded with what the runner was given.
"""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from standins import (
    json_codec,
    reducers,
    reference_text,
    runner_messages,
)

HEARTBEAT_SECONDS = 0.6
STORE_SECONDS = 1.0
FIRST_EVENT_SECONDS = 0.06
EVENT_SECONDS = 0.02
PLAIN_SECONDS = 0.02
LOAD_SECONDS = 1.5
# A request that waits for a part that is gone is cut off after this time.
STALL_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class StartStream(effects.Effect):
    """Send the head of an answer that follows in parts."""

    request_id: str
    head: runner_messages.StreamHead


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRun(effects.Effect):
    """Write what a runner was given to the history.

    `what` tells whether it began a run, refused it or took over a chain.
    """

    what: str
    run: runner_messages.Run
    chain: tuple[runner_messages.ChainPart, ...]
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Hold a run and its next event; `waiting_since` is set while it stalls."""

    run: runner_messages.Run
    chain: tuple[runner_messages.ChainPart, ...]
    next_event: int
    begun: bool = False
    waiting_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue:
    """Write the entries of the runners that live."""


@dataclasses.dataclass(frozen=True, slots=True)
class StepDue:
    """Go on with a run."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOver:
    """End the loading of layers."""

    runner_id: str
    first: int
    end: int
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the runners, what they run and where the store is."""

    store_address: str
    layers: int
    runners: immutables.Map[str, runner_messages.Runner]
    running: immutables.Map[str, Running] = immutables.Map()


Transition = transitions.Transition[State]
dispatch = reducers.build()
reduce = dispatch.reduce
answer = reducers.answer


@dispatch.reduce.register(events.InstanceStarted)
def start(event: events.InstanceStarted, state: State) -> Transition:
    """Give every runner its start and write the entries."""
    born = int(event.wall_time * 1000)
    table = {
        runner_id: dataclasses.replace(runner, started_at_ms=born)
        for runner_id, runner in state.runners.items()
    }
    started = dataclasses.replace(state, runners=immutables.Map(table))
    return write_entries(started)


@dispatch.reduce.register(events.CallerLeft)
def abandon(event: events.CallerLeft, state: State) -> Transition:
    """Stop a run whose caller has left."""
    return transitions.Transition(without(event.request_id, state))


@dispatch.reduce.register(events.CallerRequested)
def receive(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request, unless its runner is down or dark."""
    wanted = event.request
    if isinstance(wanted, runner_messages.Faults):
        return set_faults(wanted, event, state)
    runner = state.runners[wanted.runner_id]
    if runner.faults.down:
        close = effects.CloseCaller(event.request_id)
        return transitions.Transition(state, (close,))
    if runner.faults.dark:
        return transitions.Transition(state)
    if wanted.expected_runner not in ('', runner.runner_id):
        attempt_id = getattr(wanted, 'attempt_id', '')
        refused = runner_messages.Refusal(421, runner.address, attempt_id)
        return answer(event.request_id, refused, state)
    return on_request(wanted, runner, event, state)


@functools.singledispatch
def on_request(
    wanted: typing.Any,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request to a runner that answers."""
    raise TypeError(type(wanted).__name__)


def without(request_id: str, state: State) -> State:
    """Forget a run."""
    if request_id not in state.running:
        return state
    return dataclasses.replace(state, running=state.running.delete(request_id))


def with_runner(runner: runner_messages.Runner, state: State) -> State:
    """Keep a changed runner."""
    table = state.runners.set(runner.runner_id, runner)
    return dataclasses.replace(state, runners=table)


@on_request.register(runner_messages.Run)
def begin(
    wanted: runner_messages.Run,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Begin a run, or refuse it unrun."""
    refused = check(wanted, runner, state)
    if refused is not None:
        return answer(event.request_id, refused, state).with_effects(
            RecordRun('refusal', wanted, wanted.chain, event.wall_time)
        )
    first = 1 if wanted.last_event is None else wanted.last_event + 1
    running = Running(wanted, wanted.chain, first)
    state = dataclasses.replace(
        state, running=state.running.set(event.request_id, running)
    )
    wait = FIRST_EVENT_SECONDS if wanted.chain else PLAIN_SECONDS
    return transitions.Transition(
        state,
        (
            RecordRun('run', wanted, wanted.chain, event.wall_time),
            effects.SetTimer(StepDue(event.request_id), wait),
        ),
    )


def check(
    wanted: runner_messages.Run, runner: runner_messages.Runner, state: State
) -> runner_messages.Refusal | None:
    """Return why a run cannot begin, if it cannot."""
    if not wanted.attempt_id:
        return runner_messages.Refusal(400)
    busy = sum(
        one.run.runner_id == runner.runner_id for one in state.running.values()
    )
    if runner.faults.full or busy >= runner.slots:
        return runner_messages.Refusal(503, runner.address, wanted.attempt_id)
    if not runner.accelerator:
        return None
    chain = wanted.chain
    if not chain or chain[0].address != runner.address:
        return runner_messages.Refusal(400, runner.address, wanted.attempt_id)
    for part in chain:
        status = check_part(part, state)
        if status:
            return runner_messages.Refusal(
                status, part.address, wanted.attempt_id
            )
    return None


def check_part(part: runner_messages.ChainPart, state: State) -> int:
    """Return the status with which a part is refused, or zero."""
    runner = find(part.address, state)
    if runner is None or not runner.answers or runner.loading:
        return 503
    if runner.faults.draining:
        return 503
    held = runner.layers
    if held is None or not covers(held, part):
        return 421
    return 0


def covers(held: tuple[int, int], part: runner_messages.ChainPart) -> bool:
    """Return whether held layers cover a part that is not empty."""
    return held[0] <= part.first < part.end and part.end <= held[1]


def find(address: str, state: State) -> runner_messages.Runner | None:
    """Return the runner at an address."""
    for runner in state.runners.values():
        if runner.address == address:
            return runner
    return None


@dispatch.on_timer.register(HeartbeatDue)
def heartbeat(
    timer: HeartbeatDue, event: events.TimerFired, state: State
) -> Transition:
    """Write the entries again."""
    return write_entries(state)


def write_entries(state: State) -> Transition:
    """Write the entries of the runners that live."""
    alive = tuple(runner for runner in state.runners.values() if runner.answers)
    return transitions.Transition(
        state,
        (
            effects.Call(
                runner_messages.WriteEntries(alive),
                state.store_address,
                STORE_SECONDS,
            ),
            effects.SetTimer(HeartbeatDue(), HEARTBEAT_SECONDS),
        ),
    )


@dispatch.on_timer.register(StepDue)
def step(timer: StepDue, event: events.TimerFired, state: State) -> Transition:
    """Send the next event of a run, or its whole answer."""
    running = state.running.get(timer.request_id)
    if running is None:
        return transitions.Transition(state)
    runner = state.runners[running.run.runner_id]
    if not running.chain:
        return end_plain(timer.request_id, running, runner, state)
    if is_waiting(running, state):
        return wait(timer.request_id, running, event.at, state)
    return send_event(timer.request_id, running, runner, state)


def is_waiting(running: Running, state: State) -> bool:
    """Return whether a part of a chain does not answer."""
    return any(is_gone(part, state) for part in running.chain)


def is_gone(part: runner_messages.ChainPart, state: State) -> bool:
    """Return whether the runner of a part does not answer."""
    runner = find(part.address, state)
    return runner is None or not runner.answers


def wait(
    request_id: str, running: Running, now: float, state: State
) -> Transition:
    """Let a run wait, and cut it off in the end."""
    since = now if running.waiting_since is None else running.waiting_since
    if now - since >= STALL_SECONDS:
        close = effects.CloseCaller(request_id)
        return transitions.Transition(without(request_id, state), (close,))
    waiting = dataclasses.replace(running, waiting_since=since)
    state = dataclasses.replace(
        state, running=state.running.set(request_id, waiting)
    )
    again = effects.SetTimer(StepDue(request_id), EVENT_SECONDS)
    return transitions.Transition(state, (again,))


def end_plain(
    request_id: str,
    running: Running,
    runner: runner_messages.Runner,
    state: State,
) -> Transition:
    """Answer a run of a plain service, unless the answer is lost."""
    run = running.run
    state = without(request_id, state)
    left = runner.faults.lose_answers
    if left:
        faults = dataclasses.replace(runner.faults, lose_answers=left - 1)
        state = with_runner(dataclasses.replace(runner, faults=faults), state)
        close = effects.CloseCaller(request_id)
        return transitions.Transition(state, (close,))
    whole = runner_messages.WholeAnswer(
        run.attempt_id,
        stamp(run),
        reference_text.whole_body(run.digest),
    )
    return answer(request_id, whole, state)


def stamp(run: runner_messages.Run) -> str:
    """Return the proof that a runner made an answer."""
    return f'{run.runner_id}.{run.attempt_id}.{run.digest}'


def send_event(
    request_id: str,
    running: Running,
    runner: runner_messages.Runner,
    state: State,
) -> Transition:
    """Send the next event, and the end after the last one."""
    run = running.run
    asked: tuple[effects.Effect, ...] = ()
    if not running.begun:
        head = runner_messages.StreamHead(run.attempt_id, stamp(run))
        asked = (StartStream(request_id, head),)
    number = running.next_event
    last = reference_text.count_events(run.digest)
    if number > last:
        end = effects.StreamEnd(request_id, None)
        return transitions.Transition(without(request_id, state), (*asked, end))
    encoded = reference_text.encode_event(run.digest, number)
    if runner.faults.cut:
        return cut(request_id, runner, encoded, asked, state)
    following = dataclasses.replace(
        running, next_event=number + 1, begun=True, waiting_since=None
    )
    state = dataclasses.replace(
        state, running=state.running.set(request_id, following)
    )
    return transitions.Transition(
        state,
        (
            *asked,
            effects.StreamPart(request_id, encoded),
            effects.SetTimer(StepDue(request_id), EVENT_SECONDS),
        ),
    )


def cut(
    request_id: str,
    runner: runner_messages.Runner,
    encoded: bytes,
    asked: tuple[effects.Effect, ...],
    state: State,
) -> Transition:
    """Break a stream off within an event."""
    faults = dataclasses.replace(runner.faults, cut=runner.faults.cut - 1)
    state = with_runner(dataclasses.replace(runner, faults=faults), state)
    return transitions.Transition(
        without(request_id, state),
        (
            *asked,
            effects.StreamPart(request_id, encoded[: len(encoded) // 2]),
            effects.CloseCaller(request_id),
        ),
    )


@on_request.register(runner_messages.ReadReport)
def report(
    wanted: runner_messages.ReadReport,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Tell the state of a runner and what its requests wait for."""
    stalled = tuple(
        (running.run.attempt_id, part.address)
        for running in state.running.values()
        if running.run.runner_id == runner.runner_id
        for part in running.chain
        if is_gone(part, state)
    )
    return answer(
        event.request_id, runner_messages.Report(runner, stalled), state
    )


@on_request.register(runner_messages.Place)
def place(
    wanted: runner_messages.Place,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Begin to load layers; what the runner held takes nothing new."""
    if wanted.expected_count not in (None, runner.order_count):
        return answer(event.request_id, runner_messages.OrderReply(409), state)
    if runner.layers == (wanted.first, wanted.end):
        return answer(event.request_id, runner_messages.OrderReply(200), state)
    count = runner.order_count + 1
    loading = dataclasses.replace(
        runner, layers=None, loading=True, order_count=count
    )
    share = (wanted.end - wanted.first) / state.layers
    over = LoadOver(runner.runner_id, wanted.first, wanted.end, count)
    return transitions.Transition(
        with_runner(loading, state),
        (
            effects.Reply(event.request_id, runner_messages.OrderReply(202)),
            effects.SetTimer(over, LOAD_SECONDS * share),
        ),
    )


@dispatch.on_timer.register(LoadOver)
def end_load(
    timer: LoadOver, event: events.TimerFired, state: State
) -> Transition:
    """Hold the layers that were loaded, unless the runner started again."""
    runner = state.runners[timer.runner_id]
    if not runner.loading or runner.order_count != timer.order_count:
        return transitions.Transition(state)
    loaded = dataclasses.replace(
        runner, layers=(timer.first, timer.end), loading=False
    )
    return write_entries(with_runner(loaded, state))


@on_request.register(runner_messages.Repath)
def repath(
    wanted: runner_messages.Repath,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Go on with a request over another chain."""
    for part in wanted.chain:
        if check_part(part, state):
            refused = runner_messages.OrderReply(409, part.address)
            return answer(event.request_id, refused, state)
    for request_id, running in state.running.items():
        if (running.run.runner_id, running.run.attempt_id) == (
            runner.runner_id,
            wanted.attempt_id,
        ):
            moved = dataclasses.replace(
                running, chain=wanted.chain, waiting_since=None
            )
            state = dataclasses.replace(
                state, running=state.running.set(request_id, moved)
            )
            return answer(
                event.request_id, runner_messages.OrderReply(202), state
            ).with_effects(
                RecordRun('move', running.run, wanted.chain, event.wall_time)
            )
    return answer(event.request_id, runner_messages.OrderReply(404), state)


def set_faults(
    wanted: runner_messages.Faults, event: events.CallerRequested, state: State
) -> Transition:
    """Switch the faults of a runner; one that crashes loses what it has."""
    runner = state.runners[wanted.runner_id]
    changed = dataclasses.replace(runner, faults=wanted)
    if wanted.born or wanted.down:
        changed = dataclasses.replace(
            changed,
            layers=None,
            loading=False,
            order_count=0,
            started_at_ms=int(event.wall_time * 1000),
        )
    state = with_runner(changed, state)
    closed: list[effects.Effect] = []
    if wanted.down:
        for request_id, running in state.running.items():
            if running.run.runner_id == runner.runner_id:
                state = without(request_id, state)
                closed.append(effects.CloseCaller(request_id))
    done = effects.Reply(event.request_id, json_codec.Done())
    return write_entries(state).with_effects(*closed, done)


@dispatch.reduce.register(events.CallAnswered)
@dispatch.reduce.register(events.CallFailed)
def ignore_store(event: events.Event, state: State) -> Transition:
    """Ignore the store's answers: entries are written again soon."""
    return transitions.Transition(state)
