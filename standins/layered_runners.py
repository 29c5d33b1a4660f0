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

HEARTBEAT_INTERVAL_SECONDS = 0.6
STORE_TIMEOUT_SECONDS = 1.0
FIRST_EVENT_DELAY_SECONDS = 0.06
EVENT_INTERVAL_SECONDS = 0.02
PLAIN_ANSWER_SECONDS = 0.02
FULL_LOAD_SECONDS = 1.5
# A request that waits for a part that is gone is cut off after this time.
STALL_TIMEOUT_SECONDS = 2.5


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
    run: runner_messages.RunRequest
    chain: tuple[runner_messages.ChainPart, ...]
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveRun:
    """Hold a run and its next event; `waiting_since` is set while it stalls."""

    run: runner_messages.RunRequest
    chain: tuple[runner_messages.ChainPart, ...]
    next_event: int
    begun: bool = False
    waiting_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue:
    """Write the entries of the runners that live."""


@dataclasses.dataclass(frozen=True, slots=True)
class EventDue:
    """Go on with a run."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDone:
    """End the loading of layers."""

    runner_id: str
    first: int
    end: int
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the runners, what they run and where the store is."""

    store_address: str
    layer_count: int
    runners: immutables.Map[str, runner_messages.Runner]
    active_runs: immutables.Map[str, ActiveRun] = immutables.Map()


Transition = transitions.Transition[State]
dispatch = reducers.build_dispatch()
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
def stop_run(event: events.CallerLeft, state: State) -> Transition:
    """Stop a run whose caller has left."""
    return transitions.Transition(remove_run(event.request_id, state))


@dispatch.reduce.register(events.CallerRequested)
def reduce_request(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request, unless its runner is down or dark."""
    request = event.request
    if isinstance(request, runner_messages.Faults):
        return set_faults(request, event, state)
    runner = state.runners[request.runner_id]
    if runner.faults.down:
        close = effects.CloseCaller(event.request_id)
        return transitions.Transition(state, (close,))
    if runner.faults.dark:
        return transitions.Transition(state)
    if request.expected_runner not in ('', runner.runner_id):
        attempt_id = getattr(request, 'attempt_id', '')
        refused = runner_messages.Refusal(421, runner.address, attempt_id)
        return answer(event.request_id, refused, state)
    return on_request(request, runner, event, state)


@functools.singledispatch
def on_request(
    request: typing.Any,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request to a runner that answers."""
    raise TypeError(type(request).__name__)


def remove_run(request_id: str, state: State) -> State:
    """Forget a run."""
    if request_id not in state.active_runs:
        return state
    return dataclasses.replace(
        state, active_runs=state.active_runs.delete(request_id)
    )


def put_runner(runner: runner_messages.Runner, state: State) -> State:
    """Keep a changed runner."""
    table = state.runners.set(runner.runner_id, runner)
    return dataclasses.replace(state, runners=table)


@on_request.register(runner_messages.RunRequest)
def begin_run(
    request: runner_messages.RunRequest,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Begin a run, or refuse it unrun."""
    refused = find_refusal(request, runner, state)
    if refused is not None:
        return answer(event.request_id, refused, state).with_effects(
            RecordRun('refusal', request, request.chain, event.wall_time)
        )
    first = 1 if request.last_event is None else request.last_event + 1
    running = ActiveRun(request, request.chain, first)
    state = dataclasses.replace(
        state, active_runs=state.active_runs.set(event.request_id, running)
    )
    wait = FIRST_EVENT_DELAY_SECONDS if request.chain else PLAIN_ANSWER_SECONDS
    return transitions.Transition(
        state,
        (
            RecordRun('run', request, request.chain, event.wall_time),
            effects.SetTimer(EventDue(event.request_id), wait),
        ),
    )


def find_refusal(
    request: runner_messages.RunRequest,
    runner: runner_messages.Runner,
    state: State,
) -> runner_messages.Refusal | None:
    """Return why a run cannot begin, if it cannot."""
    if not request.attempt_id:
        return runner_messages.Refusal(400)
    busy = sum(
        one.run.runner_id == runner.runner_id
        for one in state.active_runs.values()
    )
    if runner.faults.full or busy >= runner.slots:
        return runner_messages.Refusal(503, runner.address, request.attempt_id)
    if not runner.accelerator:
        return None
    chain = request.chain
    if not chain or chain[0].address != runner.address:
        return runner_messages.Refusal(400, runner.address, request.attempt_id)
    for part in chain:
        status = find_part_refusal(part, state)
        if status:
            return runner_messages.Refusal(
                status, part.address, request.attempt_id
            )
    return None


def find_part_refusal(part: runner_messages.ChainPart, state: State) -> int:
    """Return the status with which a part is refused, or zero."""
    runner = find_runner(part.address, state)
    if runner is None or not runner.is_responsive or runner.loading:
        return 503
    if runner.faults.draining:
        return 503
    layers = runner.layers
    if layers is None or not is_part_held(layers, part):
        return 421
    return 0


def is_part_held(
    layers: tuple[int, int], part: runner_messages.ChainPart
) -> bool:
    """Return whether held layers cover a part that is not empty."""
    return layers[0] <= part.first < part.end and part.end <= layers[1]


def find_runner(address: str, state: State) -> runner_messages.Runner | None:
    """Return the runner at an address."""
    for runner in state.runners.values():
        if runner.address == address:
            return runner
    return None


@dispatch.on_timer.register(HeartbeatDue)
def write_heartbeat(
    timer: HeartbeatDue, event: events.TimerFired, state: State
) -> Transition:
    """Write the entries again."""
    return write_entries(state)


def write_entries(state: State) -> Transition:
    """Write the entries of the runners that live."""
    alive = tuple(
        runner for runner in state.runners.values() if runner.is_responsive
    )
    return transitions.Transition(
        state,
        (
            effects.Call(
                runner_messages.WriteEntries(alive),
                state.store_address,
                STORE_TIMEOUT_SECONDS,
            ),
            effects.SetTimer(HeartbeatDue(), HEARTBEAT_INTERVAL_SECONDS),
        ),
    )


@dispatch.on_timer.register(EventDue)
def advance_run(
    timer: EventDue, event: events.TimerFired, state: State
) -> Transition:
    """Send the next event of a run, or its whole answer."""
    running = state.active_runs.get(timer.request_id)
    if running is None:
        return transitions.Transition(state)
    runner = state.runners[running.run.runner_id]
    if not running.chain:
        return finish_plain_run(timer.request_id, running, runner, state)
    if is_stalled(running, state):
        return stall_run(timer.request_id, running, event.at, state)
    return send_event(timer.request_id, running, runner, state)


def is_stalled(running: ActiveRun, state: State) -> bool:
    """Return whether a part of a chain does not answer."""
    return any(is_unresponsive(part, state) for part in running.chain)


def is_unresponsive(part: runner_messages.ChainPart, state: State) -> bool:
    """Return whether the runner of a part does not answer."""
    runner = find_runner(part.address, state)
    return runner is None or not runner.is_responsive


def stall_run(
    request_id: str, running: ActiveRun, now: float, state: State
) -> Transition:
    """Let a run wait, and cut it off in the end."""
    since = now if running.waiting_since is None else running.waiting_since
    if now - since >= STALL_TIMEOUT_SECONDS:
        close = effects.CloseCaller(request_id)
        return transitions.Transition(remove_run(request_id, state), (close,))
    waiting = dataclasses.replace(running, waiting_since=since)
    state = dataclasses.replace(
        state, active_runs=state.active_runs.set(request_id, waiting)
    )
    again = effects.SetTimer(EventDue(request_id), EVENT_INTERVAL_SECONDS)
    return transitions.Transition(state, (again,))


def finish_plain_run(
    request_id: str,
    running: ActiveRun,
    runner: runner_messages.Runner,
    state: State,
) -> Transition:
    """Answer a run of a plain service, unless the answer is lost."""
    run = running.run
    state = remove_run(request_id, state)
    left = runner.faults.lose_answers
    if left:
        faults = dataclasses.replace(runner.faults, lose_answers=left - 1)
        state = put_runner(dataclasses.replace(runner, faults=faults), state)
        close = effects.CloseCaller(request_id)
        return transitions.Transition(state, (close,))
    whole = runner_messages.WholeAnswer(
        run.attempt_id,
        build_stamp(run),
        reference_text.build_whole_body(run.digest),
    )
    return answer(request_id, whole, state)


def build_stamp(run: runner_messages.RunRequest) -> str:
    """Return the proof that a runner made an answer."""
    return f'{run.runner_id}.{run.attempt_id}.{run.digest}'


def send_event(
    request_id: str,
    running: ActiveRun,
    runner: runner_messages.Runner,
    state: State,
) -> Transition:
    """Send the next event, and the end after the last one."""
    run = running.run
    asked: tuple[effects.Effect, ...] = ()
    if not running.begun:
        head = runner_messages.StreamHead(run.attempt_id, build_stamp(run))
        asked = (StartStream(request_id, head),)
    number = running.next_event
    last = reference_text.count_events(run.digest)
    if number > last:
        end = effects.StreamEnd(request_id, None)
        return transitions.Transition(
            remove_run(request_id, state), (*asked, end)
        )
    encoded = reference_text.encode_event(run.digest, number)
    if runner.faults.cut:
        return cut_stream(request_id, runner, encoded, asked, state)
    following = dataclasses.replace(
        running, next_event=number + 1, begun=True, waiting_since=None
    )
    state = dataclasses.replace(
        state, active_runs=state.active_runs.set(request_id, following)
    )
    return transitions.Transition(
        state,
        (
            *asked,
            effects.StreamPart(request_id, encoded),
            effects.SetTimer(EventDue(request_id), EVENT_INTERVAL_SECONDS),
        ),
    )


def cut_stream(
    request_id: str,
    runner: runner_messages.Runner,
    encoded: bytes,
    asked: tuple[effects.Effect, ...],
    state: State,
) -> Transition:
    """Break a stream off within an event."""
    faults = dataclasses.replace(runner.faults, cut=runner.faults.cut - 1)
    state = put_runner(dataclasses.replace(runner, faults=faults), state)
    return transitions.Transition(
        remove_run(request_id, state),
        (
            *asked,
            effects.StreamPart(request_id, encoded[: len(encoded) // 2]),
            effects.CloseCaller(request_id),
        ),
    )


@on_request.register(runner_messages.ReadReport)
def report_state(
    request: runner_messages.ReadReport,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Tell the state of a runner and what its requests wait for."""
    stalled = tuple(
        (running.run.attempt_id, part.address)
        for running in state.active_runs.values()
        if running.run.runner_id == runner.runner_id
        for part in running.chain
        if is_unresponsive(part, state)
    )
    return answer(
        event.request_id, runner_messages.Report(runner, stalled), state
    )


@on_request.register(runner_messages.PlaceLayers)
def place_layers(
    request: runner_messages.PlaceLayers,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Begin to load layers; what the runner held takes nothing new."""
    if request.expected_count not in (None, runner.order_count):
        return answer(event.request_id, runner_messages.OrderReply(409), state)
    if runner.layers == (request.first, request.end):
        return answer(event.request_id, runner_messages.OrderReply(200), state)
    count = runner.order_count + 1
    loading = dataclasses.replace(
        runner, layers=None, loading=True, order_count=count
    )
    share = (request.end - request.first) / state.layer_count
    over = LoadDone(runner.runner_id, request.first, request.end, count)
    return transitions.Transition(
        put_runner(loading, state),
        (
            effects.Reply(event.request_id, runner_messages.OrderReply(202)),
            effects.SetTimer(over, FULL_LOAD_SECONDS * share),
        ),
    )


@dispatch.on_timer.register(LoadDone)
def end_load(
    timer: LoadDone, event: events.TimerFired, state: State
) -> Transition:
    """Hold the layers that were loaded, unless the runner started again."""
    runner = state.runners[timer.runner_id]
    if not runner.loading or runner.order_count != timer.order_count:
        return transitions.Transition(state)
    loaded = dataclasses.replace(
        runner, layers=(timer.first, timer.end), loading=False
    )
    return write_entries(put_runner(loaded, state))


@on_request.register(runner_messages.MoveRequest)
def move_request(
    request: runner_messages.MoveRequest,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Go on with a request over another chain."""
    for part in request.chain:
        if find_part_refusal(part, state):
            refused = runner_messages.OrderReply(409, part.address)
            return answer(event.request_id, refused, state)
    for request_id, running in state.active_runs.items():
        if (running.run.runner_id, running.run.attempt_id) == (
            runner.runner_id,
            request.attempt_id,
        ):
            moved = dataclasses.replace(
                running, chain=request.chain, waiting_since=None
            )
            state = dataclasses.replace(
                state, active_runs=state.active_runs.set(request_id, moved)
            )
            return answer(
                event.request_id, runner_messages.OrderReply(202), state
            ).with_effects(
                RecordRun('move', running.run, request.chain, event.wall_time)
            )
    return answer(event.request_id, runner_messages.OrderReply(404), state)


def set_faults(
    request: runner_messages.Faults, event: events.CallerRequested, state: State
) -> Transition:
    """Switch the faults of a runner; one that crashes loses what it has."""
    runner = state.runners[request.runner_id]
    changed = dataclasses.replace(runner, faults=request)
    if request.born or request.down:
        changed = dataclasses.replace(
            changed,
            layers=None,
            loading=False,
            order_count=0,
            started_at_ms=int(event.wall_time * 1000),
        )
    state = put_runner(changed, state)
    closed: list[effects.Effect] = []
    if request.down:
        for request_id, running in state.active_runs.items():
            if running.run.runner_id == runner.runner_id:
                state = remove_run(request_id, state)
                closed.append(effects.CloseCaller(request_id))
    done = effects.Reply(event.request_id, json_codec.Done())
    return write_entries(state).with_effects(*closed, done)


@dispatch.reduce.register(events.CallAnswered)
@dispatch.reduce.register(events.CallFailed)
def ignore_store_answer(event: events.Event, state: State) -> Transition:
    """Ignore the store's answers: entries are written again soon."""
    return transitions.Transition(state)
