"""Define the environment document and parse it from TOML."""

import dataclasses
import enum
import functools
import tomllib
import types
import typing

import cattrs
from cattrs import gen

from mustardvale import errors
from mustardvale.internal import document_changes, document_checks

FORMAT = 1
# Several documents must fit into one response of the log.
MAXIMUM_BYTES = 256 * 1024

TYPE_NAMES = types.MappingProxyType(
    {
        bool: 'true or false',
        float: 'a number',
        int: 'a whole number',
        str: 'a string',
    }
)


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

    `orders_fenced` says whether its upstreams reject an order with an outdated
    fencing token.
    """

    name: str
    kind: PoolKind
    orders_fenced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Describe a model version, whose layers are split over runners of a pool."""

    name: str
    version: str
    layers: int
    pool: str
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Describe an operation of a service; an idempotent one may be repeated."""

    name: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a plain service and its operations."""

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
        """Return the model with a name, `None` if there is none."""
        return next(
            (model for model in self.models if model.name == name), None
        )

    def find_service(self, name: str) -> Service | None:
        """Return the service with a name, `None` if there is none."""
        return next(
            (service for service in self.services if service.name == name), None
        )

    def find_account(self, key_sha256: str) -> ClientAccount | None:
        """Return the client account with a key digest, `None` if there is none."""
        return next(
            (
                account
                for account in self.client_accounts
                if account.key_sha256 == key_sha256
            ),
            None,
        )


@functools.singledispatch
def explain(error: Exception, target_type: typing.Any) -> str:
    """Explain how to correct a part with the wrong structure."""
    return str(error)


@explain.register(cattrs.ForbiddenExtraKeysError)
def explain_unknown(
    error: cattrs.ForbiddenExtraKeysError, target_type: typing.Any
) -> str:
    """Name the unknown fields and the known ones."""
    unknown = ', '.join(sorted(error.extra_fields))
    known = ', '.join(field.name for field in dataclasses.fields(error.cl))
    return f'unknown field {unknown}, remove it or use one of {known}'


@explain.register(KeyError)
def explain_missing(error: KeyError, target_type: typing.Any) -> str:
    """Explain that a field is missing and what it holds."""
    return f'is missing, add it ({describe_type(target_type)})'


@explain.register(AttributeError)
@explain.register(ValueError)
@explain.register(TypeError)
def explain_value(error: Exception, target_type: typing.Any) -> str:
    """Explain what a field must hold."""
    return f'must be {describe_type(target_type)}'


def describe_type(target_type: typing.Any) -> str:
    """Describe a type in terms of TOML."""
    if target_type in {PoolKind, Priority}:
        names = (repr(member.value) for member in target_type)
        return f'one of {", ".join(names)}'
    if typing.get_origin(target_type) is tuple:
        element = typing.get_args(target_type)[0]
        return f'a list, each element {describe_type(element)}'
    return TYPE_NAMES.get(target_type, 'a table')


def structure_scalar(value: typing.Any, target_type: typing.Any) -> typing.Any:
    """Accept a value only if it has exactly the type of its field.

    By default cattrs converts values and would read `idempotent = "false"` as
    true.
    """
    is_boolean = isinstance(value, bool)
    if not isinstance(value, target_type) or is_boolean != (
        target_type is bool
    ):
        raise TypeError(value)
    return value


def structure_float(value: typing.Any, target_type: typing.Any) -> float:
    """Accept a number, which may be written without a decimal point."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(value)
    return float(value)


def is_tuple(target_type: typing.Any) -> bool:
    """Return whether a field holds a list."""
    return typing.get_origin(target_type) is tuple


def structure_list(value: typing.Any, target_type: typing.Any) -> typing.Any:
    """Accept a list; a string is not a list of its characters."""
    if not isinstance(value, list):
        raise TypeError(value)
    element = typing.get_args(target_type)[0]
    return tuple(CONVERTER.structure(value, list[element]))  # type: ignore[valid-type]


def build_converter() -> cattrs.Converter:
    """Build a converter that rejects unknown fields and converts no values."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for scalar in (bool, int, str):
        converter.register_structure_hook(scalar, structure_scalar)
    converter.register_structure_hook(float, structure_float)
    converter.register_structure_hook_func(is_tuple, structure_list)
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

TABLE_KINDS: types.MappingProxyType[str, type[typing.Any]] = (
    types.MappingProxyType(
        {
            'pools': Pool,
            'client_accounts': ClientAccount,
            'models': Model,
            'services': Service,
        }
    )
)


def parse(text: str) -> Document:
    """Parse and validate a document.

    Raises `errors.DocumentError` with every problem found.
    """
    size = len(text.encode())
    if size > MAXIMUM_BYTES:
        raise errors.DocumentError(
            (f'document: has {size} bytes, at most {MAXIMUM_BYTES} are read',),
        )
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.DocumentError((f'not valid TOML: {error}',)) from error
    check_format(table.get('format'))
    try:
        document = CONVERTER.structure(table, Document)
    except cattrs.BaseValidationError as error:
        raise errors.DocumentError(
            (*explain_structure(error), *check_valid_parts(table)),
        ) from error
    problems = find_problems(document)
    if problems:
        raise errors.DocumentError(problems)
    return document


def check_format(value: typing.Any) -> None:
    """Reject an unsupported format before the fields are checked.

    The new fields of a newer format would otherwise be reported as unknown.
    """
    if not isinstance(value, int) or value == FORMAT:
        return
    if value > FORMAT:
        raise errors.DocumentError(
            (
                f'format: {value} is newer than this release reads, which is '
                f'{FORMAT}; upgrade mustardvale first',
            )
        )
    raise errors.DocumentError(
        (f'format: {value} does not exist, use {FORMAT}',),
    )


def explain_structure(error: cattrs.BaseValidationError) -> tuple[str, ...]:
    """Return one problem for each part with the wrong structure."""
    lines = cattrs.transform_error(error, format_exception=explain)
    return tuple(move_path_first(line) for line in lines)


def move_path_first(line: str) -> str:
    """Convert `problem @ $.path` to `path: problem`."""
    problem, _, location = line.rpartition(' @ ')
    path = location.removeprefix('$').removeprefix('.')
    return f'{path or "document"}: {problem}'


def check_valid_parts(table: dict[str, typing.Any]) -> tuple[str, ...]:
    """Return the problems of the parts with the right structure.

    They are reported together with those of the malformed parts.
    """
    valid_parts: dict[str, typing.Any] = {}
    malformed: set[str] = set()
    for field, kind in TABLE_KINDS.items():
        rows = table.get(field, [])
        if not isinstance(rows, list):
            return ()
        structured = tuple(structure_row(row, kind) for row in rows)
        valid_parts[field] = tuple(
            item for item in structured if item is not None
        )
        malformed.update(
            find_name(row)
            for row, item in zip(rows, structured, strict=True)
            if item is None
        )
    environment = table.get('environment')
    if not isinstance(environment, str):
        environment = 'unnamed'
    return document_checks.find_problems(
        Document(format=FORMAT, environment=environment, **valid_parts),
        frozenset(malformed),
    )


def find_name(row: typing.Any) -> str:
    """Return the name in a row, which may have any structure."""
    return str(row.get('name')) if isinstance(row, dict) else ''


def structure_row(row: typing.Any, kind: type[typing.Any]) -> typing.Any:
    """Structure one row of a table; return `None` if it is malformed."""
    if not isinstance(row, dict):
        return None
    try:
        return CONVERTER.structure(row, kind)
    except cattrs.BaseValidationError:
        return None


def find_problems(document: Document) -> tuple[str, ...]:
    """Return the problems of a document that has the right structure."""
    return document_checks.find_problems(document)


def diff(old: Document, new: Document) -> tuple[document_changes.Change, ...]:
    """Return the typed differences between two documents."""
    return document_changes.diff(old, new)
