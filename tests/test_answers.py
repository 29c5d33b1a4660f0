"""Test model answers under lost and repeated results and crashes."""

import dataclasses
import typing
import unittest

import hypothesis
from hypothesis import stateful, strategies

from mustardvale.internal import (
    caller_messages,
    calls,
    effects,
    events,
    handlers,
    timers,
    transitions,
    upstreams,
)
from standins import engine, reference_model
from tests import answer_states

RANGES = ((0, 8), (8, 16), (16, 24))
RUNNERS = tuple(
    answer_states.build_runner(f'runner-{number}', *RANGES[number // 2])
    for number in range(6)
)
INITIAL_STATE = answer_states.build_state(RUNNERS)
PROMPT = ('how', 'is', 'the', 'rind')
TOKENS = 4
STEP_SECONDS = 0.01


def build_engine(runner: upstreams.Upstream) -> engine.State:
    """Return an engine stand-in without sessions."""
    report = runner.report
    assert report is not None
    return engine.State(
        engine.EngineConfig(
            instance_id=report.instance_id,
            accelerator='standard',
            model=report.model,
            version=report.version,
            adapters=report.adapters,
            layers=answer_states.LAYERS,
            first_layer=report.first_layer,
            end_layer=report.end_layer,
            iteration_seconds=0.004,
            input_seconds=0,
        ),
    )


class AnswerMachine(stateful.RuleBasedStateMachine):
    """Run answers on engines whose results are lost, late or repeated."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.state = INITIAL_STATE
        self.engines = {
            runner.listed.address: build_engine(runner) for runner in RUNNERS
        }
        self.pending: list[effects.Call] = []
        self.repeatable: list[events.CallAnswered] = []
        self.applied: set[tuple[str, str, int]] = set()
        # A restarted engine refuses the next step of a session that it lost.
        self.lost_sessions: set[tuple[str, str]] = set()
        self.parts: dict[str, list[caller_messages.TokenPart]] = {}
        self.ended: dict[str, typing.Any] = {}
        self.started: list[str] = []

    def emit_event(self, event: events.Event) -> None:
        """Reduce one event and record its effects."""
        transition: transitions.Transition[typing.Any] = handlers.reduce(
            event,
            self.state,
        )
        self.state = transition.state
        for effect in transition.effects:
            self.record_effect(effect)

    def record_effect(self, effect: effects.Effect) -> None:
        """Record a call, part or end."""
        if isinstance(effect, effects.Call):
            if isinstance(effect.call, calls.RunSteps):
                self.pending.append(effect)
        elif isinstance(effect, effects.StreamPart):
            assert effect.request_id not in self.ended, (
                'a part must precede the end'
            )
            self.parts[effect.request_id].append(effect.part)
        elif isinstance(effect, effects.StreamEnd):
            assert effect.request_id not in self.ended, (
                'an answer must end once'
            )
            self.ended[effect.request_id] = effect.end
        elif isinstance(effect, effects.Reply):
            assert effect.request_id not in self.ended, (
                'an answer must end once'
            )
            self.ended[effect.request_id] = effect.reply

    def run_on_engine(self, sent: effects.Call) -> calls.StepsRun:
        """Run the steps of a call on its engine and check each one."""
        results: tuple[calls.StepResult, ...] = ()
        for step in sent.call.steps:
            key = (sent.address, step.session, step.position)
            assert key not in self.applied, 'a step must be sent once'
            self.applied.add(key)
            ran = engine.run_step(step, self.engines[sent.address])
            lost = (sent.address, step.session) in self.lost_sessions
            assert bool(ran.outcome.error) <= lost, ran.outcome.error
            self.engines[sent.address] = ran.state
            results = (*results, ran.outcome)
        return calls.StepsRun(results)

    def take_pending(self, choice: int) -> effects.Call:
        """Remove one call in flight; calls may end in any order."""
        self.now += STEP_SECONDS
        return self.pending.pop(choice % len(self.pending))

    @stateful.rule()
    def start_answer(self) -> None:
        """Request an answer."""
        request_id = f'entry-0-{len(self.started)}'
        self.started.append(request_id)
        self.parts[request_id] = []
        request = caller_messages.AnswerRequest(
            account_key=answer_states.ACCOUNT_KEY,
            model='affinage',
            prompt=PROMPT,
            maximum_tokens=TOKENS,
            deadline_seconds=3600,
        )
        self.emit_event(
            events.CallerRequested(
                at=self.now,
                request_id=request_id,
                request=request,
            ),
        )

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(choice=strategies.integers(0, 50))
    def answer_call(self, choice: int) -> None:
        """Run a call on its engine and deliver the answer."""
        sent = self.take_pending(choice)
        answered = events.CallAnswered(
            at=self.now,
            call=sent.call,
            address=sent.address,
            answer=self.run_on_engine(sent),
        )
        self.repeatable.append(answered)
        self.emit_event(answered)

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(choice=strategies.integers(0, 50))
    def lose_answer(self, choice: int) -> None:
        """Run a call on its engine but lose the answer."""
        sent = self.take_pending(choice)
        self.run_on_engine(sent)
        self.fail(sent, events.FailureKind.TIMED_OUT)

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(choice=strategies.integers(0, 50))
    def restart_engine(self, choice: int) -> None:
        """Restart the engine of a call, losing its sessions and calls."""
        sent = self.take_pending(choice)
        self.lost_sessions.update(
            (sent.address, session)
            for session in self.engines[sent.address].sessions
        )
        self.engines[sent.address] = dataclasses.replace(
            self.engines[sent.address],
            sessions=engine.immutables.Map(),
        )
        lost = [call for call in self.pending if call.address == sent.address]
        self.pending = [
            call for call in self.pending if call.address != sent.address
        ]
        for call in (sent, *lost):
            self.fail(call, events.FailureKind.CLOSED)

    def fail(self, sent: effects.Call, kind: events.FailureKind) -> None:
        """Report the failure of a call."""
        self.emit_event(
            events.CallFailed(
                at=self.now,
                call=sent.call,
                address=sent.address,
                failure=events.Failure(kind, was_sent=True),
            ),
        )

    @stateful.precondition(lambda self: self.repeatable)
    @stateful.rule(choice=strategies.integers(0, 50))
    def repeat_results(self, choice: int) -> None:
        """Deliver results again, as a delayed or duplicate answer would."""
        late = self.repeatable[choice % len(self.repeatable)]
        self.emit_event(dataclasses.replace(late, at=self.now))

    @stateful.rule()
    def pass_time(self) -> None:
        """Let ejections end and fire pending restarts."""
        self.now += 30
        for request_id, generation in tuple(self.state.generations.items()):
            timer = timers.AttemptRestartDue(
                request_id,
                generation.attempt,
            )
            self.emit_event(events.TimerFired(at=self.now, timer=timer))

    @stateful.invariant()
    def tokens_are_those_of_the_model(self) -> None:
        """Guard against lost, repeated, altered or foreign tokens."""
        expected = reference_model.compute_answer(
            'affinage',
            '3',
            '',
            answer_states.LAYERS,
            PROMPT,
            TOKENS,
        )
        for request_id, parts in self.parts.items():
            indexes = [part.index for part in parts]
            assert indexes == list(range(len(parts)))
            tokens = tuple(part.token for part in parts)
            assert tokens == expected[: len(parts)]
            end = self.ended.get(request_id)
            if isinstance(end, caller_messages.AnswerEnd):
                assert end.tokens == len(parts) == TOKENS


AnswerMachine.TestCase.settings = hypothesis.settings(
    max_examples=120,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
)


class AnswersUnderFaults(AnswerMachine.TestCase):  # type: ignore[misc, name-defined]
    """Every layer runs once per token and every part is sent once."""


class SlowCaller(unittest.TestCase):
    """A slow caller pauses the steps of its own answer only."""

    def setUp(self) -> None:
        """Start one answer."""
        self.machine = AnswerMachine()
        self.machine.start_answer()
        self.request_id = self.machine.started[0]

    def test_no_step_is_sent_while_blocked(self) -> None:
        """Guard against unbounded output buffers."""
        self.machine.emit_event(
            events.CallerBlocked(at=1000, request_id=self.request_id),
        )
        for _ in range(3):
            self.machine.answer_call(0)
        self.assertEqual(len(self.machine.parts[self.request_id]), 1)
        self.assertEqual(self.machine.pending, [])

    def test_steps_resume_when_caught_up(self) -> None:
        """Guard against an answer that is never resumed."""
        self.test_no_step_is_sent_while_blocked()
        self.machine.emit_event(
            events.CallerCaughtUp(at=1001, request_id=self.request_id),
        )
        while self.machine.pending:
            self.machine.answer_call(0)
        self.assertIsInstance(
            self.machine.ended[self.request_id],
            caller_messages.AnswerEnd,
        )


class CallerLeaves(unittest.TestCase):
    """The sessions of a caller that disconnected are closed."""

    def test_sessions_are_closed(self) -> None:
        """Guard against runners that keep sessions no longer in use."""
        machine = AnswerMachine()
        machine.start_answer()
        transition = handlers.reduce(
            events.CallerLeft(at=1000, request_id=machine.started[0]),
            machine.state,
        )
        closed = [
            effect
            for effect in transition.effects
            if isinstance(effect, effects.Call)
            and isinstance(effect.call, calls.CloseSession)
        ]
        self.assertEqual(len(closed), 3)
        self.assertFalse(transition.state.generations)
