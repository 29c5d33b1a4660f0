"""Define the requests of the load and compute their expected answers."""

import dataclasses

from mustardvale.internal.relay import event_stream
from standins import reference_text


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """Describe a kind of request and its share of the load, from 0 to 1."""

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
    """Hold an attempt in flight and what was received of its answer.

    Times are in monotonic seconds. The caller aborts the attempt at
    `aborts_at`. `attempt_number` counts the attempts of a request from 1. A
    retry of a stream continues after `resumed_after_event`. `stamp` is the
    Server-Stamp header of the answer, `is_leaving` whether its runner says in it
    that it leaves, `last_received_at` the time of its last
    part, or of the send before the first one.
    """

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
    is_leaving: bool = False
    received: bytes = b''
    last_received_at: float = 0.0

    @property
    def digest(self) -> str:
        """Return the digest of the request, which determines the answer."""
        return reference_text.digest_request(
            self.kind.method, self.target, self.body
        )


def choose_kind(fraction: float) -> RequestKind:
    """Return the kind that a number from 0 to 1 selects by the shares.

    The shares divide the interval from 0 to 1 in the order of `KINDS`.
    """
    for kind in KINDS:
        fraction -= kind.share
        if fraction < 0:
            return kind
    return KINDS[-1]


def get_last_event_id(attempt: Attempt) -> int | None:
    """Return the id of the last complete event received, if any."""
    if not attempt.kind.is_streamed:
        return None
    split = event_stream.split_events(
        event_stream.NO_EVENT, attempt.received, attempt.resumed_after_event
    )
    return split.last_event_id


def build_expected_answer(attempt: Attempt) -> bytes:
    """Return the body of the complete and correct answer to an attempt."""
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
    """Return whether the expected answer starts with the bytes received so far.

    Bodies of answers without a 2xx status are not compared.
    """
    if attempt.status // 100 != 2:
        return True
    return build_expected_answer(attempt).startswith(attempt.received)
