"""Simulate a site around the reducers of entry instances.

The simulation holds the log, the runners, the messages and the clock. It
checks the guarantees of actions whenever a call is sent or a caller gets a
reply.
"""

import dataclasses
import typing
import uuid

from mustardvale import document, errors
from mustardvale.internal import (
    action_keys,
    caller_messages,
    calls,
    configuration,
    effects,
    events,
    handlers,
    log_streams,
    membership,
    records,
    state,
    timers,
    upstreams,
)
from tests import action_effects, action_site, entry_states

WALL = 1_800_000_000.0
INSTANCES = 3
RUNNERS = 2
BODIES = (b'"wheel 7"', b'"wheel 8"')


def make_key(created: float, number: int) -> str:
    """Return a UUID version 7 with a creation time in seconds."""
    high = int(created * 1000) << 16 | 7 << 12
    return str(uuid.UUID(int=high << 64 | 2 << 62 | number))


# Both keys are in one partition. The second expires a minute after the start.
KEYS = (
    make_key(WALL, 1),
    make_key(WALL - action_keys.WINDOW_SECONDS + 60, 23),
)


class Instance:
    """Hold one entry instance with its timers and pending calls."""

    def __init__(self, number: int, initial: state.State) -> None:
        self.number = number
        self.state = initial
        self.timers: dict[typing.Any, float] = {}
        self.calls: list[effects.Call] = []


class SimulatedRequest:
    """Hold a request, its sends to runners and the replies to its caller."""

    def __init__(self, key: str, body: bytes) -> None:
        self.key = key
        self.body = body
        self.replies: list[typing.Any] = []
        self.sends = 0


class Site:
    """Hold the simulated site; each method is one possible step."""

    def __init__(self) -> None:
        self.now = 100.0
        self.log: dict[str, list[records.StoredRecord]] = {}
        self.next_offsets: dict[str, int] = {}
        self.delayed_appends: list[tuple[str, records.Record]] = []
        self.messages: list[tuple[str, str, typing.Any]] = []
        self.requests: dict[str, SimulatedRequest] = {}
        self.attempts: dict[str, str] = {}
        self.sends: dict[str, int] = {}
        self.answers: dict[str, bytes] = {}
        self.counts: dict[str, int] = {}
        self.document = document.parse(action_site.DOCUMENT)
        self.instances = [
            Instance(number, self.build_state(number, 1))
            for number in range(INSTANCES)
        ]
        for instance in self.instances:
            self.start_instance(instance)

    @property
    def wall_time(self) -> float:
        """Return the wall time, which is the same at all instances."""
        return WALL + self.now - 100

    def start_instance(self, instance: Instance) -> None:
        """Start the partition check and deliver the heartbeats of the peers."""
        instance.timers[timers.PartitionCheckDue()] = self.now + 3
        self.receive_heartbeats(instance.number)

    def build_state(self, number: int, incarnation: int) -> state.State:
        """Return the state of an instance that knows document and runners."""
        table = upstreams.UpstreamTable()
        for runner in range(RUNNERS):
            listed = calls.ListedInstance(
                f'service-{runner}',
                action_site.SERVICE,
                f'service:{runner}',
                'zone',
            )
            report = calls.LoadReport(f'service-{runner}')
            table = table.replace(entry_states.build_upstream(listed, report))
        return state.State(
            identity=membership.Identity(
                f'entry-{number}',
                f'entry:{number}',
                f'peer:{number}',
                'zone',
                incarnation=incarnation,
            ),
            seed=number + 1,
            configuration=configuration.ConfigurationState(
                'production',
                document=self.document,
            ),
            log=log_streams.LogState('log:1'),
            membership=membership.Membership('list:1'),
            upstreams=table,
        )

    def build_event(self, kind: typing.Any, **fields: typing.Any) -> typing.Any:
        """Build an event with the current time."""
        return kind(at=self.now, wall_time=self.wall_time, **fields)

    def reduce_event(
        self, instance: Instance, kind: typing.Any, **fields: typing.Any
    ) -> None:
        """Reduce an event at an instance and perform the effects."""
        event = self.build_event(kind, **fields)
        transition = handlers.reduce(event, instance.state)
        instance.state = transition.state
        for effect in transition.effects:
            action_effects.perform(effect, instance, self)

    def count_result(self, result: str) -> None:
        """Count an occurrence of a result."""
        self.counts[result] = self.counts.get(result, 0) + 1

    def ask(
        self,
        number: int,
        key: str,
        body: bytes,
        deadline_seconds: float,
    ) -> None:
        """Send the request of a caller to an instance."""
        request_id = f'request-{len(self.requests)}'
        self.requests[request_id] = SimulatedRequest(key, body)
        request = caller_messages.ActionRequest(
            account_key=action_site.ACCOUNT_KEY,
            deadline_seconds=deadline_seconds,
            service=action_site.SERVICE,
            operation='log-wheel',
            idempotency_key=key,
            body=body,
        )
        self.reduce_event(
            self.instances[number],
            events.CallerRequested,
            request_id=request_id,
            request=request,
        )

    def find_pending(
        self, kind: type[typing.Any]
    ) -> list[tuple[Instance, effects.Call]]:
        """Return the pending calls of a type that can end."""
        return [
            (instance, call)
            for instance in self.instances
            for call in instance.calls
            if isinstance(call.call, kind) and self.is_ready(call.call)
        ]

    def is_ready(self, call: typing.Any) -> bool:
        """Return whether a call can end; a read needs new records."""
        if not isinstance(call, calls.ReadRecords):
            return True
        name = call.stream.name
        return self.next_offsets.get(name, 0) > call.from_offset

    def answer(
        self,
        instance: Instance,
        call: effects.Call,
        answer: typing.Any,
    ) -> None:
        """Answer a pending call."""
        instance.calls.remove(call)
        self.reduce_event(
            instance,
            events.CallAnswered,
            call=call.call,
            address=call.address,
            answer=answer,
        )

    def fail(
        self,
        instance: Instance,
        call: effects.Call,
        kind: events.FailureKind,
        sent: bool,
    ) -> None:
        """Fail a pending call."""
        instance.calls.remove(call)
        self.reduce_event(
            instance,
            events.CallFailed,
            call=call.call,
            address=call.address,
            failure=events.Failure(kind, sent),
        )

    def store(self, stream: str, record: records.Record) -> int:
        """Append one record and return its offset."""
        offset = self.next_offsets.get(stream, 0)
        stored = records.StoredRecord(offset, self.wall_time, record)
        self.log.setdefault(stream, []).append(stored)
        self.next_offsets[stream] = offset + 1
        return offset

    def append_records(self, call: calls.AppendRecords) -> int:
        """Append the records of a call and return the first offset."""
        name = call.stream.name
        offsets = [self.store(name, record) for record in call.records]
        return offsets[0]

    def delay_append(self, call: calls.AppendRecords) -> None:
        """Store the records of a call, which may be appended later."""
        name = call.stream.name
        self.delayed_appends.extend((name, record) for record in call.records)

    def read(self, call: calls.ReadRecords, limit: int) -> calls.RecordsRead:
        """Return the records that a read finds."""
        name = call.stream.name
        stored = self.log.get(name, [])
        following = self.next_offsets.get(name, 0)
        earliest = stored[0].offset if stored else following
        remaining = [
            record for record in stored if record.offset >= call.from_offset
        ]
        return calls.RecordsRead(tuple(remaining[:limit]), earliest, following)

    def execute(self, call: calls.RunAction) -> calls.ActionAnswer:
        """Execute an action at a runner; each execution has its own answer."""
        execution = len(self.answers)
        text = f'{call.idempotency_key} {call.body.decode()} {execution}'
        self.answers[call.attempt_id] = text.encode()
        return calls.ActionAnswer(200, text.encode())

    def check_send(self, instance: Instance, call: calls.RunAction) -> None:
        """Check that a send is the first one for its key.

        Its caller must not have been told that the request was not run.
        """
        self.count_result('sends')
        key = call.idempotency_key
        self.sends[key] = self.sends.get(key, 0) + 1
        assert self.sends[key] == 1, f'{key} was sent {self.sends[key]} times'
        holder = instance.state.actions.find_by_attempt(call.attempt_id)
        assert holder is not None, 'a sent attempt belongs to a call'
        request = self.requests[
            action_effects.find_request_id(holder.request.origin)
        ]
        self.attempts[call.attempt_id] = action_effects.find_request_id(
            holder.request.origin
        )
        request.sends += 1
        denials = [reply for reply in request.replies if is_not_run(reply)]
        assert not denials, f'sent after the caller was told {denials}'

    def retract_send(self, call: calls.RunAction) -> None:
        """Retract a send of which the runner received no byte."""
        self.count_result('refused connections')
        self.sends[call.idempotency_key] -= 1
        self.requests[self.attempts[call.attempt_id]].sends -= 1

    def check_reply(self, request_id: str, reply: typing.Any) -> None:
        """Check that a reply is the only one and agrees with the sends."""
        request = self.requests[request_id]
        assert not request.replies, f'{request_id} was answered twice'
        request.replies.append(reply)
        if isinstance(reply, caller_messages.ActionDone):
            self.count_result('replayed' if reply.replayed else 'done')
            start = f'{request.key} {request.body.decode()} '.encode()
            assert reply.body.startswith(start), 'answer of another request'
            assert reply.body in self.answers.values(), 'answer never given'
            return
        self.count_result(f'{reply.code.name} {reply.outcome.value}')
        if not is_not_run(reply):
            return
        assert not request.sends, f'not_run after a send: {reply}'
        if reply.scope is errors.Scope.KEY:
            sends = self.sends.get(request.key, 0)
            assert not sends, f'key not_run after a send: {reply}'

    def receive_heartbeats(self, number: int) -> None:
        """Deliver the heartbeats of all other instances to an instance."""
        instance = self.instances[number]
        for other in self.instances:
            if other is not instance:
                self.reduce_event(
                    instance,
                    events.PeerMessageReceived,
                    sender=other.state.identity.peer_address,
                    message=membership.build_heartbeat(other.state),
                )

    def deliver(self, message: tuple[str, str, typing.Any]) -> None:
        """Deliver a message between instances."""
        sender, address, content = message
        instance = self.instances[int(address.rpartition(':')[2])]
        self.reduce_event(
            instance,
            events.PeerMessageReceived,
            sender=sender,
            message=content,
        )

    def find_due_timers(self) -> list[tuple[Instance, typing.Any]]:
        """Return the timers that are due."""
        return [
            (instance, timer)
            for instance in self.instances
            for timer, due in instance.timers.items()
            if due <= self.now
        ]

    def fire_timer(self, instance: Instance, timer: typing.Any) -> None:
        """Fire a timer that is due."""
        del instance.timers[timer]
        self.reduce_event(instance, events.TimerFired, timer=timer)

    def restart(self, number: int) -> None:
        """Restart an instance; its appends in flight may still be stored."""
        instance = self.instances[number]
        for call in instance.calls:
            if isinstance(call.call, calls.AppendRecords):
                self.delay_append(call.call)
        incarnation = instance.state.identity.incarnation + 1
        instance.state = self.build_state(number, incarnation)
        instance.calls.clear()
        instance.timers.clear()
        self.start_instance(instance)

    def settle(self) -> None:
        """Complete everything in flight until nothing is left."""
        for _ in range(200):
            if not self.settle_next():
                return
        raise AssertionError(
            'the site still has work in flight after 200 steps'
        )

    def settle_log(self, number: int) -> None:
        """Complete the pending appends and reads of one instance."""
        instance = self.instances[number]
        for owner, call in self.find_pending(calls.AppendRecords):
            if owner is instance:
                first = self.append_records(call.call)
                self.answer(instance, call, calls.RecordsAppended(first))
        for owner, call in self.find_pending(calls.ReadRecords):
            if owner is instance:
                self.answer(instance, call, self.read(call.call, 500))

    def settle_next(self) -> bool:
        """Deliver all messages and complete one pending call, if any."""
        while self.messages:
            self.deliver(self.messages.pop(0))
        for instance, call in self.find_pending(calls.AppendRecords):
            first = self.append_records(call.call)
            self.answer(instance, call, calls.RecordsAppended(first))
            return True
        for instance, call in self.find_pending(calls.ReadRecords):
            self.answer(instance, call, self.read(call.call, 500))
            return True
        for instance, call in self.find_pending(calls.RunAction):
            self.answer(instance, call, self.execute(call.call))
            return True
        return False


def find_partition(key: str) -> int:
    """Return the partition of a key of the test account."""
    return action_keys.find_partition(
        action_keys.ActionKey('cellar-hands', key),
    )


def set_log_available(before: state.State) -> state.State:
    """Return the state of an instance with an available log."""
    log = dataclasses.replace(before.log, is_available=True)
    return dataclasses.replace(before, log=log)


def is_not_run(reply: typing.Any) -> bool:
    """Return whether a reply states that a request was not run."""
    return (
        isinstance(reply, caller_messages.RequestError)
        and reply.outcome is errors.Outcome.NOT_RUN
    )
