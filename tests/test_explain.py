"""Test the history of a request that is built from log lines."""

import json
import typing
import unittest

from mustardvale.internal.commands import command_types, explaining, reports
from tests import runs


def build_line(
    second: int, event: str, instance: str, **fields: typing.Any
) -> str:
    """Return a log line."""
    return json.dumps(
        {
            'asctime': f'2026-01-01 10:00:{second:02},000',
            'levelname': 'INFO',
            'message': event,
            'instance_id': instance,
            **fields,
        }
    )


LINES = (
    build_line(3, 'runner_blamed', 'e1', runner='m2', reason='stalled'),
    build_line(3, 'runner_blamed', 'e2', runner='m2', reason='stalled'),
    build_line(
        1,
        'request_sent',
        'e1',
        request='a1',
        runner='m1',
        chain=['m1:0-40', 'm2:40-80'],
    ),
    build_line(
        4, 'send_failed', 'e1', request='a1', runner='m1', problem='silent'
    ),
    build_line(5, 'stream_cut', 'e1', request='a1', problem='refused'),
    build_line(2, 'request_sent', 'e1', request='other', runner='m7'),
    build_line(2, 'layers_ordered', 'e3', runner='m1', first=0, end=40),
    build_line(2, 'layers_ordered', 'e3', runner='m9', first=0, end=40),
)


class Explanations(unittest.TestCase):
    """The lines of a request are listed in order, with the cause of its end."""

    def explain(self, request_id: str, text: str) -> reports.Report:
        """Run the command on some text."""
        run = runs.Run(command_types.Explain(request_id, text))
        return run.shown[0]

    def test_history_of_all_instances_in_order(self) -> None:
        """Guard against missing lines and lines of other requests."""
        report = self.explain('a1', '\n'.join(LINES))
        self.assertEqual(
            [
                ('request_sent', 'e1'),
                ('layers_ordered', 'e3'),
                ('runner_blamed', 'e1'),
                ('send_failed', 'e1'),
                ('stream_cut', 'e1'),
            ],
            [(item.event, item.instance_id) for item in report.history],
        )

    def test_cause_comes_last(self) -> None:
        """Guard against a history without the cause of the end."""
        report = self.explain('a1', '\n'.join(LINES))
        self.assertEqual(
            'stream_cut: refused (after 1 failed: silent)', report.cause
        )

    def test_unknown_request(self) -> None:
        """Guard against an empty history for an unknown request id."""
        report = self.explain('none', '\n'.join(LINES))
        self.assertIsInstance(report, reports.Failed)

    def test_other_text_is_skipped(self) -> None:
        """Guard against an exception at truncated or foreign lines."""
        text = '\n'.join(('noise', LINES[2][:-9], f'  1.0 e1 {LINES[2]}'))
        self.assertEqual(1, len(explaining.read_lines(text)))
