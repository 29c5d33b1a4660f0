"""Run a reducer on the loop of circuits."""

import collections
import dataclasses
import functools
import logging
import signal
import time
import typing
from collections import abc

import circuits
from circuits.core import pollers

from mustardvale.internal import effects, events, transitions
from mustardvale.internal.edge import metrics, timer_queue

if typing.TYPE_CHECKING:
    from mustardvale.internal.edge import http_client, peer_socket

STOP_POLL_SECONDS = 0.02

logger = logging.getLogger('mustardvale')

Reduce = abc.Callable[
    [events.Event, typing.Any], transitions.Transition[typing.Any]
]


@dataclasses.dataclass(frozen=True, slots=True)
class FlushCheck:
    """Identify the timer that checks for queued output before a stop."""

    started_at: float
    flush_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopSignal:
    """Identify the timer that passes a stop signal to the loop."""


class Server(typing.Protocol):
    """Answer callers."""

    def fail_request(self, request_id: str) -> None:
        """Answer a request whose event the reducer failed to handle."""

    def drain_input(self) -> None:
        """Refuse incomplete requests before the loop stops."""

    def is_flushed(self) -> bool:
        """Return whether no output is queued, and no answer can be lost."""


class Perform(typing.Protocol):
    """Perform one effect."""

    def __call__(self, effect: effects.Effect, runtime: typing.Any) -> None:
        """Perform an effect with the sockets, timers and metrics of a loop."""


class Loop(circuits.Component):
    """Feed events to a reducer and perform the effects that it returns.

    Events are reduced in the order in which they occur. They bypass the queue
    of circuits, which costs about 20 microseconds an event. An event that
    occurs while effects are performed is queued.
    """

    channel = 'runtime'

    def __init__(
        self,
        reduce: Reduce,
        state: typing.Any,
        perform: Perform,
        metric_table: metrics.Metrics,
        clock: abc.Callable[[], float] = time.monotonic,
        poller: pollers.EPoll | None = None,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.reduce = reduce
        self.current_state = state
        self.perform = perform
        self.metrics = metric_table
        self.queued_events: collections.deque[events.Event] = (
            collections.deque()
        )
        self.is_reducing = False
        self.exit_code = 0
        # `pollers.Poller` uses select(2) and drops descriptors from 1024 on.
        self.poller = (poller or pollers.EPoll()).register(self)
        self.timer_queue = timer_queue.TimerQueue(self.report_timer).register(
            self
        )
        self.client: http_client.HttpClient | None = None
        self.server: Server | None = None
        self.peers: peer_socket.PeerSocket | None = None

    def emit_event(
        self, kind: type[events.Event], **fields: typing.Any
    ) -> None:
        """Create an event with the current times, and reduce it."""
        self.submit(kind(at=self.clock(), wall_time=time.time(), **fields))

    def submit(self, event: events.Event) -> None:
        """Reduce an event after all earlier ones."""
        self.queued_events.append(event)
        if self.is_reducing:
            return
        self.is_reducing = True
        try:
            while self.queued_events:
                self.reduce_one(self.queued_events.popleft())
        finally:
            self.is_reducing = False

    def reduce_one(self, event: events.Event) -> None:
        """Reduce one event; an exception leaves the state unchanged."""
        try:
            transition = self.reduce(event, self.current_state)
        except Exception:
            self.report_failure(event)
            return
        self.apply_transition(transition)

    def apply_transition(
        self, transition: transitions.Transition[typing.Any]
    ) -> None:
        """Store the next state, and perform the effects."""
        self.current_state = transition.state
        for effect in transition.effects:
            self.perform_one(effect)

    def perform_one(self, effect: effects.Effect) -> None:
        """Perform one effect; an exception is counted and logged."""
        try:
            self.perform(effect, self)
        except Exception:
            self.metrics.count('effect_errors', (type(effect).__name__,))
            logger.exception(
                'effect failed',
                extra={'effect': type(effect).__name__},
            )
            self.end_failed_effect(effect)

    def report_failure(self, event: events.Event) -> None:
        """Count and log an exception of the reducer, and end the event."""
        self.metrics.count('reducer_errors', (type(event).__name__,))
        logger.exception(
            'reducer failed',
            extra={'event_type': type(event).__name__},
        )
        self.end_failed_event(event)

    def end_failed_effect(self, effect: effects.Effect) -> None:
        """End what a failed effect belongs to; by default nothing."""

    def end_failed_event(self, event: events.Event) -> None:
        """Fail the request of an event that the reducer failed to handle."""
        request_id = getattr(event, 'request_id', None)
        if request_id is not None and self.server is not None:
            self.server.fail_request(request_id)

    def report_timer(self, timer: typing.Any) -> None:
        """Handle a timer that is due."""
        handle_timer(timer, self)

    @circuits.handler('started', channel='*')
    def start_reducing(self, *_: typing.Any) -> None:
        """Replace the signal handlers of circuits and emit the first event."""
        signal.signal(signal.SIGTERM, self.receive_signal)
        signal.signal(signal.SIGINT, self.receive_signal)
        self.emit_event(events.InstanceStarted)

    def receive_signal(self, *_: typing.Any) -> None:
        """Pass a stop signal to the loop and wake the poller."""
        self.timer_queue.set_timer(StopSignal(), 0)
        self.poller.resume()

    def begin_stop(self, exit_code: int, flush_seconds: float) -> None:
        """Stop the loop after the queued output has been written."""
        self.exit_code = exit_code
        self.stop_when_flushed(FlushCheck(time.monotonic(), flush_seconds))

    def stop_when_flushed(self, check: FlushCheck) -> None:
        """Stop the loop, or check again later while output is queued."""
        if self.server is not None:
            self.server.drain_input()
        waited = time.monotonic() - check.started_at
        # A reply that was sent just before the stop is still in the queue of
        # circuits and reaches the output of the server only after this call.
        is_flushed = self.server is None or self.server.is_flushed()
        if waited >= STOP_POLL_SECONDS and (
            is_flushed or waited > check.flush_seconds
        ):
            raise SystemExit(self.exit_code)
        self.timer_queue.set_timer(check, STOP_POLL_SECONDS)


@functools.singledispatch
def handle_timer(timer: typing.Any, runtime: Loop) -> None:
    """Handle a timer: those of the reducer become events."""
    runtime.emit_event(events.TimerFired, timer=timer)


@handle_timer.register(FlushCheck)
def handle_flush_check(timer: FlushCheck, runtime: Loop) -> None:
    """Check again for queued output."""
    runtime.stop_when_flushed(timer)


@handle_timer.register(StopSignal)
def handle_stop_signal(timer: StopSignal, runtime: Loop) -> None:
    """Emit the event for a stop signal."""
    runtime.emit_event(events.StopRequested)
