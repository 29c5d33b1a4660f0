"""Encode and decode calls to the platform's store and to runners."""

import base64
import binascii
import dataclasses
import functools
import re
import struct
import typing
from urllib import parse

import msgspec

from mustardvale.internal.edge import peer_feed_codec, wire
from mustardvale.internal.relay import calls
from mustardvale.platform import configuration_codec, runner_codec

OPERATOR_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
RUNNER_TOPIC = 'keyed.servers'
# The instances' own topic, and the key of the era that has settled.
ERA_TOPIC = 'keyed.mustardvale'
SETTLED_ERA_KEY = 'settled-era'
# The group of the readers of all zones. The group of a zone has the zone's name
# after a dot.
READER_GROUP = 'mustardvale.entries'
# The store distributes the partitions of a group evenly. The number of topics
# times the partitions of each is the number of members that can hold one.
MEMBER_TOPICS = tuple(f'mustardvale.members.{index}' for index in range(24))
# The member that holds this partition is the leader.
LEADER_PARTITION = (MEMBER_TOPICS[0], 0)

MILLISECONDS_PER_SECOND = 1000
MAXIMUM_READ_KB = 1024
OK_STATUS = 200
GONE_STATUS = 410
ERA_PATTERN = re.compile(r'[0-9]{1,18}')
RECORD_LENGTH = struct.Struct('>I')
# Errors that decoding an answer of an unexpected form raises.
DECODING_ERRORS = (*runner_codec.DECODING_ERRORS, binascii.Error, struct.error)
# Rises by one whenever the store is restored from a copy.
ERA_HEADER = 'store-era'
STORE_CALLS = (
    calls.ReadConfiguration,
    calls.FollowConfiguration,
    calls.ReadRunners,
    calls.FollowRunners,
    calls.JoinMembers,
    calls.LeaveMembers,
    calls.ListMembers,
    calls.ReadSettledEra,
    calls.RecordSettledEra,
)
# The end offset of the partition, and its first retained offset.
READ_HEADER = struct.Struct('>QQ')


@functools.singledispatch
def encode_call(call: typing.Any) -> wire.RawCall:
    """Encode a call."""
    raise TypeError(f'no encoding for {type(call).__name__}')


@functools.singledispatch
def decode_success(call: typing.Any, raw: wire.RawAnswer) -> typing.Any:
    """Decode the answer to a call that succeeded."""
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


def decode_era(call: typing.Any, raw: wire.RawAnswer) -> int | None:
    """Decode the era of an answer of the store, or `None` if it has none.

    Raises `wire.DecodeError` if the header is no integer.
    """
    text = raw.headers.get(ERA_HEADER)
    if text is None or not isinstance(call, STORE_CALLS):
        return None
    if not ERA_PATTERN.fullmatch(text):
        raise wire.DecodeError(0, 'answer', f'era {text[:40]!r} is no integer')
    return int(text)


def decode_part(call: typing.Any, line: bytes) -> typing.Any:
    """Raise an error: no call has a streamed answer."""
    raise wire.DecodeError(0, 'answer', 'no call has a streamed answer')


@encode_call.register(calls.ReadConfiguration)
def encode_configuration_read(call: calls.ReadConfiguration) -> wire.RawCall:
    """Encode a read of a page of the newest record of each operator's key."""
    return encode_newest_read(OPERATOR_TOPIC, call.after)


def encode_newest_read(topic: str, after: str) -> wire.RawCall:
    """Encode a read of the newest records whose keys follow a key."""
    query = '&' + parse.urlencode({'after': after}) if after else ''
    return wire.RawCall('GET', f'/api/log-newest?topic={topic}&part=0{query}')


@encode_call.register(calls.FollowConfiguration)
def encode_configuration_poll(
    call: calls.FollowConfiguration,
) -> wire.RawCall:
    """Encode a long poll for new records of the operator."""
    wait = int(call.wait_seconds * MILLISECONDS_PER_SECOND)
    return wire.RawCall(
        'GET',
        f'/api/log-read?topic={OPERATOR_TOPIC}&part=0'
        f'&source={call.position}&wait-ms={wait}',
    )


@encode_call.register(calls.ReadRunners)
def encode_runner_read(call: calls.ReadRunners) -> wire.RawCall:
    """Encode a read of one page of the runners' entries."""
    return encode_newest_read(RUNNER_TOPIC, call.after)


@encode_call.register(calls.FollowRunners)
def encode_runner_changes_read(call: calls.FollowRunners) -> wire.RawCall:
    """Encode a read of the runners' records after a position."""
    return wire.RawCall(
        'GET',
        f'/api/log-read?topic={RUNNER_TOPIC}&part=0'
        f'&source={call.position}&max-kb={MAXIMUM_READ_KB}',
    )


@encode_call.register(calls.ReadSettledEra)
def encode_settled_era_read(call: calls.ReadSettledEra) -> wire.RawCall:
    """Encode a read of the instances' own records."""
    return encode_newest_read(ERA_TOPIC, '')


@encode_call.register(calls.RecordSettledEra)
def encode_settled_era(call: calls.RecordSettledEra) -> wire.RawCall:
    """Encode a record of the era that has settled."""
    key = SETTLED_ERA_KEY.encode()
    record = bytes((len(key),)) + key + str(call.era).encode()
    return wire.RawCall(
        'POST',
        f'/api/log-append?topic={ERA_TOPIC}&part=0',
        RECORD_LENGTH.pack(len(record)) + record,
    )


@encode_call.register(calls.JoinMembers)
def encode_join(call: calls.JoinMembers) -> wire.RawCall:
    """Encode a call that joins the group or renews the membership."""
    return encode_post(
        '/api/log-join',
        {
            'group': build_group_name(call.zone),
            'member': call.member,
            'topics': list(MEMBER_TOPICS),
            'ttl-ms': int(call.lifetime_seconds * MILLISECONDS_PER_SECOND),
            'generation': call.generation,
        },
    )


@encode_call.register(calls.LeaveMembers)
def encode_leave(call: calls.LeaveMembers) -> wire.RawCall:
    """Encode a call that leaves the group."""
    return encode_post(
        '/api/log-leave',
        {'group': build_group_name(call.zone), 'member': call.member},
    )


@encode_call.register(calls.ListMembers)
def encode_member_list(call: calls.ListMembers) -> wire.RawCall:
    """Encode a request for the members of a group."""
    query = parse.urlencode({'group': build_group_name(call.zone)})
    return wire.RawCall('GET', f'/api/log-owners?{query}')


def build_group_name(zone: str) -> str:
    """Return the name of the group of a zone, or of the readers."""
    return f'{READER_GROUP}.{zone}' if zone else READER_GROUP


@encode_call.register(calls.CheckRunner)
def encode_runner_check(call: calls.CheckRunner) -> wire.RawCall:
    """Encode a check of whether a runner still accepts connections.

    It sends no request, because a plain service would run it.
    """
    return wire.RawCall(
        'GET', '/', needs_new_connection=True, is_connection_check=True
    )


@encode_call.register(calls.ReadRunnerReport)
@encode_call.register(calls.ProbeRunner)
def encode_report_read(
    call: calls.ReadRunnerReport | calls.ProbeRunner,
) -> wire.RawCall:
    """Encode a request for the report of a runner."""
    return wire.RawCall(
        'GET',
        '/api/report',
        headers=(('Expect-Instance', call.runner_id),),
    )


encode_call.register(calls.FollowPeer)(peer_feed_codec.encode_call)
encode_call.register(calls.ReportCrashes)(peer_feed_codec.encode_crash_report)
encode_call.register(calls.ReportFaults)(peer_feed_codec.encode_fault_report)
encode_call.register(calls.PlaceLayers)(runner_codec.encode_placement)
encode_call.register(calls.MoveRequest)(runner_codec.encode_move)


def encode_post(target: str, body: dict[str, typing.Any]) -> wire.RawCall:
    """Encode a `POST` with a JSON body."""
    return wire.RawCall('POST', target, msgspec.json.encode(body))


@decode_success.register(calls.ReadConfiguration)
def decode_configuration_read(
    call: calls.ReadConfiguration, raw: wire.RawAnswer
) -> calls.ConfigurationRead:
    """Decode the newest configuration, if the page has one."""
    decoded = msgspec.json.decode(raw.body)
    records = [item for item in decoded['items'] if isinstance(item, dict)]
    position = decoded['end'] if call.position is None else call.position
    for item in records:
        if item.get('key') == CONFIGURATION_KEY and item.get('value'):
            newest = configuration_codec.decode(base64.b64decode(item['value']))
            return calls.ConfigurationRead(position, newest)
    next_page = records[-1]['key'] if decoded.get('has-more') else ''
    return calls.ConfigurationRead(position, None, next_page)


@decode_success.register(calls.FollowConfiguration)
def decode_configuration_poll(
    call: calls.FollowConfiguration, raw: wire.RawAnswer
) -> calls.ConfigurationRead:
    """Decode the last configuration among the operator's new records."""
    newest = b''
    count = 0
    for record in split_records(raw.body):
        count += 1
        key, value = split_key(record)
        if key == CONFIGURATION_KEY and value:
            newest = value
    return calls.ConfigurationRead(
        call.position + count,
        configuration_codec.decode(newest) if newest else None,
    )


@decode_success.register(calls.ReadSettledEra)
def decode_settled_era(
    call: calls.ReadSettledEra, raw: wire.RawAnswer
) -> calls.SettledEraRead:
    """Decode the era that has settled, `None` if no record names one."""
    for item in msgspec.json.decode(raw.body)['items']:
        if isinstance(item, dict) and item.get('key') == SETTLED_ERA_KEY:
            text = base64.b64decode(item['value']).decode('ascii', 'replace')
            if ERA_PATTERN.fullmatch(text):
                return calls.SettledEraRead(int(text))
    return calls.SettledEraRead(None)


@decode_success.register(calls.RecordSettledEra)
def decode_recorded_era(
    call: calls.RecordSettledEra, raw: wire.RawAnswer
) -> calls.SettledEraRecorded:
    """Return that an era was recorded."""
    return calls.SettledEraRecorded()


@decode_success.register(calls.ReadRunners)
def decode_runner_read(
    call: calls.ReadRunners, raw: wire.RawAnswer
) -> calls.RunnersRead:
    """Decode a page of the runners' entries, without items that have no key.

    Raises one of `DECODING_ERRORS` for a page behind which no other can be
    asked for.
    """
    decoded = msgspec.json.decode(raw.body)
    changes = tuple(
        change
        for change in map(decode_listed_item, decoded['items'])
        if change is not None
    )
    next_page = changes[-1].runner_id if decoded.get('has-more') else ''
    return calls.RunnersRead(decoded['end'], changes, next_page)


def decode_listed_item(item: typing.Any) -> calls.RunnerChange | None:
    """Decode an item of a page, or return `None` if it has no key.

    An item without a readable value names no runner to use.
    """
    key = item.get('key') if isinstance(item, dict) else None
    if not isinstance(key, str) or not key:
        return None
    try:
        encoded = base64.b64decode(item['value'], validate=True)
    except runner_codec.DECODING_ERRORS:
        return calls.RunnerChange(key, None)
    return calls.RunnerChange(key, runner_codec.decode_entry(key, encoded))


@decode_success.register(calls.FollowRunners)
def decode_runner_changes(
    call: calls.FollowRunners, raw: wire.RawAnswer
) -> calls.RunnersRead:
    """Decode the last new record of each runner, and a drop before it.

    A record that the store has executed late may follow the drop.
    """
    newest: dict[str, tuple[bytes, ...]] = {}
    count = 0
    for record in split_records(raw.body):
        count += 1
        key, value = split_key(record)
        earlier = newest.pop(key, ())
        was_dropped = bool(value) and b'' in earlier
        newest[key] = (b'', value) if was_dropped else (value,)
    changes = tuple(
        calls.RunnerChange(key, runner_codec.decode_entry(key, value))
        for key, kept in newest.items()
        for value in kept
    )
    return calls.RunnersRead(call.position + count, changes)


def split_records(body: bytes) -> typing.Iterator[bytes]:
    """Yield the records of a read, each of which follows its length.

    Raises `struct.error` or `ValueError` where the body is truncated.
    """
    READ_HEADER.unpack_from(body)
    offset = READ_HEADER.size
    while offset < len(body):
        length = RECORD_LENGTH.unpack_from(body, offset)[0]
        offset += RECORD_LENGTH.size
        record = body[offset : offset + length]
        if len(record) < length:
            raise ValueError(
                f'a record of {length} bytes is truncated to {len(record)}'
            )
        yield record
        offset += length


def split_key(record: bytes) -> tuple[str, bytes]:
    """Split a record into key and value; the first byte is the key length.

    A record that is shorter than its key has an empty key.
    """
    value_start = 1 + record[0] if record else 1
    if value_start > len(record):
        return '', b''
    key = record[1:value_start].decode('utf-8', 'replace')
    return key, record[value_start:]


@decode_success.register(calls.JoinMembers)
def decode_join(
    call: calls.JoinMembers, raw: wire.RawAnswer
) -> calls.MembersJoined:
    """Decode a membership; a row of `parts` is topic, partition, offset."""
    decoded = msgspec.json.decode(raw.body)
    held = {(row[0], row[1]) for row in decoded['parts']}
    return calls.MembersJoined(decoded['generation'], LEADER_PARTITION in held)


@decode_success.register(calls.LeaveMembers)
def decode_leave(
    call: calls.LeaveMembers, raw: wire.RawAnswer
) -> calls.MembersLeft:
    """Decode the answer to a call that left the group."""
    return calls.MembersLeft()


@decode_success.register(calls.ListMembers)
def decode_member_list(
    call: calls.ListMembers, raw: wire.RawAnswer
) -> calls.MembersListed:
    """Decode the members; a row is topic, partition, member, offset.

    The rows are the whole answer or the first list in it. The row of a partition
    that nobody holds names no member.
    """
    decoded = msgspec.json.decode(raw.body)
    rows = (
        decoded
        if isinstance(decoded, list)
        else [rows for rows in decoded.values() if isinstance(rows, list)][0]
    )
    members = {row[2] for row in rows if isinstance(row[2], str)}
    return calls.MembersListed(tuple(sorted(members - {''})))


@decode_success.register(calls.FollowPeer)
def decode_peer_answer(
    call: calls.FollowPeer, raw: wire.RawAnswer
) -> calls.PeerUpdate:
    """Decode the changes that another instance has read.

    That instance may accept entries that this one does not.
    """
    update = peer_feed_codec.decode_answer(raw)
    changes = tuple(
        dataclasses.replace(
            change,
            entry=runner_codec.check_listed(change.runner_id, change.entry),
        )
        for change in update.changes
    )
    return dataclasses.replace(update, changes=changes)


@decode_success.register(calls.ReportCrashes)
def decode_crash_answer(
    call: calls.ReportCrashes, raw: wire.RawAnswer
) -> calls.CrashesReported:
    """Decode what another instance knows of crashes in addition."""
    return peer_feed_codec.decode_crash_answer(raw)


@decode_success.register(calls.ReportFaults)
def decode_fault_answer(
    call: calls.ReportFaults, raw: wire.RawAnswer
) -> calls.FaultsReported:
    """Return that another instance has got a report of faults."""
    return calls.FaultsReported()


@decode_success.register(calls.CheckRunner)
def decode_runner_check(
    call: calls.CheckRunner, raw: wire.RawAnswer
) -> calls.RunnerReachable:
    """Return that a runner accepts connections."""
    return calls.RunnerReachable()


@decode_success.register(calls.ReadRunnerReport)
@decode_success.register(calls.ProbeRunner)
def decode_report(
    call: calls.ReadRunnerReport | calls.ProbeRunner,
    raw: wire.RawAnswer,
) -> calls.RunnerReport:
    """Decode the report of a runner."""
    return runner_codec.decode_report(raw)
