"""Test the layers of the relay's modules, as docs/design.md lists them."""

import ast
import pathlib
import re
import unittest

SOURCE = pathlib.Path(__file__).resolve().parent.parent / 'src'
RELAY = SOURCE / 'mustardvale' / 'internal' / 'relay'
PLATFORM = SOURCE / 'mustardvale' / 'platform'
LAYERS = (
    'instance_settings engines requests runners events effects timers'
    ' crash_records repeated_requests crash_evidence answer_bodies byte_budgets connection_limits',
    'configuration calls crash_reports fault_reports loads retry_budgets'
    ' exchanges'
    ' event_stream heartbeat_log placement chain_search part_terms chains part_costs'
    ' fingerprints prompt_blocks waiting_order return_times upstream_pace',
    'reducer',
    'members pace_tracking peer_feed idle_connections check_schedule stopping announcements'
    ' limit_shares silence_waits startup_waits store_copies',
    'configuration_feed',
    'settled_eras',
    'runner_list orders',
    'completion crash_sharing lost_requests crash_tracking fault_telling fault_moves runner_watch choices shortages dispatch hedges admission'
    ' open_attempts upstream_health failed_sends stream_answers answers'
    ' reachability moves wait_release monitoring withdrawals lifecycle'
    ' failed_events startup_admission capacity_waits',
    'peer_updates',
    'state handlers',
)
RELAY_PACKAGE = 'mustardvale.internal.relay'
# Names of the platform's protocol, which only the
# `platform` package may contain.
WIRE_NAMES = re.compile(
    'attempt-id|server-stamp|hop-count|token-count|expect-instance'
    '|not-executed|log-append|log-newest|keyed[.](op|servers|status)'
    '|kv-token-bytes',
    re.IGNORECASE,
)


def find_layer(module: str) -> int:
    """Return the index of a module's layer."""
    for number, modules in enumerate(LAYERS):
        if module in modules.split():
            return number
    raise AssertionError(f'{module} is in no layer')


def list_imports(path: pathlib.Path) -> set[str]:
    """Return the modules that a file imports at run time."""
    tree = ast.parse(path.read_text())
    skipped = {
        id(inner)
        for node in ast.walk(tree)
        if isinstance(node, ast.If)
        and 'TYPE_CHECKING' in ast.unparse(node.test)
        for inner in ast.walk(node)
    }
    imported = set()
    for node in ast.walk(tree):
        if id(node) in skipped:
            continue
        if isinstance(node, ast.ImportFrom):
            imported.update(f'{node.module}.{item.name}' for item in node.names)
        elif isinstance(node, ast.Import):
            imported.update(item.name for item in node.names)
    return imported


class Layers(unittest.TestCase):
    """Modules import only what their layer allows."""

    def test_no_module_imports_a_higher_layer(self) -> None:
        """Guard against import cycles between the modules of the relay."""
        for path in RELAY.glob('[a-z]*.py'):
            own = find_layer(path.stem)
            for name in list_imports(path):
                package, _, module = name.rpartition('.')
                if package == RELAY_PACKAGE:
                    with self.subTest(module=path.stem, imports=module):
                        self.assertLessEqual(find_layer(module), own)

    def test_decisions_import_neither_edge_nor_platform(self) -> None:
        """Guard against decisions that depend on sockets or wire formats."""
        for path in RELAY.glob('*.py'):
            for name in list_imports(path):
                self.assertNotIn('.edge', name, path.stem)
                self.assertNotIn('mustardvale.platform', name, path.stem)

    def test_only_the_platform_package_has_wire_names(self) -> None:
        """Guard against names of the platform's protocol in other packages."""
        for path in (SOURCE / 'mustardvale').rglob('*.py'):
            if PLATFORM not in path.parents:
                self.assertIsNone(
                    WIRE_NAMES.search(path.read_text()), str(path)
                )


class PlatformPackage(unittest.TestCase):
    """The `platform` package translates messages and makes no decisions."""

    def test_platform_package_has_no_state_and_no_handlers(self) -> None:
        """Guard against decisions in the `platform` package."""
        for path in PLATFORM.glob('*.py'):
            for name in list_imports(path):
                self.assertNotIn('relay.reducer', name, path.stem)
                self.assertNotIn('relay.state', name, path.stem)
                self.assertNotIn('relay.effects', name, path.stem)
