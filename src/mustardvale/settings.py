"""Read the settings of the daemon from flags and environment variables."""

import argparse
import dataclasses
from collections import abc

from mustardvale import errors
from mustardvale.internal import routing

ENVIRONMENT_PREFIX = 'MUSTARDVALE_'


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """Describe one setting; a setting without a default is required."""

    name: str
    text: str
    default: str | None = None

    @property
    def flag(self) -> str:
        """Return the flag of the setting."""
        return f'--{self.name}'

    @property
    def environment_variable(self) -> str:
        """Return the environment variable of the setting."""
        return ENVIRONMENT_PREFIX + self.name.replace('-', '_').upper()


SETTINGS = (
    Setting('instance-id', 'name of this instance, unique at its site'),
    Setting('address', 'host:port for callers'),
    Setting('peer-address', 'host:port for other entry instances'),
    Setting('availability-zone', 'availability zone of this instance'),
    Setting('region', 'region of this instance', ''),
    Setting('environment', 'environment whose document is served'),
    Setting('log-address', 'host:port of the log service'),
    Setting('list-address', 'host:port of the instance list'),
    Setting(
        'policy',
        'random, round-robin, least-load, two-choices, expected-completion '
        'or weighted-score',
        'expected-completion',
    ),
    Setting('log-level', 'DEBUG, INFO, WARNING or ERROR', 'INFO'),
    Setting('seed', 'seed of random choices, 0 draws one', '0'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Hold the checked settings of a daemon; addresses are `host:port`."""

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
    policy: str


def read(
    arguments: abc.Sequence[str],
    variables: abc.Mapping[str, str],
) -> Settings:
    """Read and check settings; a flag goes before its variable.

    Raises `errors.SettingsError` with every problem found.
    """
    parser = argparse.ArgumentParser(prog='mustardvaled')
    for setting in SETTINGS:
        parser.add_argument(setting.flag, help=setting.text)
    flags = parser.parse_args(arguments)
    found = {
        setting.name: getattr(flags, setting.name.replace('-', '_'))
        or variables.get(setting.environment_variable, setting.default)
        for setting in SETTINGS
    }
    missing = tuple(
        f'{setting.flag} or {setting.environment_variable} is required: {setting.text}'
        for setting in SETTINGS
        if found[setting.name] is None
    )
    if found['policy'] not in routing.POLICIES:
        known = ', '.join(routing.POLICIES)
        missing += (f'--policy: use one of {known}',)
    if missing:
        raise errors.SettingsError(missing)
    return Settings(
        instance_id=str(found['instance-id']),
        address=str(found['address']),
        peer_address=str(found['peer-address']),
        availability_zone=str(found['availability-zone']),
        region=str(found['region']),
        environment=str(found['environment']),
        log_address=str(found['log-address']),
        list_address=str(found['list-address']),
        log_level=str(found['log-level']),
        seed=int(str(found['seed'])),
        policy=str(found['policy']),
    )
