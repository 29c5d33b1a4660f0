"""Measure how streams and sends fare when four runners crash at once.

PYTHONPATH=src:. PYTHONHASHSEED=0 python -m bench.common_crashes --write

Instances have open streams through chains of runners, and new requests arrive.
Four runners that carry streams crash in the same moment. Calls between
instances take time, and each instance is busy with every one, as one on a third
of a core is. `silence` is the same without watched connections and reports.
"""

import dataclasses
import typing
from unittest import mock

import fire
import immutables

from bench import common_waits, measurements
from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    calls,
    exchanges,
    fault_telling,
    instance_settings,
    open_attempts,
    requests,
    retry_budgets,
    runner_watch,
    runners,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events
from mustardvale.internal.relay import state as states

INSTANCE_COUNT = 64
STREAMS_PER_INSTANCE = 4
CRASH_COUNT = 4
REQUESTS_PER_SECOND = 113.0
# The watched connections are open by then, and have lasted.
BEFORE_SECONDS = 6.0
AFTER_SECONDS = 2.0
LINK_SECONDS = 0.0005
MESSAGE_SECONDS = 0.001
FIRST_EVENT_SECONDS = 0.1
EVENT_SECONDS = 0.04
# A substitute reads the tokens so far before it continues a stream.
READING_SECONDS = 0.04
REPORT_LAG_SECONDS = 0.2
LATE_PAUSE_SECONDS = 0.25
# All instances have been told by then.
LATE_SEND_SECONDS = 0.05
LIMITS = instance_settings.Limits(retries_per_window=312.0)
STARTING_TIMERS = (
    timers.RunnerListReadDue(),
    timers.WatchCheckDue(),
    timers.ExchangeCheckDue(),
)


class Site(common_waits.Site):
    """Play the instances, their calls to each other, and runners that crash."""

    def __init__(self, seed: int, instance_count: int) -> None:
        super().__init__(seed, instance_count)
        runner_map = name_addresses(self.states[0].runners)
        bucket = retry_budgets.RetryBucket(LIMITS.retries_per_window / 2, 0.0)
        self.states = [
            dataclasses.replace(
                state,
                limits=LIMITS,
                runners=runner_map,
                configuration=allow_retries(state.configuration),
                retry_buckets=immutables.Map({'model': bucket}),
            )
            for state in self.states
        ]
        self.instances_by_address = {
            state.identity.addresses.peers: number
            for number, state in enumerate(self.states)
        }
        self.pending_timers: dict[tuple[int, typing.Any], int] = {}
        self.watched: list[frozenset[str]] = [frozenset()] * instance_count
        self.busy_until = [0.0] * instance_count
        self.open_calls: dict[str, tuple[int, effects.Call]] = {}
        self.crashed: dict[str, str] = {}
        self.crashed_at = float('inf')
        self.last_event_at: dict[tuple[int, str], float] = {}
        self.pauses: list[float] = []
        self.known_at: list[float] = []
        self.rejected_at: list[float] = []
        self.move_count = self.cut_count = 0
        for number in range(instance_count):
            for timer in STARTING_TIMERS:
                self.set_timer(number, timer, self.random_source.random())

    def set_timer(self, instance: int, timer: typing.Any, delay: float) -> None:
        """Start a timer, which replaces an equal one."""
        self.pending_timers[instance, timer] = number = next(self.numbers)
        self.schedule(
            delay, instance, TimerDue, timer=timer, timer_number=number
        )

    def play_step(self, step: common_waits.Step) -> None:
        """Deliver an event, or let a runner continue a stream."""
        fields = dict(step.fields)
        if step.event_kind is TimerDue:
            key = step.instance, fields['timer']
            if self.pending_timers.get(key) == fields['timer_number']:
                timer = fields['timer']
                self.deliver(step.instance, events.TimerFired, timer=timer)
        elif step.event_kind is StreamDue:
            self.continue_stream(step.instance, **fields)
        else:
            self.deliver(step.instance, step.event_kind, **fields)

    def perform(self, instance: int, effect: effects.Effect) -> None:
        """Perform an effect at the other instances, runners or the store."""
        match effect:
            case effects.SetTimer(timer, delay):
                self.set_timer(instance, timer, delay)
            case effects.Call():
                self.send_call(instance, effect)
            case effects.Reply(request_id, reply) if request_id in (
                self.open_calls
            ):
                caller, call = self.open_calls.pop(request_id)
                delay = self.reserve(instance) + self.reserve(caller)
                self.answer_call(caller, call, reply, delay)
            case relay_effects.StartSend():
                self.start_send(instance, effect)
            case relay_effects.WatchAddresses(addresses):
                for address in sorted(addresses - self.watched[instance]):
                    self.open_watch(instance, address)
                self.watched[instance] = addresses
            case relay_effects.LogDecision('runner_fault_told'):
                self.known_at.append(self.now)
            case relay_effects.LogDecision('stream_cut'):
                self.cut_count += 1

    def reserve(self, instance: int) -> float:
        """Let an instance handle one more message; return when it has."""
        begins_at = max(self.busy_until[instance], self.now + LINK_SECONDS)
        self.busy_until[instance] = begins_at + MESSAGE_SECONDS
        return self.busy_until[instance] - self.now

    def send_call(self, caller: int, call: effects.Call) -> None:
        """Deliver a call to an instance, or answer it as the platform."""
        receiver = self.instances_by_address.get(call.address)
        if receiver is not None:
            request_id = f'call-{next(self.numbers)}'
            self.open_calls[request_id] = caller, call
            self.schedule(
                self.reserve(receiver),
                receiver,
                events.CallerRequested,
                request_id=request_id,
                request=call.call,
            )
            return
        match call.call:
            case calls.FollowRunners(position):
                answer = calls.RunnersRead(position, ())
                self.answer_call(caller, call, answer, LINK_SECONDS)
            case calls.ProbeRunner(runner_id):
                self.answer_probe(caller, call, runner_id)
            case calls.MoveRequest():
                self.move(caller, call)

    def answer_call(
        self, caller: int, call: effects.Call, answer: typing.Any, delay: float
    ) -> None:
        """Deliver the answer to a call."""
        self.schedule(
            delay,
            caller,
            events.CallAnswered,
            call=call.call,
            address=call.address,
            answer=answer,
        )

    def answer_probe(
        self, caller: int, call: effects.Call, runner_id: str
    ) -> None:
        """Report which requests wait for a crashed runner, after a while."""
        if runner_id in self.crashed:
            failure = events.Failure(events.FailureKind.REFUSED, was_sent=False)
            self.schedule(
                2 * LINK_SECONDS,
                caller,
                events.CallFailed,
                call=call.call,
                address=call.address,
                failure=failure,
            )
            return
        stalled = tuple(
            calls.StalledRequest(
                exchange.request.attempt_id, self.find_fault(attempt.chain)
            )
            for exchange in self.states[caller].exchanges.values()
            for attempt in exchange.attempts
            if attempt.runner_id == runner_id and self.find_fault(attempt.chain)
        )
        if self.now - self.crashed_at < REPORT_LAG_SECONDS:
            stalled = ()
        report = calls.RunnerReport(0, False, stalled=stalled)
        self.answer_call(caller, call, report, 2 * LINK_SECONDS)

    def move(self, caller: int, call: effects.Call) -> None:
        """Let a first runner continue a stream on another chain."""
        self.move_count += 1
        send_id = call.call.send_id
        found = open_attempts.find_open_attempt(send_id, self.states[caller])
        moved = calls.OrderAnswer(calls.OrderVerdict.ACCEPTED)
        self.answer_call(caller, call, moved, 2 * LINK_SECONDS)
        self.schedule(
            2 * LINK_SECONDS + READING_SECONDS,
            caller,
            StreamDue,
            send_id=send_id,
            move_count=found.attempt.move_count if found else 0,
        )

    def open_watch(self, instance: int, address: str) -> None:
        """Accept a watched connection, or refuse it after a crash."""
        fields: dict[str, typing.Any] = {'address': address}
        kind: type[events.Event] = relay_events.WatchOpened
        if address in self.crashed.values():
            kind = relay_events.WatchEnded
            fields['end'] = relay_events.WatchEnd.REFUSED
        self.schedule(2 * LINK_SECONDS, instance, kind, **fields)

    def find_fault(self, chain: requests.Chain) -> str:
        """Return the address of a crashed runner of a chain, or none."""
        for part in chain:
            if part.runner_id in self.crashed:
                return part.address
        return ''

    def start_send(self, instance: int, send: relay_effects.StartSend) -> None:
        """Let a runner accept a send, or reject it because of a crash."""
        chain = send.request.chain
        send_id = send.send_id
        fault_address = self.find_fault(chain)
        if fault_address:
            self.rejected_at.append(self.now - self.crashed_at)
        if fault_address == chain[0].address:
            self.fail_send(instance, send_id, events.FailureKind.REFUSED)
            return
        self.schedule(
            LINK_SECONDS, instance, relay_events.SendStarted, send_id=send_id
        )
        if not fault_address:
            self.schedule(
                FIRST_EVENT_SECONDS, instance, StreamDue, send_id=send_id
            )
            return
        refused = requests.AnswerHead(
            503, (), is_unexecuted=True, fault_address=fault_address
        )
        self.schedule(
            4 * LINK_SECONDS,
            instance,
            relay_events.HeadArrived,
            send_id=send_id,
            head=refused,
        )
        self.schedule(
            4 * LINK_SECONDS, instance, relay_events.SendEnded, send_id=send_id
        )

    def fail_send(
        self, instance: int, send_id: str, kind: events.FailureKind
    ) -> None:
        """Reset the connection of a send, or refuse it."""
        was_sent = kind is events.FailureKind.CLOSED
        self.schedule(
            LINK_SECONDS,
            instance,
            relay_events.SendFailed,
            send_id=send_id,
            failure=events.Failure(kind, was_sent),
        )

    def continue_stream(
        self, instance: int, send_id: str, move_count: int = 0
    ) -> None:
        """Deliver the next event of a stream while its chain lives."""
        found = open_attempts.find_open_attempt(send_id, self.states[instance])
        if found is None or found.attempt.move_count != move_count:
            return
        if self.find_fault(found.attempt.chain):
            return
        if found.attempt.head is None:
            head = common_waits.STREAM_HEAD
            self.deliver(
                instance, relay_events.HeadArrived, send_id=send_id, head=head
            )
        self.note_pause(instance, found.exchange)
        number = (found.exchange.last_event_id or 0) + 1
        part = b'id: %d\ndata: x\n\n' % number
        self.deliver(
            instance, relay_events.PartArrived, send_id=send_id, part=part
        )
        self.schedule(
            EVENT_SECONDS,
            instance,
            StreamDue,
            send_id=send_id,
            move_count=move_count,
        )

    def note_pause(self, instance: int, exchange: exchanges.Exchange) -> None:
        """Record the pause before an event that arrives after the crash."""
        key = instance, exchange.request_id
        if self.crashed and key in self.last_event_at:
            self.pauses.append(self.now - self.last_event_at[key])
        self.last_event_at[key] = self.now

    def note_open_pauses(self) -> None:
        """Record the pauses of the streams that have not continued."""
        for number, state in enumerate(self.states):
            for request_id in state.exchanges:
                last_at = self.last_event_at.get((number, request_id), self.now)
                self.pauses.append(self.now - last_at)

    def list_attempts(self) -> list[tuple[int, exchanges.Attempt]]:
        """Return the open attempts with the numbers of their instances."""
        return [
            (number, attempt)
            for number, state in enumerate(self.states)
            for exchange in state.exchanges.values()
            for attempt in exchange.attempts
        ]

    def crash(self) -> None:
        """Let some runners that carry streams crash.

        Their connections are closed.
        """
        used = sorted(
            {
                (part.runner_id, part.address)
                for _, attempt in self.list_attempts()
                for part in attempt.chain
            }
        )
        self.crashed = dict(self.random_source.sample(used, CRASH_COUNT))
        self.crashed_at = self.now
        self.cut_count = self.move_count = 0
        for instance, attempt in self.list_attempts():
            if attempt.runner_id in self.crashed:
                kind = events.FailureKind.CLOSED
                self.fail_send(instance, attempt.send_id, kind)
        for instance, watched in enumerate(self.watched):
            lost = watched.intersection(self.crashed.values())
            self.watched[instance] = watched - lost
            for address in sorted(lost):
                self.schedule(
                    LINK_SECONDS,
                    instance,
                    relay_events.WatchEnded,
                    address=address,
                    end=relay_events.WatchEnd.LOST,
                )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimerDue(events.Event):
    """Mark a step that fires a timer, unless it was replaced."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StreamDue(events.Event):
    """Mark a step that continues a stream."""


def allow_retries(
    known: states.ConfigurationState,
) -> states.ConfigurationState:
    """Return the configuration with routes that allow a second run."""
    assert known.active is not None, 'the site is configured'
    routes_by_host = {
        host: tuple(
            dataclasses.replace(route, maximum_attempts=2) for route in routes
        )
        for host, routes in known.active.routes_by_host.items()
    }
    active = dataclasses.replace(
        known.active, routes_by_host=immutables.Map(routes_by_host)
    )
    return dataclasses.replace(known, active=active)


def name_addresses(runner_map: runners.RunnerMap) -> runners.RunnerMap:
    """Return the runners with an address each."""
    return immutables.Map(
        {
            runner_id: dataclasses.replace(
                runner,
                listed=dataclasses.replace(
                    runner.listed, address=f'10.1.{number}.1:8000'
                ),
            )
            for number, (runner_id, runner) in enumerate(
                sorted(runner_map.items())
            )
        }
    )


def measure(
    seed: int, instance_count: int = INSTANCE_COUNT
) -> dict[str, typing.Any]:
    """Return the pauses of streams and the sends to crashed runners."""
    site = Site(seed, instance_count)
    for _ in range(instance_count * STREAMS_PER_INSTANCE):
        site.request(site.random_source.uniform(0, 1))
    rate = REQUESTS_PER_SECOND * instance_count / INSTANCE_COUNT
    for _ in range(int(rate * AFTER_SECONDS)):
        site.request(
            BEFORE_SECONDS + site.random_source.uniform(0, AFTER_SECONDS)
        )
    site.play(BEFORE_SECONDS)
    site.crash()
    site.play(BEFORE_SECONDS + AFTER_SECONDS)
    site.note_open_pauses()
    known_at = max(site.known_at, default=site.crashed_at)
    return {
        'longest_pause_ms': int(max(site.pauses) * 1000),
        'late_pauses': sum(pause > LATE_PAUSE_SECONDS for pause in site.pauses),
        'moves': site.move_count,
        'sends_to_crashed': len(site.rejected_at),
        'late_sends': sum(at > LATE_SEND_SECONDS for at in site.rejected_at),
        'streams_cut': site.cut_count,
        'last_told_ms': round((known_at - site.crashed_at) * 1000, 1),
        'faults_known': len(site.known_at),
    }


def measure_silence(
    seed: int, instance_count: int = INSTANCE_COUNT
) -> dict[str, typing.Any]:
    """Return the same where each instance detects silence by itself."""
    with (
        mock.patch.object(runner_watch, 'choose_watched', return_value={}),
        mock.patch.object(fault_telling, 'build_reports', return_value=()),
    ):
        return measure(seed, instance_count)


def main(seed: int = 1, write: bool = False) -> None:
    """Print the measures with and without reports; keep them if `write`."""
    results = {'told': measure(seed), 'silence': measure_silence(seed)}
    print(results)
    if write:
        command = (
            'PYTHONPATH=src:. PYTHONHASHSEED=0'
            ' python -m bench.common_crashes --write'
        )
        measurements.write('common_crashes', command, results)


if __name__ == '__main__':
    fire.Fire(main)
