"""Track the model answers in flight.

A session is the state that a runner keeps for one attempt of one answer; its
id is `<request id>.<attempt>`. No step is sent twice in one session: if the
result of a step is lost, the attempt is abandoned and the next one uses new
sessions.
"""

import dataclasses

import immutables

from mustardvale import document as documents
from mustardvale.internal import caller_messages, calls, chains


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """Describe one answer in flight.

    `tokens` holds the prompt and every token delivered so far;
    `sent_token_count` counts the tokens delivered on this connection or an
    earlier one. The awaited step starts at `position` with `input_count`
    inputs and runs at the stage `stage_index`. `has_deferred_step` says that
    the next step waits until the caller has caught up. `priority` is 0 for
    urgent work, 1 for interactive work and 2 for batch. `is_uninterrupted`
    says that the token times include no blocked caller and no restart.
    Times are in seconds of the monotonic clock.
    """

    request_id: str
    account: str
    request: caller_messages.AnswerRequest
    model: documents.Model
    deadline_at: float
    started_at: float
    tokens: tuple[str, ...]
    sent_token_count: int
    attempt: int = 0
    chain: tuple[chains.Stage, ...] = ()
    stage_index: int = 0
    position: int = 0
    input_count: int = 0
    is_blocked: bool = False
    has_deferred_step: bool = False
    first_token_at: float = 0
    last_token_at: float = 0
    step_started_at: float = 0
    failed_upstreams: frozenset[str] = frozenset()
    last_problem: str = ''
    fingerprint: str = ''
    priority: int = 0
    is_uninterrupted: bool = True

    @property
    def session(self) -> str:
        """Return the id of the sessions of the current attempt."""
        return f'{self.request_id}.{self.attempt}'

    @property
    def is_complete(self) -> bool:
        """Return whether all requested tokens have been delivered."""
        return self.sent_token_count >= self.request.maximum_tokens

    @property
    def token_gap_seconds(self) -> float:
        """Return the mean time between two tokens, 0 if unknown."""
        count = self.sent_token_count - len(self.request.delivered)
        if count < 2 or not self.is_uninterrupted:
            return 0
        return (self.last_token_at - self.first_token_at) / (count - 1)

    @property
    def current_stage(self) -> chains.Stage:
        """Return the stage of the awaited step."""
        return self.chain[self.stage_index]


Generations = immutables.Map[str, Generation]


def start_attempt(
    generation: Generation,
    chain: tuple[chains.Stage, ...],
    now: float,
) -> Generation:
    """Start a new attempt whose first step is the prefill of all tokens."""
    assert chain, 'the chain of an attempt must not be empty'
    return dataclasses.replace(
        generation,
        attempt=generation.attempt + 1,
        chain=chain,
        stage_index=0,
        position=0,
        input_count=len(generation.tokens),
        has_deferred_step=False,
        step_started_at=now,
    )


def build_first_step(generation: Generation) -> calls.Step:
    """Build the step for the first stage from the tokens not yet processed."""
    return build_step(generation, generation.tokens[generation.position :])


def build_step(generation: Generation, inputs: tuple[str, ...]) -> calls.Step:
    """Build the awaited step from its inputs."""
    assert len(inputs) == generation.input_count, (
        'the step must have one input per position'
    )
    return calls.Step(
        session=generation.session,
        model=generation.model.name,
        version=generation.model.version,
        adapter=generation.request.adapter,
        position=generation.position,
        inputs=inputs,
        priority=generation.priority,
    )


def is_awaited(
    generation: Generation,
    address: str,
    result: calls.StepResult,
) -> bool:
    """Return whether a result belongs to the awaited step."""
    if not generation.chain or generation.has_deferred_step:
        return False
    awaited = (
        generation.session,
        generation.position,
        generation.current_stage.address,
    )
    return awaited == (result.session, result.position, address)


def advance_stage(generation: Generation, now: float) -> Generation:
    """Advance to the next stage of the same positions."""
    return dataclasses.replace(
        generation,
        stage_index=generation.stage_index + 1,
        step_started_at=now,
    )


def append_token(generation: Generation, token: str, now: float) -> Generation:
    """Append a token and return to the first stage for the next position."""
    return dataclasses.replace(
        generation,
        tokens=(*generation.tokens, token),
        sent_token_count=generation.sent_token_count + 1,
        stage_index=0,
        position=generation.position + generation.input_count,
        input_count=1,
        first_token_at=generation.first_token_at or now,
        last_token_at=now,
        step_started_at=now,
    )


def abandon_attempt(
    generation: Generation,
    instance_id: str,
    problem: str,
) -> Generation:
    """Abandon the current attempt; its late results are ignored."""
    return dataclasses.replace(
        generation,
        chain=(),
        has_deferred_step=False,
        is_uninterrupted=False,
        failed_upstreams=generation.failed_upstreams | {instance_id},
        last_problem=problem,
    )


def find_request_id(session: str) -> str:
    """Return the request id of a session id."""
    return session.rpartition('.')[0]
