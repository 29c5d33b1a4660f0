"""Build states of an entry instance and drive its reducer in tests."""

import dataclasses
import pathlib
import typing

from mustardvale import document
from mustardvale.internal import (
    caller_messages,
    calls,
    configuration,
    effects,
    events,
    handlers,
    log_streams,
    membership,
    state,
    timers,
    upstreams,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
COOPERATIVE = (ROOT / 'examples' / 'cooperative.toml').read_text()
LAYERS = 24

EffectT = typing.TypeVar('EffectT', bound=effects.Effect)


def build(runner_count: int = 1) -> state.State:
    """Build the state of an instance whose runners hold the whole model."""
    table = upstreams.UpstreamTable()
    for number in range(runner_count):
        table = table.replace(build_runner(number))
    return state.State(
        identity=membership.Identity('entry-0', 'e:1', 'e:2', 'melton-vault'),
        seed=1,
        configuration=configuration.ConfigurationState(
            'production',
            document=document.parse(COOPERATIVE),
        ),
        log=log_streams.LogState('log:1'),
        membership=membership.Membership('list:1'),
        upstreams=table,
    )


def build_upstream(
    listed: calls.ListedInstance,
    report: calls.LoadReport,
) -> upstreams.Upstream:
    """Build an upstream whose slow start ended long ago."""
    seen = upstreams.build(listed, -1000)
    return dataclasses.replace(
        seen,
        candidate=dataclasses.replace(
            seen.candidate,
            step_seconds=report.step_seconds,
        ),
        report=report,
        is_polled=True,
    )


def build_runner(number: int) -> upstreams.Upstream:
    """Build a runner that holds the whole model."""
    name = f'runner-{number}'
    return build_upstream(
        calls.ListedInstance(
            name,
            'mustardvale-pool',
            f'{name}:1',
            'melton-vault',
        ),
        calls.LoadReport(
            name,
            model='affinage',
            version='3',
            end_layer=LAYERS,
            step_seconds=0.01,
        ),
    )


class Entry:
    """Drive one instance and record the effects of every event."""

    def __init__(self, runner_count: int = 1) -> None:
        self.state = build(runner_count)
        self.now = 100.0
        self.effects: list[effects.Effect] = []
        self.count = 0

    def emit_event(
        self, kind: typing.Any, **fields: typing.Any
    ) -> list[effects.Effect]:
        """Reduce one event and return its effects."""
        event = kind(at=self.now, wall_time=1e9 + self.now, **fields)
        transition = handlers.reduce(event, self.state)
        self.state = transition.state
        self.effects.extend(transition.effects)
        return list(transition.effects)

    def ask(
        self,
        account: str = 'colston-dairy',
        prompt: str = 'how old',
        tokens: int = 2,
        deadline_seconds: float = 0,
    ) -> str:
        """Request an answer and return the request id."""
        self.count += 1
        request_id = f'request-{self.count}'
        self.emit_event(
            events.CallerRequested,
            request_id=request_id,
            request=caller_messages.AnswerRequest(
                account_key=f'{account}-key',
                model='affinage',
                prompt=tuple(prompt.split()),
                maximum_tokens=tokens,
                deadline_seconds=deadline_seconds,
            ),
        )
        return request_id

    def fire(self, timer: typing.Any) -> list[effects.Effect]:
        """Fire a timer."""
        return self.emit_event(events.TimerFired, timer=timer)

    def take(self, kind: type[EffectT]) -> list[EffectT]:
        """Remove and return the recorded effects of a kind."""
        taken = [effect for effect in self.effects if isinstance(effect, kind)]
        self.effects = [
            effect for effect in self.effects if effect not in taken
        ]
        return taken

    def take_steps(self) -> list[effects.Call]:
        """Remove and return the recorded calls with steps."""
        return [
            call
            for call in self.take(effects.Call)
            if isinstance(call.call, calls.RunSteps)
        ]

    def answer(self, call: effects.Call, seconds: float = 0.01) -> None:
        """Answer every step of a call with one token."""
        self.now += seconds
        self.emit_event(
            events.CallAnswered,
            call=call.call,
            address=call.address,
            answer=calls.StepsRun(
                tuple(
                    calls.StepResult(step.session, step.position, ('w',))
                    for step in call.call.steps
                ),
            ),
        )

    def fail(
        self,
        call: effects.Call,
        kind: events.FailureKind = events.FailureKind.CLOSED,
        sent: bool = True,
    ) -> None:
        """Report the failure of a call."""
        self.emit_event(
            events.CallFailed,
            call=call.call,
            address=call.address,
            failure=events.Failure(kind, sent),
        )

    def fire_restart_timers(self) -> None:
        """Fire the timers that restart answers."""
        for effect in self.take(effects.SetTimer):
            if isinstance(effect.timer, timers.AttemptRestartDue):
                self.now += effect.delay_seconds
                self.fire(effect.timer)

    def find_refusal(
        self, request_id: str
    ) -> caller_messages.RequestError | None:
        """Return the error reply to a request, if any."""
        for effect in self.effects:
            if isinstance(effect, effects.Reply) and isinstance(
                effect.reply,
                caller_messages.RequestError,
            ):
                if effect.request_id == request_id:
                    return effect.reply
        return None

    def set_concurrency(self, limit: float) -> None:
        """Set the limit of concurrent requests."""
        admission = self.state.admission
        window = dataclasses.replace(
            admission.concurrency.window,
            limit=limit,
        )
        concurrency = dataclasses.replace(admission.concurrency, window=window)
        admission = dataclasses.replace(admission, concurrency=concurrency)
        self.state = dataclasses.replace(self.state, admission=admission)
