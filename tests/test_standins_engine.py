"""Test the steps, batches, faults and audit of the engine stand-in."""

import unittest

from mustardvale.internal import calls, effects
from standins import (
    engine,
    engine_faults,
    engine_reports,
    engine_sessions,
    json_codec,
    reference_model,
    step_audit,
)
from tests import engine_cases

PROMPT = ('how', 'old')


class Steps(unittest.TestCase):
    """Consecutive stages compute the answer of the reference model."""

    def test_two_stages(self) -> None:
        """Guard against tokens that differ from the reference model."""
        first = engine_cases.build_driver(end_layer=2)
        last = engine_cases.build_driver(first_layer=2)
        tokens: tuple[str, ...] = ()
        inputs, position = PROMPT, 0
        for number in range(3):
            step = engine_cases.build_step('s', position, inputs)
            (moved,) = engine_cases.run_steps(first, f'r{number}', step)
            step = engine_cases.build_step('s', position, moved.outputs)
            (ended,) = engine_cases.run_steps(last, f'r{number}', step)
            position += len(inputs)
            inputs = ended.outputs
            tokens += ended.outputs
        expected = reference_model.compute_answer(
            'affinage', '3', '', 4, PROMPT, 3
        )
        self.assertEqual(tokens, expected)

    def test_refusals(self) -> None:
        """Guard against steps that repeat, skip or use other weights."""
        driver = engine_cases.build_driver()
        engine_cases.run_steps(driver, 'r0', engine_cases.build_step('s'))
        cases = (
            (engine_cases.build_step('s', 0), 'wrong_position'),
            (engine_cases.build_step('s', 2), 'wrong_position'),
            (engine_cases.build_step('t', adapter='x'), 'wrong_adapter'),
            (calls.Step('t', 'affinage', '4', '', 0, ('a',)), 'wrong_model'),
        )
        for number, (step, error) in enumerate(cases, 1):
            (got,) = engine_cases.run_steps(driver, f'r{number}', step)
            self.assertEqual(got.error, error)
        self.assertEqual(driver.state.steps_run, 1)

    def test_close_cancels(self) -> None:
        """Guard against a queued step that opens its closed session again."""
        driver = engine_cases.build_driver()
        engine_cases.send_steps(driver, 'r0', engine_cases.build_step('s'))
        driver.ask('r1', calls.CloseSession('s'))
        driver.pass_time(1)
        self.assertEqual(driver.replies['r0'].results[0].error, 'closed')
        self.assertFalse(driver.state.sessions)


class Batches(unittest.TestCase):
    """An iteration runs the most urgent steps up to its limits."""

    def test_limit_and_priority(self) -> None:
        """Guard against unlimited batches and against ignoring priorities."""
        driver = engine_cases.build_driver(batch_limit=2, input_seconds=0)
        engine_cases.send_steps(driver, 'r0', engine_cases.build_step('first'))
        for name, priority in (('low', 2), ('high', 0), ('middle', 1)):
            step = engine_cases.build_step(name, priority=priority)
            engine_cases.send_steps(driver, name, step)
        driver.pass_time(2.5 * engine_cases.ITERATION_SECONDS)
        self.assertEqual(set(driver.replies), {'r0', 'high', 'middle'})

    def test_input_limit(self) -> None:
        """Guard against a prefill that delays all others in its batch."""
        driver = engine_cases.build_driver(batch_inputs=3)
        engine_cases.send_steps(driver, 'r0', engine_cases.build_step('first'))
        for name in ('s', 't'):
            step = engine_cases.build_step(name, inputs=PROMPT)
            engine_cases.send_steps(driver, name, step)
        driver.pass_time(0.03)
        self.assertEqual(set(driver.replies), {'r0', 's'})

    def test_call_waits_for_all_its_steps(self) -> None:
        """Guard against results that are lost or out of order."""
        driver = engine_cases.build_driver(batch_limit=1)
        steps = [engine_cases.build_step(name) for name in 'stu']
        results = engine_cases.run_steps(driver, 'r0', *steps)
        self.assertEqual([result.session for result in results], list('stu'))


class Faults(unittest.TestCase):
    """Each fault has the documented effect, and no other."""

    def set_faults(self, driver, **fields) -> None:
        """Replace the active faults."""
        reply = driver.ask(f'faults-{driver.now}', engine.Faults(**fields))
        self.assertEqual(reply, json_codec.Done())

    def test_drop_answers(self) -> None:
        """Guard against a lost answer whose step did not run."""
        driver = engine_cases.build_driver()
        self.set_faults(driver, drop_answers=1)
        engine_cases.send_steps(driver, 'r0', engine_cases.build_step('s'))
        driver.pass_time(1)
        self.assertEqual(driver.closed, ['r0'])
        self.assertEqual(driver.state.sessions['s'].position, 1)
        (again,) = engine_cases.run_steps(
            driver, 'r1', engine_cases.build_step('s', 1)
        )
        self.assertFalse(again.error)

    def test_late_and_delayed(self) -> None:
        """Guard against delayed answers that block the engine."""
        driver = engine_cases.build_driver()
        self.set_faults(
            driver, late_answers=1, late_seconds=5, delay_seconds=0.5
        )
        for name in 'st':
            step = engine_cases.build_step(name)
            engine_cases.send_steps(driver, name, step)
        driver.pass_time(1)
        self.assertEqual(set(driver.replies) & set('st'), {'t'})
        driver.pass_time(5)
        self.assertEqual(set(driver.replies) & set('st'), {'s', 't'})

    def test_link_delay(self) -> None:
        """Guard against a slow link that blocks the engine."""
        driver = engine_cases.build_driver(link_seconds=0.5)
        for name in 'st':
            step = engine_cases.build_step(name)
            engine_cases.send_steps(driver, name, step)
        driver.pass_time(0.5)
        self.assertEqual(set(driver.replies), set())
        self.assertEqual(driver.state.steps_run, 2)
        driver.pass_time(0.1)
        self.assertEqual(set(driver.replies), {'s', 't'})

    def test_crossed_answers(self) -> None:
        """Guard against a fault that still sends results to their own calls."""
        driver = engine_cases.build_driver()
        engine_cases.send_steps(driver, 'r', engine_cases.build_step('r'))
        self.set_faults(driver, crossed_answers=2)
        for name in 'st':
            step = engine_cases.build_step(name)
            engine_cases.send_steps(driver, name, step)
        driver.pass_time(1)
        self.assertEqual(driver.replies['s'].results[0].session, 't')
        self.assertEqual(driver.replies['t'].results[0].session, 's')

    def test_frozen(self) -> None:
        """Guard against a frozen engine that answers or drops calls."""
        driver = engine_cases.build_driver()
        self.set_faults(driver, frozen=True)
        engine_cases.send_steps(driver, 'r0', engine_cases.build_step('s'))
        self.assertIsNone(driver.ask('load', calls.ReadLoad()))
        driver.pass_time(1)
        self.assertNotIn('r0', driver.replies)
        self.set_faults(driver)
        driver.pass_time(1)
        self.assertIn('r0', driver.replies)

    def test_leaving(self) -> None:
        """Guard against a leaving engine that refuses open sessions."""
        driver = engine_cases.build_driver()
        engine_cases.run_steps(driver, 'r0', engine_cases.build_step('s'))
        self.set_faults(driver, leaving=True)
        engine_cases.send_steps(driver, 'r1', engine_cases.build_step('t'))
        self.assertTrue(driver.replies['r1'].leaving)
        (got,) = engine_cases.run_steps(
            driver, 'r2', engine_cases.build_step('s', 1)
        )
        self.assertFalse(got.error)
        self.assertTrue(driver.ask('load', calls.ReadLoad()).leaving)

    def test_poison(self) -> None:
        """Guard against a crashed engine that answers or keeps sessions."""
        driver = engine_cases.build_driver()
        self.set_faults(driver, poison='bad', restart_seconds=2)
        engine_cases.run_steps(driver, 'r0', engine_cases.build_step('s'))
        step = engine_cases.build_step('t', inputs=('good', 'bad'))
        engine_cases.send_steps(driver, 'r1', step)
        driver.pass_time(1)
        self.assertIn(engine_faults.CloseServer('runner-0'), driver.others)
        self.assertTrue(driver.state.is_crashed)
        driver.pass_time(2)
        self.assertIn(engine_faults.OpenServer('runner-0'), driver.others)
        self.assertFalse(driver.state.sessions)
        self.assertNotIn('r1', driver.replies)

    def test_slowdown(self) -> None:
        """Guard against a slow engine whose load report does not show it."""
        driver = engine_cases.build_driver(input_seconds=0)
        self.set_faults(driver, slowdown=4)
        engine_cases.send_steps(driver, 'r0', engine_cases.build_step('s'))
        driver.pass_time(0.039)
        self.assertNotIn('r0', driver.replies)
        driver.pass_time(0.002)
        self.assertIn('r0', driver.replies)
        report = driver.ask('load', calls.ReadLoad())
        self.assertAlmostEqual(report.step_seconds, 0.04)


class Crash(unittest.TestCase):
    """An engine restarts after a crash without its earlier state."""

    def crash(self, driver) -> None:
        """Let the engine crash and restart."""
        faults = engine.Faults(die=True, restart_seconds=0.01, slowdown=100)
        driver.ask('die', faults)
        driver.pass_time(0.05)
        self.assertIn(engine_faults.OpenServer('runner-0'), driver.others)

    def test_iteration_from_before_the_crash(self) -> None:
        """Guard against a timer from before a crash that ends an iteration."""
        driver = engine_cases.build_driver()
        driver.ask('slow', engine.Faults(slowdown=100))
        engine_cases.send_steps(driver, 'r0', engine_cases.build_step('s'))
        self.crash(driver)
        engine_cases.send_steps(driver, 'r1', engine_cases.build_step('t'))
        driver.pass_time(1.07)
        self.assertNotIn('r1', driver.replies)
        driver.pass_time(0.1)
        self.assertIn('r1', driver.replies)

    def test_audit_outlives_engine(self) -> None:
        """Guard against a step repeated after a crash that the audit misses."""
        driver = engine_cases.build_driver()
        engine_cases.run_steps(driver, 'r0', engine_cases.build_step('s'))
        self.crash(driver)
        engine_cases.run_steps(
            driver, 'r1', engine_cases.build_step('s'), seconds=2
        )
        page = driver.ask('audit', engine_reports.ReadAudit())
        kinds = {violation.kind for violation in page.violations}
        self.assertIn(step_audit.REPEATED, kinds)


class Audit(unittest.TestCase):
    """The audit reports positions that ran more than once or out of order."""

    def test_right_order(self) -> None:
        """Guard against violations in a correct session."""
        spans = (
            step_audit.Span(0, 2, 0, 3),
            step_audit.Span(2, 4, 0, 3),
            step_audit.Span(0, 2, 3, 4),
            step_audit.Span(2, 4, 3, 4),
        )
        self.assertEqual(step_audit.find_violations('s', spans), ())

    def test_violations(self) -> None:
        """Guard against violations that the audit misses."""
        cases = (
            (step_audit.Span(0, 1, 1, 2), step_audit.REPEATED, 1),
            (step_audit.Span(0, 1, 4, 5), step_audit.OUT_OF_ORDER, 4),
            (step_audit.Span(0, 1, 0, 3), step_audit.REPEATED, 0),
        )
        for span, kind, first in cases:
            violations = step_audit.find_violations(
                's', (step_audit.Span(0, 1, 0, 3), span)
            )
            self.assertIn(
                (kind, first),
                [(violation.kind, violation.first) for violation in violations],
            )

    def test_session_that_runs_again(self) -> None:
        """Guard against a reused session id that the audit misses."""
        driver = engine_cases.build_driver()
        for number in range(2):
            step = engine_cases.build_step('s', inputs=PROMPT)
            engine_cases.run_steps(driver, f'r{number}', step)
            driver.ask(f'c{number}', calls.CloseSession('s'))
        page = driver.ask('audit', engine_reports.ReadAudit())
        repeated = [
            violation
            for violation in page.violations
            if violation.kind == 'repeated'
        ]
        self.assertEqual(
            [
                (
                    violation.layer,
                    violation.first,
                    violation.end,
                    violation.count,
                )
                for violation in repeated
            ],
            [(layer, 0, 2, 2) for layer in range(4)],
        )


class SessionCopies(unittest.TestCase):
    """A session continues at another engine that holds the same layers."""

    def export(self, driver):
        """Run a prefill and export its session."""
        step = engine_cases.build_step('s', inputs=PROMPT)
        (got,) = engine_cases.run_steps(driver, 'r0', step)
        driver.ask('export', engine_sessions.ExportSession('s'))
        driver.pass_time(1)
        return got.outputs[0], driver.replies['export']

    def test_import_continues_session(self) -> None:
        """Guard against an imported session that computes other tokens."""
        token, copy = self.export(engine_cases.build_driver())
        other = engine_cases.build_driver()
        other.ask('import', engine_sessions.ImportSession('s', copy))
        other.pass_time(1)
        step = engine_cases.build_step('s', 2, (token,))
        (got,) = engine_cases.run_steps(other, 'r1', step)
        expected = reference_model.compute_answer(
            'affinage', '3', '', 4, PROMPT, 2
        )
        self.assertEqual((token, *got.outputs), expected)
        page = other.ask('audit', engine_reports.ReadAudit())
        self.assertEqual(page.violations, ())

    def test_other_layers(self) -> None:
        """Guard against importing a copy of layers that are not held."""
        _, copy = self.export(engine_cases.build_driver())
        other = engine_cases.build_driver(first_layer=2)
        other.ask('import', engine_sessions.ImportSession('s', copy))
        other.pass_time(1)
        self.assertEqual(other.replies['import'], engine_sessions.COPY_MISMATCH)


class LoadReports(unittest.TestCase):
    """Load reports lag by the configured time."""

    def test_lag(self) -> None:
        """Guard against reports that are newer than the lag."""
        driver = engine_cases.build_driver(load_lag_seconds=2)
        driver.record_effect(
            effects.SetTimer(engine_reports.ReportDue('runner-0'), 0)
        )
        driver.pass_time(3)
        driver.ask('faults', engine.Faults(leaving=True))
        leaving = []
        for number in range(6):
            report = driver.ask(f'load-{number}', calls.ReadLoad())
            leaving.append(report.leaving)
            driver.pass_time(1)
        self.assertEqual(leaving, [False] * 3 + [True] * 3)
