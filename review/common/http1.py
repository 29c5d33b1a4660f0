"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
from collections import abc

MAXIMUM_LINE_BYTES = 64 * 1024


class ProtocolError(Exception):
    """Report bytes that are no complete HTTP message."""


class Message:
    """Hold a message; header names are in lower case."""

    def __init__(self, first_line: str, headers: dict[str, str]) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = b''

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(' ')[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(' ')[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(' ')[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a first line and headers; return `None` at the end of input."""
    try:
        first_line = await reader.readline()
    except ValueError as error:
        raise ProtocolError('the first line is too long') from error
    if not first_line:
        return None
    headers: dict[str, str] = {}
    while True:
        line = await reader.readline()
        if not line:
            raise ProtocolError('the input ends within the headers')
        if line in (b'\r\n', b'\n'):
            break
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(first_line.decode('latin-1').strip(), headers)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Read a body that has a length or is sent in chunks."""
    if head.headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        async for chunk in read_chunks(reader):
            body += chunk
        return body
    length = int(head.headers.get('content-length', '0'))
    try:
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise ProtocolError('the input ends within the body') from error


async def read_chunks(
    reader: asyncio.StreamReader,
) -> abc.AsyncIterator[bytes]:
    """Yield the chunks of a body; raise `ProtocolError` if it is cut off."""
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            raise ProtocolError('the input ends between two chunks')
        size = int(line.split(b';')[0], 16)
        try:
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
        except asyncio.IncompleteReadError as error:
            raise ProtocolError('the input ends within a chunk') from error
        if not size:
            return
        yield chunk


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a complete message; return `None` at the end of input."""
    head = await read_head(reader)
    if head is None:
        return None
    head.body = await read_body(reader, head)
    return head


def encode(
    first_line: str, headers: dict[str, str], body: bytes | None = b''
) -> bytes:
    """Encode a message; without a body no length is added."""
    lines = [first_line]
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + (body or b'')


def encode_chunk(content: bytes) -> bytes:
    """Encode one chunk of a body; an empty one ends it."""
    return b'%x\r\n%s\r\n' % (len(content), content)
