"""Describe what callers ask of a relay, and what the right answer is."""

import dataclasses

from mustardvale.internal.relay import event_stream
from standins import reference_text


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Describe a kind of request and its share of the load."""

    name: str
    method: str
    share: float
    repeatable: bool
    streamed: bool = False


KINDS = (
    Kind('generate', 'POST', 0.6, repeatable=True, streamed=True),
    Kind('read', 'GET', 0.2, repeatable=True),
    Kind('write', 'POST', 0.2, repeatable=False),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Hold one attempt of a request that is under way."""

    attempt_id: str
    kind: Kind
    target: str
    body: bytes
    key: str
    tenant: str
    entry: str
    started_at: float
    leaves_at: float
    tries: int = 1
    after_event: int | None = None
    status: int = 0
    stamp: str = ''
    retry_after: float | None = None
    received: bytes = b''
    heard_at: float = 0.0

    @property
    def digest(self) -> str:
        """Return the digest that the right answer depends on."""
        return reference_text.digest_request(
            self.kind.method, self.target, self.body
        )


def pick_kind(unit: float) -> Kind:
    """Return a kind by its share."""
    for kind in KINDS:
        unit -= kind.share
        if unit < 0:
            return kind
    return KINDS[-1]


def last_event(ask: Ask) -> int | None:
    """Return the last whole event of a stream that a caller has."""
    if not ask.kind.streamed:
        return None
    split = event_stream.split_events(b'', ask.received, ask.after_event)
    return split.last_event_id


def whole_answer(ask: Ask) -> bytes:
    """Return the whole right answer to an attempt."""
    if not ask.kind.streamed:
        return reference_text.build_whole_body(ask.digest)
    first = 1 if ask.after_event is None else ask.after_event + 1
    return b''.join(
        reference_text.encode_event(ask.digest, number)
        for number in range(first, reference_text.count_events(ask.digest) + 1)
    )


def is_sound(ask: Ask) -> bool:
    """Return whether what has come so far is the start of the right answer."""
    if ask.status // 100 != 2:
        return True
    return whole_answer(ask).startswith(ask.received)
