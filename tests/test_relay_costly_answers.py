"""Test that no answer takes the time of the loop from all others.

A faulty upstream may send bytes without an end, in pieces of any size. What
counts is the time for one turn of a connection, and the time in all.
"""

import re
import time
import unittest
import unittest.mock
from collections import abc

from mustardvale.internal.edge import input_pacing
from mustardvale.internal.relay import event_stream
from mustardvale.internal.relay import events as relay_events
from tests import relay_states, test_faulty_upstreams

STREAM_HEAD = relay_states.build_head(is_event_stream=True)
PIECE_COUNT = 2000
# How often a byte may be searched: once in its piece, and then with each of the
# next pieces that may complete the end of an event.
SEARCHES_PER_BYTE = 8
CHUNKED_HEAD = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
TINY_CHUNK = b'1\r\nx\r\n'
END_CHUNK = b'0\r\n\r\n'
FAR_FUTURE_SECONDS = 1e6


class CountingPattern:
    """Find the ends of events, and count the bytes that are searched."""

    def __init__(self) -> None:
        self.pattern = event_stream.EVENT_END
        self.searched_bytes = 0

    def search(self, text: bytes) -> re.Match[bytes] | None:
        """Search once."""
        self.searched_bytes += len(text)
        return self.pattern.search(text)

    def finditer(
        self, text: bytes, start: int = 0
    ) -> abc.Iterator[re.Match[bytes]]:
        """Search for all matches."""
        self.searched_bytes += len(text) - start
        return self.pattern.finditer(text, start)


class EndlessEvents(unittest.TestCase):
    """The search for the end of an event takes time in proportion to it."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance()
        self.instance.receive_request('r1', '/model/x')
        self.send_id = self.instance.start_send()
        self.instance.deliver_answer(self.send_id, STREAM_HEAD)
        self.pattern = CountingPattern()
        patched = unittest.mock.patch.object(
            event_stream, 'EVENT_END', self.pattern
        )
        patched.start()
        self.addCleanup(patched.stop)

    def check_search(self, *pieces: bytes) -> None:
        """Check how much is searched for many pieces of an answer."""
        for _ in range(PIECE_COUNT):
            self.instance.deliver_chunks(self.send_id, *pieces)
        sent_bytes = PIECE_COUNT * sum(map(len, pieces))
        self.assertGreaterEqual(self.pattern.searched_bytes, sent_bytes)
        self.assertLessEqual(
            self.pattern.searched_bytes, sent_bytes * SEARCHES_PER_BYTE
        )

    def test_bytes_without_a_line_end(self) -> None:
        """Guard against searching what has arrived again for each piece."""
        self.instance.deliver_chunks(self.send_id, b'id: 1\ndata')
        self.check_search(b'x' * 65)

    def test_single_bytes(self) -> None:
        """Guard against the same with the smallest pieces."""
        self.check_search(b'x')

    def test_lines_without_a_blank_line(self) -> None:
        """Guard against an event of endless lines."""
        self.check_search(b'data: x\r\n')

    def test_comments_before_the_first_event(self) -> None:
        """Guard against searching comments that are kept back again."""
        self.check_search(b': comment\n', b'\n')

    def test_comments_reach_the_caller_once(self) -> None:
        """Guard against losing or repeating comments that were kept back."""
        self.instance.deliver_chunks(self.send_id, b': a\n\n', b': b\n\nid:')
        self.instance.deliver_chunks(self.send_id, b' 1\n\n', b': c\n\n')
        self.assertEqual(
            b': a\n\n: b\n\nid: 1\n\n: c\n\n',
            b''.join(self.instance.parts['r1']),
        )


class UpstreamTurns(unittest.TestCase):
    """An answer in tiny chunks is parsed in many turns of the loop."""

    def setUp(self) -> None:
        self.upstream = test_faulty_upstreams.UpstreamClient()
        self.upstream.start_send('a1')
        self.channel = self.upstream.table.owners[-1].channel

    def count_parts(self) -> int:
        """Return how many parts of answers were reported."""
        return len(self.upstream.list_events(relay_events.PartArrived))

    def take_turns(self, count: int) -> None:
        """Let all waits end, several times."""
        timers = self.upstream.client.pacer.timer_queue
        for _ in range(count):
            timers.report_due(time.monotonic() + FAR_FUTURE_SECONDS)

    def test_one_read_is_parsed_in_several_turns(self) -> None:
        """Guard against a turn that is as long as there are chunks."""
        self.upstream.receive(CHUNKED_HEAD + TINY_CHUNK * 1000)
        self.assertLessEqual(self.count_parts(), input_pacing.PIECES_PER_TURN)
        self.assertFalse(self.channel.is_reading)
        before = self.count_parts()
        self.take_turns(1)
        self.assertLessEqual(
            self.count_parts() - before, input_pacing.PIECES_PER_TURN
        )

    def test_answer_is_complete_after_its_turns(self) -> None:
        """Guard against losing chunks, or the end of an answer."""
        self.upstream.receive(CHUNKED_HEAD + TINY_CHUNK * 1000 + END_CHUNK)
        self.take_turns(40)
        self.assertEqual(b'x' * 1000, self.upstream.read_bodies()['s-a1'])
        self.assertEqual(
            1, len(self.upstream.list_events(relay_events.SendEnded))
        )
        self.assertTrue(self.channel.is_reading)

    def test_endless_answer_waits(self) -> None:
        """Guard against an answer that takes every turn of the loop."""
        self.upstream.receive(CHUNKED_HEAD + TINY_CHUNK * 5000)
        timers = self.upstream.client.pacer.timer_queue
        for _ in range(60):
            timers.report_due(time.monotonic())
        self.assertLess(self.count_parts(), input_pacing.BURST_PIECES + 1000)
        self.assertFalse(self.channel.is_reading)

    def test_blocked_caller_stops_the_turns(self) -> None:
        """Guard against parsing on for a caller that takes no data."""
        self.upstream.receive(CHUNKED_HEAD + TINY_CHUNK * 1000)
        self.upstream.client.pause_send('s-a1')
        before = self.count_parts()
        self.take_turns(4)
        self.assertEqual(before, self.count_parts())
        self.upstream.client.resume_send('s-a1')
        self.take_turns(40)
        self.assertEqual(1000, self.count_parts())
        self.assertTrue(self.channel.is_reading)

    def test_aborted_answer_takes_no_turn(self) -> None:
        """Guard against events of a send that has ended."""
        self.upstream.receive(CHUNKED_HEAD + TINY_CHUNK * 1000)
        self.upstream.client.abort_send('s-a1')
        before = len(self.upstream.events)
        self.take_turns(4)
        self.assertEqual(before, len(self.upstream.events))

    def test_malformed_chunk_in_a_later_turn(self) -> None:
        """Guard against a failure that nobody learns of."""
        self.upstream.receive(CHUNKED_HEAD + TINY_CHUNK * 100 + b'no chunk\r\n')
        self.take_turns(4)
        self.assertEqual(
            1, len(self.upstream.list_events(relay_events.SendFailed))
        )


class CallTurns(test_faulty_upstreams.CallCase):
    """The answer to a call in tiny chunks is parsed in many turns, too."""

    def receive_chunks(self, count: int) -> None:
        """Let the client read an answer of tiny chunks without its end."""
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        self.receive(head + TINY_CHUNK * count)

    def test_one_read_is_parsed_in_several_turns(self) -> None:
        """Guard against a turn that is as long as there are chunks."""
        self.receive_chunks(1000)
        pending = self.connection.pending
        assert pending is not None
        self.assertLessEqual(
            len(pending.received), input_pacing.PIECES_PER_TURN
        )

    def test_answer_is_complete_after_its_turns(self) -> None:
        """Guard against losing chunks, or the end of an answer."""
        self.receive_chunks(1000)
        self.server.sendall(END_CHUNK)
        timers = self.client.pacer.timer_queue
        while timers.report_due(time.monotonic() + FAR_FUTURE_SECONDS):
            """Let all waits end."""
        self.client.on_readable(self.sock)
        self.assertEqual([b'x' * 1000], self.answers)

    def test_input_that_was_reported_before_the_wait(self) -> None:
        """Guard against a read that the poller had queued already."""
        self.receive_chunks(1000)
        self.receive(TINY_CHUNK)
        pending = self.connection.pending
        assert pending is not None
        self.assertLessEqual(
            len(pending.received), input_pacing.PIECES_PER_TURN
        )


class Allowances(unittest.TestCase):
    """Sound answers never wait; all others share one rate."""

    def test_fast_stream_never_waits(self) -> None:
        """Guard against a pause in a stream of an event every 4 ms."""
        allowance, now = input_pacing.NEW_ANSWER, 0.0
        for _ in range(10_000):
            now += 0.004
            charge = input_pacing.charge_pieces(allowance, 0.0, 1, now)
            allowance = charge.allowance
            self.assertEqual(0.0, charge.wait_seconds)

    def test_large_answer_at_once_does_not_wait(self) -> None:
        """Guard against a pause in an answer of many sound chunks."""
        charge = input_pacing.charge_pieces(
            input_pacing.NEW_ANSWER, 0.0, 1000, 5.0
        )
        self.assertEqual(0.0, charge.wait_seconds)

    def test_endless_answers_share_one_rate(self) -> None:
        """Guard against a loop that serves only faulty answers."""
        seconds = 10.0
        allowances = [input_pacing.NEW_ANSWER] * 8
        turn_at = [0.0] * 8
        free_at, count = 0.0, 0
        while min(turn_at) < seconds:
            now = min(turn_at)
            number = turn_at.index(now)
            charge = input_pacing.charge_pieces(
                allowances[number], free_at, input_pacing.PIECES_PER_TURN, now
            )
            allowances[number] = charge.allowance
            free_at = charge.shared_free_at
            count += input_pacing.PIECES_PER_TURN
            turn_at[number] = now + charge.wait_seconds
        free_pieces = input_pacing.BURST_PIECES + (
            input_pacing.PIECES_PER_SECOND * seconds
        )
        shared_pieces = input_pacing.SHARED_PIECES_PER_SECOND * seconds
        self.assertLess(count, 8 * free_pieces + shared_pieces + 1000)

    def test_answer_that_was_quiet_does_not_wait(self) -> None:
        """Guard against a stream that waits long after a burst."""
        allowance = input_pacing.Allowance(-input_pacing.BURST_PIECES, 1.0)
        charge = input_pacing.charge_pieces(allowance, 0.0, 1, 10.0)
        self.assertEqual(0.0, charge.wait_seconds)
