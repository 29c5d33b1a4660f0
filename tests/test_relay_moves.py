"""Test how running model requests move away from faulty runners."""

import unittest

from mustardvale.internal import events
from mustardvale.internal.relay import calls, runners
from tests import relay_states

EVENT = b'id: 1\ndata: x\n\n'


class SilentStreams(unittest.TestCase):
    """The runner that a stream waits for is identified and replaced."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.receive_request('r1', '/model/x')
        self.send_id = self.instance.start_send()
        self.instance.deliver_answer(
            self.send_id, relay_states.build_head(), EVENT
        )
        chain = self.instance.sends[0].request.chain
        self.first, self.second = chain

    def report_stall(self, address: str) -> None:
        """Report that the request waits for the runner at an address."""
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner(self.first.runner_id),
            address=self.first.address,
            answer=calls.RunnerReport(
                1, False, stalled=(calls.StalledRequest('a-r1', address),)
            ),
        )

    def list_moves(self) -> list[calls.MoveRequest]:
        """Return the orders to move that were sent."""
        return [
            call.call for call in self.instance.list_calls(calls.MoveRequest)
        ]

    def test_silent_stream_probes_the_first_runner(self) -> None:
        """Guard against waiting until the caller disconnects."""
        self.instance.pass_time(0.4)
        self.assertTrue(self.instance.list_calls(calls.ProbeRunner))

    def test_active_stream_sends_no_probe(self) -> None:
        """Guard against probes of streams that make progress."""
        for number in range(2, 12):
            self.instance.pass_time(0.08)
            self.instance.deliver_chunks(self.send_id, b'id: %d\n\n' % number)
        self.assertFalse(self.instance.list_calls(calls.ProbeRunner))

    def test_only_the_faulty_part_is_replaced(self) -> None:
        """Guard against processing the prompt again at healthy runners."""
        self.report_stall(self.second.address)
        chain = self.list_moves()[0].chain
        self.assertEqual(self.first, chain[0])
        self.assertNotEqual(self.second.runner_id, chain[1].runner_id)
        self.assertEqual((40, 80), (chain[1].first_layer, chain[1].end_layer))

    def test_load_is_moved_to_the_new_chain(self) -> None:
        """Guard against counting a moved request at its former runner."""
        self.report_stall(self.second.address)
        self.answer_move(calls.OrderVerdict.ACCEPTED)
        moved = self.list_moves()[0].chain[1].runner_id
        self.assertIn(moved, self.instance.state.loads)
        self.assertNotIn(self.second.runner_id, self.instance.state.loads)

    def answer_move(self, verdict: calls.OrderVerdict) -> None:
        """Answer the order to move as the first runner."""
        self.instance.emit_event(
            events.CallAnswered,
            call=self.list_moves()[0],
            address=self.first.address,
            answer=calls.OrderAnswer(verdict),
        )

    def test_unknown_request_is_sent_again(self) -> None:
        """Guard against waiting for a request that its runner has lost."""
        self.report_stall(self.second.address)
        self.answer_move(calls.OrderVerdict.UNKNOWN_REQUEST)
        self.assertEqual(2, len(self.instance.sends))
        self.assertEqual(1, self.instance.sends[1].request.last_event_id)

    def test_faulty_runner_gets_no_new_requests(self) -> None:
        """Guard against sending more requests to a faulty runner."""
        self.report_stall(self.second.address)
        for number in range(2):
            self.instance.receive_request(f'n{number}', '/model/x')
        for sent in self.instance.sends[1:]:
            self.assertNotIn(
                self.second.runner_id,
                [part.runner_id for part in sent.request.chain],
            )

    def test_failed_move_call_does_not_end_the_stream(self) -> None:
        """Guard against failing a stream whose move was carried out."""
        self.report_stall(self.second.address)
        self.instance.emit_event(
            events.CallFailed,
            call=self.list_moves()[0],
            address=self.first.address,
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.instance.deliver_chunks(self.send_id, b'id: 2\n\n')
        self.assertIn('r1', self.instance.state.exchanges)
        self.assertEqual(1, len(self.instance.sends))

    def test_unanswered_probe_marks_the_first_runner_faulty(self) -> None:
        """Guard against a crashed first runner, which cannot report itself."""
        self.instance.pass_time(0.4)
        self.instance.emit_event(
            events.CallFailed,
            call=calls.ProbeRunner(self.first.runner_id),
            address=self.first.address,
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.assertEqual(2, len(self.instance.sends))
        self.assertNotEqual(
            self.first.runner_id, self.instance.sends[1].request.runner_id
        )


class ReturningRunners(unittest.TestCase):
    """A runner that was silent for a moment is used again when it answers.

    The pattern: a sound first runner is silent for about a second. Its streams
    have gone on elsewhere, so that none of them shows its return.
    """

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.receive_request('r1', '/model/x')
        self.send_id = self.instance.start_send()
        self.runner_id = self.instance.sends[0].request.runner_id
        self.instance.pass_time(0.2)
        self.fail_probe()
        self.instance.emit_event(events.CallerLeft, request_id='r1')

    def fail_probe(self) -> None:
        """Let a probe of the runner time out."""
        self.instance.emit_event(
            events.CallFailed,
            call=calls.ProbeRunner(self.runner_id),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )

    def answer_probe(self) -> None:
        """Answer a probe as the runner."""
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner(self.runner_id),
            address='',
            answer=calls.RunnerReport(1, False),
        )

    def count_probes(self) -> int:
        """Return how many probes of the runner were sent."""
        return sum(
            call.call.runner_id == self.runner_id
            for call in self.instance.list_calls(calls.ProbeRunner)
        )

    def find_runner(self) -> runners.Runner:
        """Return the record of the runner."""
        return self.instance.state.runners[self.runner_id]

    def test_unreachable_runner_is_probed_without_a_stream(self) -> None:
        """Guard against a runner whose return nobody notices."""
        before = self.count_probes()
        self.instance.pass_time(0.5)
        self.assertEqual(before + 1, self.count_probes())

    def test_answer_ends_the_exclusion(self) -> None:
        """Guard against leaving out a sound runner after its silence."""
        self.assertGreater(self.find_runner().excluded_until, self.instance.now)
        self.instance.pass_time(0.5)
        self.answer_probe()
        self.assertEqual(0, self.find_runner().excluded_until)
        self.assertEqual(0, self.find_runner().deprioritized_until)

    def test_other_exclusions_stay(self) -> None:
        """Guard against using a runner without the listed layers."""
        until = self.instance.now + 5.0
        self.instance.state = relay_states.dataclasses.replace(
            self.instance.state,
            runners=runners.exclude(
                self.instance.state.runners, self.runner_id, until
            ),
        )
        self.answer_probe()
        self.assertEqual(until, self.find_runner().excluded_until)

    def test_probes_end_with_the_exclusion(self) -> None:
        """Guard against probes of a crashed runner for ever."""
        before = self.count_probes()
        for _ in range(20):
            answered = self.count_probes()
            self.instance.pass_time(0.5)
            if self.count_probes() > answered:
                self.fail_probe()
        self.assertLessEqual(self.count_probes(), before + 4)


class RefusedRequests(unittest.TestCase):
    """A runner that refuses a request is excluded for a while."""

    def refuse(self, instance: relay_states.Instance, status: int) -> str:
        """Refuse a new request at the second runner of its chain."""
        instance.receive_request('r1', '/model/x')
        send_id = instance.start_send()
        part = instance.sends[0].request.chain[1]
        instance.deliver_answer(
            send_id,
            relay_states.build_head(
                status,
                is_unexecuted=True,
                has_proof=False,
                headers=(),
                fault_address=part.address,
            ),
        )
        instance.end_answer(send_id)
        return part.runner_id

    def is_used(self, instance: relay_states.Instance, runner_id: str) -> bool:
        """Return whether one of several new requests uses a runner."""
        earlier_send_count = len(instance.sends)
        for number in range(3):
            instance.receive_request(f'n{instance.now}{number}', '/model/x')
        return any(
            part.runner_id == runner_id
            for sent in instance.sends[earlier_send_count:]
            for part in sent.request.chain
        )

    def test_runner_that_may_have_crashed(self) -> None:
        """Guard against sending requests to a crashed runner that is still listed."""
        instance = relay_states.Instance()
        refused = self.refuse(instance, 503)
        instance.now += 1.0
        self.assertFalse(self.is_used(instance, refused))

    def test_runner_without_the_listed_layers(self) -> None:
        """Guard against an entry that is older than the runner's restart."""
        instance = relay_states.Instance()
        refused = self.refuse(instance, 421)
        instance.now += 4.0
        instance.configure(relay_states.CONFIGURATION)
        self.assertFalse(self.is_used(instance, refused))

    def test_new_entry_ends_the_exclusion(self) -> None:
        """Guard against excluding a runner that has loaded its layers."""
        instance = relay_states.Instance()
        refused = self.refuse(instance, 421)
        entry = instance.state.runners[refused].listed
        instance.list_runners(
            tuple(
                relay_states.dataclasses.replace(known, slots=97)
                if known.runner_id == refused
                else known
                for known in relay_states.TWO_CHAINS
            )
        )
        self.assertEqual(96, entry.slots)
        runner = instance.state.runners[refused]
        self.assertEqual(0, runner.excluded_until)


class SuspendedInstance(unittest.TestCase):
    """An instance that was suspended does not suspect its runners."""

    def test_resumed_instance_reads_before_it_retries(self) -> None:
        """Guard against retrying every stream after a suspension."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/model/x')
        send_id = instance.start_send()
        instance.deliver_answer(send_id, relay_states.build_head(), EVENT)
        instance.pass_time(0.1)
        instance.now += 1.9
        instance.configure(relay_states.CONFIGURATION)
        instance.pass_time(0.2)
        self.assertEqual(1, len(instance.sends))
        self.assertFalse(instance.list_calls(calls.ProbeRunner))
        instance.deliver_chunks(send_id, b'id: 2\n\n')
        instance.pass_time(0.2)
        self.assertEqual(1, len(instance.sends))

    def test_unanswered_probe_of_a_busy_instance(self) -> None:
        """Guard against marking runners faulty while the instance is slow."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/model/x')
        instance.start_send()
        instance.pass_time(0.2)
        instance.now += 0.4
        instance.emit_event(
            events.TimerFired, timer=relay_states.timers.ExchangeCheckDue()
        )
        runner = instance.sends[0].request.runner_id
        instance.emit_event(
            events.CallFailed,
            call=calls.ProbeRunner(runner),
            address='',
            failure=events.Failure(events.FailureKind.TIMED_OUT, True),
        )
        self.assertEqual(0, instance.state.runners[runner].excluded_until)


class NoAlternative(unittest.TestCase):
    """A request stays at its runner while no other one is available."""

    def test_silent_stream_without_another_chain_stays_open(self) -> None:
        """Guard against aborting a stream because its runner is silent."""
        instance = relay_states.Instance(relay_states.TWO_CHAINS[:2])
        instance.receive_request('r1', '/model/x')
        send_id = instance.start_send()
        instance.deliver_answer(send_id, relay_states.build_head(), EVENT)
        instance.pass_time(3)
        self.assertNotIn('r1', instance.closed)
        instance.deliver_chunks(send_id, b'id: 2\n\n')
        instance.end_answer(send_id)
        self.assertIn('r1', instance.ends)

    def test_silent_plain_request_without_another_runner_waits(self) -> None:
        """Guard against failing a request that may still be answered."""
        instance = relay_states.Instance(
            (relay_states.build_plain_runner('p1'),)
        )
        instance.receive_request('r1', '/read/x')
        send_id = instance.start_send()
        instance.pass_time(3)
        instance.deliver_answer(send_id, relay_states.build_head(), b'yes')
        instance.end_answer(send_id)
        self.assertEqual(200, instance.replies['r1'].status)


class InterruptedStreams(unittest.TestCase):
    """An interrupted stream waits for a chain for a limited time."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(relay_states.TWO_CHAINS[:2])
        self.instance.receive_request('r1', '/model/x')
        self.send_id = self.instance.start_send()
        self.instance.deliver_answer(
            self.send_id, relay_states.build_head(), EVENT
        )
        self.instance.fail_send(self.send_id)

    def test_resumes_when_a_chain_becomes_available(self) -> None:
        """Guard against aborting a stream although a chain becomes free."""
        self.instance.pass_time(0.5)
        self.assertNotIn('r1', self.instance.closed)
        self.instance.list_runners(relay_states.TWO_CHAINS)
        self.instance.pass_time(0.3)
        self.assertEqual(1, self.instance.sends[-1].request.last_event_id)
        second = self.instance.start_send()
        self.instance.deliver_answer(
            second, relay_states.build_head(), b'id: 2\n\n'
        )
        self.instance.end_answer(second)
        self.assertIn('r1', self.instance.ends)

    def test_ends_before_the_caller_leaves(self) -> None:
        """Guard against a stream that neither continues nor ends."""
        self.instance.pass_time(1.9)
        self.assertIn('r1', self.instance.closed)

    def test_searches_are_rate_limited(self) -> None:
        """Guard against searches that use too much processor time."""
        first = self.instance.state.exchanges['r1'].last_search_at
        self.instance.pass_time(0.12)
        self.assertEqual(
            first, self.instance.state.exchanges['r1'].last_search_at
        )


class ReportedSlowdowns(unittest.TestCase):
    """A runner that reports a slowdown gets fewer requests for a while."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner('m1'),
            address='',
            answer=calls.RunnerReport(1, False, slowdown=6.0),
        )

    def list_first_runners(self, count: int) -> set[str]:
        """Return the first runners of some new requests."""
        for number in range(count):
            self.instance.receive_request(f'n{number}', '/model/x')
        return {sent.request.runner_id for sent in self.instance.sends[-count:]}

    def test_faster_runner_is_preferred(self) -> None:
        """Guard against choosing runners by their configured speed alone."""
        self.assertEqual({'m3'}, self.list_first_runners(2))

    def test_report_expires(self) -> None:
        """Guard against avoiding a runner that has recovered."""
        self.instance.pass_time(6)
        self.instance.configure(relay_states.CONFIGURATION)
        self.assertEqual({'m1', 'm3'}, self.list_first_runners(12))


class DrainingRunners(unittest.TestCase):
    """Streams stay on draining runners, which complete them."""

    def test_dropped_entry_does_not_move_the_stream(self) -> None:
        """Guard against needless moves, which process the prompt again."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/model/x')
        send_id = instance.start_send()
        instance.deliver_answer(send_id, relay_states.build_head(), EVENT)
        second = instance.sends[0].request.chain[1].runner_id
        instance.list_runners(
            tuple(
                entry
                for entry in relay_states.TWO_CHAINS
                if entry.runner_id != second
            )
        )
        instance.pass_time(0.05)
        self.assertFalse(instance.list_calls(calls.MoveRequest))
        instance.receive_request('r2', '/model/x')
        self.assertNotIn(
            second,
            [part.runner_id for part in instance.sends[1].request.chain],
        )

    def test_slow_stream_is_not_sent_again(self) -> None:
        """Guard against retries that add load to a slow site."""
        instance = relay_states.Instance()
        instance.receive_request('r1', '/model/x')
        send_id = instance.start_send()
        instance.deliver_answer(send_id, relay_states.build_head(), EVENT)
        instance.pass_time(0.9)
        self.assertEqual(1, len(instance.sends))


class LostSharedPart(unittest.TestCase):
    """Streams that lose the same runner spread over its substitutes.

    The pattern: all streams of an instance pass one runner, which is lost. They
    are moved in the same moment, before any of the orders is answered.
    """

    STREAM_COUNT = 4

    def setUp(self) -> None:
        first = relay_states.build_model_runner('m1', 0, 40)
        self.lost = relay_states.build_model_runner('m2', 40, 80)
        substitutes = tuple(
            relay_states.build_model_runner(name, 40, 80)
            for name in ('m3', 'm4')
        )
        self.instance = relay_states.Instance((first, self.lost))
        for number in range(self.STREAM_COUNT):
            self.instance.receive_request(f'r{number}', '/model/x')
            send_id = self.instance.start_send()
            self.instance.deliver_answer(
                send_id, relay_states.build_head(), EVENT
            )
        self.instance.list_runners((first, self.lost, *substitutes))
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.ProbeRunner('m1'),
            address=first.address,
            answer=calls.RunnerReport(
                1,
                False,
                stalled=(calls.StalledRequest('a-r0', self.lost.address),),
            ),
        )

    def list_moves(self) -> list[calls.MoveRequest]:
        """Return the orders to move that were sent."""
        return [
            call.call for call in self.instance.list_calls(calls.MoveRequest)
        ]

    def test_streams_spread_over_the_substitutes(self) -> None:
        """Guard against filling one substitute, which refuses the rest."""
        used = [move.chain[1].runner_id for move in self.list_moves()]
        self.assertEqual(self.STREAM_COUNT, len(used))
        self.assertEqual(['m3', 'm3', 'm4', 'm4'], sorted(used))

    def test_refused_move_returns_the_load(self) -> None:
        """Guard against load that stays counted where no stream runs."""
        for move in self.list_moves():
            self.instance.emit_event(
                events.CallAnswered,
                call=move,
                address='',
                answer=calls.OrderAnswer(calls.OrderVerdict.CONFLICT),
            )
        counts = {
            runner_id: load.request_count
            for runner_id, load in self.instance.state.loads.items()
        }
        self.assertEqual(
            {'m1': self.STREAM_COUNT, 'm2': self.STREAM_COUNT}, counts
        )

    def test_ended_stream_removes_the_load_of_a_pending_move(self) -> None:
        """Guard against load that stays counted after its stream."""
        for number in range(self.STREAM_COUNT):
            self.instance.emit_event(events.CallerLeft, request_id=f'r{number}')
        self.assertEqual({}, dict(self.instance.state.loads))
