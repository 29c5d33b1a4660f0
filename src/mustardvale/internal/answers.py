"""Handle the requests for model answers."""

import dataclasses
import functools
from typing import TYPE_CHECKING

from mustardvale import document as documents
from mustardvale import errors
from mustardvale.internal import (
    admission,
    calls,
    chains,
    configuration,
    effects,
    events,
    generations,
    prefixes,
    limits,
    reducer,
    refusals,
    replies,
    retries,
    step_calls,
    suspects,
    timers,
    transitions,
    upstreams,
)

if TYPE_CHECKING:
    from mustardvale.internal import state as states

DEFAULT_DEADLINE_SECONDS = 60.0
CLOSE_TIMEOUT_SECONDS = 2.0
MAXIMUM_ATTEMPTS = 5
RESTART_SECONDS = 0.05
SUSPECT_MESSAGE = 'runners that ran this request have died'


def with_generation(
    generation: generations.Generation,
    state: 'states.State',
) -> 'states.State':
    """Add or replace a generation."""
    table = state.generations.set(generation.request_id, generation)
    return dataclasses.replace(state, generations=table)


def without_generation(
    request_id: str,
    state: 'states.State',
) -> 'states.State':
    """Forget a generation."""
    table = state.generations.delete(request_id)
    return dataclasses.replace(state, generations=table)


@reducer.on_request.register(replies.AnswerWanted)
def receive_request(
    wanted: replies.AnswerWanted,
    event: events.CallerRequested,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Check a request and have it admitted."""
    account = configuration.find_account(wanted.account_key, state)
    if account is None:
        return refusals.refuse_account(event, state)
    model = find_model(wanted, account, state)
    if model is None:
        return refusals.refuse(
            event.request_id,
            errors.UNKNOWN_MODEL,
            f'model {wanted.model!r} is not served to {account.name}',
            state,
        )
    mark = suspects.fingerprint(account.name, wanted)
    if suspects.is_refused(mark, event.wall, state):
        return refusals.refuse(
            event.request_id,
            errors.SUSPECT_REQUEST,
            SUSPECT_MESSAGE,
            state,
        )
    allowed = wanted.deadline_seconds or DEFAULT_DEADLINE_SECONDS
    work = admission.Work(
        account,
        event.at + allowed,
        model.name,
        max(wanted.maximum_tokens - len(wanted.delivered), 0),
    )
    return admission.admit(work, event, state)


@admission.start.register(replies.AnswerWanted)
def start_answer(
    wanted: replies.AnswerWanted,
    event: events.CallerRequested,
    now: float,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start the first attempt, unless the document has changed since."""
    account = configuration.find_account(wanted.account_key, state)
    model = find_model(wanted, account, state) if account else None
    if account is None or model is None:
        return refuse_admitted(
            event.request_id,
            errors.UNKNOWN_MODEL,
            f'model {wanted.model!r} is no longer served to the account',
            state,
        )
    generation = begin(wanted, account, model, event)
    state = retries.earn(state)
    deadline = effects.SetTimer(
        timers.AnswerDeadline(event.request_id),
        generation.deadline_at - now,
    )
    current = dataclasses.replace(event, at=now)
    return start_attempt(generation, current, state).with_effects(deadline)


def refuse_admitted(
    request_id: str,
    code: errors.ErrorCode,
    message: str,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Refuse a request that holds a place but of which nothing was sent."""
    return refusals.refuse(request_id, code, message, state).then(
        functools.partial(admission.leave, request_id),
    )


def find_model(
    wanted: replies.AnswerWanted,
    account: documents.ClientAccount,
    state: 'states.State',
) -> documents.Model | None:
    """Return the wanted model if it exists and the account may use it."""
    assert state.configuration.document is not None, 'an account was found'
    model = state.configuration.document.find_model(wanted.model)
    if model is None or model.name not in account.models:
        return None
    if wanted.adapter and wanted.adapter not in model.adapters:
        return None
    return model


def begin(
    wanted: replies.AnswerWanted,
    account: documents.ClientAccount,
    model: documents.Model,
    event: events.CallerRequested,
) -> generations.Generation:
    """Describe a new answer in flight."""
    allowed = wanted.deadline_seconds or DEFAULT_DEADLINE_SECONDS
    return generations.Generation(
        request_id=event.request_id,
        account=account.name,
        wanted=wanted,
        model=model,
        deadline_at=event.at + allowed,
        started_at=event.at,
        tokens=wanted.prompt + wanted.delivered,
        sent_tokens=len(wanted.delivered),
        fingerprint=suspects.fingerprint(account.name, wanted),
        priority=admission.rank_of(account),
    )


def start_attempt(
    generation: generations.Generation,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Choose a chain and send the prefill, or wait for a chain."""
    if generation.is_complete:
        return complete(generation, event, state)
    chain = find_chain(generation, event, state)
    state = chains.with_draws(chain.draws, state)
    if not chain.stages:
        return wait_for_chain(generation, state)
    started = generations.start_attempt(generation, chain.stages, event.at)
    step = generations.first_step(started)
    return step_calls.enqueue(
        started.current_stage.address,
        step,
        with_generation(started, state),
    )


def find_chain(
    generation: generations.Generation,
    event: events.Event,
    state: 'states.State',
) -> chains.Chain:
    """Choose a chain without the runners that failed, if that is possible."""
    wanted = chains.ChainWanted(
        generation.model,
        generation.wanted.adapter,
        generation.failed_upstreams,
        len(generation.tokens),
        prefixes.find_cached(generation, state),
    )
    choose = functools.partial(
        chains.choose_chain,
        table=state.upstreams,
        policy=state.policy,
        drawn=chains.Draws(state.seed, state.turns),
        now=event.at,
    )
    chain = choose(wanted)
    if chain.stages or not wanted.excluded:
        return chain
    return choose(dataclasses.replace(wanted, excluded=frozenset()))


def wait_for_chain(
    generation: generations.Generation,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Refuse a new request, or try again while an answer is in flight."""
    if generation.attempt == 0:
        return refuse_admitted(
            generation.request_id,
            errors.NO_UPSTREAM,
            f'no runners hold all layers of {generation.model.name}',
            state,
        )
    timer = timers.RestartDue(generation.request_id, generation.attempt)
    return transitions.Transition(
        with_generation(generation, state),
        (effects.SetTimer(timer, RESTART_SECONDS),),
    )


@reducer.on_timer.register(timers.RestartDue)
def restart(
    timer: timers.RestartDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Start the next attempt of an answer."""
    generation = state.generations.get(timer.request_id)
    if generation is None or generation.attempt != timer.attempt:
        return transitions.Transition(state)
    refused = suspects.is_refused(generation.fingerprint, event.wall, state)
    if generation.chain or refused:
        return transitions.Transition(state)
    return start_attempt(generation, event, state)


@reducer.on_answer.register(calls.RunSteps)
def take_steps_answer(
    call: calls.RunSteps,
    event: events.CallAnswered,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Take the results of a call, or fail its steps if it was refused."""
    transition = step_calls.end_call(event, call, state)
    if isinstance(event.answer, calls.StepsRefused):
        problem = f'status {event.answer.status}'
        if event.answer.leaving:
            problem = retries.LEAVING
            transition = transition.then(
                lambda now: transitions.Transition(
                    upstreams.mark_leaving(event.address, now),
                ),
            )
        return fail_steps(call, problem, event, transition)
    for answered in event.answer.results:
        transition = transition.then(
            functools.partial(take_result, answered, event),
        )
    return transition


@reducer.on_failure.register(calls.RunSteps)
def take_steps_failure(
    call: calls.RunSteps,
    event: events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Eject the runner and restart the answers whose steps are lost."""
    marks = find_marks(call, event.address, state)
    transition = (
        suspects.blame(call, marks, event, state)
        .then(functools.partial(step_calls.end_call, event, call))
        .then(lambda now: upstreams.eject(event.address, event, now))
    )
    return fail_steps(call, event.failure.kind.value, event, transition)


def find_marks(
    call: calls.RunSteps,
    address: str,
    state: 'states.State',
) -> frozenset[str]:
    """Return the fingerprints of the requests whose steps are awaited."""
    found = []
    for step in call.steps:
        request_id = generations.request_of(step.session)
        generation = state.generations.get(request_id)
        lost = calls.StepResult(step.session, step.position)
        if generation is not None and generations.is_awaited(
            generation,
            address,
            lost,
        ):
            found.append(generation.fingerprint)
    return frozenset(found)


def fail_steps(
    call: calls.RunSteps,
    problem: str,
    event: events.CallAnswered | events.CallFailed,
    transition: transitions.Transition['states.State'],
) -> transitions.Transition['states.State']:
    """Restart the answers whose steps a call did not run."""
    for step in call.steps:
        lost = calls.StepResult(step.session, step.position, error=problem)
        transition = transition.then(
            functools.partial(take_result, lost, event),
        )
    return transition


def take_result(
    answered: calls.StepResult,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Take the result of one step, unless it is no longer awaited."""
    request_id = generations.request_of(answered.session)
    generation = state.generations.get(request_id)
    if generation is None or not generations.is_awaited(
        generation,
        event.address,
        answered,
    ):
        return transitions.Transition(
            state,
            (effects.Count('late_step_results'),),
        )
    if answered.error:
        return restart_elsewhere(generation, answered.error, event, state)
    if generation.stage + 1 < len(generation.chain):
        return send_to_next_stage(generation, answered, event, state)
    return deliver_token(generation, answered.outputs[0], event, state)


def send_to_next_stage(
    generation: generations.Generation,
    answered: calls.StepResult,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the outputs of a stage to the next one."""
    if len(answered.outputs) != generation.inputs:
        return restart_elsewhere(generation, 'malformed', event, state)
    span = stage_span(generation, event)
    moved = generations.next_stage(generation, event.at)
    step = generations.build_step(moved, answered.outputs)
    return step_calls.enqueue(
        moved.current_stage.address,
        step,
        with_generation(moved, state),
    ).with_effects(span)


def deliver_token(
    generation: generations.Generation,
    token: str,
    event: events.Event,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send a token to the caller and go on with the next position."""
    moved = generations.take_token(generation, token, event.at)
    charged = limits.charge(moved.account, 1, event.at, state.limits)
    state = dataclasses.replace(state, limits=charged)
    part = replies.TokenPart(moved.sent_tokens - 1, token)
    sent: tuple[effects.Effect, ...] = (
        effects.StreamPart(moved.request_id, part),
        effects.Count('tokens', (moved.account,)),
        stage_span(generation, event),
        token_latency(generation, event),
    )
    if moved.is_complete:
        return complete(moved, event, state, sent)
    if moved.blocked:
        moved = dataclasses.replace(moved, ready_step=True)
        return transitions.Transition(with_generation(moved, state), sent)
    return send_first_step(moved, state).with_effects(*sent)


def send_first_step(
    generation: generations.Generation,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send the step of the next position to the first stage."""
    return step_calls.enqueue(
        generation.current_stage.address,
        generations.first_step(generation),
        with_generation(generation, state),
    )


def token_latency(
    generation: generations.Generation,
    event: events.Event,
) -> effects.Effect:
    """Observe the time to the first token or between two tokens."""
    if not generation.first_token_at:
        waited = event.at - generation.started_at
        return effects.Observe('first_token_seconds', waited)
    waited = event.at - generation.last_token_at
    return effects.Observe('between_tokens_seconds', waited)


def stage_span(
    generation: generations.Generation,
    event: events.Event,
) -> effects.Effect:
    """Record the hop to one stage for one step."""
    stage = generation.current_stage
    return effects.RecordSpan(
        'stage',
        generation.wanted.traceparent,
        generation.step_started_at,
        event.at,
        (
            ('upstream', stage.instance_id),
            ('session', generation.session),
            ('position', str(generation.position)),
        ),
    )


def complete(
    generation: generations.Generation,
    event: events.Event,
    state: 'states.State',
    sent: tuple[effects.Effect, ...] = (),
) -> transitions.Transition['states.State']:
    """Send the end mark and free everything that the answer holds."""
    end = replies.AnswerEnd(generation.sent_tokens, generation.model.version)
    state = suspects.clear(generation.fingerprint, event.wall, state)
    observed = admission.observe(
        generation.request_id,
        generation.model.name,
        generation.gap_seconds,
        event.at,
        state,
    )
    return observed.then(functools.partial(release, generation)).with_effects(
        *sent,
        effects.StreamEnd(generation.request_id, end),
        effects.Count('answers', ('complete',)),
        effects.RecordSpan(
            'answer',
            generation.wanted.traceparent,
            generation.started_at,
            event.at,
            (('request', generation.request_id),),
        ),
    )


def release(
    generation: generations.Generation,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Forget an answer, close its sessions and cancel its deadline."""
    if generation.request_id in state.generations:
        state = without_generation(generation.request_id, state)
    timer = timers.AnswerDeadline(generation.request_id)
    return admission.leave(generation.request_id, state).with_effects(
        effects.CancelTimer(timer),
        *close_sessions(generation),
    )


def close_sessions(
    generation: generations.Generation,
) -> tuple[effects.Effect, ...]:
    """Free the sessions of the current attempt on all its runners."""
    call = calls.CloseSession(generation.session)
    return tuple(
        effects.Call(call, stage.address, CLOSE_TIMEOUT_SECONDS)
        for stage in generation.chain
    )


def restart_elsewhere(
    generation: generations.Generation,
    problem: str,
    event: events.CallAnswered | events.CallFailed,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Abandon the attempt and start the next one on another chain."""
    abandoned = generations.abandon_attempt(
        generation,
        generation.current_stage.instance_id,
        problem,
    )
    closed = close_sessions(generation)
    count = effects.Count('attempts_abandoned', (problem,))
    if suspects.is_refused(generation.fingerprint, event.wall, state):
        # `SuspectsDue` is set and cuts the answer.
        return transitions.Transition(
            with_generation(abandoned, state),
            (*closed, count),
        )
    spent = retries.spend(problem, state)
    state = spent.state
    if generation.attempt >= MAXIMUM_ATTEMPTS or not spent.granted:
        return cut(
            abandoned,
            errors.NO_UPSTREAM,
            f'{generation.attempt} attempts failed, the last one: {problem}',
            state,
        ).with_effects(*closed, count)
    state = with_generation(abandoned, state)
    if suspects.runs_alone(generation.fingerprint, state):
        # The results of copies of the request that run elsewhere come first.
        return wait_for_chain(abandoned, state).with_effects(*closed, count)
    return start_attempt(abandoned, event, state).with_effects(*closed, count)


def cut(
    generation: generations.Generation,
    code: errors.ErrorCode,
    message: str,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """End an answer with an error line in place of the end mark."""
    error = replies.RequestError(code, message, errors.Outcome.UNKNOWN)
    answer: effects.Effect = effects.Reply(generation.request_id, error)
    if generation.first_token_at:
        answer = effects.StreamEnd(generation.request_id, error)
    return release(generation, state).with_effects(
        answer,
        effects.Count('answers', (code.name,)),
    )


@reducer.on_timer.register(timers.AnswerDeadline)
def expire(
    timer: timers.AnswerDeadline,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Cut an answer whose time is over."""
    generation = state.generations.get(timer.request_id)
    if generation is None:
        return transitions.Transition(state)
    return cut(
        generation,
        errors.DEADLINE_EXCEEDED,
        f'the answer stopped after {generation.sent_tokens} tokens',
        state,
    )


@reducer.on_timer.register(timers.SuspectsDue)
def cut_suspects(
    timer: timers.SuspectsDue,
    event: events.TimerFired,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Cut the answers of requests that have lost too many runners."""
    transition = transitions.Transition(state)
    for generation in state.generations.values():
        if suspects.is_refused(generation.fingerprint, event.wall, state):
            transition = transition.then(
                functools.partial(
                    cut,
                    generation,
                    errors.SUSPECT_REQUEST,
                    SUSPECT_MESSAGE,
                ),
            )
    return transition


@reducer.reduce.register(events.CallerLeft)
def cancel(
    event: events.CallerLeft,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Cancel the answer of a caller that left."""
    generation = state.generations.get(event.request_id)
    if generation is None:
        return admission.forget(event.request_id, state)
    return release(generation, state).with_effects(
        effects.Count('answers', ('caller_left',)),
    )


@reducer.reduce.register(events.CallerBlocked)
def pause(
    event: events.CallerBlocked,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Send no further step for a caller that reads slowly."""
    generation = state.generations.get(event.request_id)
    if generation is None:
        return transitions.Transition(state)
    blocked = dataclasses.replace(generation, blocked=True, paced=False)
    return transitions.Transition(with_generation(blocked, state))


@reducer.reduce.register(events.CallerCaughtUp)
def resume(
    event: events.CallerCaughtUp,
    state: 'states.State',
) -> transitions.Transition['states.State']:
    """Go on with the answer of a caller that has caught up."""
    generation = state.generations.get(event.request_id)
    if generation is None:
        return transitions.Transition(state)
    ready = generation.ready_step
    resumed = dataclasses.replace(generation, blocked=False, ready_step=False)
    if not ready:
        return transitions.Transition(with_generation(resumed, state))
    return send_first_step(resumed, state)
