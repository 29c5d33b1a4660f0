"""Build odd entries, as another writer of the store may leave them."""

import json
import typing

from hypothesis import strategies

ENTRY = {
    'service': 'plain',
    'address': '127.1.2.3:80',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
    'kind': 'x',
    'born': 1700000000000,
    'layers': [{'source': 0, 'target': 30, 'version': 1}],
    'seq': 4,
}
DEPTH = 100_000
DEEP_LIST = b'[' * DEPTH + b']' * DEPTH
DEEP_OBJECT = b'{"a":' * DEPTH + b'1' + b'}' * DEPTH
LONG_INTEGER = b'9' * 5000

# Values that no field of an entry may have.
ODD_NUMBERS = (
    b'1' + b'0' * 400,
    b'99999999999999999999',
    LONG_INTEGER,
    b'-1',
    b'1e400',
    b'NaN',
    b'Infinity',
    b'true',
    b'"7"',
    b'1.5',
)
ODD_ADDRESSES = (
    '127.1.2.3:0',
    '127.1.2.3:65536',
    '127.1.2.3:99999999999',
    '127.1.2.3:' + '9' * 5000,
    '127.1.2.3:-1',
    '127.1.2.3:+80',
    '127.1.2.3: 80',
    '127.1.2.3:8_0',
    '127.1.2.3:80\n',
    '127.1.2.3\n:80',
    '127.1.2.3:80\r\nTenant: other',
    '127.1.2.3:\u0668\u0660',
    '127.1.2.\u0663:80',
    '127.1.2.999:80',
    '127.1.2.' + '9' * 5000 + ':80',
    '127.1.2:80',
    '127.1.2.3',
    '[::1]:80',
    'host:80',
    ':80',
    '',
)
ODD_LAYERS = (
    b'[{"source":0,"target":1000000000000}]',
    b'[{"source":-5,"target":30}]',
    b'[{"source":-1000000000000,"target":30}]',
    b'[{"source":0,"target":' + LONG_INTEGER + b'}]',
    b'[{"source":"0","target":30}]',
    b'[{"source":0}]',
    b'[7]',
    b'7',
    b'"0-30"',
)
ODD_RUNNER_IDS = (
    '',
    'i-1\r\nTenant: other',
    'i 1',
    'i-\u0663',
    'i-\x00',
    'i-\ufffd',
    'i' * 1_000_000,
)


# Values of fields, valid or not, that JSON can hold.
JSON_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.integers(-(10**400), 10**400),
        strategies.floats(allow_nan=True),
        strategies.text(max_size=20),
        strategies.sampled_from(ODD_ADDRESSES),
        strategies.sampled_from(('ready', 'draining', '127.1.2.4:81')),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.sampled_from(('source', 'target', 'version', 'a')),
            inner,
            max_size=3,
        ),
    ),
    max_leaves=5,
)


def encode_with(field: str, raw_value: bytes) -> bytes:
    """Encode an entry, with the raw bytes of one field."""
    table = {**ENTRY, field: 'replaced'}
    return json.dumps(table).encode().replace(b'"replaced"', raw_value)


def list_deep_entries() -> typing.Iterator[tuple[str, bytes]]:
    """Yield entries that are nested too deeply, as a whole or in a field."""
    yield 'deep list', DEEP_LIST
    yield 'deep object', DEEP_OBJECT
    for field in ENTRY:
        yield f'deep {field}', encode_with(field, DEEP_LIST)
    yield 'deep unknown field', encode_with('other', DEEP_OBJECT)
    yield 'unclosed', b'[' * DEPTH


def list_odd_numbers() -> typing.Iterator[tuple[str, bytes]]:
    """Yield entries with a number that cannot be used."""
    for number in ODD_NUMBERS:
        for field in ('born', 'slots'):
            yield f'{field} {number[:20]!r}', encode_with(field, number)
    for layers in ODD_LAYERS:
        yield f'layers {layers[:40]!r}', encode_with('layers', layers)


def list_odd_addresses() -> typing.Iterator[tuple[str, bytes]]:
    """Yield entries with an address to which nothing can connect."""
    for address in ODD_ADDRESSES:
        encoded = json.dumps(address).encode()
        yield f'address {address[:40]!r}', encode_with('address', encoded)


def list_odd_types() -> typing.Iterator[tuple[str, bytes]]:
    """Yield entries that are no objects, or have fields of other types."""
    for state in (b'"resting"', b'null', b'[]', b'{}', b'7', LONG_INTEGER):
        yield f'state {state[:20]!r}', encode_with('state', state)
    for text in (b'null', b'7', b'""', b'[]', b'true'):
        yield f'service {text!r}', encode_with('service', text)
        yield f'zone {text!r}', encode_with('zone', text)
    for whole in (b'', b'[]', b'7', b'null', b'"x"', b'\xff\xfe', b'{}', b'{'):
        yield f'whole {whole!r}', whole
    yield 'invalid text', encode_with('zone', b'"\xff"')
    yield 'lone surrogate', encode_with('zone', b'"\\ud800"')


def list_odd_entries() -> typing.Iterator[tuple[str, bytes]]:
    """Yield a name and the bytes of entries that name no runner to use."""
    yield from list_deep_entries()
    yield from list_odd_numbers()
    yield from list_odd_addresses()
    yield from list_odd_types()
