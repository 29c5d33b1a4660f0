"""Test actions with pauses, losses and gaps at single steps."""

import unittest

from mustardvale import errors
from mustardvale.internal import calls, events, partitions, timers
from tests import action_model

KEY, OLD_KEY = action_model.KEYS
BODY = action_model.BODIES[0]


class ActionTestCase(unittest.TestCase):
    """Start each test with a site in which each instance owns every partition."""

    def setUp(self) -> None:
        """Build a site and let the heartbeats of all peers expire."""
        self.site = action_model.Site()
        self.site.now += 4

    def ask(self, number: int = 0, key: str = KEY, **fields: object) -> None:
        """Request an action."""
        body = fields.get('body', BODY)
        deadline = fields.get('deadline', 10)
        self.site.ask(number, key, body, deadline)

    def find_only_call(self, kind: type, number: int = 0) -> tuple:
        """Return the only pending call of a type at an instance."""
        instance = self.site.instances[number]
        pending = [
            call for call in instance.calls if isinstance(call.call, kind)
        ]
        self.assertEqual(len(pending), 1, pending)
        return instance, pending[0]

    def find_reply(self, number: int = -1) -> object:
        """Return the reply to a request, by default to the last one."""
        return list(self.site.requests.values())[number].replies[0]

    def settle_reads(self, number: int = 0) -> None:
        """Complete the reads of one instance."""
        for instance, call in self.site.find_pending(calls.ReadRecords):
            if instance.number == number:
                answer = self.site.read(call.call, 500)
                self.site.answer(instance, call, answer)


class LostAppend(ActionTestCase):
    """An append without a response leaves the outcome open."""

    def test_abandoned_attempt_is_not_sent_when_it_is_read(self) -> None:
        """Guard against a send after the caller was told `not_run`."""
        self.ask()
        instance, call = self.find_only_call(calls.AppendRecords)
        self.site.append_records(call.call)
        self.site.fail(instance, call, events.FailureKind.TIMED_OUT, True)
        self.assertIs(self.find_reply().code, errors.LOG_UNAVAILABLE)
        self.assertIs(self.find_reply().scope, errors.Scope.CALL)
        self.settle_reads()
        self.assertEqual(self.site.find_pending(calls.RunAction), [])

    def test_key_is_usable_again_after_the_abandonment(self) -> None:
        """Guard against a key that a lost append blocks until it expires."""
        self.ask()
        instance, call = self.find_only_call(calls.AppendRecords)
        self.site.delay_append(call.call)
        self.site.fail(instance, call, events.FailureKind.TIMED_OUT, True)
        self.site.now += 1
        self.site.fire_timer(instance, timers.AppendDue(call.call.stream))
        self.site.settle()
        for stream, record in self.site.delayed_appends:
            self.site.store(stream, record)
        self.site.settle()
        self.assertTrue(instance.state.actions.is_idle())
        instance.state = action_model.set_log_available(instance.state)
        self.ask()
        self.site.now += 1
        self.site.fire_timer(instance, timers.AppendDue(call.call.stream))
        self.site.settle()
        self.assertEqual(self.find_reply().status, 200)

    def test_log_that_does_not_answer_is_reported_in_two_seconds(self) -> None:
        """Guard against callers that wait while the log does not respond."""
        self.ask()
        instance = self.site.instances[0]
        attempt_id = next(iter(instance.state.actions.by_attempt))
        self.site.now += 2
        self.site.fire_timer(instance, timers.ClaimDeadline(attempt_id))
        self.assertIs(self.find_reply().code, errors.LOG_UNAVAILABLE)
        self.assertIs(self.find_reply().outcome, errors.Outcome.NOT_RUN)

    def test_refused_append_is_repeated(self) -> None:
        """Guard against a rate limit treated as an outage of the log."""
        self.ask()
        instance, call = self.find_only_call(calls.AppendRecords)
        refused = calls.PlatformRefused(429, 'too many appends')
        self.site.answer(instance, call, refused)
        self.site.now += 1
        self.site.fire_timer(instance, timers.AppendDue(call.call.stream))
        self.site.settle()
        self.assertEqual(self.find_reply().status, 200)


class LogOutage(ActionTestCase):
    """While the log is unavailable, no attempt is appended."""

    def setUp(self) -> None:
        """Let an append fail."""
        super().setUp()
        self.ask()
        instance, call = self.find_only_call(calls.AppendRecords)
        self.site.fail(instance, call, events.FailureKind.REFUSED, False)

    def test_next_call_is_refused_at_once(self) -> None:
        """Guard against callers that wait although the log is down."""
        self.ask()
        self.assertIs(self.find_reply().code, errors.LOG_UNAVAILABLE)
        self.assertEqual(self.find_reply().retry_after_seconds, 1)


class Pause(ActionTestCase):
    """An instance may be paused between two steps without noticing it."""

    def test_action_is_not_sent_after_its_deadline(self) -> None:
        """Guard against a send after the deadline of the caller."""
        self.ask()
        self.site.now += 60
        instance, call = self.find_only_call(calls.AppendRecords)
        first = self.site.append_records(call.call)
        self.site.answer(instance, call, calls.RecordsAppended(first))
        self.settle_reads()
        self.assertIs(self.find_reply().code, errors.DEADLINE_EXCEEDED)
        self.assertIs(self.find_reply().outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.site.find_pending(calls.RunAction), [])

    def test_late_answer_is_stored_for_a_repeat(self) -> None:
        """Guard against the loss of an answer that came after the deadline."""
        self.ask()
        self.site.settle_log(0)
        instance, call = self.find_only_call(calls.RunAction)
        self.site.now += 10
        self.site.fire_timer(instance, timers.ActionDeadline(0))
        self.assertIs(self.find_reply().outcome, errors.Outcome.UNKNOWN)
        self.site.answer(instance, call, self.site.execute(call.call))
        self.site.fire_timer(instance, timers.AppendDue(self.find_stream()))
        self.site.settle()
        self.ask()
        self.assertTrue(self.find_reply().replayed)

    def find_stream(self) -> object:
        """Return the stream of the key."""
        return next(iter(self.site.instances[0].state.log.queues))


class SecondInstance(ActionTestCase):
    """The log decides between two instances that claim the same key."""

    def test_loser_waits_for_the_answer_of_the_winner(self) -> None:
        """Guard against two sends when instances disagree on the owner."""
        self.ask(0)
        self.ask(1)
        self.site.settle()
        instance = self.site.instances[0]
        stream = next(iter(instance.state.log.queues))
        self.site.now += 1
        self.site.fire_timer(instance, timers.AppendDue(stream))
        self.site.settle()
        self.assertEqual(self.site.counts, build_expected_counts(1, 1))

    def test_repeat_after_a_restart_is_unknown(self) -> None:
        """Guard against a second send after a restart of the sender."""
        self.ask(0)
        self.site.settle_log(0)
        self.site.restart(0)
        self.site.now += 4
        self.ask(0)
        self.site.settle()
        self.assertIs(self.find_reply().code, errors.OUTCOME_UNKNOWN)


def build_expected_counts(done: int, replayed: int) -> dict[str, int]:
    """Return the expected counts of a site that sent one action."""
    return {'sends': 1, 'done': done, 'replayed': replayed}


class Gap(ActionTestCase):
    """Records that were dropped unread may concern a key."""

    def answer_once(self) -> None:
        """Run an action at instance 0 and record its answer."""
        self.ask(0)
        self.site.settle()
        instance = self.site.instances[0]
        stream = next(iter(instance.state.log.queues))
        self.site.now += 1
        self.site.fire_timer(instance, timers.AppendDue(stream))
        self.site.settle()

    def test_key_older_than_the_gap_is_unknown(self) -> None:
        """Guard against a second send when retention drops too much."""
        self.answer_once()
        for stored in self.site.log.values():
            stored.clear()
        self.ask(1)
        self.site.settle()
        self.assertIs(self.find_reply().code, errors.OUTCOME_UNKNOWN)
        self.assertEqual(self.site.counts['sends'], 1)

    def test_key_younger_than_the_gap_is_run(self) -> None:
        """Guard against the refusal of keys without dropped records."""
        self.answer_once()
        for stored in self.site.log.values():
            del stored[:-1]
        margin = 60 + partitions.MAXIMUM_CLOCK_SKEW_SECONDS
        self.site.now += margin + 1
        key = find_key_in_same_partition(action_model.WALL + margin + 10)
        self.ask(1, key)
        self.site.settle()
        self.assertEqual(self.find_reply().status, 200)


def find_key_in_same_partition(created: float) -> str:
    """Return a key with a creation time in the partition of `KEY`."""
    return next(
        key
        for key in (
            action_model.make_key(created, number) for number in range(1000)
        )
        if action_model.find_partition(key) == action_model.find_partition(KEY)
    )


class Expiry(ActionTestCase):
    """An action whose key expires during the claim is not sent."""

    def test_attempt_appended_after_the_window_is_not_sent(self) -> None:
        """Guard against a send for a key whose answer may have been pruned."""
        self.ask(0, OLD_KEY, deadline=300)
        self.site.now += 70
        instance, call = self.find_only_call(calls.AppendRecords)
        first = self.site.append_records(call.call)
        self.site.answer(instance, call, calls.RecordsAppended(first))
        self.settle_reads()
        self.assertIs(self.find_reply().code, errors.IDEMPOTENCY_KEY_EXPIRED)
        self.assertEqual(self.site.find_pending(calls.RunAction), [])


class KeyChecks(ActionTestCase):
    """A call without a valid key is refused before any attempt."""

    def test_codes(self) -> None:
        """Guard against an action whose repeats cannot be recognised."""
        cases = {
            '': errors.IDEMPOTENCY_KEY_REQUIRED,
            'wheel-7': errors.IDEMPOTENCY_KEY_INVALID,
            '1b671a64-40d5-491e-99b0-da01ff1f3341': (
                errors.IDEMPOTENCY_KEY_INVALID
            ),
            action_model.make_key(self.site.wall_time + 61, 1): (
                errors.IDEMPOTENCY_KEY_INVALID
            ),
            action_model.make_key(self.site.wall_time - 6 * 3600 - 1, 1): (
                errors.IDEMPOTENCY_KEY_EXPIRED
            ),
        }
        for key, code in cases.items():
            with self.subTest(key=key):
                self.ask(0, key)
                self.assertIs(self.find_reply().code, code)
        self.assertEqual(self.site.find_pending(calls.AppendRecords), [])

    def test_other_body_is_refused(self) -> None:
        """Guard against the answer of another request."""
        self.ask(0)
        self.ask(0, body=action_model.BODIES[1])
        self.assertIs(self.find_reply().code, errors.IDEMPOTENCY_KEY_REUSED)


class Runners(ActionTestCase):
    """Another runner is used only after a refused connection."""

    def setUp(self) -> None:
        """Send an action to a runner."""
        super().setUp()
        self.ask()
        self.site.settle_log(0)

    def refuse(self) -> None:
        """Refuse the connection for the action."""
        instance, call = self.find_only_call(calls.RunAction)
        self.site.retract_send(call.call)
        self.site.fail(instance, call, events.FailureKind.REFUSED, False)

    def test_refused_connection_leads_to_the_other_runner(self) -> None:
        """Guard against an error while another runner is usable."""
        _, first = self.find_only_call(calls.RunAction)
        self.refuse()
        _, second = self.find_only_call(calls.RunAction)
        self.assertNotEqual(first.address, second.address)

    def test_key_is_free_when_no_runner_takes_the_action(self) -> None:
        """Guard against a key that stays held although nothing was sent."""
        self.refuse()
        self.refuse()
        self.assertIs(self.find_reply().code, errors.NO_UPSTREAM)
        self.assertIs(self.find_reply().scope, errors.Scope.KEY)

    def test_broken_connection_ends_the_attempt(self) -> None:
        """Guard against a second send after the first byte."""
        instance, call = self.find_only_call(calls.RunAction)
        self.site.fail(instance, call, events.FailureKind.CLOSED, True)
        self.assertIs(self.find_reply().outcome, errors.Outcome.UNKNOWN)
        self.assertEqual(self.site.find_pending(calls.RunAction), [])
        for number in (0, 1):
            self.ask(number)
            self.site.now += 1
            for due in self.site.find_due_timers():
                self.site.fire_timer(*due)
            self.site.settle()
        self.assertEqual(self.site.counts['sends'], 1)


class Forwarding(unittest.TestCase):
    """An instance forwards calls of partitions that it does not own."""

    def setUp(self) -> None:
        """Request an action from an instance other than the owner."""
        self.site = action_model.Site()
        self.site.ask(0, KEY, BODY, 10)

    def test_outcome_reaches_the_caller(self) -> None:
        """Guard against a lost outcome."""
        self.assertEqual(len(self.site.messages), 1)
        self.site.settle()
        self.assertEqual(self.site.requests['request-0'].replies[0].status, 200)

    def test_lost_message_is_unknown_at_the_deadline(self) -> None:
        """Guard against a false `not_run` about a call that may run."""
        self.site.messages.clear()
        self.site.now += 10
        instance = self.site.instances[0]
        self.site.fire_timer(instance, timers.ForwardDeadline('request-0'))
        reply = self.site.requests['request-0'].replies[0]
        self.assertIs(reply.outcome, errors.Outcome.UNKNOWN)

    def fire_owner_check(self) -> None:
        """Let the instance check its forwarded call."""
        self.site.now += 0.5
        instance = self.site.instances[0]
        self.site.fire_timer(instance, timers.ForwardCheckDue('request-0'))

    def test_action_of_a_lost_message_is_run_locally(self) -> None:
        """Guard against a caller that waits for an owner that failed."""
        self.site.messages.clear()
        self.fire_owner_check()
        self.site.settle()
        self.assertEqual(self.site.requests['request-0'].replies[0].status, 200)
        self.assertEqual(self.site.counts['sends'], 1)

    def test_call_that_both_run_is_sent_once(self) -> None:
        """Guard against a second send when the owner was only slow."""
        self.fire_owner_check()
        self.site.settle()
        self.assertEqual(self.site.requests['request-0'].replies[0].status, 200)
        self.assertEqual(self.site.counts['sends'], 1)

    def test_call_that_a_peer_may_run_is_not_denied(self) -> None:
        """Guard against `not_run` while the owner may send the action."""
        self.fire_owner_check()
        instance = self.site.instances[0]
        for call in list(instance.calls):
            self.site.fail(instance, call, events.FailureKind.CLOSED, True)
        replies = self.site.requests['request-0'].replies
        self.assertEqual(
            [reply.outcome for reply in replies],
            [errors.Outcome.UNKNOWN],
        )

    def test_message_read_after_a_pause_is_not_run(self) -> None:
        """Guard against an action that runs after its deadline."""
        self.site.now += 60
        self.site.settle()
        self.assertNotIn('sends', self.site.counts)
