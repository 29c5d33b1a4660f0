"""Guard what is known of upstreams and how it is acted on."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from mustardvale.internal import (
    calls,
    effects,
    events,
    handlers,
    load_reports,
    membership,
    messages,
    paces,
    routing,
    state,
    timers,
    upstreams,
)
from tests import building

STEP = calls.Step('entry-1.1', 'affinage', '3', '', 4, ('w1',))


def list_runners(count: int, at: float = 1) -> state.State:
    """Return the state after a list of `count` runners."""
    rows = tuple(building.build_row(number) for number in range(count))
    return list_rows(rows, building.build_state(), at)


def list_rows(
    rows: tuple[calls.ListedInstance, ...],
    current: state.State,
    at: float = 1,
) -> state.State:
    """Return the state after a list of these rows."""
    answered = events.CallAnswered(
        at=at,
        call=calls.ListInstances(),
        address='a:4',
        answer=calls.InstancesListed(rows),
    )
    return handlers.reduce(answered, current).state


def report(
    number: int,
    current: state.State,
    at: float,
    instance_id: str = '',
    **changes: object,
) -> state.State:
    """Return the state after a load report of one runner."""
    row = building.build_row(number)
    answer = calls.LoadReport(
        instance_id or row.instance_id,
        'standard',
        'affinage',
        '3',
        first_layer=0,
        end_layer=12,
        step_seconds=0.004,
    )
    answered = events.CallAnswered(
        at=at,
        call=calls.ReadLoad(),
        address=row.address,
        answer=dataclasses.replace(answer, **changes),  # type: ignore[arg-type]
        seconds=0.001,
    )
    return handlers.reduce(answered, current).state


def report_all(count: int, current: state.State, at: float) -> state.State:
    """Return the state after a load report of each runner."""
    for number in range(count):
        current = report(number, current, at)
    return current


def fail_load(number: int, current: state.State, at: float) -> state.State:
    """Return the state after a load question that was refused."""
    failed = events.CallFailed(
        at=at,
        call=calls.ReadLoad(),
        address=building.build_row(number).address,
        failure=events.Failure(events.FailureKind.REFUSED, was_sent=False),
    )
    return handlers.reduce(failed, current).state


def fire(timer: timers.Timer, current: state.State, at: float) -> state.State:
    """Return the state after a timer."""
    return handlers.reduce(
        events.TimerFired(at=at, timer=timer),
        current,
    ).state


def find(number: int, current: state.State) -> upstreams.Upstream:
    """Return one runner."""
    return current.upstreams.by_id[f'runner-{number}']


def indexed(current: state.State) -> set[str]:
    """Return the ids of the runners that get new work."""
    return {
        member
        for ranges in current.upstreams.index.values()
        for one in ranges
        for member in one.ids
    }


class Ejection(unittest.TestCase):
    """A failing runner gets no work for a time that grows."""

    def test_failing_runner_gets_no_work(self) -> None:
        """Guard against new work for a runner that refuses connections."""
        current = report_all(6, list_runners(6), 1)
        current = fail_load(2, current, 2)
        self.assertNotIn('runner-2', indexed(current))

    def test_back_off_doubles_up_to_a_limit(self) -> None:
        """Guard against a dead runner that is tried every few seconds."""
        current = report_all(6, list_runners(6), 1)
        current = fail_load(2, current, 2)
        lengths = []
        for _ in range(7):
            ejected = find(2, current)
            lengths.append(ejected.ejected_until - ejected.ejected_at)
            current = fire(
                timers.EjectionExpiry('runner-2'),
                current,
                ejected.ejected_until,
            )
        self.assertEqual(lengths, [5, 10, 20, 40, 80, 80, 80])

    def test_several_lost_calls_are_one_failure(self) -> None:
        """Guard against a back-off that grows with the calls in flight."""
        current = report_all(6, list_runners(6), 1)
        for _ in range(5):
            current = fail_load(2, current, 2)
        self.assertEqual(find(2, current).ejections, 1)

    def test_runner_that_reports_again_returns_slowly(self) -> None:
        """Guard against full load on a runner that has just come back."""
        current = report_all(6, list_runners(6), 1)
        current = report(2, fail_load(2, current, 2), 4)
        current = fire(timers.EjectionExpiry('runner-2'), current, 7)
        self.assertIn('runner-2', indexed(current))
        share = routing.share_of(find(2, current).candidate, 7)
        self.assertEqual(share, routing.SLOW_START_SHARE)

    @hypothesis.given(
        count=strategies.integers(1, 20),
        failures=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 19),
                strategies.booleans(),
            ),
            max_size=60,
        ),
    )
    def test_at_most_a_third_of_a_pool_is_ejected(
        self,
        count: int,
        failures: list[tuple[int, bool]],
    ) -> None:
        """Guard against false evidence that leaves no runner."""
        current = report_all(count, list_runners(count), 1)
        for at, (number, over) in enumerate(failures, 2):
            if over:
                timer = timers.EjectionExpiry(f'runner-{number}')
                current = fire(timer, current, at)
            else:
                current = fail_load(number, current, at)
            ejected = count - len(indexed(current))
            self.assertLessEqual(3 * ejected, count)

    def test_failure_beyond_the_cap_leaves_little_work(self) -> None:
        """Guard against full load on a failing runner of a small pool."""
        current = report_all(3, list_runners(3), 1)
        for number in range(3):
            current = fail_load(number, current, 50)
        shares = {
            routing.share_of(find(number, current).candidate, 50)
            for number in (1, 2)
        }
        self.assertEqual(shares, {routing.SLOW_START_SHARE})


class LeavingMarks(unittest.TestCase):
    """Any source of a leaving mark stops new work at once."""

    def test_load_report_marks(self) -> None:
        """Guard against work for a runner that reports that it leaves."""
        current = report(1, report_all(3, list_runners(3), 1), 2, leaving=True)
        self.assertNotIn('runner-1', indexed(current))

    def test_list_marks(self) -> None:
        """Guard against work for a runner that the list shows as leaving."""
        current = report_all(3, list_runners(3), 1)
        rows = tuple(building.build_row(number) for number in range(3))
        leaving = dataclasses.replace(
            rows[1],
            state=calls.ListedState.LEAVING,
        )
        current = list_rows((rows[0], leaving, rows[2]), current, 2)
        self.assertNotIn('runner-1', indexed(current))

    def test_refused_steps_mark(self) -> None:
        """Guard against work for a runner whose 503 says that it leaves."""
        current = report_all(3, list_runners(3), 1)
        answered = events.CallAnswered(
            at=2,
            call=calls.RunSteps((STEP,)),
            address=building.build_row(1).address,
            answer=calls.StepsRefused(503, leaving=True),
        )
        current = handlers.reduce(answered, current).state
        self.assertNotIn('runner-1', indexed(current))

    def test_mark_spreads_by_heartbeat(self) -> None:
        """Guard against a mark that only the instance that saw it knows."""
        origin = report(1, report_all(3, list_runners(3), 1), 2, leaving=True)
        other = report_all(3, list_runners(3), 1)
        heartbeat = membership.build_heartbeat(
            dataclasses.replace(
                origin,
                identity=dataclasses.replace(
                    origin.identity,
                    instance_id='entry-1',
                ),
            ),
        )
        self.assertEqual(heartbeat.leaving_upstreams, ('runner-1',))
        received = events.PeerMessageReceived(
            at=3,
            sender='a:9',
            message=heartbeat,
        )
        other = handlers.reduce(received, other).state
        self.assertNotIn('runner-1', indexed(other))
        relayed = membership.build_heartbeat(other)
        self.assertEqual(relayed.leaving_upstreams, ('runner-1',))

    def test_unknown_runner_is_ignored(self) -> None:
        """Guard against marks that stay for runners long gone."""
        current = upstreams.mark_leaving_ids(('gone',), list_runners(2))
        self.assertNotIn('gone', current.upstreams.by_id)


class ProcessRestart(unittest.TestCase):
    """A runner may start again at its address with another id."""

    def test_new_process_takes_over_before_the_list_shows_it(self) -> None:
        """Guard against sessions of a process that is gone."""
        current = report_all(3, list_runners(3), 1)
        current = report(1, current, 2, instance_id='runner-1b')
        self.assertEqual(
            indexed(current),
            {'runner-0', 'runner-1b', 'runner-2'},
        )
        address = building.build_row(1).address
        self.assertEqual(current.upstreams.ids[address], 'runner-1b')

    def test_new_process_stays_while_the_list_lags(self) -> None:
        """Guard against a list that undoes what a runner itself reported."""
        current = report_all(3, list_runners(3), 1)
        current = report(1, current, 2, instance_id='runner-1b')
        rows = tuple(building.build_row(number) for number in range(3))
        current = list_rows(rows, current, 3)
        self.assertIn('runner-1b', indexed(current))
        new = dataclasses.replace(rows[1], instance_id='runner-1b')
        current = list_rows((rows[0], new, rows[2]), current, 4)
        self.assertEqual(
            indexed(current),
            {'runner-0', 'runner-1b', 'runner-2'},
        )
        self.assertNotIn('runner-1', current.upstreams.by_id)

    def test_list_that_shows_the_new_process_first(self) -> None:
        """Guard against an address that still leads to the old process."""
        current = report_all(3, list_runners(3), 1)
        rows = tuple(building.build_row(number) for number in range(3))
        new = dataclasses.replace(rows[1], instance_id='runner-1b')
        current = list_rows((rows[0], new, rows[2]), current, 2)
        current = report(1, current, 3, instance_id='runner-1b')
        self.assertEqual(
            indexed(current),
            {'runner-0', 'runner-1b', 'runner-2'},
        )


class StepTimeout(unittest.TestCase):
    """A frozen runner is noticed soon, a busy one is not taken for frozen."""

    def timeout(
        self,
        pace: paces.Pace,
        inputs: int,
        step_seconds: float = 0.004,
    ) -> float:
        """Return the timeout of one step."""
        step = dataclasses.replace(STEP, inputs=('w',) * inputs)
        candidate = routing.Candidate('runner', step_seconds=step_seconds)
        return paces.timeout_seconds(
            calls.RunSteps((step,)),
            pace,
            candidate,
        )

    def test_fast_runner_has_short_timeout(self) -> None:
        """Guard against seconds of waiting for a runner that is frozen."""
        pace = paces.Pace(0.005, 0.001, 100)
        self.assertLess(self.timeout(pace, 1), 0.5)

    def test_prefill_gets_its_time(self) -> None:
        """Guard against a long prompt that is taken for a failure."""
        pace = paces.Pace(0.005, 0.001, 100)
        prefill = 20_000 / routing.INPUTS_PER_STEP_TIME * 0.004
        self.assertGreater(self.timeout(pace, 20_000), 2 * prefill)

    def test_slow_calls_lengthen_the_timeout(self) -> None:
        """Guard against timeouts that make an overload worse."""
        pace = paces.Pace()
        for _ in range(50):
            pace = paces.add_sample(pace, 0.5)
        self.assertGreater(self.timeout(pace, 1), 1.5)

    def test_unknown_runner_has_the_longest_timeout(self) -> None:
        """Guard against a guess about a runner without a report."""
        self.assertEqual(
            self.timeout(paces.Pace(), 1, step_seconds=0),
            paces.LONGEST_TIMEOUT_SECONDS,
        )


class Outliers(unittest.TestCase):
    """A runner that is far slower than those like it is avoided."""

    def run_steps(
        self,
        current: state.State,
        slow_seconds: float,
    ) -> state.State:
        """Return the state after 30 calls to each of six runners."""
        for number in range(6):
            seconds = slow_seconds if number == 4 else 0.005
            for _ in range(30):
                current = upstreams.add_pace(
                    building.build_row(number).address,
                    calls.RunSteps((STEP,)),
                    seconds,
                    current,
                )
        return current

    def test_slow_runner_is_ejected_at_its_next_report(self) -> None:
        """Guard against answers that wait for a degraded link."""
        current = report_all(6, list_runners(6), 1)
        current = self.run_steps(current, 0.1)
        current = report_all(6, current, 2)
        self.assertEqual(
            indexed(current),
            {f'runner-{number}' for number in (0, 1, 2, 3, 5)},
        )

    def test_usual_spread_is_no_outlier(self) -> None:
        """Guard against the ejection of a runner that is a little slower."""
        current = report_all(6, list_runners(6), 1)
        current = self.run_steps(current, 0.012)
        current = report_all(6, current, 2)
        self.assertEqual(len(indexed(current)), 6)


class LoadQuestions(unittest.TestCase):
    """Only upstreams that this instance uses are asked for their load."""

    def test_upstream_outside_of_the_subset_is_not_asked(self) -> None:
        """Guard against 3,400 questions from each of 410 instances."""
        entries = tuple(
            calls.ListedInstance(
                f'entry-{number}',
                membership.ENTRY_POOL,
                f'10.1.0.{number}:80',
                'zone-0',
            )
            for number in range(60)
        )
        runners = tuple(building.build_row(number) for number in range(100))
        current = list_rows((*entries, *runners), building.build_state())
        unused = next(
            one for one in current.upstreams.by_id.values() if not one.polled
        )
        timer = timers.LoadReportDue(unused.listed.instance_id)
        transition = handlers.reduce(
            events.TimerFired(at=2, timer=timer),
            current,
        )
        self.assertEqual(transition.effects, ())

    def test_report_asks_again(self) -> None:
        """Guard against a runner whose load is asked only once."""
        effect = load_reports.ask_again('runner-0', list_runners(3))
        self.assertEqual(
            effect,
            effects.SetTimer(timers.LoadReportDue('runner-0'), 1),
        )


class PeerMessages(unittest.TestCase):
    """News of upstreams in a heartbeat is bounded."""

    def test_marks_in_a_heartbeat_are_bounded(self) -> None:
        """Guard against a heartbeat that grows with a large departure."""
        count = 60
        current = report_all(count, list_runners(count), 1)
        for number in range(count):
            current = report(number, current, 2, leaving=True)
        heartbeat = membership.build_heartbeat(current)
        self.assertIsInstance(heartbeat, messages.Heartbeat)
        self.assertLessEqual(
            len(heartbeat.leaving_upstreams),
            membership.MAXIMUM_REPORTED_LEAVING,
        )
