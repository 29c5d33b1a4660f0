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
from standins import json_codec, reference_text

HEARTBEAT_SECONDS = 0.6
STORE_SECONDS = 1.0
FIRST_EVENT_SECONDS = 0.06
EVENT_SECONDS = 0.02
PLAIN_SECONDS = 0.02
LOAD_SECONDS = 1.5
# A request that waits for a part that is gone is cut off after this time.
STALL_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Hold the faults of one runner.

    A runner that is `down` closes what it has and takes nothing; one that is
    `dark` answers nothing. `lose_answers` counts runs without an answer, `cut`
    streams that are cut within an event. `born` starts it again, empty.
    """

    runner_id: str
    down: bool = False
    dark: bool = False
    draining: bool = False
    full: bool = False
    lose_answers: int = 0
    cut: int = 0
    born: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """Describe a runner; one with an accelerator holds layers."""

    runner_id: str
    service: str
    address: str
    zone: str
    slots: int
    accelerator: str = ''
    started_at_ms: int = 0
    layers: tuple[int, int] | None = None
    loading: bool = False
    order_count: int = 0
    faults: Faults = Faults('')

    @property
    def answers(self) -> bool:
        """Return whether the runner does anything at all."""
        return not self.faults.down and not self.faults.dark


@dataclasses.dataclass(frozen=True, slots=True)
class ChainPart:
    """Name a runner by its address, and its layers."""

    address: str
    first: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Ask a runner to run a request."""

    runner_id: str
    attempt_id: str
    method: str
    target: str
    body: bytes
    tenant: str
    key_seen: bool
    expected_runner: str
    deadline_ms: int | None
    chain: tuple[ChainPart, ...] = ()
    last_event: int | None = None

    @property
    def digest(self) -> str:
        """Return the digest that the answer depends on."""
        return reference_text.digest(self.method, self.target, self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReport:
    """Ask a runner for its state."""

    runner_id: str
    expected_runner: str


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Order a runner to hold layers."""

    runner_id: str
    expected_runner: str
    first: int
    end: int
    expected_count: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Repath:
    """Order a runner to go on with a request over another chain."""

    runner_id: str
    expected_runner: str
    attempt_id: str
    chain: tuple[ChainPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Answer with an error that says that nothing was run."""

    status: int
    at_fault: str = ''
    attempt_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Answer a request of a plain service."""

    attempt_id: str
    stamp: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamHead:
    """Begin the answer to a model request."""

    attempt_id: str
    stamp: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer an order with a status."""

    status: int
    at_fault: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold the state of a runner and the requests that it has waiting."""

    runner: Runner
    stalled: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEntries:
    """Write entries to the store."""

    runners: tuple[Runner, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartStream(effects.Effect):
    """Send the head of an answer that follows in parts."""

    request_id: str
    head: StreamHead


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRun(effects.Effect):
    """Write what a runner was given to the history.

    `what` tells whether it began a run, refused it or took over a chain.
    """

    what: str
    run: Run
    chain: tuple[ChainPart, ...]
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Hold a run and its next event; `waiting_since` is set while it stalls."""

    run: Run
    chain: tuple[ChainPart, ...]
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
    runners: immutables.Map[str, Runner]
    running: immutables.Map[str, Running] = immutables.Map()


Transition = transitions.Transition[State]


@functools.singledispatch
def reduce(event: events.Event, state: State) -> Transition:
    """Ignore events that concern no run."""
    return transitions.Transition(state)


@reduce.register(events.InstanceStarted)
def start(event: events.InstanceStarted, state: State) -> Transition:
    """Give every runner its start and write the entries."""
    born = int(event.wall * 1000)
    table = {
        runner_id: dataclasses.replace(runner, started_at_ms=born)
        for runner_id, runner in state.runners.items()
    }
    started = dataclasses.replace(state, runners=immutables.Map(table))
    return write_entries(started)


@reduce.register(events.StopRequested)
def stop(event: events.StopRequested, state: State) -> Transition:
    """Stop at once."""
    return transitions.Transition(state, (effects.StopLoop(),))


@reduce.register(events.CallerLeft)
def abandon(event: events.CallerLeft, state: State) -> Transition:
    """Stop a run whose caller has left."""
    return transitions.Transition(without(event.request_id, state))


@reduce.register(events.CallerRequested)
def receive(event: events.CallerRequested, state: State) -> Transition:
    """Dispatch on the request, unless its runner is down or dark."""
    wanted = event.wanted
    if isinstance(wanted, Faults):
        return set_faults(wanted, event, state)
    runner = state.runners[wanted.runner_id]
    if runner.faults.down:
        close = effects.CloseCaller(event.request_id)
        return transitions.Transition(state, (close,))
    if runner.faults.dark:
        return transitions.Transition(state)
    if wanted.expected_runner not in ('', runner.runner_id):
        attempt_id = getattr(wanted, 'attempt_id', '')
        refused = Refusal(421, runner.address, attempt_id)
        return answer(event.request_id, refused, state)
    return on_request(wanted, runner, event, state)


@functools.singledispatch
def on_request(
    wanted: typing.Any,
    runner: Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Handle a request to a runner that answers."""
    raise TypeError(type(wanted).__name__)


def answer(request_id: str, reply: typing.Any, state: State) -> Transition:
    """Answer a request."""
    return transitions.Transition(state, (effects.Reply(request_id, reply),))


def without(request_id: str, state: State) -> State:
    """Forget a run."""
    if request_id not in state.running:
        return state
    return dataclasses.replace(state, running=state.running.delete(request_id))


def with_runner(runner: Runner, state: State) -> State:
    """Keep a changed runner."""
    table = state.runners.set(runner.runner_id, runner)
    return dataclasses.replace(state, runners=table)


@on_request.register(Run)
def begin(
    wanted: Run,
    runner: Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Begin a run, or refuse it unrun."""
    refused = check(wanted, runner, state)
    if refused is not None:
        return answer(event.request_id, refused, state).with_effects(
            RecordRun('refusal', wanted, wanted.chain, event.wall)
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
            RecordRun('run', wanted, wanted.chain, event.wall),
            effects.SetTimer(StepDue(event.request_id), wait),
        ),
    )


def check(wanted: Run, runner: Runner, state: State) -> Refusal | None:
    """Return why a run cannot begin, if it cannot."""
    if not wanted.attempt_id:
        return Refusal(400)
    busy = sum(
        one.run.runner_id == runner.runner_id for one in state.running.values()
    )
    if runner.faults.full or busy >= runner.slots:
        return Refusal(503, runner.address, wanted.attempt_id)
    if not runner.accelerator:
        return None
    chain = wanted.chain
    if not chain or chain[0].address != runner.address:
        return Refusal(400, runner.address, wanted.attempt_id)
    for part in chain:
        status = check_part(part, state)
        if status:
            return Refusal(status, part.address, wanted.attempt_id)
    return None


def check_part(part: ChainPart, state: State) -> int:
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


def covers(held: tuple[int, int], part: ChainPart) -> bool:
    """Return whether held layers cover a part that is not empty."""
    return held[0] <= part.first < part.end and part.end <= held[1]


def find(address: str, state: State) -> Runner | None:
    """Return the runner at an address."""
    for runner in state.runners.values():
        if runner.address == address:
            return runner
    return None


@reduce.register(events.TimerFired)
def elapse(event: events.TimerFired, state: State) -> Transition:
    """Dispatch on the timer."""
    return on_timer(event.timer, event, state)


@functools.singledispatch
def on_timer(
    timer: typing.Any, event: events.TimerFired, state: State
) -> Transition:
    """Handle a timer."""
    raise TypeError(type(timer).__name__)


@on_timer.register(HeartbeatDue)
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
                WriteEntries(alive), state.store_address, STORE_SECONDS
            ),
            effects.SetTimer(HeartbeatDue(), HEARTBEAT_SECONDS),
        ),
    )


@on_timer.register(StepDue)
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


def is_gone(part: ChainPart, state: State) -> bool:
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
    request_id: str, running: Running, runner: Runner, state: State
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
    whole = WholeAnswer(
        run.attempt_id,
        stamp(run),
        reference_text.whole_body(run.digest),
    )
    return answer(request_id, whole, state)


def stamp(run: Run) -> str:
    """Return the proof that a runner made an answer."""
    return f'{run.runner_id}.{run.attempt_id}.{run.digest}'


def send_event(
    request_id: str, running: Running, runner: Runner, state: State
) -> Transition:
    """Send the next event, and the end after the last one."""
    run = running.run
    asked: tuple[effects.Effect, ...] = ()
    if not running.begun:
        head = StreamHead(run.attempt_id, stamp(run))
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
    runner: Runner,
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


@on_request.register(ReadReport)
def report(
    wanted: ReadReport,
    runner: Runner,
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
    return answer(event.request_id, Report(runner, stalled), state)


@on_request.register(Place)
def place(
    wanted: Place,
    runner: Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Begin to load layers; what the runner held takes nothing new."""
    if wanted.expected_count not in (None, runner.order_count):
        return answer(event.request_id, OrderReply(409), state)
    if runner.layers == (wanted.first, wanted.end):
        return answer(event.request_id, OrderReply(200), state)
    count = runner.order_count + 1
    loading = dataclasses.replace(
        runner, layers=None, loading=True, order_count=count
    )
    share = (wanted.end - wanted.first) / state.layers
    over = LoadOver(runner.runner_id, wanted.first, wanted.end, count)
    return transitions.Transition(
        with_runner(loading, state),
        (
            effects.Reply(event.request_id, OrderReply(202)),
            effects.SetTimer(over, LOAD_SECONDS * share),
        ),
    )


@on_timer.register(LoadOver)
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


@on_request.register(Repath)
def repath(
    wanted: Repath,
    runner: Runner,
    event: events.CallerRequested,
    state: State,
) -> Transition:
    """Go on with a request over another chain."""
    for part in wanted.chain:
        if check_part(part, state):
            refused = OrderReply(409, part.address)
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
                event.request_id, OrderReply(202), state
            ).with_effects(
                RecordRun('move', running.run, wanted.chain, event.wall)
            )
    return answer(event.request_id, OrderReply(404), state)


def set_faults(
    wanted: Faults, event: events.CallerRequested, state: State
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
            started_at_ms=int(event.wall * 1000),
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


@reduce.register(events.CallAnswered)
@reduce.register(events.CallFailed)
def ignore_store(event: events.Event, state: State) -> Transition:
    """Ignore the store's answers: entries are written again soon."""
    return transitions.Transition(state)
