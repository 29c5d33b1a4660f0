"""Describe what callers ask of a relay, and what the right answer is."""

import dataclasses

from mustardvale.internal.relay import event_stream
from standins import reference_text


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """Describe a kind of request and its share of the load."""

    name: str
    method: str
    share: float
    is_repeatable: bool
    is_streamed: bool = False


KINDS = (
    RequestKind('generate', 'POST', 0.6, is_repeatable=True, is_streamed=True),
    RequestKind('read', 'GET', 0.2, is_repeatable=True),
    RequestKind('write', 'POST', 0.2, is_repeatable=False),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one attempt of a request that is under way."""

    attempt_id: str
    kind: RequestKind
    target: str
    body: bytes
    key: str
    tenant: str
    entry: str
    started_at: float
    aborts_at: float
    attempt_number: int = 1
    resumed_after_event: int | None = None
    status: int = 0
    stamp: str = ''
    retry_after: float | None = None
    received: bytes = b''
    last_received_at: float = 0.0

    @property
    def digest(self) -> str:
        """Return the digest that the right answer depends on."""
        return reference_text.digest_request(
            self.kind.method, self.target, self.body
        )


def choose_kind(fraction: float) -> RequestKind:
    """Return a kind by its share."""
    for kind in KINDS:
        fraction -= kind.share
        if fraction < 0:
            return kind
    return KINDS[-1]


def get_last_event_id(attempt: Attempt) -> int | None:
    """Return the last whole event of a stream that a caller has."""
    if not attempt.kind.is_streamed:
        return None
    split = event_stream.split_events(
        b'', attempt.received, attempt.resumed_after_event
    )
    return split.last_event_id


def build_expected_answer(attempt: Attempt) -> bytes:
    """Return the whole right answer to an attempt."""
    if not attempt.kind.is_streamed:
        return reference_text.build_whole_body(attempt.digest)
    first = (
        1
        if attempt.resumed_after_event is None
        else attempt.resumed_after_event + 1
    )
    return b''.join(
        reference_text.encode_event(attempt.digest, number)
        for number in range(
            first, reference_text.count_events(attempt.digest) + 1
        )
    )


def is_expected_so_far(attempt: Attempt) -> bool:
    """Return whether what has come so far is the start of the right answer."""
    if attempt.status // 100 != 2:
        return True
    return build_expected_answer(attempt).startswith(attempt.received)
