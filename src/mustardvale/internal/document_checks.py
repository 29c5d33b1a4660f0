"""Validate the contents of a structurally valid environment document."""

import hashlib
import itertools
import math
import re
import typing
from collections import abc

if typing.TYPE_CHECKING:
    from mustardvale import document as documents

# The name of an environment is part of the name of a log stream.
ENVIRONMENT_PATTERN = re.compile('[a-z0-9][a-z0-9-]{0,62}')
# Names of services and operations are parts of request paths.
NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
OPTIONAL_NAME_PATTERN = re.compile(f'({NAME_PATTERN.pattern})?')
DIGEST_PATTERN = re.compile('[0-9a-f]{64}')
EMPTY_KEY_DIGEST = hashlib.sha256(b'').hexdigest()

NAME_ADVICE = 'use 1 to 63 letters, digits, dots, hyphens and underscores'

NO_MALFORMED_PARTS: frozenset[str] = frozenset()

Problems = abc.Iterator[str]


def find_problems(
    document: 'documents.Document',
    malformed: frozenset[str] = NO_MALFORMED_PARTS,
) -> tuple[str, ...]:
    """Return every problem with its location and remedy.

    `malformed` names items that were left out of the document because their
    structure is wrong; references to them are not reported.
    """
    checks = (
        check_environment(document.environment),
        check_names('pools', document.pools),
        check_names('models', document.models),
        check_models(document, malformed),
        check_names('services', document.services),
        check_services(document, malformed),
        check_names('client_accounts', document.client_accounts),
        check_accounts(document, malformed),
        check_keys(document),
    )
    return tuple(itertools.chain.from_iterable(checks))


def check_environment(environment: str) -> Problems:
    """Check that the name of the environment fits into a stream name."""
    if not ENVIRONMENT_PATTERN.fullmatch(environment):
        yield (
            f'environment: {environment!r} is not a name, use 1 to 63 '
            'lower-case letters, digits and hyphens'
        )


def check_names(path: str, named: abc.Sequence[typing.Any]) -> Problems:
    """Check that names are well formed and unique."""
    yield from check_identifiers(path, tuple(item.name for item in named))


def check_identifiers(path: str, identifiers: abc.Sequence[str]) -> Problems:
    """Check that identifiers are well formed and occur once."""
    seen = set()
    for name in identifiers:
        if not NAME_PATTERN.fullmatch(name):
            yield f'{path}: {name!r} is not a name, {NAME_ADVICE}'
        if name in seen:
            yield f'{path}: {name!r} occurs more than once, remove or rename one'
        seen.add(name)


def check_pool(
    path: str,
    name: str,
    kind: str,
    document: 'documents.Document',
) -> Problems:
    """Check that a pool exists and is of the right kind."""
    pool = next((item for item in document.pools if item.name == name), None)
    if pool is None:
        known = list_names(document.pools)
        yield f'{path}.pool: no pool is named {name!r}, use one of {known}'
    elif pool.kind.value != kind:
        yield (
            f'{path}.pool: {name!r} is of kind {pool.kind.value!r}, '
            f'name a pool of kind {kind!r}'
        )


def list_names(named: abc.Sequence[typing.Any]) -> str:
    """Format the names of items for a message."""
    return ', '.join(repr(item.name) for item in named) or '(none)'


def check_models(
    document: 'documents.Document',
    malformed: frozenset[str],
) -> Problems:
    """Check the pool, layers, version and adapters of each model."""
    for model in document.models:
        path = f'models.{model.name}'
        if model.pool not in malformed:
            yield from check_pool(path, model.pool, 'model_runners', document)
        if model.layers < 1:
            yield f'{path}.layers: {model.layers} must be at least 1'
        if not NAME_PATTERN.fullmatch(model.version):
            yield (
                f'{path}.version: {model.version!r} is not a version, '
                f'{NAME_ADVICE}'
            )
        yield from check_identifiers(f'{path}.adapters', model.adapters)


def check_services(
    document: 'documents.Document',
    malformed: frozenset[str],
) -> Problems:
    """Check the pool and operations of each service."""
    for service in document.services:
        path = f'services.{service.name}'
        if service.pool not in malformed:
            yield from check_pool(path, service.pool, 'service', document)
        yield from check_names(f'{path}.operations', service.operations)
        if not service.operations:
            yield f'{path}.operations: is empty, add at least one operation'


def check_accounts(
    document: 'documents.Document',
    malformed: frozenset[str],
) -> Problems:
    """Check the limits and references of each client account."""
    for account in document.client_accounts:
        path = f'client_accounts.{account.name}'
        yield from check_limit(
            f'{path}.requests_per_second',
            account.requests_per_second,
        )
        yield from check_limit(
            f'{path}.tokens_per_second',
            account.tokens_per_second,
        )
        yield from check_references(
            f'{path}.models',
            account.models,
            document.models,
            malformed,
        )
        yield from check_references(
            f'{path}.services',
            account.services,
            document.services,
            malformed,
        )


def check_limit(path: str, limit: float) -> Problems:
    """Check that a limit is a finite number above zero."""
    if not math.isfinite(limit) or limit <= 0:
        yield f'{path}: {limit:g} must be a finite number above 0'


def check_references(
    path: str,
    names: abc.Sequence[str],
    defined: abc.Sequence[typing.Any],
    malformed: frozenset[str],
) -> Problems:
    """Check that an account refers to defined names, each once."""
    known = {item.name for item in defined}
    for name in dict.fromkeys(names):
        if name not in known and name not in malformed:
            yield (
                f'{path}: {name!r} is not defined in this document, '
                f'use {list_names(defined)}'
            )
        if names.count(name) > 1:
            yield f'{path}: {name!r} occurs more than once, keep one'


def check_keys(document: 'documents.Document') -> Problems:
    """Check that key digests are well formed and unique."""
    owners: dict[str, str] = {}
    for account in document.client_accounts:
        path = f'client_accounts.{account.name}.key_sha256'
        digest = account.key_sha256
        if not DIGEST_PATTERN.fullmatch(digest):
            yield (
                f'{path}: is not a SHA-256 digest, write 64 lower-case '
                'hexadecimal digits (printf %s KEY | sha256sum)'
            )
        elif digest == EMPTY_KEY_DIGEST:
            yield f'{path}: is the digest of an empty key, choose a key'
        owner = owners.setdefault(digest, account.name)
        if owner != account.name:
            yield (
                f'{path}: is also the digest of {owner!r}, '
                'give each account its own key'
            )
