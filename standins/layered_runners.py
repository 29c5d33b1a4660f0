"""Emulate the platform's runners: layers, chains, orders and list entries.

One process runs all runners of a site, each at its own address. A chain is
checked part by part. Its events are sent at a fixed interval, whatever the
load of its runners. Every run is recorded with the request as received.
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
MODEL_LOAD_SECONDS = 1.5
# The connection of a request that waits for an unresponsive part of its chain
# is closed after this time.
STALL_TIMEOUT_SECONDS = 2.5
# An event without an end has about 20,000 of these pieces in a second.
ENDLESS_PIECE = b'x' * 16
ENDLESS_PIECES_IN_TURN = 400


@dataclasses.dataclass(frozen=True, slots=True)
class StartStream(effects.Effect):
    """Send the head of a streamed answer."""

    request_id: str
    head: runner_messages.StreamHead


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRun(effects.Effect):
    """Append a request to the history.

    `event` is `run` if a runner started to run it, `refusal` if it refused it
    and `move` if the run continues on another chain. `wall_time` is in seconds
    since the epoch.
    """

    event: str
    run: runner_messages.RunRequest
    chain: tuple[runner_messages.ChainPart, ...]
    wall_time: float
    refusal: runner_messages.Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveRun:
    """Hold a run and the number of its next event.

    `begun` is set once the head has been sent. `waiting_since` is the monotonic
    time since when the run stalls, if it does. `is_endless` is true once it
    sends an event without an end.
    """

    run: runner_messages.RunRequest
    chain: tuple[runner_messages.ChainPart, ...]
    next_event: int
    begun: bool = False
    waiting_since: float | None = None
    is_endless: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue:
    """Write the entries of responsive runners again."""


@dataclasses.dataclass(frozen=True, slots=True)
class EventDue:
    """Send the next event of a run, or its complete answer."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDone:
    """End the load of a layer range.

    `order_count` identifies the order that started the load.
    """

    runner_id: str
    first: int
    end: int
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the runners by id and the active runs by request id.

    `layer_count` is the number of layers of the model. `held` has the requests
    to suspended runners.
    """

    store_address: str
    layer_count: int
    runners: immutables.Map[str, runner_messages.Runner]
    active_runs: immutables.Map[str, ActiveRun] = immutables.Map()
    held: tuple[events.CallerRequested, ...] = ()


Transition = transitions.Transition[State]
dispatch = reducers.build_dispatch()
reduce = dispatch.reduce
answer = reducers.answer


@dispatch.reduce.register(events.InstanceStarted)
def start(event: events.InstanceStarted, state: State) -> Transition:
    """Set the start time of every runner and write the entries."""
    started_at_ms = int(event.wall_time * 1000)
    runners = {
        runner_id: dataclasses.replace(runner, started_at_ms=started_at_ms)
        for runner_id, runner in state.runners.items()
    }
    started = dataclasses.replace(state, runners=immutables.Map(runners))
    return write_entries(started)


@dispatch.reduce.register(events.CallerLeft)
def stop_run(event: events.CallerLeft, state: State) -> Transition:
    """Stop a run whose caller has disconnected."""
    held = tuple(
        waiting
        for waiting in state.held
        if waiting.request_id != event.request_id
    )
    return transitions.Transition(
        remove_run(event.request_id, dataclasses.replace(state, held=held))
    )


@dispatch.reduce.register(events.CallerRequested)
def reduce_request(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request unless its runner is down or dark.

    A request that is meant for another runner is refused as misdirected.
    """
    request = event.request
    if isinstance(request, runner_messages.Faults):
        return set_faults(request, event, state)
    runner = state.runners[request.runner_id]
    if runner.faults.down:
        close = effects.CloseCaller(event.request_id)
        return transitions.Transition(state, (close,))
    if runner.faults.dark:
        return transitions.Transition(state)
    if runner.faults.suspended:
        held = (*state.held, event)
        return transitions.Transition(dataclasses.replace(state, held=held))
    if request.expected_runner not in ('', runner.runner_id):
        attempt_id = getattr(request, 'attempt_id', '')
        refused = runner_messages.Refusal(
            421,
            runner.address,
            attempt_id,
            is_leaving=runner.faults.leaving,
        )
        return answer(event.request_id, refused, state)
    return on_request(request, runner, event, state)


@functools.singledispatch
def on_request(
    request: typing.Any,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request to a responsive runner."""
    raise TypeError(type(request).__name__)


def remove_run(request_id: str, state: State) -> State:
    """Return the state without a run, which may have ended."""
    if request_id not in state.active_runs:
        return state
    return dataclasses.replace(
        state, active_runs=state.active_runs.delete(request_id)
    )


def put_runner(runner: runner_messages.Runner, state: State) -> State:
    """Return the state with a runner replaced."""
    runners = state.runners.set(runner.runner_id, runner)
    return dataclasses.replace(state, runners=runners)


@on_request.register(runner_messages.RunRequest)
def begin_run(
    request: runner_messages.RunRequest,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Start a run, or refuse it before anything is run."""
    refused = find_refusal(request, runner, state)
    if refused is not None:
        return refuse_run(request, refused, runner, event, state)
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


def refuse_run(
    request: runner_messages.RunRequest,
    refused: runner_messages.Refusal,
    runner: runner_messages.Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Refuse a request and record the refusal."""
    refusal = dataclasses.replace(refused, is_leaving=runner.faults.leaving)
    return answer(event.request_id, refusal, state).with_effects(
        RecordRun('refusal', request, request.chain, event.wall_time, refusal)
    )


def find_refusal(
    request: runner_messages.RunRequest,
    runner: runner_messages.Runner,
    state: State,
) -> runner_messages.Refusal | None:
    """Return the refusal of a run that cannot start, else `None`."""
    if not request.attempt_id:
        return runner_messages.Refusal(400)
    busy = sum(
        active_run.run.runner_id == runner.runner_id
        for active_run in state.active_runs.values()
    )
    if runner.faults.full or busy >= runner.slots:
        return runner_messages.Refusal(
            503,
            runner.address,
            request.attempt_id,
            runner.faults.retry_after_seconds,
        )
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
    """Return the HTTP status that refuses a part of a chain, or zero."""
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
    """Return whether the layers of a part are held and not empty."""
    return layers[0] <= part.first < part.end and part.end <= layers[1]


def find_runner(address: str, state: State) -> runner_messages.Runner | None:
    """Return the runner at an address, if there is one."""
    for runner in state.runners.values():
        if runner.address == address:
            return runner
    return None


@dispatch.on_timer.register(HeartbeatDue)
def write_heartbeat(
    timer: HeartbeatDue, event: events.TimerFired, state: State
) -> Transition:
    """Write the entries of responsive runners again."""
    return write_entries(state)


def write_entries(state: State) -> Transition:
    """Write the entries of responsive runners to the store."""
    responsive = tuple(
        runner for runner in state.runners.values() if runner.makes_progress
    )
    return transitions.Transition(
        state,
        (
            effects.Call(
                runner_messages.WriteEntries(responsive),
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
    """Send the next event of a run, or its complete answer."""
    running = state.active_runs.get(timer.request_id)
    if running is None:
        return transitions.Transition(state)
    runner = state.runners[running.run.runner_id]
    if runner.faults.suspended:
        rearm = effects.SetTimer(timer, EVENT_INTERVAL_SECONDS)
        return transitions.Transition(state, (rearm,))
    if not running.chain:
        return finish_plain_run(timer.request_id, running, runner, state)
    if is_stalled(running, state):
        return stall_run(timer.request_id, running, event.at, state)
    return send_event(timer.request_id, running, runner, state)


def is_stalled(running: ActiveRun, state: State) -> bool:
    """Return whether the runner of a part of the chain does not answer."""
    return any(is_unresponsive(part, state) for part in running.chain)


def is_unresponsive(part: runner_messages.ChainPart, state: State) -> bool:
    """Return whether the runner of a part does not answer."""
    runner = find_runner(part.address, state)
    return runner is None or not runner.makes_progress


def stall_run(
    request_id: str, running: ActiveRun, now: float, state: State
) -> Transition:
    """Check a stalled run again later, or close it after the timeout."""
    since = now if running.waiting_since is None else running.waiting_since
    if now - since >= STALL_TIMEOUT_SECONDS:
        close = effects.CloseCaller(request_id)
        return transitions.Transition(remove_run(request_id, state), (close,))
    waiting = dataclasses.replace(running, waiting_since=since)
    state = dataclasses.replace(
        state, active_runs=state.active_runs.set(request_id, waiting)
    )
    rearm = effects.SetTimer(EventDue(request_id), EVENT_INTERVAL_SECONDS)
    return transitions.Transition(state, (rearm,))


def finish_plain_run(
    request_id: str,
    running: ActiveRun,
    runner: runner_messages.Runner,
    state: State,
) -> Transition:
    """Answer a request to a service without layers unless a fault drops it."""
    run = running.run
    state = remove_run(request_id, state)
    remaining = runner.faults.lose_answers
    if remaining:
        faults = dataclasses.replace(runner.faults, lose_answers=remaining - 1)
        state = put_runner(dataclasses.replace(runner, faults=faults), state)
        close = effects.CloseCaller(request_id)
        return transitions.Transition(state, (close,))
    complete_answer = runner_messages.WholeAnswer(
        run.attempt_id,
        build_stamp(run),
        reference_text.build_whole_body(run.digest),
        is_leaving=runner.faults.leaving,
    )
    return answer(request_id, complete_answer, state)


def build_stamp(run: runner_messages.RunRequest) -> str:
    """Return the stamp that ties an answer to its runner and request."""
    return f'{run.runner_id}.{run.attempt_id}.{run.digest}'


def send_event(
    request_id: str,
    running: ActiveRun,
    runner: runner_messages.Runner,
    state: State,
) -> Transition:
    """Send the next event of a stream, or end it after the last one."""
    run = running.run
    head_effects: tuple[effects.Effect, ...] = ()
    if not running.begun:
        head = runner_messages.StreamHead(
            run.attempt_id, build_stamp(run), runner.faults.leaving
        )
        head_effects = (StartStream(request_id, head),)
    number = running.next_event
    last = reference_text.count_events(run.digest)
    if number > last:
        end = effects.StreamEnd(request_id, None)
        return transitions.Transition(
            remove_run(request_id, state), (*head_effects, end)
        )
    encoded = reference_text.encode_event(run.digest, number)
    if running.is_endless or runner.faults.endless:
        return send_endless(request_id, running, runner, head_effects, state)
    if runner.faults.cut:
        return cut_stream(request_id, runner, encoded, head_effects, state)
    advanced = dataclasses.replace(
        running, next_event=number + 1, begun=True, waiting_since=None
    )
    state = dataclasses.replace(
        state, active_runs=state.active_runs.set(request_id, advanced)
    )
    return transitions.Transition(
        state,
        (
            *head_effects,
            effects.StreamPart(request_id, encoded),
            effects.SetTimer(EventDue(request_id), EVENT_INTERVAL_SECONDS),
        ),
    )


def send_endless(
    request_id: str,
    running: ActiveRun,
    runner: runner_messages.Runner,
    head_effects: tuple[effects.Effect, ...],
    state: State,
) -> Transition:
    """Send more pieces of an event without an end."""
    if not running.is_endless:
        left = runner.faults.endless - 1
        faults = dataclasses.replace(runner.faults, endless=left)
        state = put_runner(dataclasses.replace(runner, faults=faults), state)
    sending = dataclasses.replace(
        running, begun=True, waiting_since=None, is_endless=True
    )
    state = dataclasses.replace(
        state, active_runs=state.active_runs.set(request_id, sending)
    )
    piece = effects.StreamPart(request_id, ENDLESS_PIECE)
    return transitions.Transition(
        state,
        (
            *head_effects,
            *(piece for _ in range(ENDLESS_PIECES_IN_TURN)),
            effects.SetTimer(EventDue(request_id), EVENT_INTERVAL_SECONDS),
        ),
    )


def cut_stream(
    request_id: str,
    runner: runner_messages.Runner,
    encoded: bytes,
    head_effects: tuple[effects.Effect, ...],
    state: State,
) -> Transition:
    """Close a stream in the middle of an event."""
    faults = dataclasses.replace(runner.faults, cut=runner.faults.cut - 1)
    state = put_runner(dataclasses.replace(runner, faults=faults), state)
    return transitions.Transition(
        remove_run(request_id, state),
        (
            *head_effects,
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
    """Report the state of a runner and its stalled requests.

    A request is reported with the address that it waits for.
    """
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
    """Start to load layers; the runner serves none until the load ends.

    The load takes the share of `MODEL_LOAD_SECONDS` that its layers have in the
    model. An order that expects another order count is refused.
    """
    if request.expected_count not in (None, runner.order_count):
        return answer(event.request_id, runner_messages.OrderReply(409), state)
    if runner.layers == (request.first, request.end):
        return answer(event.request_id, runner_messages.OrderReply(200), state)
    count = runner.order_count + 1
    loading = dataclasses.replace(
        runner, layers=None, loading=True, order_count=count
    )
    share = (request.end - request.first) / state.layer_count
    load_done = LoadDone(runner.runner_id, request.first, request.end, count)
    return transitions.Transition(
        put_runner(loading, state),
        (
            effects.Reply(event.request_id, runner_messages.OrderReply(202)),
            effects.SetTimer(load_done, MODEL_LOAD_SECONDS * share),
        ),
    )


@dispatch.on_timer.register(LoadDone)
def end_load(
    timer: LoadDone, event: events.TimerFired, state: State
) -> Transition:
    """End a load unless the runner has restarted or got another order."""
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
    """Continue a running request on another chain."""
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
    """Replace the faults of a runner.

    A runner that is down or has restarted loses its layers and its orders; one
    that is down also closes its connections.
    """
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
    return (
        write_entries(state)
        .with_effects(*closed, done)
        .then(lambda current: resume_held(request.runner_id, current))
    )


def resume_held(runner_id: str, state: State) -> Transition:
    """Handle the requests that a runner got while it was suspended."""
    if state.runners[runner_id].faults.suspended:
        return transitions.Transition(state)
    held = state.held
    return transitions.Transition(
        dataclasses.replace(state, held=())
    ).then_each(held, reduce_request)


@dispatch.reduce.register(events.CallAnswered)
@dispatch.reduce.register(events.CallFailed)
def ignore_store_answer(event: events.Event, state: State) -> Transition:
    """Ignore answers of the store: the next heartbeat writes entries again."""
    return transitions.Transition(state)
