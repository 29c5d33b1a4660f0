"""Test the guarantees of actions under random interleavings and faults."""

import unittest
from collections import abc

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from mustardvale.internal import calls, events
from tests import action_model

PAUSES_SECONDS = (0.1, 0.6, 2, 11, 700)
PICKS = st.integers(0, 1000)
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    max_examples=300,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=tuple(hypothesis.HealthCheck),
)


Disturbance = abc.Callable[[action_model.Site, int], None]


def let_time_pass(site: action_model.Site, pick: int) -> None:
    """Advance the time while no instance runs."""
    site.now += PAUSES_SECONDS[pick % len(PAUSES_SECONDS)]


def receive_heartbeats(site: action_model.Site, pick: int) -> None:
    """Deliver heartbeats to an instance, which may have suspected its peers."""
    site.receive_heartbeats(pick % action_model.INSTANCES)


def restart(site: action_model.Site, pick: int) -> None:
    """Restart an instance."""
    site.restart(pick % action_model.INSTANCES)


def drop_records(site: action_model.Site, pick: int) -> None:
    """Drop old records earlier than the retention of the log allows."""
    for stored in site.log.values():
        del stored[: max(len(stored) - pick % 3, 0)]


DISTURBANCES = (
    let_time_pass,
    let_time_pass,
    receive_heartbeats,
    restart,
    drop_records,
)


class ActionMachine(stateful.RuleBasedStateMachine):
    """Run three instances on a log that loses, repeats and delays appends."""

    def __init__(self) -> None:
        super().__init__()
        self.site = action_model.Site()

    @stateful.rule(
        number=st.integers(0, action_model.INSTANCES - 1),
        key=st.sampled_from(action_model.KEYS),
        body=st.sampled_from(action_model.BODIES),
        deadline=st.sampled_from((1, 5, 300)),
    )
    def ask(self, number: int, key: str, body: bytes, deadline: float) -> None:
        """Request an action."""
        self.site.ask(number, key, body, deadline)

    def pick_call(self, kind: type, pick: int) -> tuple:
        """Return one of the calls of a type that can end."""
        pending = self.site.find_pending(kind)
        return pending[pick % len(pending)]

    def can_append(self) -> bool:
        """Return whether an append is in flight."""
        return bool(self.site.find_pending(calls.AppendRecords))

    def can_read(self) -> bool:
        """Return whether a read finds records."""
        return bool(self.site.find_pending(calls.ReadRecords))

    def can_run(self) -> bool:
        """Return whether an action is in flight."""
        return bool(self.site.find_pending(calls.RunAction))

    @stateful.precondition(can_append)
    @stateful.rule(pick=PICKS, repeated=st.booleans())
    def append(self, pick: int, repeated: bool) -> None:
        """Append and answer; a copy may be appended again later."""
        instance, call = self.pick_call(calls.AppendRecords, pick)
        first = self.site.append_records(call.call)
        if repeated:
            self.site.delay_append(call.call)
        self.site.answer(instance, call, calls.RecordsAppended(first))

    @stateful.precondition(can_append)
    @stateful.rule(pick=PICKS, effect=st.sampled_from(('now', 'late', 'no')))
    def append_without_answer(self, pick: int, effect: str) -> None:
        """Lose the response to an append that is stored now, later or never."""
        instance, call = self.pick_call(calls.AppendRecords, pick)
        if effect == 'now':
            self.site.append_records(call.call)
        if effect == 'late':
            self.site.delay_append(call.call)
        self.site.fail(instance, call, events.FailureKind.TIMED_OUT, True)

    @stateful.precondition(can_append)
    @stateful.rule(pick=PICKS, status=st.sampled_from((429, 503)))
    def refuse_append(self, pick: int, status: int) -> None:
        """Refuse an append, for its rate or because the log is unavailable."""
        instance, call = self.pick_call(calls.AppendRecords, pick)
        refused = calls.PlatformRefused(status, 'refused')
        self.site.answer(instance, call, refused)

    @stateful.precondition(lambda self: self.site.delayed_appends)
    @stateful.rule(pick=PICKS)
    def append_late(self, pick: int) -> None:
        """Store a delayed append."""
        late = self.site.delayed_appends
        stream, record = late.pop(pick % len(late))
        self.site.store(stream, record)

    @stateful.precondition(can_read)
    @stateful.rule(pick=PICKS, limit=st.sampled_from((1, 2, 500)))
    def read(self, pick: int, limit: int) -> None:
        """Answer a read."""
        instance, call = self.pick_call(calls.ReadRecords, pick)
        answer = self.site.read(call.call, limit)
        self.site.answer(instance, call, answer)

    @stateful.precondition(can_read)
    @stateful.rule(pick=PICKS)
    def fail_read(self, pick: int) -> None:
        """Fail a read."""
        instance, call = self.pick_call(calls.ReadRecords, pick)
        self.site.fail(instance, call, events.FailureKind.TIMED_OUT, True)

    @stateful.precondition(can_run)
    @stateful.rule(pick=PICKS)
    def run_action(self, pick: int) -> None:
        """Execute an action and answer."""
        instance, call = self.pick_call(calls.RunAction, pick)
        self.site.answer(instance, call, self.site.execute(call.call))

    @stateful.precondition(can_run)
    @stateful.rule(pick=PICKS)
    def lose_action(self, pick: int) -> None:
        """Close the connection of an action after its first byte."""
        instance, call = self.pick_call(calls.RunAction, pick)
        self.site.fail(instance, call, events.FailureKind.CLOSED, True)

    @stateful.precondition(can_run)
    @stateful.rule(pick=PICKS)
    def refuse_connection(self, pick: int) -> None:
        """Refuse the connection for an action."""
        instance, call = self.pick_call(calls.RunAction, pick)
        self.site.retract_send(call.call)
        self.site.fail(instance, call, events.FailureKind.REFUSED, False)

    @stateful.precondition(lambda self: self.site.messages)
    @stateful.rule(pick=PICKS, lost=st.booleans())
    def pass_message(self, pick: int, lost: bool) -> None:
        """Deliver or lose a message; the transport duplicates none."""
        waiting = self.site.messages
        message = waiting.pop(pick % len(waiting))
        if not lost:
            self.site.deliver(message)

    @stateful.precondition(lambda self: self.site.find_due_timers())
    @stateful.rule(pick=PICKS)
    def fire_timer(self, pick: int) -> None:
        """Fire a timer that is due."""
        due = self.site.find_due_timers()
        self.site.fire_timer(*due[pick % len(due)])

    @stateful.rule(
        disturb=st.sampled_from(DISTURBANCES),
        pick=PICKS,
    )
    def disturb(self, disturb: Disturbance, pick: int) -> None:
        """Advance the time, or disturb one instance or all streams.

        A single rule for all disturbances leaves more steps to other events.
        """
        disturb(self.site, pick)

    @stateful.rule(number=st.integers(0, action_model.INSTANCES - 1))
    def settle_log(self, number: int) -> None:
        """Complete the calls of one instance to the log."""
        self.site.settle_log(number)

    @stateful.rule()
    def settle(self) -> None:
        """Complete everything in flight."""
        self.site.settle()


class RandomInterleavings(unittest.TestCase):
    """At most one send per key, and no false statement to a caller."""

    def test_guarantees_hold(self) -> None:
        """Guard against double sends, false `not_run` and wrong answers."""
        stateful.run_state_machine_as_test(ActionMachine, settings=SETTINGS)
