"""Encode and decode the JSON messages that the stand-ins share."""

import dataclasses
import typing

import msgspec

from mustardvale.internal.edge import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request with an HTTP status.

    `leaving` adds the header of an instance that is shutting down.
    """

    status: int
    message: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Confirm a request that has no other answer."""

    done: bool = True


def encode_reply(reply: typing.Any) -> wire.RawReply:
    """Encode a complete answer."""
    if isinstance(reply, Refused):
        headers = (('Mustardvale-Leaving', 'true'),) if reply.leaving else ()
        body = msgspec.json.encode({'error': reply.message})
        return wire.RawReply(reply.status, body, headers)
    return wire.RawReply(200, msgspec.json.encode(reply))


def encode_part(part: typing.Any) -> bytes:
    """Encode one part of a streamed answer as a line of JSON."""
    return msgspec.json.encode(part) + b'\n'


def encode_error(error: wire.DecodeError) -> wire.RawReply:
    """Encode the answer to a request that did not decode."""
    body = msgspec.json.encode({'error': error.message})
    return wire.RawReply(error.status, body)


def decode_body(raw: wire.RawRequest, kind: type[typing.Any]) -> typing.Any:
    """Decode a JSON body into a type, or raise `wire.DecodeError`."""
    try:
        return msgspec.json.decode(raw.body, type=kind)
    except msgspec.DecodeError as error:
        raise wire.DecodeError(400, 'malformed', str(error)) from error


def build_not_found(raw: wire.RawRequest) -> wire.DecodeError:
    """Return the error for a method and path without a handler."""
    return wire.DecodeError(404, 'not_found', f'{raw.method} {raw.path}')
