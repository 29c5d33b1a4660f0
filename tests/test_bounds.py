"""Guard the throughput bound against what the engine stand-in really does."""

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
    """Return a runner that holds some layers."""
    link = fields.pop('link', bounds.Link())
    config = dataclasses.replace(
        CONFIG, first_layer=first, end_layer=end, **fields
    )
    return bounds.Runner(config, link)


class ComputeBound(unittest.TestCase):
    """A saturated engine reaches the bound and does not exceed it."""

    def test_engine_reaches_bound(self) -> None:
        """Guard against a bound that is too low or far too high."""
        driver = engine_cases.build_driver(
            batch_limit=4, iteration_seconds=0.01, input_seconds=0.001
        )
        count = 60
        begun = driver.now
        waiting = {}
        for number in range(count):
            name = f's{number}'
            step = engine_cases.build_step(name, inputs=('a', 'b', 'c'))
            waiting[name] = (name, 5)
            engine_cases.send_steps(driver, name, step)
        while waiting:
            driver.pass_time(0.0005)
            for request, (name, left) in tuple(waiting.items()):
                if request not in driver.replies:
                    continue
                del waiting[request]
                if left == 1:
                    continue
                position = driver.state.sessions[name].position
                step = engine_cases.build_step(name, position)
                following = f'{name}-{left}'
                waiting[following] = (name, left - 1)
                engine_cases.send_steps(driver, following, step)
        rate = count / (driver.now - begun)
        bound = bounds.compute_accelerator_capacity(CONFIG, WORKLOAD)
        self.assertLessEqual(rate, bound)
        self.assertGreater(rate, 0.9 * bound)

    def test_slowest_stage(self) -> None:
        """Guard against a bound that a faster stage sets."""
        runners = (
            build_runner(0, 2),
            build_runner(0, 2),
            build_runner(2, 4, iteration_seconds=0.02),
        )
        found = bounds.compute_bound(runners, WORKLOAD)
        self.assertEqual(found.slowest.first_layer, 2)
        alone = bounds.compute_accelerator_capacity(runners[2].config, WORKLOAD)
        self.assertAlmostEqual(found.answers_per_second, alone)
        self.assertAlmostEqual(found.tokens_per_second, 5 * alone)

    def test_missing_layers(self) -> None:
        """Guard against a bound of runners that hold no whole model."""
        with self.assertRaises(ValueError):
            bounds.compute_bound(
                (build_runner(0, 1), build_runner(2, 4)), WORKLOAD
            )


class LinkBound(unittest.TestCase):
    """A slow link limits a stage, and its delay a single answer."""

    def test_bandwidth(self) -> None:
        """Guard against a bound that overlooks a slow link."""
        slow = bounds.Link(bytes_per_second=7 * bounds.ACTIVATION_BYTES)
        runners = (build_runner(0, 4, link=slow), build_runner(0, 4))
        found = bounds.compute_bound(runners, WORKLOAD)
        self.assertEqual(found.slowest.limited_by, 'link')
        expected = 1 + bounds.compute_accelerator_capacity(CONFIG, WORKLOAD)
        self.assertAlmostEqual(found.answers_per_second, expected)

    def test_delay(self) -> None:
        """Guard against a single answer that is faster than its links."""
        link = bounds.Link(delay_seconds=0.05)
        runners = (
            build_runner(0, 2, link=link),
            build_runner(2, 4, link=link),
        )
        found = bounds.compute_bound(runners, WORKLOAD)
        self.assertAlmostEqual(
            1 / found.single_answer_tokens_per_second, 2 * (0.01 + 0.001 + 0.1)
        )
        self.assertAlmostEqual(
            found.first_token_seconds, 2 * (0.01 + 0.003 + 0.1)
        )
