"""Play the instances of a site whose runners crash, without a network.

Instances exchange their calls with a delay. Each is busy for a while with every
message, as one with a share of a core is.
"""

import dataclasses
import heapq
import itertools
import typing

from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    calls,
    exchanges,
    instance_settings,
    members,
    open_attempts,
    requests,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events
from tests import relay_states

ZONES = ('zone-a', 'zone-b', 'zone-c')
STEP_SECONDS = 0.001
LINK_SECONDS = 0.0005
# An instance on a third of a core handles a message in this time.
MESSAGE_SECONDS = 0.001
EVENT_SECONDS = 0.04
POLL_SECONDS = 0.5
LIMITS = instance_settings.Limits(retries_per_window=312)
# A substitute reads the tokens so far before it continues a stream.
READING_SECONDS = 0.04
SHORT_PROMPT = requests.Prompt('m', 80, 20, 10)
RUNNERS = tuple(
    relay_states.build_model_runner(
        f'm{number}',
        40 * (number % 2),
        40 * (number % 2) + 40,
        availability_zone=ZONES[number // 2 % len(ZONES)],
    )
    for number in range(24)
)


def build_member(number: int) -> members.Member:
    """Return the description of an instance."""
    return members.Member(
        f'entry-{number:03}',
        f'10.3.{number}.1:80',
        ZONES[number % len(ZONES)],
        'region',
        f'10.3.{number}.1:84',
    )


class SiteInstance(relay_states.Instance):
    """Drive one instance of a site."""

    def __init__(self, number: int, count: int, site: 'Site') -> None:
        self.site = site
        self.number = number
        self.busy_until = 0.0
        self.watched: frozenset[str] = frozenset()
        self.event_times: dict[str, float] = {}
        super().__init__(RUNNERS, LIMITS)
        listed = tuple(map(build_member, range(count)))
        own = listed[number]
        zone = tuple(
            other
            for other in listed
            if other.availability_zone == own.availability_zone
        )
        readers = listed[: members.READERS_PER_ZONE * len(ZONES)]
        self.state = dataclasses.replace(
            self.state,
            seed=number + 1,
            identity=instance_settings.Identity(
                own.instance_id,
                own.availability_zone,
                'region',
                dataclasses.replace(
                    relay_states.IDENTITY.addresses, peers=own.peers
                ),
            ),
            members=members.MemberState(
                zone=members.GroupState(listed_generation=1, listed=zone),
                readers=members.GroupState(listed_generation=1, listed=readers),
            ),
        )
        self.emit_event(events.TimerFired, timer=timers.WatchCheckDue())

    def record_effect(self, effect: effects.Effect) -> None:
        """Pass what leaves the instance to the site."""
        super().record_effect(effect)
        match effect:
            case effects.Call():
                self.site.send_call(self, effect)
            case effects.Reply(request_id, reply):
                self.site.send_reply(self, request_id, reply)
            case relay_effects.WatchAddresses(addresses):
                for address in addresses - self.watched:
                    self.site.open_watch(self, address)
                self.watched = addresses
            case relay_effects.StartSend():
                self.site.start_send(self, effect)


class Site:
    """Play instances, runners and their links."""

    def __init__(self, count: int) -> None:
        self.now = 1000.0
        self.steps: list[tuple[float, int, typing.Any]] = []
        self.numbers = itertools.count()
        self.crashed: frozenset[str] = frozenset()
        self.rejected_count = 0
        self.pauses: list[float] = []
        self.waiting: dict[str, tuple[SiteInstance, effects.Call]] = {}
        self.by_address: dict[str, SiteInstance] = {}
        self.instances = [
            SiteInstance(number, count, self) for number in range(count)
        ]
        self.by_address = {
            instance.state.identity.addresses.peers: instance
            for instance in self.instances
        }

    def plan(self, delay: float, action: typing.Any) -> None:
        """Do something later."""
        step = self.now + delay, next(self.numbers), action
        heapq.heappush(self.steps, step)

    def emit_later(
        self,
        delay: float,
        instance: SiteInstance,
        kind: type[events.Event],
        **fields: typing.Any,
    ) -> None:
        """Deliver an event to an instance later."""
        self.plan(delay, lambda: instance.emit_event(kind, **fields))

    def run(self, seconds: float) -> None:
        """Pass time at all instances, and do what is due."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for instance in self.instances:
                instance.pass_time(self.now - instance.now)
            while self.steps and self.steps[0][0] <= self.now:
                heapq.heappop(self.steps)[2]()

    def reserve(self, instance: SiteInstance) -> float:
        """Let an instance handle one more message; return when it has."""
        begins_at = max(instance.busy_until, self.now + LINK_SECONDS)
        instance.busy_until = begins_at + MESSAGE_SECONDS
        return instance.busy_until - self.now

    def send_call(self, caller: SiteInstance, call: effects.Call) -> None:
        """Deliver a call to an instance, or answer it as the platform."""
        receiver = self.by_address.get(call.address)
        if receiver is not None:
            request_id = f'call-{next(self.numbers)}'
            self.waiting[request_id] = caller, call
            self.emit_later(
                self.reserve(receiver),
                receiver,
                events.CallerRequested,
                request_id=request_id,
                request=call.call,
            )
        elif isinstance(call.call, calls.FollowRunners):
            answer = calls.RunnersRead(call.call.position, ())
            self.answer_call(caller, call, answer, LINK_SECONDS)
        elif isinstance(call.call, calls.FollowConfiguration):
            unchanged = calls.ConfigurationRead(call.call.position, None)
            self.answer_call(caller, call, unchanged, POLL_SECONDS)
        elif isinstance(call.call, calls.MoveRequest):
            moved = calls.OrderAnswer(calls.OrderVerdict.ACCEPTED)
            found = open_attempts.find_open_attempt(
                call.call.send_id, caller.state
            )
            move_count = found.attempt.move_count if found else 0
            self.answer_call(caller, call, moved, 2 * LINK_SECONDS)
            self.plan(
                2 * LINK_SECONDS + READING_SECONDS,
                lambda: self.continue_stream(
                    caller, call.call.send_id, move_count
                ),
            )

    def answer_call(
        self,
        caller: SiteInstance,
        call: effects.Call,
        answer: typing.Any,
        delay: float,
    ) -> None:
        """Deliver the answer to a call."""
        self.emit_later(
            delay,
            caller,
            events.CallAnswered,
            call=call.call,
            address=call.address,
            answer=answer,
        )

    def send_reply(
        self, sender: SiteInstance, request_id: str, reply: typing.Any
    ) -> None:
        """Deliver the reply to another instance; writing it takes time."""
        if request_id in self.waiting:
            caller, call = self.waiting.pop(request_id)
            delay = self.reserve(sender) + self.reserve(caller)
            self.answer_call(caller, call, reply, delay)

    def open_watch(self, instance: SiteInstance, address: str) -> None:
        """Accept a watched connection, or refuse it after a crash."""
        if address not in self.crashed_addresses:
            self.emit_later(
                2 * LINK_SECONDS,
                instance,
                relay_events.WatchOpened,
                address=address,
            )
            return
        self.emit_later(
            2 * LINK_SECONDS,
            instance,
            relay_events.WatchEnded,
            address=address,
            end=relay_events.WatchEnd.REFUSED,
        )

    @property
    def crashed_addresses(self) -> set[str]:
        """Return the addresses of the runners that have crashed."""
        return {
            entry.address
            for entry in RUNNERS
            if entry.runner_id in self.crashed
        }

    def start_send(
        self, instance: SiteInstance, send: relay_effects.StartSend
    ) -> None:
        """Let a runner accept a send, or reject it because of a crash."""
        chain = send.request.chain
        if chain[0].runner_id in self.crashed:
            self.rejected_count += 1
            self.fail_send(instance, send.send_id, was_sent=False)
            return
        self.emit_later(
            LINK_SECONDS,
            instance,
            relay_events.SendStarted,
            send_id=send.send_id,
        )
        if self.has_crashed(chain):
            self.rejected_count += 1
            self.plan(
                4 * LINK_SECONDS,
                lambda: self.reject(instance, send.send_id, chain),
            )
            return
        self.plan(
            EVENT_SECONDS * (1 + instance.number / len(self.instances)),
            lambda: self.continue_stream(instance, send.send_id),
        )

    def fail_send(
        self, instance: SiteInstance, send_id: str, was_sent: bool
    ) -> None:
        """Reset the connection of a send, or refuse it."""
        kind = events.FailureKind.REFUSED
        if was_sent:
            kind = events.FailureKind.CLOSED
        self.emit_later(
            LINK_SECONDS,
            instance,
            relay_events.SendFailed,
            send_id=send_id,
            failure=events.Failure(kind, was_sent),
        )

    def reject(
        self, instance: SiteInstance, send_id: str, chain: requests.Chain
    ) -> None:
        """Let a first runner reject a request that it cannot pass on."""
        if send_id in instance.aborted_send_ids:
            return
        crashed = [part for part in chain if part.runner_id in self.crashed]
        instance.deliver_answer(
            send_id,
            relay_states.build_head(
                503,
                is_unexecuted=True,
                has_proof=False,
                headers=(),
                fault_address=crashed[0].address,
            ),
        )
        instance.end_answer(send_id)

    def continue_stream(
        self, instance: SiteInstance, send_id: str, move_count: int = 0
    ) -> None:
        """Deliver the next event of a stream while its chain lives."""
        request_id = instance.state.request_ids_by_send.get(send_id)
        if request_id is None or send_id in instance.aborted_send_ids:
            return
        exchange = instance.state.exchanges[request_id]
        attempt = exchanges.find_attempt(exchange, send_id)
        is_moved = attempt and attempt.move_count != move_count
        if attempt is None or is_moved or self.has_crashed(attempt.chain):
            return
        if attempt.head is None:
            instance.emit_event(
                relay_events.HeadArrived,
                send_id=send_id,
                head=relay_states.build_head(),
            )
        last_id = exchange.last_event_id or 0
        instance.deliver_chunks(send_id, b'id: %d\ndata: x\n\n' % (last_id + 1))
        last_at = instance.event_times.get(request_id, self.now)
        self.pauses.append(self.now - last_at)
        instance.event_times[request_id] = self.now
        self.plan(
            EVENT_SECONDS,
            lambda: self.continue_stream(instance, send_id, move_count),
        )

    def has_crashed(self, chain: requests.Chain) -> bool:
        """Return whether a runner of a chain has crashed."""
        return any(part.runner_id in self.crashed for part in chain)

    def crash(self, *runner_ids: str) -> None:
        """Let runners crash, which closes their connections."""
        self.crashed = frozenset(runner_ids)
        self.pauses.clear()
        for instance in self.instances:
            lost = instance.watched & self.crashed_addresses
            instance.watched -= lost
            for address in lost:
                self.emit_later(
                    LINK_SECONDS,
                    instance,
                    relay_events.WatchEnded,
                    address=address,
                    end=relay_events.WatchEnd.LOST,
                )
            for exchange in instance.state.exchanges.values():
                for attempt in exchange.attempts:
                    if attempt.runner_id in self.crashed:
                        self.fail_send(instance, attempt.send_id, was_sent=True)


def set_readers(
    instance: relay_states.Instance, *listed: members.Member
) -> None:
    """Set the readers that an instance knows."""
    readers = members.GroupState(listed_generation=1, listed=listed)
    instance.state = dataclasses.replace(
        instance.state,
        members=dataclasses.replace(instance.state.members, readers=readers),
    )
