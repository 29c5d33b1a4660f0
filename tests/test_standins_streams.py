"""Test the streamed generations of the engine stand-in."""

import dataclasses
import unittest

from mustardvale.internal import calls, events
from standins import engine, engine_streams, reference_model
from tests import engine_cases

PROMPT = ('how', 'old')
EXPECTED = reference_model.compute_answer('affinage', '3', '', 4, PROMPT, 6)
REQUEST = engine_streams.StartStream('s', 'affinage', '3', PROMPT, 6)


def get_tokens(driver, request_id: str) -> tuple[str, ...]:
    """Return the tokens that were sent in answer to a request."""
    parts = driver.parts.get(request_id, [])
    return tuple(part.token for part in parts)


class Streams(unittest.TestCase):
    """A stream sends each token once, also across reconnections."""

    def test_whole(self) -> None:
        """Guard against tokens that differ from the reference model."""
        driver = engine_cases.build_driver()
        driver.ask('r0', REQUEST)
        driver.pass_time(1)
        self.assertEqual(get_tokens(driver, 'r0'), EXPECTED)
        self.assertEqual(driver.ends['r0'], engine_streams.StreamEnded(6))
        self.assertFalse(driver.state.sessions)

    def start_and_leave(self):
        """Start a stream whose caller disconnects after a few tokens."""
        driver = engine_cases.build_driver()
        driver.ask('r0', REQUEST)
        driver.pass_time(0.03)
        driver.emit_event(events.CallerLeft, request_id='r0')
        return driver, get_tokens(driver, 'r0')

    def test_resume(self) -> None:
        """Guard against tokens that are lost or run again on a resume."""
        driver, first = self.start_and_leave()
        driver.pass_time(0.5)
        # The last token that was sent did not arrive.
        resumed = dataclasses.replace(REQUEST, delivered=first[:-1])
        driver.ask('r1', resumed)
        driver.pass_time(1)
        self.assertEqual(first[:-1] + get_tokens(driver, 'r1'), EXPECTED)
        self.assertEqual(driver.parts['r1'][0].index, len(first) - 1)
        self.assertEqual(driver.state.steps_run, 6)

    def test_resume_after_expiry(self) -> None:
        """Guard against a resume that depends on the state of the engine."""
        driver, first = self.start_and_leave()
        driver.pass_time(engine_streams.RESUME_WINDOW_SECONDS + 1)
        self.assertFalse(driver.state.sessions)
        driver.ask('r1', dataclasses.replace(REQUEST, delivered=first))
        driver.pass_time(1)
        self.assertEqual(first + get_tokens(driver, 'r1'), EXPECTED)

    def test_resume_after_dropped_connection(self) -> None:
        """Guard against a dropped stream that cannot be resumed."""
        driver = engine_cases.build_driver()
        driver.ask('r0', REQUEST)
        driver.pass_time(0.03)
        driver.ask('faults', engine.Faults(drop_answers=1))
        driver.pass_time(1)
        first = get_tokens(driver, 'r0')
        self.assertEqual(driver.closed, ['r0'])
        self.assertLess(len(first), 6)
        driver.ask('r1', dataclasses.replace(REQUEST, delivered=first))
        driver.pass_time(1)
        self.assertEqual(first + get_tokens(driver, 'r1'), EXPECTED)

    def test_resume_with_other_tokens(self) -> None:
        """Guard against a resume that mixes two answers."""
        driver, _ = self.start_and_leave()
        mixed = dataclasses.replace(REQUEST, delivered=('w0',))
        reply = driver.ask('r1', mixed)
        self.assertEqual(reply, engine_streams.TOKENS_MISMATCH)

    def test_cancel(self) -> None:
        """Guard against a cancelled stream that continues or leaks state."""
        driver = engine_cases.build_driver()
        driver.ask('r0', REQUEST)
        driver.pass_time(0.03)
        sent = get_tokens(driver, 'r0')
        driver.ask('r1', calls.CloseSession('s'))
        driver.pass_time(1)
        self.assertEqual(get_tokens(driver, 'r0'), sent)
        self.assertEqual(
            driver.ends['r0'], engine_streams.StreamFailed('cancelled')
        )
        self.assertFalse(driver.state.sessions)

    def test_slow_caller(self) -> None:
        """Guard against steps that run ahead of a blocked caller."""
        driver = engine_cases.build_driver()
        driver.ask('r0', REQUEST)
        driver.pass_time(0.02)
        driver.emit_event(events.CallerBlocked, request_id='r0')
        driver.pass_time(1)
        self.assertLess(driver.state.steps_run, 6)
        driver.emit_event(events.CallerCaughtUp, request_id='r0')
        driver.pass_time(1)
        self.assertEqual(get_tokens(driver, 'r0'), EXPECTED)

    def test_part_of_the_layers(self) -> None:
        """Guard against streams from an engine that lacks some layers."""
        driver = engine_cases.build_driver(end_layer=2)
        self.assertEqual(
            driver.ask('r0', REQUEST), engine_streams.MISSING_LAYERS
        )
