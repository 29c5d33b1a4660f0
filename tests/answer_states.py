"""Build states of an entry instance for tests of the reducer."""

import dataclasses
import pathlib

from mustardvale import daemon, document, settings
from mustardvale.internal import (
    calls,
    configuration,
    promotions,
    state,
    upstreams,
)
from tests import entry_states

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLE = (ROOT / 'examples' / 'cooperative.toml').read_text()
LAYERS = 24
ACCOUNT_KEY = 'colston-dairy-key'


def build_settings() -> settings.Settings:
    """Return the settings of an instance; no socket is opened."""
    arguments = (
        '--instance-id=entry-0',
        '--address=127.0.0.1:7100',
        '--peer-address=127.0.0.1:7200',
        '--availability-zone=melton-vault',
        '--environment=production',
        '--log-address=127.0.0.1:7001',
        '--list-address=127.0.0.1:7002',
        '--seed=7',
    )
    return settings.read(arguments, {})


def build_runner(
    name: str, first_layer: int, end_layer: int
) -> upstreams.Upstream:
    """Return a runner that has reported some layers of the example model."""
    port = 8000 + int(name.rpartition('-')[2])
    listed = calls.ListedInstance(
        name,
        'mustardvale-pool',
        f'127.0.0.1:{port}',
        'melton-vault',
    )
    report = calls.LoadReport(
        instance_id=name,
        model='affinage',
        version='3',
        adapters=('rind',),
        first_layer=first_layer,
        end_layer=end_layer,
        step_seconds=0.004,
    )
    return entry_states.build_upstream(listed, report)


def build_state(runners: tuple[upstreams.Upstream, ...] = ()) -> state.State:
    """Return the state of an instance with the example document in force."""
    initial = daemon.build_initial_state(build_settings())
    table = initial.upstreams
    for runner in runners:
        table = table.replace(runner)
    configured = configuration.ConfigurationState(
        environment='production',
        promoted=promotions.PromotionState(1, 0, EXAMPLE, 0),
        document=document.parse(EXAMPLE),
        applied_version=1,
        is_caught_up=True,
    )
    return dataclasses.replace(
        initial,
        upstreams=table,
        configuration=configured,
    )
