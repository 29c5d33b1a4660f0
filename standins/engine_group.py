"""Run several engine stand-ins in one process, each at its own port."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.edge import wire
from standins import engine, engine_codec, engine_handlers


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRequest:
    """Say which engine a request is for."""

    instance_id: str
    wanted: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCodec:
    """Decode the requests to one engine."""

    instance_id: str

    def decode_request(self, raw: wire.RawRequest) -> EngineRequest:
        """Decode a request, or raise `wire.DecodeError`."""
        return EngineRequest(self.instance_id, engine_codec.decode_request(raw))

    def encode_reply(self, reply: typing.Any) -> wire.RawReply:
        """Encode a whole answer."""
        return engine_codec.encode_reply(reply)

    def encode_part(self, part: typing.Any) -> bytes:
        """Encode one part of a streamed answer."""
        return engine_codec.encode_part(part)

    def encode_error(self, error: wire.DecodeError) -> wire.RawReply:
        """Encode the answer to a request that did not decode."""
        return engine_codec.encode_error(error)


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the engines of a process by instance id."""

    engines: immutables.Map[str, engine.State]


Transition = transitions.Transition[State]


def build_state(config: tuple[engine.EngineConfig, ...]) -> State:
    """Return engines that have not started yet."""
    return State(
        immutables.Map(
            {
                one.instance_id: engine.State(
                    one,
                    cache=engine.build_cache(one),
                )
                for one in config
            }
        )
    )


def build_id_prefix(instance_id: str, token: str) -> str:
    """Return the prefix of the request ids of one engine."""
    return f'{instance_id}/{token}'


def parse_instance_id(request_id: str) -> str:
    """Return the instance id of the engine that a request is for."""
    return request_id.rpartition('/')[0]


def reduce_engine(
    instance_id: str,
    event: events.Event,
    state: State,
) -> Transition:
    """Reduce an event in one engine."""
    transition = engine_handlers.reduce(event, state.engines[instance_id])
    engines = state.engines.set(instance_id, transition.state)
    return transitions.Transition(State(engines), transition.effects)


@functools.singledispatch
def reduce(event: events.Event, state: State) -> Transition:
    """Ignore events that concern no engine."""
    return transitions.Transition(state)


@reduce.register(events.InstanceStarted)
def start_engines(event: events.InstanceStarted, state: State) -> Transition:
    """Start all engines."""
    transition: Transition = transitions.Transition(state)
    for instance_id in state.engines:
        transition = transition.then(
            functools.partial(reduce_engine, instance_id, event),
        )
    return transition


@reduce.register(events.StopRequested)
def stop_engines(event: events.StopRequested, state: State) -> Transition:
    """Stop all engines at once."""
    return transitions.Transition(state, (effects.StopLoop(),))


@reduce.register(events.CallerRequested)
def forward_request(event: events.CallerRequested, state: State) -> Transition:
    """Hand a request to its engine."""
    asked: EngineRequest = event.request
    inner = dataclasses.replace(event, request=asked.wanted)
    return reduce_engine(asked.instance_id, inner, state)


@reduce.register(events.CallerLeft)
@reduce.register(events.CallerBlocked)
@reduce.register(events.CallerCaughtUp)
def forward_caller_event(
    event: events.CallerLeft | events.CallerBlocked | events.CallerCaughtUp,
    state: State,
) -> Transition:
    """Hand what concerns a caller to its engine."""
    return reduce_engine(parse_instance_id(event.request_id), event, state)


@reduce.register(events.TimerFired)
def forward_timer(event: events.TimerFired, state: State) -> Transition:
    """Hand a timer to its engine."""
    return reduce_engine(event.timer.instance_id, event, state)


@reduce.register(events.CallAnswered)
@reduce.register(events.CallFailed)
def forward_call_end(
    event: events.CallAnswered | events.CallFailed,
    state: State,
) -> Transition:
    """Hand the end of a call to its engine."""
    return reduce_engine(event.call.instance_id, event, state)
