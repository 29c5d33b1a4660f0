"""Identify requests that come again, whichever instance they reach.

A request that crashes runners comes again with the same caller, path and body,
but with another attempt id and maybe another query. Its two fingerprints, with
and without the query, stand beside the shared parts of its prompt as further
parts that crashes may have in common.
"""

import hashlib
import typing

from mustardvale.internal.relay import crash_records

if typing.TYPE_CHECKING:
    from mustardvale.internal.relay import requests

DIGEST_BYTES = 12
ARRIVAL_BYTES = 6
# With the query of the target and without it.
MAXIMUM_COUNT = 2


def compute_fingerprints(
    client_account: str, request: 'requests.ClientRequest'
) -> tuple[str, ...]:
    """Return the fingerprints of a request, one if it has no query."""
    targets = dict.fromkeys((request.target, request.path))
    return tuple(
        compute_fingerprint(client_account, request, target)
        for target in targets
    )


def compute_fingerprint(
    client_account: str, request: 'requests.ClientRequest', target: str
) -> str:
    """Return the fingerprint of a request for one form of its target."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (client_account, request.method, request.host, target):
        digest.update(text.encode('utf-8', 'surrogateescape'))
        digest.update(b'\0')
    digest.update(request.body)
    return crash_records.FINGERPRINT_PREFIX + digest.hexdigest()


def list_parts(
    client_account: str | None, request: 'requests.ClientRequest'
) -> tuple[str, ...]:
    """Return all parts of a request that crashes may have in common."""
    shared = request.prompt.shared_parts if request.prompt else ()
    return (*shared, *compute_fingerprints(client_account or '', request))


def compute_arrival(request: 'requests.ClientRequest') -> str:
    """Return what tells a request from its repeats by callers."""
    name = request.attempt_id.encode('utf-8', 'surrogateescape')
    return hashlib.blake2b(name, digest_size=ARRIVAL_BYTES).hexdigest()
