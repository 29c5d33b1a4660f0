"""Guard promotions between separate processes."""

import pathlib
import tempfile
import unittest

from bench import promotion_site

EXAMPLE = promotion_site.ROOT / 'examples' / 'cooperative.toml'
ENTRY_COUNT = 6
# Both operators have read the environment before the first append is stored.
APPEND_DELAY_SECONDS = 2.5
RACES = 3
FIRST_VERSION = 1


class TwoOperators(unittest.TestCase):
    """Two operators promote different documents at the same moment."""

    def write(self, directory: str, layers: int) -> str:
        """Write a document and return the name of its file."""
        text = EXAMPLE.read_text().replace('layers = 24', f'layers = {layers}')
        path = pathlib.Path(directory) / f'{layers}.toml'
        path.write_text(text)
        return str(path)

    def publish(
        self,
        site: promotion_site.Site,
        path: str,
        operator: str,
    ) -> 'promotion_site.subprocess.Popen[str]':
        """Start to publish a document."""
        return site.start_command(
            'publish',
            path,
            '--environment=production',
            f'--operator={operator}',
            '--json',
        )

    def race(
        self,
        site: promotion_site.Site,
        directory: str,
        version: int,
    ) -> None:
        """Let two operators promote at once and check what they are told."""
        operators = ('ann', 'bob')
        processes = [
            self.publish(
                site,
                self.write(directory, 100 * version + index),
                operator,
            )
            for index, operator in enumerate(operators)
        ]
        runs = [promotion_site.finish(process) for process in processes]
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
        """Guard against a document that is lost without notice."""
        with (
            tempfile.TemporaryDirectory() as directory,
            promotion_site.run('production', ENTRY_COUNT) as site,
        ):
            first = promotion_site.finish(
                self.publish(site, str(EXAMPLE), 'ann'),
            )
            self.assertEqual(first.exit_code, 0, first)
            site.wait_for_version(FIRST_VERSION)
            promotion_site.call(
                'POST',
                site.log_address,
                '/faults',
                {'delay_seconds': APPEND_DELAY_SECONDS},
            )
            for number in range(RACES):
                self.race(site, directory, FIRST_VERSION + 1 + number)
            self.check_status(site)

    def check_status(self, site: promotion_site.Site) -> None:
        """Check that one instance tells of the version of all of them."""
        promotion_site.wait_until(
            lambda: not any(row['behind'] for row in self.rows(site)),
            promotion_site.START_SECONDS,
            'status without an instance behind',
        )
        self.assertEqual(len(self.rows(site)), ENTRY_COUNT)

    def rows(
        self,
        site: promotion_site.Site,
    ) -> 'list[dict[str, promotion_site.Any]]':
        """Return the rows of `mustardvale status`."""
        return list(site.command('status', '--json').report['instances'])
