"""Decode requests to the stand-in of the platform's store."""

import base64
import dataclasses
import functools
import struct
import types
import typing
from urllib import parse

import msgspec

from mustardvale.internal.edge import wire
from standins import consumer_groups, json_codec, platform_store

MILLISECONDS_PER_SECOND = 1000
ERA_HEADER = 'Store-Era'
KEYED_PREFIX = 'keyed.'
RECORD_LENGTH = struct.Struct('>I')
READ_HEADER = struct.Struct('>QQ')

encode_part = json_codec.encode_part
encode_error = json_codec.encode_error


def decode_request(raw: wire.RawRequest) -> typing.Any:
    """Decode a request, or raise `wire.DecodeError`."""
    query = dict(parse.parse_qsl(raw.query))
    decode = DECODERS.get((raw.method, raw.path))
    if decode is None:
        raise json_codec.build_not_found(raw)
    try:
        return decode(raw, query)
    except (KeyError, ValueError, struct.error) as error:
        raise wire.DecodeError(400, 'malformed', repr(error)) from error


def decode_append(
    raw: wire.RawRequest, query: dict[str, str]
) -> platform_store.Append:
    """Decode records, each preceded by its length."""
    records = []
    start = 0
    while start < len(raw.body):
        length = RECORD_LENGTH.unpack_from(raw.body, start)[0]
        start += RECORD_LENGTH.size
        records.append(
            split_record(query['topic'], raw.body[start : start + length])
        )
        start += length
    return platform_store.Append(query['topic'], tuple(records))


def split_record(topic: str, record: bytes) -> tuple[str, bytes]:
    """Split a record of a keyed topic into key and content.

    Records of other topics have an empty key.
    """
    if not topic.startswith(KEYED_PREFIX):
        return '', record
    length = record[0]
    return record[1 : 1 + length].decode(), record[1 + length :]


def encode_record(topic: str, record: tuple[str, bytes]) -> bytes:
    """Return a record preceded by its length and, in keyed topics, its key."""
    key, stored = record
    if topic.startswith(KEYED_PREFIX):
        encoded = key.encode()
        stored = bytes((len(encoded),)) + encoded + stored
    return RECORD_LENGTH.pack(len(stored)) + stored


def decode_read(
    raw: wire.RawRequest, query: dict[str, str]
) -> platform_store.ReadLog:
    """Decode a read of a log."""
    return platform_store.ReadLog(
        query['topic'],
        int(query['source']),
        int(query.get('wait-ms', 0)) / MILLISECONDS_PER_SECOND,
    )


def decode_newest(
    raw: wire.RawRequest, query: dict[str, str]
) -> platform_store.ReadNewest:
    """Decode a read of the newest records."""
    return platform_store.ReadNewest(query['topic'])


def decode_join(
    raw: wire.RawRequest, query: dict[str, str]
) -> consumer_groups.Join:
    """Decode a request to join a group."""
    fields = msgspec.json.decode(raw.body)
    return consumer_groups.Join(
        fields['group'],
        fields['member'],
        tuple(fields['topics']),
        fields['ttl-ms'] / MILLISECONDS_PER_SECOND,
        fields.get('generation', 0),
    )


def decode_leave(
    raw: wire.RawRequest, query: dict[str, str]
) -> consumer_groups.Leave:
    """Decode a request to leave a group."""
    fields = msgspec.json.decode(raw.body)
    return consumer_groups.Leave(fields['group'], fields['member'])


def decode_owners(
    raw: wire.RawRequest, query: dict[str, str]
) -> platform_store.ListOwners:
    """Decode a request for the holders of partitions."""
    return platform_store.ListOwners(query['group'])


def decode_faults(
    raw: wire.RawRequest, query: dict[str, str]
) -> platform_store.Faults:
    """Decode a request to set faults."""
    decoded: platform_store.Faults = json_codec.decode_body(
        raw, platform_store.Faults
    )
    return decoded


DECODERS: types.MappingProxyType[tuple[str, str], typing.Any] = (
    types.MappingProxyType(
        {
            ('POST', '/api/log-append'): decode_append,
            ('GET', '/api/log-read'): decode_read,
            ('GET', '/api/log-newest'): decode_newest,
            ('POST', '/api/log-join'): decode_join,
            ('POST', '/api/log-leave'): decode_leave,
            ('GET', '/api/log-owners'): decode_owners,
            ('POST', '/faults'): decode_faults,
        }
    )
)


@functools.singledispatch
def encode_reply(reply: typing.Any) -> wire.RawReply:
    """Encode an answer."""
    return json_codec.encode_reply(reply)


@encode_reply.register(platform_store.DatedReply)
def encode_dated(reply: platform_store.DatedReply) -> wire.RawReply:
    """Encode an answer with the era in a header."""
    raw = encode_reply(reply.reply)
    header = (ERA_HEADER, str(reply.era))
    return dataclasses.replace(raw, headers=(*raw.headers, header))


@encode_reply.register(platform_store.LogAnswer)
def encode_log(reply: platform_store.LogAnswer) -> wire.RawReply:
    """Encode records in the form of an append, after a header of offsets."""
    body = READ_HEADER.pack(reply.end, reply.first) + b''.join(
        encode_record(reply.topic, record) for record in reply.records
    )
    return wire.RawReply(200, body, content_type='application/octet-stream')


@encode_reply.register(platform_store.NewestAnswer)
def encode_newest(reply: platform_store.NewestAnswer) -> wire.RawReply:
    """Encode the newest records."""
    rows = [
        {'key': key, 'value': base64.b64encode(stored).decode(), 'offset': 0}
        for key, stored in reply.records
    ]
    return encode_json({'items': rows, 'has-more': False, 'end': reply.end})


@encode_reply.register(platform_store.MemberPartitions)
def encode_member_partitions(
    reply: platform_store.MemberPartitions,
) -> wire.RawReply:
    """Encode the partitions of a member: topic, partition and offset 0."""
    rows = [[topic, part, 0] for topic, part in reply.partitions]
    return encode_json({'generation': reply.generation, 'parts': rows})


@encode_reply.register(platform_store.Owners)
def encode_owners(reply: platform_store.Owners) -> wire.RawReply:
    """Encode holders: topic, partition, member and offset 0."""
    rows = [[topic, part, member, 0] for (topic, part), member in reply.rows]
    return encode_json({'parts': rows})


def encode_json(fields: dict[str, typing.Any]) -> wire.RawReply:
    """Encode fields as a JSON answer."""
    return wire.RawReply(200, msgspec.json.encode(fields))
