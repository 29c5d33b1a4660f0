"""Measure how exactly entry instances divide a limit among themselves.

Simulates the instances with the pure functions of the limits. They exchange
usage reports once a second, each at its own phase, over links that can fail,
while requests arrive at three times the limit. Prints the admitted requests as
a share of the limit: the mean, and the highest and lowest of all windows.
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

ACCOUNT = documents.ClientAccount(
    'measured',
    '',
    documents.Priority.INTERACTIVE,
    LIMIT_PER_SECOND,
    1e9,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Describe the demand and the faults of one simulation.

    The functions get the number of an instance and the time in seconds.
    `demand_weight` is the relative demand at an instance, `is_alive` tells
    whether it runs and `is_listed` whether the instance list shows it.
    `is_linked` gets a sender and a receiver and tells whether reports arrive.
    """

    name: str
    seconds: float
    demand_weight: abc.Callable[[int, float], float]
    is_alive: abc.Callable[[int, float], bool]
    is_linked: abc.Callable[[int, int, float], bool]
    is_listed: abc.Callable[[int, float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedShare:
    """Hold the admitted requests as shares of the limit.

    `highest` and `lowest` are those of all windows.
    """

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
        self.admission_times: list[float] = []
        self.queue: list[tuple[float, int, abc.Callable[[float], None]]] = []
        self.event_numbers = itertools.count()

    def schedule(self, at: float, action: abc.Callable[[float], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self.queue, (at, next(self.event_numbers), action))

    def run(self) -> list[float]:
        """Run the scenario and return the times of the admitted requests."""
        for number in range(self.instance_count):
            self.schedule(
                self.random_source.random(),
                functools.partial(self.exchange_reports, number),
            )
        self.schedule(0, self.handle_arrival)
        while self.queue:
            at, _, action = heapq.heappop(self.queue)
            if at < self.scenario.seconds:
                action(at)
        return self.admission_times

    def exchange_reports(self, number: int, now: float) -> None:
        """Read the instance list and send a usage report to the peers."""
        self.schedule(now + 1, functools.partial(self.exchange_reports, number))
        if not self.scenario.is_alive(number, now):
            return
        listed_peers = frozenset(
            str(peer)
            for peer in range(self.instance_count)
            if peer != number and self.scenario.is_listed(peer, now)
        )
        state = withheld_shares.update_peers(
            listed_peers, now, self.states[number]
        )
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
        receiver: int,
        sender: int,
        usage: tuple[messages.AccountUsage, ...],
        now: float,
    ) -> None:
        """Merge the usage report of a peer."""
        if self.scenario.is_alive(receiver, now):
            state = self.states[receiver]
            self.states[receiver] = limits.merge_usage_report(
                str(sender), usage, now, state
            )

    def handle_arrival(self, now: float) -> None:
        """Admit or refuse a request at a random instance; schedule the next."""
        interval_seconds = self.random_source.expovariate(
            LIMIT_PER_SECOND * OVERLOAD_FACTOR
        )
        self.schedule(now + interval_seconds, self.handle_arrival)
        weights = [
            self.scenario.demand_weight(number, now)
            for number in range(self.instance_count)
        ]
        number = self.random_source.choices(
            range(self.instance_count), weights
        )[0]
        if not self.scenario.is_alive(number, now):
            return
        attempt = limits.try_acquire(ACCOUNT, 1, now, self.states[number])
        self.states[number] = attempt.limits
        if not attempt.wait_seconds:
            self.admission_times.append(now)


def compute_admitted_share(
    times: list[float], since: float, until: float
) -> AdmittedShare:
    """Compute the admitted share of the limit between two times."""
    counts = [0] * int(until - since)
    for at in times:
        if since <= at < since + len(counts):
            counts[int(at - since)] += 1
    windows = [
        sum(counts[start : start + WINDOW_SECONDS])
        / (WINDOW_SECONDS * LIMIT_PER_SECOND)
        for start in range(len(counts) - WINDOW_SECONDS + 1)
    ]
    mean = sum(counts) / (len(counts) * LIMIT_PER_SECOND)
    return AdmittedShare(mean, max(windows), min(windows))


def always(*_: float) -> bool:
    """Return true for every instance and time."""
    return True


def weigh_first_instance(number: int, now: float) -> float:
    """Weigh the first instance six times as high as any other.

    With 7 instances it gets half of the demand.
    """
    return 6.0 if number == 0 else 1.0


def weigh_moving_demand(number: int, now: float) -> float:
    """Weigh one of three instances 50 times as high, the next every 20 s."""
    return 50.0 if number == int(now / 20) % 3 else 1.0


def build_scenarios(count: int) -> tuple[Scenario, ...]:
    """Build the scenarios; faults begin at 40 s."""
    half = count // 2

    def is_linked(sender: int, receiver: int, now: float) -> bool:
        return not 40 <= now < 160 or (sender < half) == (receiver < half)

    def is_alive(number: int, now: float) -> bool:
        return number != 0 or now < 40

    def is_listed(number: int, now: float) -> bool:
        return number != 0 or now < 55

    return (
        Scenario('steady', 100, weigh_first_instance, always, always, always),
        Scenario(
            'moving demand', 140, weigh_moving_demand, always, always, always
        ),
        Scenario(
            'failure', 100, weigh_first_instance, is_alive, always, is_listed
        ),
        Scenario(
            'partition', 200, weigh_first_instance, always, is_linked, always
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
    """Print the admitted shares of every scenario for `count` instances."""
    print('admitted / limit       mean  highest  lowest of 5 s windows')
    for scenario in build_scenarios(count):
        times = Simulation(scenario, count, seed).run()
        for phase, since, until in PHASES_BY_SCENARIO[scenario.name]:
            share = compute_admitted_share(times, since, until)
            name = f'{scenario.name}, {phase}'
            print(
                f'{name:28} {share.mean:.3f}  {share.highest:.3f}'
                f'  {share.lowest:.3f}',
            )


if __name__ == '__main__':
    fire.Fire(main)
