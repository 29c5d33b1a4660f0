"""Drive runs of the command-line tool step by step, without sockets."""

import typing

from mustardvale.internal import calls, effects, events
from mustardvale.internal.commands import command_types, handlers, reports
from mustardvale.internal.commands import state as states
from tests import fakes

AppendRecords = calls.AppendRecords


class Run:
    """Drive one run of the tool and collect its effects."""

    def __init__(
        self, command: command_types.Command, **fields: typing.Any
    ) -> None:
        self.state = states.State(command, log_address='log:1', **fields)
        self.at = 0.0
        self.calls: list[effects.Call] = []
        self.timers: list[effects.SetTimer] = []
        self.shown: list[reports.Report] = []
        self.exit_code: int | None = None
        self.feed(events.InstanceStarted(at=self.at))

    def feed(self, event: events.Event) -> None:
        """Reduce an event and collect its effects by type."""
        transition = handlers.reduce(event, self.state)
        self.state = transition.state
        for effect in transition.effects:
            if isinstance(effect, effects.Call):
                self.calls.append(effect)
            elif isinstance(effect, effects.SetTimer):
                self.timers.append(effect)
            elif isinstance(effect, reports.Show):
                self.shown.append(effect.report)
            elif isinstance(effect, effects.StopLoop):
                self.exit_code = effect.exit_code

    def answer(self, answer: typing.Any) -> None:
        """Answer the oldest call."""
        call = self.calls.pop(0)
        self.feed(
            events.CallAnswered(
                at=self.at,
                wall_time=1000,
                call=call.call,
                address=call.address,
                answer=answer,
            )
        )

    def fail(self, failure: events.Failure) -> None:
        """Fail the oldest call."""
        call = self.calls.pop(0)
        self.feed(
            events.CallFailed(
                at=self.at,
                call=call.call,
                address=call.address,
                failure=failure,
            )
        )

    def receive(self, part: typing.Any) -> None:
        """Report a part of the answer to the oldest call."""
        call = self.calls[0]
        self.feed(
            events.CallPartArrived(
                at=self.at,
                call=call.call,
                address=call.address,
                part=part,
            )
        )

    def fire_timer(self) -> None:
        """Advance the clock by the delay of the oldest timer and fire it."""
        timer = self.timers.pop(0)
        self.at += timer.delay_seconds
        self.feed(events.TimerFired(at=self.at, timer=timer.timer))

    def read(self, log: fakes.FakeLog) -> None:
        """Answer a read from the log."""
        self.answer(log.read(self.calls[0].call))

    def append(self, log: fakes.FakeLog) -> None:
        """Answer an append from the log."""
        self.answer(log.append(self.calls[0].call))
