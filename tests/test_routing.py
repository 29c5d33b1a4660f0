"""Test the routing policies."""

import collections
import unittest

import hypothesis
import immutables
from hypothesis import strategies

from mustardvale.internal import routing

POLICIES = tuple(routing.POLICIES.values())

candidates = strategies.builds(
    routing.Candidate,
    instance_id=strategies.uuids().map(str),
    in_flight=strategies.integers(0, 100),
    queued=strategies.integers(0, 100),
    step_seconds=strategies.floats(0, 1),
    link_seconds=strategies.floats(0, 1),
    in_flight_at_report=strategies.integers(0, 100),
    latency_seconds=strategies.floats(0, 1),
    slow_start_at=strategies.floats(0, 100),
)


class PolicyChoices(unittest.TestCase):
    """Every policy chooses one of the offered candidates."""

    @hypothesis.given(
        offered=strategies.lists(candidates, min_size=1, max_size=60),
        policy=strategies.sampled_from(POLICIES),
        seed=strategies.integers(0, 1 << 63),
        now=strategies.floats(0, 200),
        turn=strategies.integers(0, 1000),
    )
    def test_choice_is_one_of_the_candidates(
        self,
        offered: list[routing.Candidate],
        policy: routing.Policy,
        seed: int,
        now: float,
        turn: int,
    ) -> None:
        """Guard against a choice that is not a candidate."""
        work = routing.Work(now=now, input_count=20, round_robin_count=turn)
        choice = routing.choose(policy, tuple(offered), seed, work)
        self.assertIn(choice.candidate, offered)

    @hypothesis.given(
        offered=strategies.lists(candidates, min_size=1, max_size=60),
        policy=strategies.sampled_from(POLICIES),
        seed=strategies.integers(0, 1 << 63),
    )
    def test_same_seed_gives_same_choice(
        self,
        offered: list[routing.Candidate],
        policy: routing.Policy,
        seed: int,
    ) -> None:
        """Guard against randomness that does not come from the seed."""
        first = routing.choose(policy, tuple(offered), seed)
        again = routing.choose(policy, tuple(offered), seed)
        self.assertEqual(first, again)


class ExpectedCompletion(unittest.TestCase):
    """The policy considers queue, speed, link and cached prefix."""

    def choose(
        self,
        *offered: routing.Candidate,
        work: routing.Work = routing.NO_WORK,
    ) -> str:
        """Return the id of the chosen candidate."""
        policy = routing.ExpectedCompletion()
        return routing.choose(policy, offered, 1, work).candidate.instance_id

    def test_fast_accelerator_with_longer_queue_is_chosen(self) -> None:
        """Guard against equal shares for accelerators of different speeds."""
        slow = routing.Candidate('slow', queued=1, step_seconds=0.016)
        fast = routing.Candidate('fast', queued=4, step_seconds=0.004)
        self.assertEqual(self.choose(slow, fast), 'fast')

    def test_degraded_link_is_avoided(self) -> None:
        """Guard against sending work to a runner behind a slow link."""
        near = routing.Candidate('near', queued=2, step_seconds=0.004)
        far = routing.Candidate('far', step_seconds=0.004, link_seconds=0.1)
        self.assertEqual(self.choose(near, far), 'near')

    def test_work_sent_since_the_report_counts(self) -> None:
        """Guard against a burst to the runner last reported idle."""
        sent = routing.Candidate('sent', in_flight=9, step_seconds=0.004)
        queued = routing.Candidate('queued', queued=3, step_seconds=0.004)
        self.assertEqual(self.choose(sent, queued), 'queued')

    def test_cached_prefix_is_preferred(self) -> None:
        """Guard against repeating a prefill that another runner has cached."""
        cold = routing.Candidate('cold', step_seconds=0.004)
        warm = routing.Candidate('warm', queued=2, step_seconds=0.004)
        work = routing.Work(
            input_count=1100,
            cached_input_counts=immutables.Map({'warm': 1024}),
        )
        self.assertEqual(self.choose(cold, warm, work=work), 'warm')


class SlowStart(unittest.TestCase):
    """The share of a new or returning upstream grows gradually."""

    def test_share_grows_to_the_whole(self) -> None:
        """Guard against full load on a runner that may be broken."""
        for policy in POLICIES:
            shares = tuple(
                self.count_choices(policy, now) for now in (0.0, 5.0, 10.0)
            )
            with self.subTest(policy=type(policy).__name__):
                self.assertLess(shares[0], 250)
                self.assertGreater(shares[2], 700)

    def count_choices(self, policy: routing.Policy, now: float) -> int:
        """Count how often the new one of four is chosen in 4,000 choices."""
        offered = [
            routing.Candidate(str(number), step_seconds=0.004)
            for number in range(3)
        ]
        offered.append(
            routing.Candidate('new', step_seconds=0.004, slow_start_at=0),
        )
        chosen = 0
        seed, turn = 1, 0
        for _ in range(4000):
            work = routing.Work(now=now, round_robin_count=turn)
            choice = routing.choose(policy, tuple(offered), seed, work)
            seed, turn = choice.seed, choice.round_robin_count
            chosen += choice.candidate.instance_id == 'new'
        return chosen


class StaleReport(unittest.TestCase):
    """Instances with the same stale report choose different runners."""

    def compute_largest_share(self, policy: routing.Policy) -> float:
        """Return the largest share of a runner, of 600 requests."""
        counts: collections.Counter[str] = collections.Counter()
        for instance in range(6):
            seed, turn = instance * 1_000_003, instance
            sent: collections.Counter[str] = collections.Counter()
            for _ in range(100):
                offered = tuple(
                    routing.Candidate(
                        str(number),
                        in_flight=sent[str(number)],
                        queued=0 if number == 3 else 2 + number % 3,
                        step_seconds=0.004,
                    )
                    for number in range(10)
                )
                work = routing.Work(round_robin_count=turn)
                choice = routing.choose(policy, offered, seed, work)
                seed, turn = choice.seed, choice.round_robin_count
                sent[choice.candidate.instance_id] += 1
            counts += sent
        return max(counts.values()) / 600

    def test_least_reported_load_herds(self) -> None:
        """Show that the baseline sends all work to one runner."""
        policy = routing.LeastReportedLoad()
        self.assertEqual(self.compute_largest_share(policy), 1)

    def test_local_knowledge_prevents_herding(self) -> None:
        """Guard against herding; the fair share of each runner is a tenth."""
        for policy in (
            routing.TwoChoices(),
            routing.ExpectedCompletion(),
            routing.RandomChoice(),
            routing.RoundRobin(),
            routing.WeightedScore(),
        ):
            with self.subTest(policy=type(policy).__name__):
                self.assertLess(self.compute_largest_share(policy), 0.2)


class Samples(unittest.TestCase):
    """A sample is distinct, and candidates are equally likely."""

    @hypothesis.given(
        count=strategies.integers(1, 200),
        size=strategies.integers(1, 40),
        seed=strategies.integers(0, 1 << 63),
    )
    def test_candidates_of_a_sample_differ(
        self,
        count: int,
        size: int,
        seed: int,
    ) -> None:
        """Guard against a sample that contains a runner twice."""
        offered = tuple(
            routing.Candidate(str(number)) for number in range(count)
        )
        sample = routing.draw_sample(offered, size, seed).candidates
        self.assertEqual(len(set(sample)), min(size, count))

    def test_every_candidate_is_drawn_equally_often(self) -> None:
        """Guard against runners that are hardly ever sampled."""
        offered = tuple(routing.Candidate(str(number)) for number in range(50))
        drawn: collections.Counter[str] = collections.Counter()
        seed = 1
        for _ in range(20_000):
            sample = routing.draw_sample(offered, 2, seed)
            seed = sample.seed
            drawn.update(
                candidate.instance_id for candidate in sample.candidates
            )
        # 800 are expected; the standard deviation is about 28.
        self.assertGreater(min(drawn.values()), 660)
        self.assertLess(max(drawn.values()), 940)
