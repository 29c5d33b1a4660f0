"""Test promotions between separate processes."""

import contextlib
import pathlib
import signal
import tempfile
import time
import unittest

from bench import promotion_site

EXAMPLE = promotion_site.ROOT / 'examples' / 'cooperative.toml'
ENTRY_COUNT = 6
# The delay lets both operators read the environment before the first append.
APPEND_DELAY_SECONDS = 2.5
RACES = 3
RETENTION_SECONDS = 8.0
MAXIMUM_START_SECONDS = 9.0
FIRST_VERSION = 1


def write_document(directory: str, layers: int) -> str:
    """Write a document and return the name of its file."""
    text = EXAMPLE.read_text().replace('layers = 24', f'layers = {layers}')
    path = pathlib.Path(directory) / f'{layers}.toml'
    path.write_text(text)
    return str(path)


def start_publish(
    site: promotion_site.Site,
    path: str,
    operator: str,
) -> 'promotion_site.subprocess.Popen[str]':
    """Start a run that publishes a document."""
    return site.start_command(
        'publish',
        path,
        '--environment=production',
        f'--operator={operator}',
        '--json',
    )


def publish(site: promotion_site.Site, path: str) -> int:
    """Publish a document and return its version."""
    run = promotion_site.wait_for_command(start_publish(site, path, 'ann'))
    assert run.exit_code == 0, run
    return int(run.report['version'])


class TwoOperators(unittest.TestCase):
    """Two operators promote different documents at the same moment."""

    def race(
        self,
        site: promotion_site.Site,
        directory: str,
        version: int,
    ) -> None:
        """Let two operators promote at once and check their reports."""
        operators = ('ann', 'bob')
        processes = [
            start_publish(
                site,
                write_document(directory, 100 * version + index),
                operator,
            )
            for index, operator in enumerate(operators)
        ]
        runs = [
            promotion_site.wait_for_command(process) for process in processes
        ]
        codes = [run.exit_code for run in runs]
        self.assertEqual(sorted(codes), [0, 1], runs)
        winner, loser = codes.index(0), codes.index(1)
        self.assertEqual(runs[winner].report['version'], version)
        self.assertEqual(runs[loser].report['report'], 'promotion_lost')
        self.assertEqual(runs[loser].report['winner_version'], version)
        self.assertEqual(
            runs[loser].report['winner_operator'],
            operators[winner],
        )
        rows = site.wait_for_version(version)
        self.assertEqual(
            [row['document_version'] for row in rows],
            [version] * ENTRY_COUNT,
        )

    def test_exactly_one_wins(self) -> None:
        """Guard against a lost promotion that is not reported."""
        with (
            tempfile.TemporaryDirectory() as directory,
            promotion_site.run_site(ENTRY_COUNT) as site,
        ):
            site.wait_for_version(publish(site, str(EXAMPLE)))
            promotion_site.send_request(
                'POST',
                site.log_address,
                '/faults',
                {'delay_seconds': APPEND_DELAY_SECONDS},
            )
            for number in range(RACES):
                self.race(site, directory, FIRST_VERSION + 1 + number)
            self.check_status(site)

    def check_status(self, site: promotion_site.Site) -> None:
        """Check that the status shows the version of every instance."""
        promotion_site.wait_until(
            lambda: not any(row['behind'] for row in self.list_rows(site)),
            promotion_site.START_TIMEOUT_SECONDS,
            'status without an instance behind',
        )
        self.assertEqual(len(self.list_rows(site)), ENTRY_COUNT)

    def list_rows(
        self,
        site: promotion_site.Site,
    ) -> 'list[dict[str, promotion_site.Any]]':
        """Return the rows of `mustardvale status`."""
        return list(site.run_command('status', '--json').report['instances'])


class Downtime(unittest.TestCase):
    """Instances recover the document in force after any downtime."""

    def setUp(self) -> None:
        """Start a site whose log drops records after a few seconds."""
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.directory = self.stack.enter_context(
            tempfile.TemporaryDirectory(),
        )
        self.site = promotion_site.build_site(3, RETENTION_SECONDS)
        promotion_site.start_platform(self.stack, self.site)
        self.processes = [self.start(entry) for entry in self.site.entries]
        for entry in self.site.entries:
            promotion_site.wait_for_start(entry)
        self.version = publish(self.site, write_document(self.directory, 1))
        self.site.wait_for_version(self.version)

    def start(
        self,
        entry: promotion_site.Entry,
    ) -> 'promotion_site.subprocess.Popen[bytes]':
        """Start an instance."""
        return promotion_site.start_entry(self.stack, self.site, entry)

    def has_layers(self, layers: int) -> bool:
        """Return whether the document in force has a number of layers."""
        shown = self.site.run_command('show', 'production', '--json')
        return f'layers = {layers}\n' in shown.report['document']

    def wait_for_retention(self) -> None:
        """Wait until the log has dropped every promotion."""
        promotion_site.wait_until(
            self.has_no_promotion,
            4 * RETENTION_SECONDS,
            'a log without promotions',
        )

    def has_no_promotion(self) -> bool:
        """Return whether the log holds only snapshots."""
        shown = self.site.run_command('history', 'production', '--json')
        return not shown.report['promotions']

    def test_pause_longer_than_the_retention(self) -> None:
        """Guard against a paused instance that stays behind or reverts."""
        paused = self.processes[0]
        paused.send_signal(signal.SIGSTOP)
        self.stack.callback(paused.send_signal, signal.SIGCONT)
        last = publish(self.site, write_document(self.directory, 2))
        self.wait_for_retention()
        paused.send_signal(signal.SIGCONT)
        self.site.wait_for_version(last)
        self.assertTrue(self.has_layers(2))

    def test_restart_of_all_instances(self) -> None:
        """Guard against a version that is lost when all instances restart."""
        last = publish(self.site, write_document(self.directory, 2))
        self.site.wait_for_version(last)
        self.wait_for_retention()
        for process in self.processes:
            process.kill()
            process.wait()
        for entry in self.site.entries:
            self.start(entry)
        rows = self.site.wait_for_version(last)
        self.assertEqual({row['document_version'] for row in rows}, {last})
        self.assertEqual(
            publish(self.site, write_document(self.directory, 3)), last + 1
        )
        self.site.wait_for_version(last + 1)

    def test_start_during_an_outage_of_the_log(self) -> None:
        """Guard against an instance that cannot start without the log."""
        promotion_site.send_request(
            'POST',
            self.site.log_address,
            '/faults',
            {'down': True},
        )
        self.processes[0].kill()
        self.processes[0].wait()
        started_at = time.monotonic()
        self.start(self.site.entries[0])
        self.site.wait_for_version(self.version)
        self.assertLess(time.monotonic() - started_at, MAXIMUM_START_SECONDS)
