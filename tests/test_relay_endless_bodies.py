"""Test that bodies without an end leave the memory to other requests."""

import unittest

from mustardvale.internal.relay import (
    answer_bodies,
    byte_budgets,
    instance_settings,
)
from tests import relay_states

PART = b'x' * 65536
ENDLESS_COUNT = 60
BUFFERED_BYTES = byte_budgets.build(
    instance_settings.Limits().memory_mb
).answer_bytes
PLAIN_RUNNERS = tuple(
    relay_states.build_plain_runner(name) for name in ('p1', 'p2', 'p3')
)


class EndlessBodies(unittest.TestCase):
    """One of three runners answers each request with an endless body."""

    def setUp(self) -> None:
        self.instance = relay_states.Instance(PLAIN_RUNNERS)
        self.endless: list[str] = []
        for number in range(ENDLESS_COUNT):
            self.instance.receive_request(f'e{number}', '/write/x')
            send_id = self.instance.start_send()
            self.instance.deliver_answer(send_id, relay_states.build_head())
            self.endless.append(send_id)

    def deliver_round(self) -> None:
        """Deliver one more part of each endless body that is still open."""
        for send_id in self.endless:
            self.instance.deliver_chunks(send_id, PART)

    def count_buffered_bytes(self) -> int:
        """Return the bytes that the instance keeps for all answers."""
        return sum(
            attempt.buffered_bytes
            for exchange in self.instance.state.exchanges.values()
            for attempt in exchange.attempts
        )

    def test_all_bodies_together_are_bounded(self) -> None:
        """Guard against a process that runs out of memory."""
        for _ in range(128):
            self.deliver_round()
            self.assertLessEqual(
                self.count_buffered_bytes(),
                BUFFERED_BYTES + len(PART),
            )
        statuses = {
            self.instance.replies[f'e{number}'].status
            for number in range(ENDLESS_COUNT)
            if f'e{number}' in self.instance.replies
        }
        self.assertEqual({502}, statuses)

    def test_other_answers_are_complete(self) -> None:
        """Guard against a limit that the endless bodies use up for all."""
        served = 0
        for number in range(100):
            self.deliver_round()
            self.instance.receive_request(f'r{number}', '/read/x')
            send_id = self.instance.start_send()
            self.instance.deliver_answer(
                send_id, relay_states.build_head(), b'whole', PART
            )
            self.instance.end_answer(send_id)
            reply = self.instance.replies[f'r{number}']
            served += reply.status == 200 and reply.body == b'whole' + PART
        self.assertEqual(100, served)

    def test_parts_are_not_joined_before_the_end(self) -> None:
        """Guard against copies of all earlier parts with each part."""
        for _ in range(3):
            self.instance.deliver_chunks(self.endless[0], PART)
        exchange = self.instance.state.exchanges['e0']
        for part in exchange.attempts[0].body.parts:
            self.assertIs(PART, part)

    def test_tiny_parts_are_joined(self) -> None:
        """Guard against time that grows with the square of the parts."""
        body = answer_bodies.EMPTY_BODY
        for _ in range(50_000):
            body = body.append(b'x')
        self.assertLess(len(body.parts), 10)
        self.assertEqual(b'x' * 50_000, body.join())
        self.assertEqual(50_000, body.size)
