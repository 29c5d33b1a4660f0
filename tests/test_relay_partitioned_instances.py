"""Test instances that are partitioned from the store but not from others."""

import collections
import dataclasses
import typing
import unittest

from mustardvale.internal import events
from mustardvale.internal.relay import calls, members, peer_feed, timers
from tests import relay_states

READER = members.Member(
    'entry-0', '10.0.0.9:80', 'zone-a', 'region', '10.0.0.9:84'
)
SECOND = dataclasses.replace(
    READER, instance_id='entry-00', peers='10.0.0.8:84'
)
OWN = members.Member(
    'entry-1', '10.0.0.1:80', 'zone-a', 'region', '10.0.0.1:84'
)
REMOTE = dataclasses.replace(
    READER,
    instance_id='entry-7',
    availability_zone='zone-b',
    peers='10.0.1.7:84',
)
STORE_CALLS = (
    calls.ReadRunners,
    calls.FollowRunners,
    calls.ReadConfiguration,
    calls.FollowConfiguration,
)
STEP_SECONDS = 0.1
PARTITION_SECONDS = 9.0
# An instance may try the store every two seconds, with a read of the list and
# one of the configuration. The first failures are retried at once.
ALLOWED_STORE_CALLS = 2 * (PARTITION_SECONDS / 2 + 1) + 2


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Describe when and how a call ends; without an answer it fails."""

    at: float
    call: typing.Any
    address: str
    answer: typing.Any = None


class PartitionedInstances(unittest.TestCase):
    """Instances that the store does not answer get changes from others."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.healthy: set[str] = set()
        self.is_store_lost = True
        self.readers_position = 1
        self.pending: list[Outcome] = []
        self.asked: collections.Counter[str] = collections.Counter()

    def know_members(self, *zone: members.Member) -> None:
        """Set the members that the instance knows."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            members=members.MemberState(
                zone=members.GroupState(listed_generation=1, listed=zone),
                readers=members.GroupState(
                    listed_generation=1, listed=(*zone[:2], REMOTE)
                ),
            ),
        )

    def schedule_outcomes(self) -> None:
        """Draw the outcome of each new call from what is reachable."""
        for sent in self.instance.calls:
            if isinstance(sent.call, STORE_CALLS):
                self.asked['store'] += 1
                outcome = Outcome(self.instance.now, sent.call, sent.address)
                if not self.is_store_lost:
                    wait_seconds = getattr(sent.call, 'wait_seconds', 0.0)
                    outcome = dataclasses.replace(
                        outcome,
                        at=self.instance.now + max(wait_seconds, STEP_SECONDS),
                        answer=answer_read(sent.call),
                    )
                self.pending.append(outcome)
            elif isinstance(sent.call, calls.FollowPeer):
                self.asked[sent.address] += 1
                is_healthy = sent.address in self.healthy
                update = calls.PeerUpdate(2, 0, (), self.readers_position, 0.1)
                self.pending.append(
                    Outcome(
                        self.instance.now + (0.7 if is_healthy else 1.2),
                        sent.call,
                        sent.address,
                        update if is_healthy else None,
                    )
                )
        self.instance.calls.clear()

    def play(self, seconds: float) -> None:
        """Let time pass, and end the calls that are due."""
        end_at = self.instance.now + seconds
        while self.instance.now < end_at:
            self.schedule_outcomes()
            due = [
                outcome
                for outcome in self.pending
                if outcome.at <= self.instance.now
            ]
            for outcome in due:
                self.pending.remove(outcome)
                self.end_call(outcome)
            if not due:
                self.instance.pass_time(STEP_SECONDS)

    def end_call(self, outcome: Outcome) -> None:
        """Answer a call, or fail it."""
        if outcome.answer is not None:
            self.instance.emit_event(
                events.CallAnswered,
                call=outcome.call,
                address=outcome.address,
                answer=outcome.answer,
            )
            return
        self.instance.emit_event(
            events.CallFailed,
            call=outcome.call,
            address=outcome.address,
            failure=events.Failure(events.FailureKind.CLOSED, True),
        )

    def test_second_reader_is_sound(self) -> None:
        """Guard against asking only a reader that has lost the store too."""
        self.know_members(READER, SECOND, OWN)
        for healthy in (READER, SECOND):
            with self.subTest(healthy=healthy.instance_id):
                self.asked.clear()
                self.healthy = {healthy.peers}
                self.play(PARTITION_SECONDS)
                self.assertEqual(
                    healthy.instance_id, self.instance.state.peer_feed.reader_id
                )
                self.assertLessEqual(self.asked['store'], ALLOWED_STORE_CALLS)

    def test_no_reader_of_the_zone_is_sound(self) -> None:
        """Guard against an old list while other zones have a newer one."""
        self.know_members(READER, SECOND, OWN)
        self.healthy = {REMOTE.peers}
        self.play(PARTITION_SECONDS)
        read_at = self.instance.state.runner_list.read_at
        assert read_at is not None
        self.assertLess(self.instance.now - read_at, 2.0)
        self.assertLessEqual(self.asked['store'], ALLOWED_STORE_CALLS)
        self.assertEqual(
            (READER, SECOND, OWN), self.instance.state.members.zone.listed
        )

    def test_store_is_lost_for_all(self) -> None:
        """Guard against store calls that grow with the instances in an outage.

        All readers wait for the store together with their followers.
        """
        self.know_members(READER, SECOND, OWN)
        self.play(PARTITION_SECONDS)
        self.assertLessEqual(self.asked['store'], ALLOWED_STORE_CALLS)

    def test_reader_returns_to_the_store(self) -> None:
        """Guard against a reader that keeps following another one."""
        self.know_members(OWN, SECOND)
        self.healthy = {SECOND.peers}
        self.play(PARTITION_SECONDS)
        self.assertGreater(self.asked[SECOND.peers], 0)
        self.is_store_lost = False
        self.play(peer_feed.STORE_RETRY_SECONDS + 1.0)
        self.assertEqual('', self.instance.state.peer_feed.reader_id)
        self.assertIsNone(self.instance.state.peer_feed.store_failed_at)

    def test_newer_version_that_cannot_be_read(self) -> None:
        """Guard against a read of the store for each update of a reader."""
        self.know_members(READER, SECOND, OWN)
        self.healthy = {READER.peers, SECOND.peers}
        self.play(1.0)
        self.asked.clear()
        self.readers_position = 5
        self.play(6.0)
        # One read at once, and one after each two seconds.
        self.assertLessEqual(self.asked['store'], 4)
        self.assertNotIn(
            timers.ConfigurationRetryDue(), self.instance.pending_timers
        )


def answer_read(call: typing.Any) -> typing.Any:
    """Return the answer of the store to a read that finds nothing new."""
    if isinstance(call, (calls.ReadConfiguration, calls.FollowConfiguration)):
        return calls.ConfigurationRead(1, None)
    return calls.RunnersRead(2, ())
