"""Reduce the events of several engine stand-ins that share a process."""

import dataclasses
import functools
import typing

import immutables

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.edge import wire
from standins import engine, engine_codec, engine_handlers


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRequest:
    """Pair a request with the engine that it was sent to."""

    instance_id: str
    request: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCodec:
    """Decode requests to one engine and encode its answers."""

    instance_id: str

    def decode_request(self, raw: wire.RawRequest) -> EngineRequest:
        """Decode a request, or raise `wire.DecodeError`."""
        return EngineRequest(self.instance_id, engine_codec.decode_request(raw))

    def encode_reply(self, reply: typing.Any) -> wire.RawReply:
        """Encode a complete answer."""
        return engine_codec.encode_reply(reply)

    def encode_part(self, part: typing.Any) -> bytes:
        """Encode one part of a streamed answer."""
        return engine_codec.encode_part(part)

    def encode_error(self, error: wire.DecodeError) -> wire.RawReply:
        """Encode the answer to a request that did not decode."""
        return engine_codec.encode_error(error)


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold the states of the engines of a process by instance id."""

    engines: immutables.Map[str, engine.State]


Transition = transitions.Transition[State]


def build_state(configs: tuple[engine.EngineConfig, ...]) -> State:
    """Return the initial state of engines."""
    return State(
        immutables.Map(
            {
                config.instance_id: engine.State(
                    config,
                    cache=engine.build_cache(config),
                )
                for config in configs
            }
        )
    )


def build_id_prefix(instance_id: str, token: str) -> str:
    """Return the prefix of the request ids of one engine.

    `token` is random, so that request ids differ between starts.
    """
    return f'{instance_id}/{token}'


def parse_instance_id(request_id: str) -> str:
    """Return the instance id in a request id."""
    return request_id.rpartition('/')[0]


def reduce_engine(
    instance_id: str,
    event: events.Event,
    state: State,
) -> Transition:
    """Reduce an event with the state of one engine."""
    transition = engine_handlers.reduce(event, state.engines[instance_id])
    engines = state.engines.set(instance_id, transition.state)
    return transitions.Transition(State(engines), transition.effects)


@functools.singledispatch
def reduce(event: events.Event, state: State) -> Transition:
    """Ignore events without a handler."""
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
    """Stop without waiting for running steps."""
    return transitions.Transition(state, (effects.StopLoop(),))


@reduce.register(events.CallerRequested)
def forward_request(event: events.CallerRequested, state: State) -> Transition:
    """Forward a request to its engine."""
    addressed: EngineRequest = event.request
    inner_event = dataclasses.replace(event, request=addressed.request)
    return reduce_engine(addressed.instance_id, inner_event, state)


@reduce.register(events.CallerLeft)
@reduce.register(events.CallerBlocked)
@reduce.register(events.CallerCaughtUp)
def forward_caller_event(
    event: events.CallerLeft | events.CallerBlocked | events.CallerCaughtUp,
    state: State,
) -> Transition:
    """Forward an event about a caller to the engine that it called."""
    return reduce_engine(parse_instance_id(event.request_id), event, state)


@reduce.register(events.TimerFired)
def forward_timer(event: events.TimerFired, state: State) -> Transition:
    """Forward a timer to the engine that set it."""
    return reduce_engine(event.timer.instance_id, event, state)


@reduce.register(events.CallAnswered)
@reduce.register(events.CallFailed)
def forward_call_end(
    event: events.CallAnswered | events.CallFailed,
    state: State,
) -> Transition:
    """Forward the end of a call to the engine that made it."""
    return reduce_engine(event.call.instance_id, event, state)
