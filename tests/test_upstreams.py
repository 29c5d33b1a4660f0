"""Test the tracking, ejection and polling of upstreams."""

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
    routing,
    state,
    step_latency,
    timer_base,
    timers,
    upstreams,
)
from tests import builders

STEP = calls.Step('entry-1.1', 'affinage', '3', '', 4, ('w1',))


def reduce_runner_list(count: int, at: float = 1) -> state.State:
    """Return the state after a list with `count` runners."""
    rows = tuple(builders.build_row(number) for number in range(count))
    return reduce_list(rows, builders.build_state(), at)


def reduce_list(
    rows: tuple[calls.ListedInstance, ...],
    current: state.State,
    at: float = 1,
) -> state.State:
    """Return the state after a list with the rows."""
    answered = events.CallAnswered(
        at=at,
        call=calls.ListInstances(),
        address='a:4',
        answer=calls.InstancesListed(rows),
    )
    return handlers.reduce(answered, current).state


def reduce_report(
    number: int,
    current: state.State,
    at: float,
    instance_id: str = '',
    **changes: object,
) -> state.State:
    """Return the state after a load report of one runner."""
    row = builders.build_row(number)
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
        duration_seconds=0.001,
    )
    return handlers.reduce(answered, current).state


def reduce_reports(count: int, current: state.State, at: float) -> state.State:
    """Return the state after a load report of each runner."""
    for number in range(count):
        current = reduce_report(number, current, at)
    return current


def reduce_load_failure(
    number: int, current: state.State, at: float
) -> state.State:
    """Return the state after a refused load request."""
    failed = events.CallFailed(
        at=at,
        call=calls.ReadLoad(),
        address=builders.build_row(number).address,
        failure=events.Failure(events.FailureKind.REFUSED, was_sent=False),
    )
    return handlers.reduce(failed, current).state


def reduce_timer(
    timer: timer_base.Timer, current: state.State, at: float
) -> state.State:
    """Return the state after the expiry of a timer."""
    return handlers.reduce(
        events.TimerFired(at=at, timer=timer),
        current,
    ).state


def find_runner(number: int, current: state.State) -> upstreams.Upstream:
    """Return one runner."""
    return current.upstreams.by_id[f'runner-{number}']


def find_indexed_ids(current: state.State) -> set[str]:
    """Return the ids of the runners that get new work."""
    return {
        instance_id
        for ranges in current.upstreams.placement_index.values()
        for layer_range in ranges
        for instance_id in layer_range.instance_ids
    }


class Ejection(unittest.TestCase):
    """A failing runner gets no work for a growing period."""

    def test_failing_runner_gets_no_work(self) -> None:
        """Guard against sending work to a runner that refuses connections."""
        current = reduce_reports(6, reduce_runner_list(6), 1)
        current = reduce_load_failure(2, current, 2)
        self.assertNotIn('runner-2', find_indexed_ids(current))

    def test_back_off_doubles_up_to_a_limit(self) -> None:
        """Guard against retrying a crashed runner every few seconds."""
        current = reduce_reports(6, reduce_runner_list(6), 1)
        current = reduce_load_failure(2, current, 2)
        lengths = []
        for _ in range(7):
            ejected = find_runner(2, current)
            lengths.append(ejected.ejected_until - ejected.ejected_at)
            current = reduce_timer(
                timers.EjectionExpiry('runner-2'),
                current,
                ejected.ejected_until,
            )
        self.assertEqual(lengths, [5, 10, 20, 40, 80, 80, 80])

    def test_several_lost_calls_are_one_failure(self) -> None:
        """Guard against a back-off that grows with every call in flight."""
        current = reduce_reports(6, reduce_runner_list(6), 1)
        for _ in range(5):
            current = reduce_load_failure(2, current, 2)
        self.assertEqual(find_runner(2, current).ejection_count, 1)

    def test_runner_that_reports_again_returns_slowly(self) -> None:
        """Guard against full load on a runner that has just come back."""
        current = reduce_reports(6, reduce_runner_list(6), 1)
        current = reduce_report(2, reduce_load_failure(2, current, 2), 4)
        current = reduce_timer(timers.EjectionExpiry('runner-2'), current, 7)
        self.assertIn('runner-2', find_indexed_ids(current))
        share = routing.compute_slow_start_share(
            find_runner(2, current).candidate, 7
        )
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
        """Guard against false alarms that leave no usable runner."""
        current = reduce_reports(count, reduce_runner_list(count), 1)
        for at, (number, is_expired) in enumerate(failures, 2):
            if is_expired:
                timer = timers.EjectionExpiry(f'runner-{number}')
                current = reduce_timer(timer, current, at)
            else:
                current = reduce_load_failure(number, current, at)
            ejected = count - len(find_indexed_ids(current))
            self.assertLessEqual(3 * ejected, count)

    def test_failure_beyond_the_cap_leaves_little_work(self) -> None:
        """Guard against full load on a failing runner of a small pool."""
        current = reduce_reports(3, reduce_runner_list(3), 1)
        for number in range(3):
            current = reduce_load_failure(number, current, 50)
        shares = {
            routing.compute_slow_start_share(
                find_runner(number, current).candidate, 50
            )
            for number in (1, 2)
        }
        self.assertEqual(shares, {routing.SLOW_START_SHARE})


class LeavingMarks(unittest.TestCase):
    """Any leaving mark stops new work immediately."""

    def test_load_report_marks(self) -> None:
        """Guard against work for a runner that reports that it is leaving."""
        current = reduce_report(
            1, reduce_reports(3, reduce_runner_list(3), 1), 2, leaving=True
        )
        self.assertNotIn('runner-1', find_indexed_ids(current))

    def test_list_marks(self) -> None:
        """Guard against work for a runner that the list shows as leaving."""
        current = reduce_reports(3, reduce_runner_list(3), 1)
        rows = tuple(builders.build_row(number) for number in range(3))
        leaving = dataclasses.replace(
            rows[1],
            state=calls.ListedState.LEAVING,
        )
        current = reduce_list((rows[0], leaving, rows[2]), current, 2)
        self.assertNotIn('runner-1', find_indexed_ids(current))

    def test_refused_steps_mark(self) -> None:
        """Guard against work for a runner whose 503 says that it is leaving."""
        current = reduce_reports(3, reduce_runner_list(3), 1)
        answered = events.CallAnswered(
            at=2,
            call=calls.RunSteps((STEP,)),
            address=builders.build_row(1).address,
            answer=calls.StepsRefused(503, is_leaving=True),
        )
        current = handlers.reduce(answered, current).state
        self.assertNotIn('runner-1', find_indexed_ids(current))

    def test_mark_spreads_by_heartbeat(self) -> None:
        """Guard against a mark that is not shared with other instances."""
        origin = reduce_report(
            1, reduce_reports(3, reduce_runner_list(3), 1), 2, leaving=True
        )
        other = reduce_reports(3, reduce_runner_list(3), 1)
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
        self.assertNotIn('runner-1', find_indexed_ids(other))
        relayed = membership.build_heartbeat(other)
        self.assertEqual(relayed.leaving_upstreams, ('runner-1',))

    def test_unknown_runner_is_ignored(self) -> None:
        """Guard against marks of runners that no longer exist."""
        current = upstreams.mark_leaving_ids(('gone',), reduce_runner_list(2))
        self.assertNotIn('gone', current.upstreams.by_id)


class ProcessRestart(unittest.TestCase):
    """A runner may restart at its address with another id."""

    def test_new_process_takes_over_before_the_list_shows_it(self) -> None:
        """Guard against using sessions of a process that has ended."""
        current = reduce_reports(3, reduce_runner_list(3), 1)
        current = reduce_report(1, current, 2, instance_id='runner-1b')
        self.assertEqual(
            find_indexed_ids(current),
            {'runner-0', 'runner-1b', 'runner-2'},
        )
        address = builders.build_row(1).address
        self.assertEqual(current.upstreams.id_by_address[address], 'runner-1b')

    def test_new_process_stays_while_the_list_lags(self) -> None:
        """Guard against a stale list that overrides a load report."""
        current = reduce_reports(3, reduce_runner_list(3), 1)
        current = reduce_report(1, current, 2, instance_id='runner-1b')
        rows = tuple(builders.build_row(number) for number in range(3))
        current = reduce_list(rows, current, 3)
        self.assertIn('runner-1b', find_indexed_ids(current))
        new = dataclasses.replace(rows[1], instance_id='runner-1b')
        current = reduce_list((rows[0], new, rows[2]), current, 4)
        self.assertEqual(
            find_indexed_ids(current),
            {'runner-0', 'runner-1b', 'runner-2'},
        )
        self.assertNotIn('runner-1', current.upstreams.by_id)

    def test_list_that_shows_the_new_process_first(self) -> None:
        """Guard against an address that still maps to the old process."""
        current = reduce_reports(3, reduce_runner_list(3), 1)
        rows = tuple(builders.build_row(number) for number in range(3))
        new = dataclasses.replace(rows[1], instance_id='runner-1b')
        current = reduce_list((rows[0], new, rows[2]), current, 2)
        current = reduce_report(1, current, 3, instance_id='runner-1b')
        self.assertEqual(
            find_indexed_ids(current),
            {'runner-0', 'runner-1b', 'runner-2'},
        )


class StepTimeout(unittest.TestCase):
    """Timeouts are short, but long enough for a busy runner."""

    def compute_timeout(
        self,
        latency: step_latency.StepLatency,
        inputs: int,
        step_seconds: float = 0.004,
    ) -> float:
        """Return the timeout of one step."""
        step = dataclasses.replace(STEP, inputs=('w',) * inputs)
        candidate = routing.Candidate('runner', step_seconds=step_seconds)
        return step_latency.compute_timeout_seconds(
            calls.RunSteps((step,)),
            latency,
            candidate,
        )

    def test_fast_runner_has_short_timeout(self) -> None:
        """Guard against waiting seconds for a frozen runner."""
        latency = step_latency.StepLatency(0.005, 0.001, 100)
        self.assertLess(self.compute_timeout(latency, 1), 0.5)

    def test_prefill_gets_its_time(self) -> None:
        """Guard against a timeout during the prefill of a long prompt."""
        latency = step_latency.StepLatency(0.005, 0.001, 100)
        prefill = 20_000 / routing.INPUTS_PER_ITERATION * 0.004
        self.assertGreater(self.compute_timeout(latency, 20_000), 2 * prefill)

    def test_slow_calls_lengthen_the_timeout(self) -> None:
        """Guard against timeouts that aggravate an overload."""
        latency = step_latency.StepLatency()
        for _ in range(50):
            latency = step_latency.add_sample(latency, 0.5)
        self.assertGreater(self.compute_timeout(latency, 1), 1.5)

    def test_unknown_runner_has_the_longest_timeout(self) -> None:
        """Guard against a short timeout for a runner without a report."""
        self.assertEqual(
            self.compute_timeout(step_latency.StepLatency(), 1, step_seconds=0),
            step_latency.LONGEST_TIMEOUT_SECONDS,
        )


class Outliers(unittest.TestCase):
    """A runner that is far slower than comparable ones is ejected."""

    def run_steps(
        self,
        current: state.State,
        slow_seconds: float,
    ) -> state.State:
        """Return the state after 30 calls to each of six runners."""
        for number in range(6):
            seconds = slow_seconds if number == 4 else 0.005
            for _ in range(30):
                current = upstreams.add_latency_sample(
                    builders.build_row(number).address,
                    calls.RunSteps((STEP,)),
                    seconds,
                    current,
                )
        return current

    def test_slow_runner_is_ejected_at_its_next_report(self) -> None:
        """Guard against answers that wait for a degraded link."""
        current = reduce_reports(6, reduce_runner_list(6), 1)
        current = self.run_steps(current, 0.1)
        current = reduce_reports(6, current, 2)
        self.assertEqual(
            find_indexed_ids(current),
            {f'runner-{number}' for number in (0, 1, 2, 3, 5)},
        )

    def test_usual_spread_is_no_outlier(self) -> None:
        """Guard against ejecting a runner that is slightly slower."""
        current = reduce_reports(6, reduce_runner_list(6), 1)
        current = self.run_steps(current, 0.012)
        current = reduce_reports(6, current, 2)
        self.assertEqual(len(find_indexed_ids(current)), 6)


class LoadPolling(unittest.TestCase):
    """Only upstreams that this instance uses are polled."""

    def test_upstream_outside_of_the_subset_is_not_polled(self) -> None:
        """Guard against each of 410 instances polling all 3,400 runners."""
        entries = tuple(
            calls.ListedInstance(
                f'entry-{number}',
                membership.ENTRY_POOL,
                f'10.1.0.{number}:80',
                'zone-0',
            )
            for number in range(60)
        )
        runners = tuple(builders.build_row(number) for number in range(100))
        current = reduce_list((*entries, *runners), builders.build_state())
        unused = next(
            upstream
            for upstream in current.upstreams.by_id.values()
            if not upstream.is_polled
        )
        timer = timers.LoadReportDue(unused.listed.instance_id)
        transition = handlers.reduce(
            events.TimerFired(at=2, timer=timer),
            current,
        )
        self.assertEqual(transition.effects, ())

    def test_next_poll_is_scheduled(self) -> None:
        """Guard against a runner that is polled only once."""
        effect = load_reports.schedule_poll('runner-0', reduce_runner_list(3))
        self.assertEqual(
            effect,
            effects.SetTimer(timers.LoadReportDue('runner-0'), 1),
        )


class PeerMessages(unittest.TestCase):
    """The leaving marks in a heartbeat are bounded."""

    def test_marks_in_a_heartbeat_are_bounded(self) -> None:
        """Guard against a heartbeat that grows with the number of marks."""
        count = 60
        current = reduce_reports(count, reduce_runner_list(count), 1)
        for number in range(count):
            current = reduce_report(number, current, 2, leaving=True)
        heartbeat = membership.build_heartbeat(current)
        self.assertIsInstance(heartbeat, messages.Heartbeat)
        self.assertLessEqual(
            len(heartbeat.leaving_upstreams),
            membership.MAXIMUM_REPORTED_LEAVING,
        )
