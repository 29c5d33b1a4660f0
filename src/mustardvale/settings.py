"""Read the settings of the daemon from flags and environment variables."""

import argparse
import dataclasses
import re
import typing
from collections import abc

from mustardvale import errors
from mustardvale.internal import document_checks, routing, setting_rules

VARIABLE_PREFIX = 'MUSTARDVALE_'
CHECK_FLAG = '--check'
MAXIMUM_SEED = 2**63 - 1
DAY_SECONDS = 24 * 3600

NAME_RULE = setting_rules.Pattern(
    document_checks.NAME_PATTERN,
    document_checks.NAME_ADVICE,
)
OPTIONAL_NAME_RULE = setting_rules.Pattern(
    document_checks.OPTIONAL_NAME_PATTERN,
    f'{document_checks.NAME_ADVICE}, or nothing',
)
ENVIRONMENT_RULE = setting_rules.Pattern(
    document_checks.ENVIRONMENT_PATTERN,
    'use 1 to 63 lower-case letters, digits and hyphens',
)
ADDRESS_RULE = setting_rules.Address()
OPTIONAL_ADDRESS_RULE = setting_rules.Pattern(
    re.compile(r'(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?'),
    'use IP:port, or nothing',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """Describe a setting; one without a default is required."""

    name: str
    description: str
    rule: setting_rules.Rule
    default: str | None = None

    @property
    def flag(self) -> str:
        """Return the command-line flag of the setting."""
        return f'--{self.name}'

    @property
    def field(self) -> str:
        """Return the name of the field of `Settings` that holds the value."""
        return self.name.replace('-', '_')

    @property
    def environment_variable(self) -> str:
        """Return the environment variable of the setting."""
        return VARIABLE_PREFIX + self.field.upper()


SETTINGS = (
    Setting(
        'instance-id', 'name of this instance, unique at its site', NAME_RULE
    ),
    Setting('address', 'IP:port for callers', ADDRESS_RULE),
    Setting('peer-address', 'IP:port for other entry instances', ADDRESS_RULE),
    Setting(
        'availability-zone', 'availability zone of this instance', NAME_RULE
    ),
    Setting('region', 'region of this instance', OPTIONAL_NAME_RULE, ''),
    Setting(
        'environment', 'environment whose document is served', ENVIRONMENT_RULE
    ),
    Setting('log-address', 'IP:port of the log service', ADDRESS_RULE),
    Setting('list-address', 'IP:port of the instance list', ADDRESS_RULE),
    Setting(
        'weight-store-address',
        'IP:port of the weight store; without it no orders are given',
        OPTIONAL_ADDRESS_RULE,
        '',
    ),
    Setting(
        'policy',
        'how runners are chosen',
        setting_rules.Choice(tuple(routing.POLICIES)),
        'expected-completion',
    ),
    Setting(
        'log-level',
        'least severe log lines to write',
        setting_rules.Choice(('DEBUG', 'INFO', 'WARNING', 'ERROR')),
        'INFO',
    ),
    Setting(
        'seed',
        'seed of random choices, 0 draws one',
        setting_rules.Integer(0, MAXIMUM_SEED),
        '0',
    ),
    Setting(
        'address-validity-seconds',
        'how long callers may use an answer with entry addresses',
        setting_rules.Seconds(1, 3600),
        '10',
    ),
    Setting(
        'drain-seconds',
        'longest wait of a planned stop for requests in flight',
        setting_rules.Seconds(0, DAY_SECONDS),
        '600',
    ),
    Setting(
        'log-retention-seconds',
        'how long the log service holds a record',
        setting_rules.Seconds(1, 366 * DAY_SECONDS),
        '3600',
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Hold the checked settings of a daemon; addresses are `IP:port`."""

    instance_id: str
    address: str
    peer_address: str
    availability_zone: str
    region: str
    environment: str
    log_address: str
    list_address: str
    log_level: str
    seed: int
    address_validity_seconds: float = 10
    drain_seconds: float = 600
    log_retention_seconds: float = 3600
    weight_store_address: str = ''
    policy: str = 'expected-completion'
    is_check_only: bool = False


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser.

    A flag without a value yields an empty text, which its rule then checks.
    """
    parser = argparse.ArgumentParser(prog='mustardvaled', allow_abbrev=False)
    parser.add_argument(
        CHECK_FLAG,
        action='store_true',
        help='check the settings and stop',
    )
    for setting in SETTINGS:
        parser.add_argument(
            setting.flag,
            nargs='?',
            const='',
            help=describe(setting),
        )
    return parser


def describe(setting: Setting) -> str:
    """Return the help text of a setting."""
    default = f' (default {setting.default})' if setting.default else ''
    advice = setting_rules.advise(setting.rule)
    return f'{setting.description}: {advice}{default}'.replace('%', '%%')


def read(
    arguments: abc.Sequence[str],
    variables: abc.Mapping[str, str],
) -> Settings:
    """Read and check settings; a flag takes precedence over its variable.

    Raises `errors.SettingsError` with every problem found.
    """
    flags, unknown = build_parser().parse_known_args(arguments)
    flag_values = {
        setting.field: getattr(flags, setting.field) for setting in SETTINGS
    }
    texts = {
        setting.field: find_value(setting, flag_values, variables)
        for setting in SETTINGS
    }
    problems = (
        *(f'{word} is not a known flag, see --help' for word in unknown),
        *find_problems(texts, flag_values),
    )
    if problems:
        raise errors.SettingsError(problems)
    return build_settings(texts, flags.check)


def find_value(
    setting: Setting,
    flag_values: abc.Mapping[str, typing.Any],
    variables: abc.Mapping[str, str],
) -> str | None:
    """Return the text of a setting; an empty variable counts as not set."""
    flag: str | None = flag_values[setting.field]
    if flag is not None:
        return flag
    return variables.get(setting.environment_variable) or setting.default


def find_problems(
    texts: abc.Mapping[str, str | None],
    flag_values: abc.Mapping[str, typing.Any],
) -> abc.Iterator[str]:
    """Return the problems, each with its flag or variable and its remedy."""
    for setting in SETTINGS:
        text = texts[setting.field]
        names = f'{setting.flag} or {setting.environment_variable}'
        if text is None:
            yield f'{names} is required: {setting.description}'
        elif not setting_rules.allows(setting.rule, text):
            source = setting.flag
            if flag_values[setting.field] is None:
                source = setting.environment_variable
            yield f'{source}: {text!r}, {setting_rules.advise(setting.rule)}'
    if (
        texts['address'] is not None
        and texts['address'] == texts['peer_address']
    ):
        yield '--peer-address: must differ from --address'


def build_settings(
    texts: abc.Mapping[str, str | None],
    is_check_only: bool,
) -> Settings:
    """Convert checked texts to the types of their fields."""
    converted = {
        setting.field: setting_rules.convert(
            setting.rule,
            str(texts[setting.field]),
        )
        for setting in SETTINGS
    }
    return Settings(**converted, is_check_only=is_check_only)
