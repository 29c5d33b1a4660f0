"""Measure the load after runners have asked all instances to wait together.

PYTHONPATH=src:. python -m bench.common_waits --write

All runners that hold the first layers answer all instances in the same moment
that they want no requests for some seconds. Callers that are refused meanwhile
return to a random instance when they were told to. The sends of the first
second after the wait are counted in parts of a tenth of a second.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing
from unittest import mock

import fire
import immutables

from bench import chain_cost, instance_groups, measurements
from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    announcements,
    handlers,
    requests,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events
from mustardvale.internal.relay import state as states

INSTANCE_COUNT = 195
# 205 runners.
ZONE_COUNT = 5
HOST = 'site.example'
WAIT_SECONDS = 5.0
REQUESTS_PER_SECOND = 200.0
# The load begins that long before the wait, and ends that long after it.
BEFORE_SECONDS = 1.0
AFTER_SECONDS = 3.0
ANSWER_SECONDS = 0.5
PARTS_PER_SECOND = 10
STREAM_HEAD = requests.AnswerHead(200, (), has_proof=True, is_event_stream=True)
EVENT = b'id: 1\ndata: x\n\n'
PROMPT = requests.Prompt('m', 800, 400, 220)


@dataclasses.dataclass(order=True, frozen=True, slots=True)
class Step:
    """Order what happens by time; `number` keeps the order of equal times."""

    at: float
    number: int
    instance: int = dataclasses.field(compare=False)
    event_kind: type[events.Event] = dataclasses.field(compare=False)
    fields: tuple[tuple[str, typing.Any], ...] = dataclasses.field(
        compare=False
    )


def build_state(
    number: int, members: tuple[typing.Any, ...], seed: int
) -> states.State:
    """Return the state of an instance that knows all others and runners."""
    site = chain_cost.build_state(ZONE_COUNT)
    active = site.configuration.active
    assert active is not None, 'the site is configured'
    route = dataclasses.replace(chain_cost.build_exchange().route, host=HOST)
    known = instance_groups.build_state(members[number], members)
    return dataclasses.replace(
        known,
        seed=seed,
        runners=site.runners,
        runner_index=site.runner_index,
        configuration=dataclasses.replace(
            known.configuration,
            active=dataclasses.replace(
                active, routes_by_host=immutables.Map({HOST: (route,)})
            ),
        ),
    )


class Site:
    """Play the instances, their callers and the answers of the runners."""

    def __init__(self, seed: int, instance_count: int) -> None:
        members = tuple(
            instance_groups.build_member(number, f'zone-0{number % ZONE_COUNT}')
            for number in range(instance_count)
        )
        self.random_source = random.Random(seed)
        shared = build_state(0, members, 1)
        self.states = [
            dataclasses.replace(
                instance_groups.build_state(member, members),
                seed=self.random_source.getrandbits(chain_cost.SEED_BITS),
                runners=shared.runners,
                runner_index=shared.runner_index,
                configuration=shared.configuration,
            )
            for member in members
        ]
        self.numbers = itertools.count()
        self.steps: list[Step] = []
        self.now = 0.0
        self.send_times: list[float] = []
        self.sends_by_runner: collections.Counter[str] = collections.Counter()
        self.refusal_count = 0

    def schedule(
        self,
        delay: float,
        instance: int,
        event_kind: type[events.Event],
        **fields: typing.Any,
    ) -> None:
        """Deliver an event to an instance later."""
        step = Step(
            self.now + delay,
            next(self.numbers),
            instance,
            event_kind,
            tuple(fields.items()),
        )
        heapq.heappush(self.steps, step)

    def request(self, delay: float) -> None:
        """Let a caller send a request to a random instance."""
        number = next(self.numbers)
        request = requests.ClientRequest(
            f'a{number}',
            'POST',
            '/',
            HOST,
            (),
            b'',
            deadline_seconds=20.0,
            prompt=PROMPT,
        )
        self.schedule(
            delay,
            self.random_source.randrange(len(self.states)),
            events.CallerRequested,
            request_id=f'r{number}',
            request=request,
        )

    def announce_waits(self) -> None:
        """Let all runners of the first layers ask all instances to wait."""
        announcement = requests.Announcement(retry_after_seconds=WAIT_SECONDS)
        for number, state in enumerate(self.states):
            for runner_id, runner in sorted(state.runners.items()):
                layers = runner.listed.layers
                if layers is None or layers.first:
                    continue
                state = announcements.record_announcement(
                    runner_id, announcement, self.now, state
                ).state
            self.states[number] = state

    def play(self, until: float) -> None:
        """Deliver all events until a time."""
        while self.steps and self.steps[0].at <= until:
            step = heapq.heappop(self.steps)
            self.now = step.at
            self.play_step(step)
        self.now = until

    def play_step(self, step: Step) -> None:
        """Deliver the event of a step."""
        self.deliver(step.instance, step.event_kind, **dict(step.fields))

    def deliver(
        self,
        instance: int,
        event_kind: type[events.Event],
        **fields: typing.Any,
    ) -> None:
        """Deliver an event to an instance, and perform the effects."""
        event = event_kind(at=self.now, wall_time=self.now, **fields)
        transition = handlers.reduce(event, self.states[instance])
        self.states[instance] = transition.state
        for effect in transition.effects:
            self.perform(instance, effect)

    def perform(self, instance: int, effect: effects.Effect) -> None:
        """Answer a send, fire a timer, or let a refused caller return."""
        match effect:
            case relay_effects.StartSend():
                self.send_times.append(self.now)
                self.sends_by_runner[effect.request.runner_id] += 1
                self.answer(instance, effect.send_id)
            case effects.SetTimer(timers.ExchangeCheckDue() as timer, delay):
                self.schedule(delay, instance, events.TimerFired, timer=timer)
            case effects.Reply(_, requests.Refusal() as refusal):
                self.refusal_count += 1
                self.request(refusal.retry_after_seconds or 1)

    def answer(self, instance: int, send_id: str) -> None:
        """Answer a send with one event and an end."""
        self.schedule(0, instance, relay_events.SendStarted, send_id=send_id)
        self.schedule(
            ANSWER_SECONDS / 4,
            instance,
            relay_events.HeadArrived,
            send_id=send_id,
            head=STREAM_HEAD,
        )
        self.schedule(
            ANSWER_SECONDS / 4,
            instance,
            relay_events.PartArrived,
            send_id=send_id,
            part=EVENT,
        )
        self.schedule(
            ANSWER_SECONDS, instance, relay_events.SendEnded, send_id=send_id
        )


def measure(
    seed: int,
    instance_count: int = INSTANCE_COUNT,
    request_rate: float = REQUESTS_PER_SECOND,
) -> dict[str, typing.Any]:
    """Return the load of the first second after a common wait."""
    site = Site(seed, instance_count)
    total_seconds = BEFORE_SECONDS + WAIT_SECONDS + AFTER_SECONDS
    for _ in range(int(total_seconds * request_rate)):
        site.request(site.random_source.uniform(0, total_seconds))
    site.play(BEFORE_SECONDS)
    site.announce_waits()
    site.sends_by_runner.clear()
    ended_at = BEFORE_SECONDS + WAIT_SECONDS
    site.play(ended_at + 1)
    runner_counts = list(site.sends_by_runner.values())
    site.play(total_seconds)
    return {
        'sends_in_the_wait': sum(
            BEFORE_SECONDS < at < ended_at for at in site.send_times
        ),
        'refusals': site.refusal_count,
        **describe_parts(site.send_times, ended_at),
        'most_at_one_runner': max(runner_counts, default=0),
        'runners_used': len(runner_counts),
    }


def describe_parts(times: list[float], begin: float) -> dict[str, typing.Any]:
    """Return the sends in parts of the second that follows a time."""
    counts = collections.Counter(
        int((at - begin) * PARTS_PER_SECOND) for at in times if at >= begin
    )
    parts = [counts[number] for number in range(PARTS_PER_SECOND)]
    mean = sum(parts) / len(parts)
    return {
        'parts': parts,
        'peak_over_mean': round(max(parts) / mean, 2) if mean else None,
    }


def main(seed: int = 1, write: bool = False) -> None:
    """Print the load with and without spreading; keep it if `write`."""
    results = {'spread': measure(seed)}
    with mock.patch.object(announcements, 'RETURN_SPREAD_SHARE', 0.0):
        results['together'] = measure(seed)
    print(results)
    if write:
        command = 'PYTHONPATH=src:. python -m bench.common_waits --write'
        measurements.write('common_waits', command, results)


if __name__ == '__main__':
    fire.Fire(main)
