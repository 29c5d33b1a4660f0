"""Measure the error of the divided limits with the pure functions.

Instances exchange reports once a second, each at its own phase, over links
that can be cut. Callers ask for three times the limit. Printed are the
admitted requests as a part of the limit: the mean, and the highest and lowest
of all windows.
"""

import dataclasses
import functools
import heapq
import itertools
import random
from collections import abc

import fire

from mustardvale import document as documents
from mustardvale.internal import limits, messages, withheld_shares

LIMIT_PER_SECOND = 200.0
OVERLOAD_FACTOR = 3.0
LINK_DELAY_SECONDS = 0.005
WINDOW_SECONDS = 5
SETTLED_SECONDS = 20.0

ACCOUNT = documents.ClientAccount(
    'measured',
    '',
    documents.Priority.INTERACTIVE,
    LIMIT_PER_SECOND,
    1e9,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Describe who asks, who lives, who hears whom and what the list shows.

    `weight` is the part of the demand that comes to an instance at a time.
    """

    name: str
    seconds: float
    demand_weight: abc.Callable[[int, float], float]
    is_alive: abc.Callable[[int, float], bool]
    is_linked: abc.Callable[[int, int, float], bool]
    is_listed: abc.Callable[[int, float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedShare:
    """Hold admitted requests as parts of the limit."""

    mean: float
    highest: float
    lowest: float


class Simulation:
    """Simulate the instances of one scenario."""

    def __init__(self, scenario: Scenario, count: int, seed: int) -> None:
        self.scenario = scenario
        self.instance_count = count
        self.random_source = random.Random(seed)
        self.states = [limits.LimitState() for _ in range(count)]
        self.admitted: list[float] = []
        self.queue: list[tuple[float, int, abc.Callable[[float], None]]] = []
        self.event_numbers = itertools.count()

    def schedule(
        self, when: float, action: abc.Callable[[float], None]
    ) -> None:
        """Plan an action."""
        heapq.heappush(self.queue, (when, next(self.event_numbers), action))

    def run(self) -> list[float]:
        """Return the times at which requests were admitted."""
        for number in range(self.instance_count):
            self.schedule(
                self.random_source.random(),
                functools.partial(self.exchange_reports, number),
            )
        self.schedule(0, self.handle_arrival)
        while self.queue:
            when, _, action = heapq.heappop(self.queue)
            if when < self.scenario.seconds:
                action(when)
        return self.admitted

    def exchange_reports(self, number: int, now: float) -> None:
        """Follow the list and report to the peers."""
        self.schedule(now + 1, functools.partial(self.exchange_reports, number))
        if not self.scenario.is_alive(number, now):
            return
        listed = frozenset(
            str(peer)
            for peer in range(self.instance_count)
            if peer != number and self.scenario.is_listed(peer, now)
        )
        state = withheld_shares.update_peers(listed, now, self.states[number])
        state = limits.update_reported_demand(now, state)
        self.states[number] = state
        usage = limits.build_usage_report(state)
        for peer in range(self.instance_count):
            if peer != number and self.scenario.is_linked(number, peer, now):
                self.schedule(
                    now + LINK_DELAY_SECONDS,
                    functools.partial(self.receive_report, peer, number, usage),
                )

    def receive_report(
        self,
        to: int,
        sender: int,
        usage: tuple[messages.AccountUsage, ...],
        now: float,
    ) -> None:
        """Take a report."""
        if self.scenario.is_alive(to, now):
            state = self.states[to]
            self.states[to] = limits.merge_usage_report(
                str(sender), usage, now, state
            )

    def handle_arrival(self, now: float) -> None:
        """Let one request arrive at a random instance."""
        gap = self.random_source.expovariate(LIMIT_PER_SECOND * OVERLOAD_FACTOR)
        self.schedule(now + gap, self.handle_arrival)
        weights = [
            self.scenario.demand_weight(number, now)
            for number in range(self.instance_count)
        ]
        number = self.random_source.choices(
            range(self.instance_count), weights
        )[0]
        if not self.scenario.is_alive(number, now):
            return
        asked = limits.try_acquire(ACCOUNT, 1, now, self.states[number])
        self.states[number] = asked.limits
        if not asked.wait_seconds:
            self.admitted.append(now)


def compute_admitted_share(
    times: list[float], since: float, until: float
) -> AdmittedShare:
    """Return the admitted parts of the limit between two times."""
    counts = [0] * int(until - since)
    for when in times:
        if since <= when < since + len(counts):
            counts[int(when - since)] += 1
    windows = [
        sum(counts[start : start + WINDOW_SECONDS])
        / (WINDOW_SECONDS * LIMIT_PER_SECOND)
        for start in range(len(counts) - WINDOW_SECONDS + 1)
    ]
    mean = sum(counts) / (len(counts) * LIMIT_PER_SECOND)
    return AdmittedShare(mean, max(windows), min(windows))


def always(*_: float) -> bool:
    """Return that it always holds."""
    return True


def weigh_first_instance(number: int, now: float) -> float:
    """Give the first instance half of the demand."""
    return 6.0 if number == 0 else 1.0


def weigh_moving_demand(number: int, now: float) -> float:
    """Move most of the demand to another instance every 20 s."""
    return 50.0 if number == int(now / 20) % 3 else 1.0


def build_scenarios(count: int) -> tuple[Scenario, ...]:
    """Return the scenarios; the fault comes at 40 s."""
    half = count // 2

    def linked(sender: int, receiver: int, now: float) -> bool:
        return not 40 <= now < 160 or (sender < half) == (receiver < half)

    def survives(number: int, now: float) -> bool:
        return number != 0 or now < 40

    def shown(number: int, now: float) -> bool:
        return number != 0 or now < 55

    return (
        Scenario('steady', 100, weigh_first_instance, always, always, always),
        Scenario(
            'moving demand', 140, weigh_moving_demand, always, always, always
        ),
        Scenario('failure', 100, weigh_first_instance, survives, always, shown),
        Scenario(
            'partition', 200, weigh_first_instance, always, linked, always
        ),
    )


PHASES_BY_SCENARIO = {
    'steady': (('all', 20, 100),),
    'moving demand': (('all', 20, 140),),
    'failure': (('withheld', 43, 55), ('after the list', 70, 100)),
    'partition': (
        ('first 3 s', 40, 45),
        ('shares held', 45, 99),
        ('shares divided', 105, 160),
        ('healed', 165, 200),
    ),
}


def main(count: int = 7, seed: int = 1) -> None:
    """Print the error of every scenario for `count` instances."""
    print('admitted / limit       mean  highest  lowest of 5 s windows')
    for scenario in build_scenarios(count):
        times = Simulation(scenario, count, seed).run()
        for phase, since, until in PHASES_BY_SCENARIO[scenario.name]:
            found = compute_admitted_share(times, since, until)
            name = f'{scenario.name}, {phase}'
            print(
                f'{name:28} {found.mean:.3f}  {found.highest:.3f}'
                f'  {found.lowest:.3f}',
            )


if __name__ == '__main__':
    fire.Fire(main)
