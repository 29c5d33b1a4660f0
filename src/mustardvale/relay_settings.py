"""Read the settings file of an instance that relays requests.

The file is TOML with one table. Unknown fields are ignored, so that a file with
newer fields can be read.
"""

import dataclasses
import tomllib
import typing
from collections import abc

from mustardvale import errors
from mustardvale.internal import document_checks, setting_rules
from mustardvale.internal.relay import instance_settings

MILLISECONDS_PER_SECOND = 1000
HOUR_MS = 3_600_000
HOUR_SECONDS = 3600

NAME_RULE = setting_rules.Pattern(
    document_checks.NAME_PATTERN, document_checks.NAME_ADVICE
)
ADDRESS_RULE = setting_rules.Address()
PORT_RULE = setting_rules.Integer(1, 65535)
TIME_MS_RULE = setting_rules.Number(0, HOUR_MS)
BOOLEAN_RULE = setting_rules.Choice(('true', 'false'))


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """Describe one field of the file; it is required if it has no default."""

    name: str
    rule: setting_rules.Rule
    default: str | None = None


FIELDS = (
    Field('instance-id', NAME_RULE),
    Field('availability-zone', NAME_RULE),
    Field('region', NAME_RULE),
    Field('front-address', ADDRESS_RULE),
    Field('readiness-address', ADDRESS_RULE),
    Field('directory-address', ADDRESS_RULE),
    Field('metrics-port', PORT_RULE),
    Field('peer-port', PORT_RULE),
    Field('store-address', ADDRESS_RULE),
    Field('strict-revocation', BOOLEAN_RULE, 'false'),
    Field('revocation-ms', TIME_MS_RULE, '5000'),
    Field('stop-seconds', setting_rules.Seconds(0.5, HOUR_SECONDS), '8'),
    Field('retry-ratio', setting_rules.Number(0, 10), '0.1'),
    Field('retry-window-seconds', setting_rules.Seconds(1, 600), '10'),
    Field('retry-slack', setting_rules.Number(0, 1_000_000), '0'),
    Field('longest-validity-seconds', setting_rules.Seconds(0.1, 600), '5'),
    Field('longest-upstream-wait-seconds', setting_rules.Seconds(1, 600), '60'),
    Field('memory-mb', setting_rules.Integer(64, 1_048_576), '300'),
    Field('max-descriptors', setting_rules.Integer(64, 1_048_576), '4096'),
    Field('bootstrap', BOOLEAN_RULE, 'false'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """Hold the validated settings of an instance.

    `is_bootstrap` is true where the whole site starts for the first time.
    """

    identity: instance_settings.Identity
    limits: instance_settings.Limits
    is_bootstrap: bool = False


def read(path: str) -> RelaySettings:
    """Read and validate a settings file.

    Raises `errors.SettingsError` with every problem found.
    """
    try:
        with open(path, 'rb') as opened:
            table = tomllib.load(opened)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError((f'{path}: {error}',)) from error
    texts = {field.name: find_value_text(field, table) for field in FIELDS}
    problems = tuple(find_problems(path, texts))
    if problems:
        raise errors.SettingsError(problems)
    return build_settings(
        {
            field.name: setting_rules.convert(
                field.rule, str(texts[field.name])
            )
            for field in FIELDS
        }
    )


def find_value_text(
    field: Field, table: abc.Mapping[str, typing.Any]
) -> str | None:
    """Return a value as text, or its default; booleans are in lower case."""
    raw_value = table.get(field.name)
    if raw_value is None or raw_value == '':
        return field.default
    return (
        str(raw_value).lower()
        if isinstance(raw_value, bool)
        else str(raw_value)
    )


def find_problems(
    path: str, texts: abc.Mapping[str, str | None]
) -> abc.Iterator[str]:
    """Yield every problem, with the field, its value and what is allowed."""
    for field in FIELDS:
        text = texts[field.name]
        if text is None:
            yield f'{path}: {field.name} is required'
        elif not setting_rules.allows(field.rule, text):
            advice = setting_rules.advise(field.rule)
            yield f'{path}: {field.name}: {text!r}, {advice}'


def build_settings(checked: abc.Mapping[str, typing.Any]) -> RelaySettings:
    """Build the settings from validated values."""
    host = checked['front-address'].rpartition(':')[0]
    revocation_seconds = checked['revocation-ms'] / MILLISECONDS_PER_SECOND
    is_strict = checked['strict-revocation'] == 'true'
    return RelaySettings(
        instance_settings.Identity(
            checked['instance-id'],
            checked['availability-zone'],
            checked['region'],
            instance_settings.Addresses(
                front=checked['front-address'],
                readiness=checked['readiness-address'],
                directory=checked['directory-address'],
                metrics=f'{host}:{checked["metrics-port"]}',
                store=checked['store-address'],
                peers=f'{host}:{checked["peer-port"]}',
            ),
        ),
        instance_settings.Limits(
            key_revocation_seconds=revocation_seconds if is_strict else None,
            stop_seconds=checked['stop-seconds'],
            retry_ratio=checked['retry-ratio'],
            retry_window_seconds=checked['retry-window-seconds'],
            retries_per_window=checked['retry-slack'],
            maximum_directory_validity_seconds=checked[
                'longest-validity-seconds'
            ],
            maximum_upstream_wait_seconds=checked[
                'longest-upstream-wait-seconds'
            ],
            memory_mb=checked['memory-mb'],
            maximum_descriptors=checked['max-descriptors'],
        ),
        is_bootstrap=checked['bootstrap'] == 'true',
    )
