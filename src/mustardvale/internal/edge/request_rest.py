"""Find the end of a request whose answer has been written, without keeping it."""

import functools
import typing
from collections import abc

import h11

from mustardvale.internal.edge import lingering_close

PARSED_STATES = frozenset((h11.IDLE, h11.SEND_BODY))


def start(
    protocol: h11.Connection,
    head: h11.Request | None,
    body_bytes: int,
    now: float,
) -> lingering_close.Discard:
    """Return the state of a connection at its last answer.

    `head` and `body_bytes` describe what was read of an incomplete request.
    """
    rest_bytes = None
    if head is not None:
        rest_bytes = measure_rest(head, body_bytes)
    discard = lingering_close.start(now, rest_bytes)
    if protocol.their_state in PARSED_STATES:
        return skip_events(protocol, discard, now)
    if protocol.their_state is h11.ERROR:
        return lingering_close.announce_rest(discard, None)
    return lingering_close.complete(discard, now)


def measure_rest(head: h11.Request, body_bytes: int) -> int | None:
    """Return how much of an announced body is missing; none for chunks."""
    headers = dict(head.headers)
    if b'transfer-encoding' in headers:
        return None
    return int(headers.get(b'content-length', b'0')) - body_bytes


def renew_parser(
    protocol: h11.Connection, maximum_header_bytes: int
) -> h11.Connection:
    """Return a parser that can still read a head behind an early answer.

    h11 reads no request after the answer to it.
    """
    if protocol.their_state is not h11.IDLE:
        return protocol
    renewed = h11.Connection(
        h11.SERVER, max_incomplete_event_size=maximum_header_bytes
    )
    received = bytes(protocol.trailing_data[0])
    if received:
        renewed.receive_data(received)
    return renewed


def release(protocol: h11.Connection) -> h11.Connection:
    """Replace a parser that holds input behind the end of the request."""
    if protocol.their_state in PARSED_STATES or not protocol.trailing_data[0]:
        return protocol
    ended = h11.Connection(h11.SERVER)
    ended.receive_data(b'')
    ended.next_event()
    return ended


def skip(
    protocol: h11.Connection,
    discard: lingering_close.Discard,
    received: bytes,
    now: float,
) -> lingering_close.Discard:
    """Discard input; what follows the request is only counted."""
    discard = lingering_close.add_input(discard, len(received), now)
    if protocol.their_state not in PARSED_STATES:
        return discard
    protocol.receive_data(received)
    return skip_events(protocol, discard, now)


def skip_events(
    protocol: h11.Connection, discard: lingering_close.Discard, now: float
) -> lingering_close.Discard:
    """Discard the parsed input; the end of a malformed request is unknown."""
    try:
        for event in read_events(protocol):
            discard = skip_event(event, discard, now)
    except h11.RemoteProtocolError:
        return lingering_close.announce_rest(discard, None)
    return discard


def read_events(protocol: h11.Connection) -> abc.Iterator[h11.Event]:
    """Yield the parsed events up to the end of the request."""
    while protocol.their_state in PARSED_STATES:
        event = protocol.next_event()
        if not isinstance(event, h11.Event):
            return
        yield event


@functools.singledispatch
def skip_event(
    event: typing.Any, discard: lingering_close.Discard, now: float
) -> lingering_close.Discard:
    """Return the state after one event of the request."""
    return discard


@skip_event.register(h11.Request)
def skip_head(
    event: h11.Request, discard: lingering_close.Discard, now: float
) -> lingering_close.Discard:
    """Store the length that the head announces."""
    return lingering_close.announce_rest(discard, measure_rest(event, 0))


@skip_event.register(h11.Data)
def skip_body(
    event: h11.Data, discard: lingering_close.Discard, now: float
) -> lingering_close.Discard:
    """Count a piece of the body."""
    return lingering_close.reduce_rest(discard, len(event.data))


@skip_event.register(h11.EndOfMessage)
def skip_end(
    event: h11.EndOfMessage, discard: lingering_close.Discard, now: float
) -> lingering_close.Discard:
    """Store that the request is complete."""
    return lingering_close.complete(discard, now)
