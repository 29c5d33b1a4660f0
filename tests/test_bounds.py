"""Test the throughput bounds against the speed of the engine stand-in."""

import dataclasses
import unittest

from bench import bounds
from tests import engine_cases

CONFIG = dataclasses.replace(
    engine_cases.CONFIG,
    batch_limit=4,
    iteration_seconds=0.01,
    input_seconds=0.001,
)
WORKLOAD = bounds.Workload(prompt_tokens=3, answer_tokens=5)


def build_runner(first: int, end: int, **fields) -> bounds.Runner:
    """Build a runner that holds a range of layers."""
    link = fields.pop('link', bounds.Link())
    config = dataclasses.replace(
        CONFIG, first_layer=first, end_layer=end, **fields
    )
    return bounds.Runner(config, link)


class ComputeBound(unittest.TestCase):
    """The slowest stage sets the bound, which a saturated engine reaches."""

    def test_engine_reaches_bound(self) -> None:
        """Guard against a bound below the engine's rate or far above it."""
        driver = engine_cases.build_driver(
            batch_limit=4, iteration_seconds=0.01, input_seconds=0.001
        )
        answer_count = 60
        started_at = driver.now
        pending = {}
        for number in range(answer_count):
            name = f's{number}'
            step = engine_cases.build_step(name, inputs=('a', 'b', 'c'))
            pending[name] = (name, 5)
            engine_cases.send_steps(driver, name, step)
        while pending:
            driver.pass_time(0.0005)
            for request, (name, tokens_left) in tuple(pending.items()):
                if request not in driver.replies:
                    continue
                del pending[request]
                if tokens_left == 1:
                    continue
                position = driver.state.sessions[name].position
                step = engine_cases.build_step(name, position)
                next_request = f'{name}-{tokens_left}'
                pending[next_request] = (name, tokens_left - 1)
                engine_cases.send_steps(driver, next_request, step)
        rate = answer_count / (driver.now - started_at)
        bound = bounds.compute_accelerator_capacity(CONFIG, WORKLOAD)
        self.assertLessEqual(rate, bound)
        self.assertGreater(rate, 0.9 * bound)

    def test_slowest_stage(self) -> None:
        """Guard against a bound that is not set by the slowest stage."""
        runners = (
            build_runner(0, 2),
            build_runner(0, 2),
            build_runner(2, 4, iteration_seconds=0.02),
        )
        site_bound = bounds.compute_bound(runners, WORKLOAD)
        self.assertEqual(site_bound.slowest.first_layer, 2)
        capacity = bounds.compute_accelerator_capacity(
            runners[2].config, WORKLOAD
        )
        self.assertAlmostEqual(site_bound.answers_per_second, capacity)
        self.assertAlmostEqual(site_bound.tokens_per_second, 5 * capacity)

    def test_missing_layers(self) -> None:
        """Guard against a bound for runners that lack a layer of the model."""
        with self.assertRaises(ValueError):
            bounds.compute_bound(
                (build_runner(0, 1), build_runner(2, 4)), WORKLOAD
            )


class LinkBound(unittest.TestCase):
    """A slow link limits a stage, and link delays limit a single answer."""

    def test_bandwidth(self) -> None:
        """Guard against a bound that ignores the bandwidth of a link."""
        slow = bounds.Link(bytes_per_second=7 * bounds.ACTIVATION_BYTES)
        runners = (build_runner(0, 4, link=slow), build_runner(0, 4))
        site_bound = bounds.compute_bound(runners, WORKLOAD)
        self.assertEqual(site_bound.slowest.limited_by, 'link')
        expected = 1 + bounds.compute_accelerator_capacity(CONFIG, WORKLOAD)
        self.assertAlmostEqual(site_bound.answers_per_second, expected)

    def test_delay(self) -> None:
        """Guard against a bound that ignores the delays of links."""
        link = bounds.Link(delay_seconds=0.05)
        runners = (
            build_runner(0, 2, link=link),
            build_runner(2, 4, link=link),
        )
        site_bound = bounds.compute_bound(runners, WORKLOAD)
        self.assertAlmostEqual(
            1 / site_bound.single_answer_tokens_per_second,
            2 * (0.01 + 0.001 + 0.1),
        )
        self.assertAlmostEqual(
            site_bound.first_token_seconds, 2 * (0.01 + 0.003 + 0.1)
        )
