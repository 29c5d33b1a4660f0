"""Translate the calls to the platform's store and to runners."""

import base64
import binascii
import functools
import struct
import typing

import msgspec

from mustardvale.internal.edge import peer_feed_codec, wire
from mustardvale.internal.relay import calls
from mustardvale.platform import configuration_codec, runner_codec

OPERATOR_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
RUNNER_TOPIC = 'keyed.servers'
MEMBER_GROUP = 'mustardvale.entries'
# A group deals its partitions out evenly, so that each of up to this many
# times the partitions of a topic members holds one.
MEMBER_TOPICS = tuple(f'mustardvale.members.{index}' for index in range(12))
ORDER_PARTITION = (MEMBER_TOPICS[0], 0)

MILLISECONDS = 1000
MAXIMUM_READ_KB = 1024
OK_STATUS = 200
GONE_STATUS = 410
RECORD_LENGTH = struct.Struct('>I')
# What reading an answer of another form raises.
DECODING_ERRORS = (*runner_codec.DECODING_ERRORS, binascii.Error, struct.error)
# The end of the partition and its first retained offset.
READ_HEADER = struct.Struct('>QQ')


@functools.singledispatch
def encode_call(call: typing.Any) -> wire.RawCall:
    """Encode a call."""
    raise TypeError(f'no encoding for {type(call).__name__}')


@functools.singledispatch
def decode_success(call: typing.Any, raw: wire.RawAnswer) -> typing.Any:
    """Decode the answer to a call that was accepted."""
    raise TypeError(f'no decoding for {type(call).__name__}')


def decode_answer(call: typing.Any, raw: wire.RawAnswer) -> typing.Any:
    """Decode the answer to a call, or raise `wire.DecodeError`."""
    if isinstance(call, (calls.PlaceLayers, calls.MoveRequest)):
        return runner_codec.decode_order_answer(raw)
    if raw.status == GONE_STATUS:
        return calls.HistoryCompacted()
    if raw.status != OK_STATUS:
        return calls.CallRefused(raw.status)
    try:
        return decode_success(call, raw)
    except DECODING_ERRORS as error:
        raise wire.DecodeError(
            0, 'answer', f'answer does not decode: {error!r}'
        ) from error


def decode_part(call: typing.Any, line: bytes) -> typing.Any:
    """Refuse parts: no call here is answered with a stream."""
    raise wire.DecodeError(0, 'answer', 'no call is answered in parts')


@encode_call.register(calls.ReadConfiguration)
def encode_configuration_read(call: calls.ReadConfiguration) -> wire.RawCall:
    """Encode a read of the newest records of the operator."""
    return wire.RawCall('GET', f'/api/log-newest?topic={OPERATOR_TOPIC}&part=0')


@encode_call.register(calls.FollowConfiguration)
def encode_configuration_poll(
    call: calls.FollowConfiguration,
) -> wire.RawCall:
    """Encode a long poll for records of the operator."""
    wait = int(call.wait_seconds * MILLISECONDS)
    return wire.RawCall(
        'GET',
        f'/api/log-read?topic={OPERATOR_TOPIC}&part=0'
        f'&source={call.position}&wait-ms={wait}',
    )


@encode_call.register(calls.ReadRunners)
def encode_runner_read(call: calls.ReadRunners) -> wire.RawCall:
    """Encode a read of all entries of runners."""
    after = f'&after={call.after}' if call.after else ''
    return wire.RawCall(
        'GET', f'/api/log-newest?topic={RUNNER_TOPIC}&part=0{after}'
    )


@encode_call.register(calls.FollowRunners)
def encode_runner_poll(call: calls.FollowRunners) -> wire.RawCall:
    """Encode a read of what runners have written since."""
    return wire.RawCall(
        'GET',
        f'/api/log-read?topic={RUNNER_TOPIC}&part=0'
        f'&source={call.position}&max-kb={MAXIMUM_READ_KB}',
    )


@encode_call.register(calls.JoinMembers)
def encode_join(call: calls.JoinMembers) -> wire.RawCall:
    """Encode a membership in the group."""
    return encode_post(
        '/api/log-join',
        {
            'group': MEMBER_GROUP,
            'member': call.member,
            'topics': list(MEMBER_TOPICS),
            'ttl-ms': int(call.lifetime_seconds * MILLISECONDS),
            'generation': call.generation,
        },
    )


@encode_call.register(calls.LeaveMembers)
def encode_leave(call: calls.LeaveMembers) -> wire.RawCall:
    """Encode the end of a membership."""
    return encode_post(
        '/api/log-leave', {'group': MEMBER_GROUP, 'member': call.member}
    )


@encode_call.register(calls.ListMembers)
def encode_member_list(call: calls.ListMembers) -> wire.RawCall:
    """Encode a question for the members of the group."""
    return wire.RawCall('GET', f'/api/log-owners?group={MEMBER_GROUP}')


@encode_call.register(calls.ReadRunnerReport)
@encode_call.register(calls.ProbeRunner)
def encode_report_read(
    call: calls.ReadRunnerReport | calls.ProbeRunner,
) -> wire.RawCall:
    """Encode a question for the state of a runner."""
    return wire.RawCall(
        'GET',
        '/api/report',
        headers=(('Expect-Instance', call.runner_id),),
    )


encode_call.register(calls.FollowPeer)(peer_feed_codec.encode_call)
encode_call.register(calls.PlaceLayers)(runner_codec.encode_placement)
encode_call.register(calls.MoveRequest)(runner_codec.encode_move)


def encode_post(target: str, body: dict[str, typing.Any]) -> wire.RawCall:
    """Encode a call that changes something."""
    return wire.RawCall('POST', target, msgspec.json.encode(body))


@decode_success.register(calls.ReadConfiguration)
def decode_configuration_read(
    call: calls.ReadConfiguration, raw: wire.RawAnswer
) -> calls.ConfigurationRead:
    """Decode the newest records of the operator."""
    table = msgspec.json.decode(raw.body)
    found = None
    for item in table['items']:
        if item['key'] == CONFIGURATION_KEY and item.get('value'):
            found = configuration_codec.decode(base64.b64decode(item['value']))
    return calls.ConfigurationRead(table['end'], found)


@decode_success.register(calls.FollowConfiguration)
def decode_configuration_poll(
    call: calls.FollowConfiguration, raw: wire.RawAnswer
) -> calls.ConfigurationRead:
    """Decode what the operator has written since."""
    found = None
    count = 0
    for record in split_records(raw.body):
        count += 1
        key, value = split_key(record)
        if key == CONFIGURATION_KEY and value:
            found = configuration_codec.decode(value)
    return calls.ConfigurationRead(call.position + count, found)


@decode_success.register(calls.ReadRunners)
def decode_runner_read(
    call: calls.ReadRunners, raw: wire.RawAnswer
) -> calls.RunnersRead:
    """Decode a page of entries."""
    table = msgspec.json.decode(raw.body)
    changes = tuple(
        calls.RunnerChange(
            item['key'],
            runner_codec.decode_entry(
                item['key'], base64.b64decode(item['value'])
            ),
        )
        for item in table['items']
    )
    following = changes[-1].runner_id if table.get('has-more') else ''
    return calls.RunnersRead(table['end'], changes, following)


@decode_success.register(calls.FollowRunners)
def decode_runner_poll(
    call: calls.FollowRunners, raw: wire.RawAnswer
) -> calls.RunnersRead:
    """Decode what runners have written since, the last record of each."""
    newest: dict[str, bytes] = {}
    count = 0
    for record in split_records(raw.body):
        count += 1
        key, value = split_key(record)
        newest.pop(key, None)
        newest[key] = value
    changes = tuple(
        calls.RunnerChange(key, runner_codec.decode_entry(key, value))
        for key, value in newest.items()
    )
    return calls.RunnersRead(call.position + count, changes)


def split_records(body: bytes) -> typing.Iterator[bytes]:
    """Split the records of a read; each begins with its length."""
    READ_HEADER.unpack_from(body)
    at = READ_HEADER.size
    while at < len(body):
        length = RECORD_LENGTH.unpack_from(body, at)[0]
        at += RECORD_LENGTH.size
        record = body[at : at + length]
        if len(record) < length:
            raise ValueError('a record is cut short')
        yield record
        at += length


def split_key(record: bytes) -> tuple[str, bytes]:
    """Split a record of a keyed topic; its key follows its length."""
    length = record[0]
    key = record[1 : 1 + length].decode('utf-8', 'replace')
    return key, record[1 + length :]


@decode_success.register(calls.JoinMembers)
def decode_join(
    call: calls.JoinMembers, raw: wire.RawAnswer
) -> calls.MembersJoined:
    """Decode a membership; `parts` has topic, partition and offset."""
    table = msgspec.json.decode(raw.body)
    held = {(row[0], row[1]) for row in table['parts']}
    return calls.MembersJoined(table['generation'], ORDER_PARTITION in held)


@decode_success.register(calls.LeaveMembers)
def decode_leave(
    call: calls.LeaveMembers, raw: wire.RawAnswer
) -> calls.MembersLeft:
    """Decode the end of a membership."""
    return calls.MembersLeft()


@decode_success.register(calls.ListMembers)
def decode_member_list(
    call: calls.ListMembers, raw: wire.RawAnswer
) -> calls.MembersListed:
    """Decode the members; rows hold topic, partition, member and offset."""
    table = msgspec.json.decode(raw.body)
    rows = (
        table
        if isinstance(table, list)
        else next(rows for rows in table.values() if isinstance(rows, list))
    )
    return calls.MembersListed(tuple(sorted({row[2] for row in rows})))


@decode_success.register(calls.FollowPeer)
def decode_peer_answer(
    call: calls.FollowPeer, raw: wire.RawAnswer
) -> calls.PeerUpdate:
    """Decode what another instance has read."""
    return peer_feed_codec.decode_answer(raw)


@decode_success.register(calls.ReadRunnerReport)
@decode_success.register(calls.ProbeRunner)
def decode_report(
    call: calls.ReadRunnerReport | calls.ProbeRunner, raw: wire.RawAnswer
) -> calls.RunnerReport:
    """Decode the state of a runner."""
    return runner_codec.decode_report(raw)
