"""Read the settings file of an instance that relays requests.

The file is TOML with one table. Fields that are not known are ignored, so that
a newer site can be served.
"""

import dataclasses
import tomllib
import typing
from collections import abc

from mustardvale import errors
from mustardvale.internal import document_checks, setting_rules
from mustardvale.internal.relay import instance_settings

MILLISECONDS = 1000
HOUR_MS = 3_600_000
HOUR_SECONDS = 3600

NAME = setting_rules.Pattern(
    document_checks.NAME_PATTERN, document_checks.NAME_ADVICE
)
ADDRESS = setting_rules.Address()
PORT = setting_rules.Whole(1, 65535)
TIME_MS = setting_rules.Amount(0, HOUR_MS)
FLAG = setting_rules.Choice(('true', 'false'))


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """Describe one field of the file; one without a default is required."""

    name: str
    rule: setting_rules.Rule
    default: str | None = None


FIELDS = (
    Field('instance-id', NAME),
    Field('availability-zone', NAME),
    Field('region', NAME),
    Field('front-address', ADDRESS),
    Field('readiness-address', ADDRESS),
    Field('directory-address', ADDRESS),
    Field('metrics-port', PORT),
    Field('peer-port', PORT),
    Field('store-address', ADDRESS),
    Field('strict-revocation', FLAG, 'false'),
    Field('revocation-ms', TIME_MS, '5000'),
    Field('stop-seconds', setting_rules.Seconds(0.5, HOUR_SECONDS), '8'),
    Field('retry-ratio', setting_rules.Amount(0, 10), '0.1'),
    Field('retry-window-seconds', setting_rules.Seconds(1, 600), '10'),
    Field('retry-slack', setting_rules.Amount(0, 1_000_000), '0'),
    Field('longest-validity-seconds', setting_rules.Seconds(0.1, 600), '5'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """Hold the checked settings of an instance."""

    identity: instance_settings.Identity
    limits: instance_settings.Limits


def read(path: str) -> RelaySettings:
    """Read and check a settings file.

    Raises `errors.SettingsError` with every problem found.
    """
    try:
        with open(path, 'rb') as opened:
            table = tomllib.load(opened)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError((f'{path}: {error}',)) from error
    texts = {field.name: find_text(field, table) for field in FIELDS}
    problems = tuple(find_problems(path, texts))
    if problems:
        raise errors.SettingsError(problems)
    return build(
        {
            field.name: setting_rules.convert(
                field.rule, str(texts[field.name])
            )
            for field in FIELDS
        }
    )


def find_text(field: Field, table: abc.Mapping[str, typing.Any]) -> str | None:
    """Return a value as text; truth values are written in lower case."""
    found = table.get(field.name)
    if found is None or found == '':
        return field.default
    return str(found).lower() if isinstance(found, bool) else str(found)


def find_problems(
    path: str, texts: abc.Mapping[str, str | None]
) -> abc.Iterator[str]:
    """Return every problem with the field, its value and what is allowed."""
    for field in FIELDS:
        text = texts[field.name]
        if text is None:
            yield f'{path}: {field.name} is required'
        elif not setting_rules.allows(field.rule, text):
            advice = setting_rules.advise(field.rule)
            yield f'{path}: {field.name}: {text!r}, {advice}'


def build(found: abc.Mapping[str, typing.Any]) -> RelaySettings:
    """Build the settings from checked values."""
    host = found['front-address'].rpartition(':')[0]
    revocation = found['revocation-ms'] / MILLISECONDS
    strict = found['strict-revocation'] == 'true'
    return RelaySettings(
        instance_settings.Identity(
            found['instance-id'],
            found['availability-zone'],
            found['region'],
            instance_settings.Addresses(
                front=found['front-address'],
                readiness=found['readiness-address'],
                directory=found['directory-address'],
                metrics=f'{host}:{found["metrics-port"]}',
                store=found['store-address'],
                peers=f'{host}:{found["peer-port"]}',
            ),
        ),
        instance_settings.Limits(
            key_revocation_seconds=revocation if strict else None,
            shutdown_seconds=found['stop-seconds'],
            retry_ratio=found['retry-ratio'],
            retry_window_seconds=found['retry-window-seconds'],
            retries_per_window=found['retry-slack'],
            maximum_directory_validity_seconds=found[
                'longest-validity-seconds'
            ],
        ),
    )
