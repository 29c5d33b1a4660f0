"""Decide what a valid answer of another process is.

h11 checks the syntax; it accepts any status of three digits, and any bytes
behind an answer. The functions that find a fault return its description, empty
for none.
"""

import typing
from collections import abc

FIRST_STATUS = 200
LAST_STATUS = 599
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
# 304 may announce the length of the body that it leaves out.
NOT_MODIFIED = 304
STATUSES_WITHOUT_BODY = frozenset((NO_CONTENT, NOT_MODIFIED))
VERSION_START = b'1.'
HEAD_START = b'HTTP/1.'
# More interim answers to one send than this are a fault of the other process.
MAXIMUM_INTERIM_ANSWERS = 8

Headers: typing.TypeAlias = abc.Iterable[tuple[bytes, bytes]]


def find_head_fault(version: bytes, status: int, headers: Headers) -> str:
    """Return what is wrong with the head of a final answer."""
    if not version.startswith(VERSION_START):
        return 'an answer has an unknown version'
    if not FIRST_STATUS <= status <= LAST_STATUS:
        return f'an answer has the status {status}'
    if status == NO_CONTENT and announces_body(headers):
        return f'an answer with the status {status} announces a body'
    return ''


def find_interim_fault(status: int, headers: Headers, count: int) -> str:
    """Return what is wrong with an interim answer, the `count`th of its send.

    No protocol to switch to is ever offered.
    """
    if count > MAXIMUM_INTERIM_ANSWERS:
        return 'too many interim answers'
    if status == SWITCHING_PROTOCOLS:
        return 'an answer switches protocols'
    if has_framing(headers):
        return f'an interim answer with the status {status} has a body'
    return ''


def find_start_fault(unread: bytes) -> str:
    """Return what is wrong with the bytes at which an answer must begin."""
    length = min(len(unread), len(HEAD_START))
    if unread[:length] == HEAD_START[:length]:
        return ''
    return 'no answer follows an interim answer'


def find_rest_fault(status: int, unread: bytes) -> str:
    """Return what is wrong with the bytes behind the end of an answer.

    A second answer is no body: it is ignored, and its connection is closed.
    """
    if status in STATUSES_WITHOUT_BODY and find_start_fault(unread):
        return f'an answer with the status {status} has a body'
    return ''


def may_have_rest(status: int, headers: Headers) -> bool:
    """Return whether a body may still follow a status that has none."""
    return status in STATUSES_WITHOUT_BODY and announces_body(headers)


def has_framing(headers: Headers) -> bool:
    """Return whether a head frames a body, even an empty one."""
    names = {name for name, _ in headers}
    return bool(names & {b'content-length', b'transfer-encoding'})


def announces_body(headers: Headers) -> bool:
    """Return whether a head announces a body that is not empty."""
    fields = dict(headers)
    length = fields.get(b'content-length', b'0')
    return b'transfer-encoding' in fields or bool(length.strip(b'0'))
