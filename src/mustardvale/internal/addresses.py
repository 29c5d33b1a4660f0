"""Validate and split addresses of the form `IP:port`."""

import ipaddress

MAXIMUM_PORT = 65535
MAXIMUM_PORT_DIGITS = 5
EXPECTED_FORM = (
    'use an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:7000'
)


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port number."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdecimal()
    if not is_number or len(port) > MAXIMUM_PORT_DIGITS:
        return False
    return 0 < int(port) <= MAXIMUM_PORT


def split(text: str) -> tuple[str, int]:
    """Return the host and port of an address.

    Raises `ValueError` if the port is not a number.
    """
    host, _, port = text.rpartition(':')
    return host, int(port)
