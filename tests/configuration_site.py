"""Simulate entry instances around one log, step by step."""

import dataclasses
import typing

from mustardvale import daemon, settings
from mustardvale.internal import (
    calls,
    effects,
    events,
    handlers,
    promotions,
    streams,
)
from tests import fakes

STREAM = streams.EnvironmentStream('production')
RETENTION_SECONDS = 16.0
REFUSED = events.Failure(events.FailureKind.REFUSED, was_sent=False)
LOST = events.Failure(events.FailureKind.CLOSED, was_sent=True)


def build_document_text(layers: int) -> str:
    """Return a small document that differs by its number of layers."""
    return f"""
format = 1
environment = "production"
client_accounts = []
[[pools]]
name = "runners"
kind = "model_runners"
[[models]]
name = "model"
version = "1"
layers = {layers}
pool = "runners"
"""


class Instance:
    """Hold one entry instance with its timers, calls and messages."""

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.peer_address = f'127.0.0.1:{port + 1}'
        self.settings = settings.Settings(
            instance_id=name,
            address=f'127.0.0.1:{port}',
            peer_address=self.peer_address,
            availability_zone='zone',
            region='',
            environment='production',
            log_address='127.0.0.1:1',
            list_address='127.0.0.1:2',
            log_level='INFO',
            seed=1,
            log_retention_seconds=RETENTION_SECONDS,
        )
        self.paused = False
        self.reset()

    def reset(self) -> None:
        """Reset the instance to the state of a new process."""
        self.state = daemon.build_initial_state(self.settings)
        self.timers: dict[typing.Any, float] = {}
        self.calls: list[effects.Call] = []
        self.inbox: list[tuple[str, typing.Any]] = []
        self.highest_applied = 0

    def build_row(self) -> calls.ListedInstance:
        """Build the row of the instance list."""
        return calls.ListedInstance(
            instance_id=self.name,
            pool='entry',
            address=self.settings.address,
            availability_zone='zone',
            peer_address=self.peer_address,
        )


class Site:
    """Hold the instances, the log and the delayed appends."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.log = fakes.FakeLog()
        self.log_down = False
        self.at = 100.0
        self.delayed_appends: list[calls.AppendRecords] = []
        self.instances = {
            name: Instance(name, 7000 + 2 * index)
            for index, name in enumerate(names)
        }
        for instance in self.instances.values():
            self.start(instance)

    def start(self, instance: Instance) -> None:
        """Start or restart an instance; its appends in flight are delayed."""
        self.delayed_appends.extend(
            call.call
            for call in instance.calls
            if isinstance(call.call, calls.AppendRecords)
        )
        instance.reset()
        instance.paused = False
        self.reduce_event(instance, events.InstanceStarted, {})

    def reduce_event(
        self,
        instance: Instance,
        kind: type[events.Event],
        fields: dict[str, typing.Any],
    ) -> None:
        """Reduce an event at an instance and check its new state."""
        self.log.wall_time = self.at
        before = instance.state
        transition = handlers.reduce(
            kind(at=self.at, wall_time=self.at, **fields),
            instance.state,
        )
        instance.state = transition.state
        for effect in transition.effects:
            self.perform(instance, effect)
        check_progress(before, instance)

    def perform(self, instance: Instance, effect: effects.Effect) -> None:
        """Perform an effect; the instance list is answered at once."""
        if isinstance(effect, effects.Call):
            if isinstance(effect.call, calls.ListInstances):
                rows = tuple(
                    other.build_row() for other in self.instances.values()
                )
                listed = calls.InstancesListed(rows)
                self.answer(instance, effect, listed)
            else:
                instance.calls.append(effect)
        elif isinstance(effect, effects.SetTimer):
            instance.timers[effect.timer] = self.at + effect.delay_seconds
        elif isinstance(effect, effects.SendToPeer):
            for other in self.instances.values():
                if other.peer_address == effect.address:
                    other.inbox.append((instance.peer_address, effect.message))

    def answer(
        self, instance: Instance, call: effects.Call, answer: typing.Any
    ) -> None:
        """Answer a call."""
        fields = {
            'call': call.call,
            'address': call.address,
            'answer': answer,
        }
        self.reduce_event(instance, events.CallAnswered, fields)

    def fail(
        self,
        instance: Instance,
        call: effects.Call,
        failure: events.Failure,
    ) -> None:
        """Fail a call."""
        fields = {
            'call': call.call,
            'address': call.address,
            'failure': failure,
        }
        self.reduce_event(instance, events.CallFailed, fields)

    def advance(self, seconds: float) -> None:
        """Advance the time and fire every due timer once."""
        self.at += seconds
        for instance in self.instances.values():
            due = [
                timer for timer, at in instance.timers.items() if at <= self.at
            ]
            for timer in () if instance.paused else due:
                del instance.timers[timer]
                self.reduce_event(instance, events.TimerFired, {'timer': timer})

    def read(self, instance: Instance, limit: int = 500) -> None:
        """Answer the reads of an instance; they fail while the log is down."""
        reads = [
            call
            for call in instance.calls
            if isinstance(call.call, calls.ReadRecords)
        ]
        for call in () if instance.paused else reads:
            instance.calls.remove(call)
            if self.log_down:
                self.fail(instance, call, REFUSED)
            else:
                page = dataclasses.replace(call.call, limit=limit)
                self.answer(instance, call, self.log.read(page))

    def append(self, instance: Instance, outcome: str) -> None:
        """Complete the appends of an instance.

        `outcome` is `stored`, `refused`, `lost` (stored without a response) or
        `late` (stored later without a response).
        """
        appends = [
            call
            for call in instance.calls
            if isinstance(call.call, calls.AppendRecords)
        ]
        for call in () if instance.paused else appends:
            instance.calls.remove(call)
            if self.log_down or outcome == 'refused':
                self.fail(instance, call, REFUSED)
            elif outcome == 'stored':
                self.answer(instance, call, self.log.append(call.call))
            else:
                self.lose_answer(call.call, outcome)
                self.fail(instance, call, LOST)

    def lose_answer(self, call: calls.AppendRecords, outcome: str) -> None:
        """Store records without a response, now or later."""
        if outcome == 'lost':
            self.log.append(call)
        else:
            self.delayed_appends.append(call)

    def deliver(self, instance: Instance) -> None:
        """Deliver the waiting messages to an instance."""
        if instance.paused:
            return
        messages, instance.inbox = instance.inbox, []
        for sender, message in messages:
            fields = {'sender': sender, 'message': message}
            self.reduce_event(instance, events.PeerMessageReceived, fields)

    def settle(self, instance: Instance) -> None:
        """Complete the pending calls and messages of an instance."""
        for _ in range(3):
            self.append(instance, 'stored')
            self.read(instance)
            self.deliver(instance)

    def fold_log(self) -> list[promotions.PromotionState]:
        """Return the fold of the whole log up to each offset."""
        promoted = promotions.PromotionState()
        folded = []
        for stored in self.log.list_appended(STREAM):
            promoted = promotions.fold(
                stored.record,
                stored.offset,
                promoted,
            ).promoted
            folded.append(promoted)
        return folded

    def check(self) -> None:
        """Check every instance against the fold of the whole log."""
        folded_states = [promotions.PromotionState(), *self.fold_log()]
        accepted = {promoted.version: promoted for promoted in folded_states}
        for instance in self.instances.values():
            known = instance.state.configuration.promoted
            expected = folded_states[known.as_of + 1]
            assert (known.version, known.offset, known.document) == (
                expected.version,
                expected.offset,
                expected.document,
            ), f'{instance.name} has another document at {known.as_of}'
            applied = instance.state.configuration
            if applied.document is not None:
                layers = applied.document.models[0].layers
                assert accepted[applied.applied_version].document == (
                    build_document_text(layers)
                ), f'{instance.name} applies another document'


def check_progress(before: typing.Any, instance: Instance) -> None:
    """Check that an event did not revert an instance to an earlier state."""
    old, new = before.configuration, instance.state.configuration
    assert new.applied_version >= instance.highest_applied, (
        'applied version decreased'
    )
    instance.highest_applied = new.applied_version
    assert new.promoted.offset >= old.promoted.offset, (
        'promotion offset decreased'
    )
    assert new.promoted.as_of >= old.promoted.as_of, 'read offset decreased'
    if new.promoted.gap is not None:
        assert new.applied_version == old.applied_version, (
            'a document was applied behind a gap'
        )
