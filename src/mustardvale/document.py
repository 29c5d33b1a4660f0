"""Define the environment document, its notation (TOML) and its checks."""

import dataclasses
import enum
import tomllib

import cattrs
from cattrs import gen, transform_error

from mustardvale import errors

FORMAT = 1


class PoolKind(enum.Enum):
    """Name the kinds of upstream pools."""

    MODEL_RUNNERS = 'model_runners'
    SERVICE = 'service'


class Priority(enum.Enum):
    """Name the priorities of client accounts, most urgent first."""

    URGENT = 'urgent'
    INTERACTIVE = 'interactive'
    BATCH = 'batch'


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Describe a pool of upstreams.

    `orders_fenced` says whether its upstreams refuse an order that carries an
    old fencing token.
    """

    name: str
    kind: PoolKind
    orders_fenced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Describe a model version; `layers` are split over runners of `pool`."""

    name: str
    version: str
    layers: int
    pool: str
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Describe one operation of a service."""

    name: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a plain service and which of its calls may be repeated."""

    name: str
    pool: str
    operations: tuple[Operation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """Describe a client account, its limits and what it may use.

    `key_sha256` is the hexadecimal SHA-256 digest of the account's key.
    """

    name: str
    key_sha256: str
    priority: Priority
    requests_per_second: float
    tokens_per_second: float
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Describe which models and services serve which client accounts."""

    format: int
    environment: str
    pools: tuple[Pool, ...]
    client_accounts: tuple[ClientAccount, ...]
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()

    def find_model(self, name: str) -> Model | None:
        """Return the model of that name."""
        return next((one for one in self.models if one.name == name), None)

    def find_service(self, name: str) -> Service | None:
        """Return the service of that name."""
        return next((one for one in self.services if one.name == name), None)

    def find_account(self, key_sha256: str) -> ClientAccount | None:
        """Return the client account whose key has that digest."""
        return next(
            (
                account
                for account in self.client_accounts
                if account.key_sha256 == key_sha256
            ),
            None,
        )


def build_converter() -> cattrs.Converter:
    """Build a converter that rejects unknown fields."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (Pool, Model, Operation, Service, ClientAccount, Document):
        converter.register_structure_hook(
            kind,
            gen.make_dict_structure_fn(
                kind,
                converter,
                _cattrs_forbid_extra_keys=True,
            ),
        )
    return converter


CONVERTER = build_converter()


def parse(text: str) -> Document:
    """Parse and check a document.

    Raises `errors.DocumentError` with every problem found.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.DocumentError((f'not valid TOML: {error}',)) from error
    try:
        document = CONVERTER.structure(table, Document)
    except cattrs.BaseValidationError as error:
        raise errors.DocumentError(tuple(transform_error(error))) from error
    problems = find_problems(document)
    if problems:
        raise errors.DocumentError(problems)
    return document


def find_problems(document: Document) -> tuple[str, ...]:
    """Return what is wrong in a document that has the right structure."""
    problems = []
    if document.format != FORMAT:
        problems.append(
            f'format: {document.format} is not supported, use {FORMAT}',
        )
    pools = {pool.name for pool in document.pools}
    problems.extend(
        f'models.{model.name}.pool: no pool named {model.pool!r}'
        for model in document.models
        if model.pool not in pools
    )
    problems.extend(
        f'services.{service.name}.pool: no pool named {service.pool!r}'
        for service in document.services
        if service.pool not in pools
    )
    return tuple(problems)
