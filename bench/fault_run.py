"""Run a site under load and faults, and check the history.

    PYTHONPATH=src:. python -m bench.fault_run --seed 1 --seconds 30

A seed, which is printed, determines the load and the faults. The exit status is
1 if a check finds a violation.
"""

import dataclasses
import functools
import heapq
import itertools
import json
import random
import sys
import time
import typing
from collections import abc

import fire

from bench import (
    demo,
    fault_plans,
    history_checks,
    processes,
    site_specs,
    sites,
)

POLL_SECONDS = 0.1
IN_FORCE_LIMIT_SECONDS = 9.0
LOAD_MARGIN_SECONDS = 45.0
ADDRESS_VALIDITY_SECONDS = 2


Process = processes.Process
ProcessTable = abc.Mapping[str, Process]


class ProcessSite(typing.Protocol):
    """Define the methods of a site that faults of processes use."""

    @property
    def processes(self) -> ProcessTable:
        """Return all processes by name."""

    def find_process(self, name: str) -> Process:
        """Return a process by its name."""

    def kill(self, name: str) -> None:
        """Kill a process."""

    def freeze(self, name: str) -> None:
        """Suspend a process."""

    def resume(self, name: str) -> None:
        """Resume a suspended process."""


class ProcessDriver:
    """Begin and end faults of the processes of a site.

    `faulted_names` has the processes that were killed, stopped or suspended in
    this run, `frozen_names` those that are suspended now.
    """

    def __init__(self, process_site: ProcessSite) -> None:
        self.process_site = process_site
        self.faulted_names: set[str] = set()
        self.frozen_names: set[str] = set()

    def freeze(self, name: str) -> None:
        """Suspend a process if it runs."""
        if self.process_site.find_process(name).is_running:
            self.frozen_names.add(name)
            self.process_site.freeze(name)

    def resume(self, name: str) -> None:
        """Resume a process if it is suspended."""
        if name in self.frozen_names:
            self.frozen_names.discard(name)
            self.process_site.resume(name)

    def start_if_ended(self, name: str) -> None:
        """Start a process unless it runs."""
        process = self.process_site.find_process(name)
        if not process.is_running:
            process.start()

    def observe_instances(self) -> None:
        """Observe the instances of the site; by default, do nothing."""

    def record_fault(self, fault: fault_plans.Fault) -> None:
        """Record that a fault begins or ends; by default, do nothing."""

    def end_all_faults(self) -> None:
        """Resume suspended processes and restart those that have ended."""
        for name in tuple(self.frozen_names):
            self.resume(name)
        for name in self.process_site.processes:
            self.start_if_ended(name)


class FaultDriver(ProcessDriver):
    """Begin and end faults of a site and observe its instances.

    `promoted_at` maps a document version to the time of its promotion.
    """

    def __init__(self, site: sites.Site) -> None:
        super().__init__(site)
        self.site = site
        self.observations: list[history_checks.Observation] = []
        self.promoted_at: dict[int, float] = {}
        self.promotion_numbers = itertools.count(1)

    def promote(self, count: int) -> None:
        """Append promotions that are all based on the version in force.

        If a call fails, no promotion is recorded.
        """
        text = self.site.spec.read_document()
        try:
            based_on = self.site.read_promotion_state()
            for _ in range(count):
                number = next(self.promotion_numbers)
                changed = f'{text}\n# change {number}\n'
                self.site.publish_based_on(changed, f'op{number}', based_on)
            promoted = self.site.read_promotion_state()
        except (OSError, KeyError, processes.ProcessError):
            return
        self.promoted_at.setdefault(promoted.version, time.monotonic())

    def set_faults(self, name: str, faults: dict[str, typing.Any]) -> None:
        """Set the faults of a stand-in unless it is down or suspended."""
        if (
            name in self.frozen_names
            or not self.site.find_process(name).is_running
        ):
            return
        try:
            self.site.set_faults(name, faults)
        except OSError:
            return

    def observe_instances(self) -> None:
        """Record the document version that each reachable instance reports."""
        for entry in self.site.plan.entries:
            if entry.instance_id in self.frozen_names:
                continue
            try:
                answer = processes.send_request(
                    'GET', entry.address, '/v1/status'
                )
                status = answer.decode_json()['instances'][0]
            except (OSError, ValueError, KeyError):
                continue
            self.observations.append(
                history_checks.Observation(
                    time.monotonic(),
                    status['instance_id'],
                    status['document_version'],
                    status['document_offset'],
                ),
            )


@functools.singledispatch
def begin_fault(fault: fault_plans.Fault, driver: typing.Any) -> None:
    """Begin a fault."""
    raise TypeError(
        f'no handler is registered for fault {type(fault).__name__}'
    )


@functools.singledispatch
def end_fault(fault: fault_plans.Fault, driver: typing.Any) -> None:
    """End a fault; by default there is nothing to end."""


@begin_fault.register(fault_plans.Kill)
def begin_kill(fault: fault_plans.Kill, driver: ProcessDriver) -> None:
    """Kill a process."""
    driver.faulted_names.add(fault.target)
    driver.process_site.kill(fault.target)


@end_fault.register(fault_plans.Kill)
def end_kill(fault: fault_plans.Kill, driver: ProcessDriver) -> None:
    """Restart a killed process."""
    driver.start_if_ended(fault.target)


@begin_fault.register(fault_plans.Freeze)
def begin_freeze(fault: fault_plans.Freeze, driver: ProcessDriver) -> None:
    """Suspend a process."""
    driver.faulted_names.add(fault.target)
    driver.freeze(fault.target)


@end_fault.register(fault_plans.Freeze)
def end_freeze(fault: fault_plans.Freeze, driver: ProcessDriver) -> None:
    """Resume a suspended process."""
    driver.resume(fault.target)


@begin_fault.register(fault_plans.Stop)
def begin_stop(fault: fault_plans.Stop, driver: ProcessDriver) -> None:
    """Stop an instance gracefully."""
    driver.faulted_names.add(fault.target)
    process = driver.process_site.find_process(fault.target)
    if process.is_running and fault.target not in driver.frozen_names:
        process.request_stop()


@end_fault.register(fault_plans.Stop)
def end_stop(fault: fault_plans.Stop, driver: ProcessDriver) -> None:
    """Restart a stopped instance if it has ended."""
    driver.start_if_ended(fault.target)


@begin_fault.register(fault_plans.Disturb)
def begin_disturb(fault: fault_plans.Disturb, driver: FaultDriver) -> None:
    """Activate faults of a stand-in."""
    driver.set_faults(fault.target, dict(fault.faults))


@end_fault.register(fault_plans.Disturb)
def end_disturb(fault: fault_plans.Disturb, driver: FaultDriver) -> None:
    """Clear the faults of a stand-in."""
    driver.set_faults(fault.target, {})


@begin_fault.register(fault_plans.Promote)
def begin_promote(fault: fault_plans.Promote, driver: FaultDriver) -> None:
    """Promote one document, or several in competition."""
    driver.promote(fault.count)


def apply_change(
    change: abc.Callable[[fault_plans.Fault, typing.Any], None],
    fault: fault_plans.Fault,
    driver: ProcessDriver,
) -> None:
    """Record a fault and begin or end it."""
    driver.record_fault(fault)
    change(fault, driver)


def run_plan(
    driver: ProcessDriver,
    plan: tuple[fault_plans.PlannedFault, ...],
    load: processes.Process,
    seconds: float,
) -> None:
    """Begin and end the planned faults while the load runs.

    After `seconds`, all faults end. Then wait for the load to end, or raise
    `ProcessError` if it does not.
    """
    started = time.monotonic()
    tie_breakers = itertools.count()
    due: list[tuple[float, int, abc.Callable[[], None]]] = []
    for planned in plan:
        ends_at = planned.at + planned.seconds
        for at, change in ((planned.at, begin_fault), (ends_at, end_fault)):
            step: abc.Callable[[], None] = functools.partial(
                apply_change,
                change,
                planned.fault,
                driver,
            )
            heapq.heappush(due, (at, next(tie_breakers), step))
    while time.monotonic() - started < seconds:
        while due and due[0][0] <= time.monotonic() - started:
            heapq.heappop(due)[2]()
        driver.observe_instances()
        time.sleep(POLL_SECONDS)
    for _, _, step in sorted(due, key=lambda entry: entry[:2]):
        step()
    driver.end_all_faults()
    load.wait(LOAD_MARGIN_SECONDS)


def read_executions(site: sites.Site) -> dict[str, int]:
    """Return how often each key was executed by all action runners."""
    total: dict[str, int] = {}
    for member in site.plan.action_runners:
        answer = processes.send_request('GET', member.address, '/ledger')
        for key, count in answer.decode_json()['by_key'].items():
            total[key] = total.get(key, 0) + count
    return total


def read_step_violations(site: sites.Site) -> tuple[str, ...]:
    """Return the repeated and misordered steps that the engines report.

    Engines without an audit are left out.
    """
    violations: list[str] = []
    for member in site.plan.runners:
        answer = processes.send_request('GET', member.address, '/audit')
        if answer.status == 200:
            page = answer.decode_json()
            violations.extend(str(step) for step in page.get('repeated', ()))
            violations.extend(
                str(step) for step in page.get('out_of_order', ())
            )
    return tuple(violations)


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Hold the violations of a run and the verdicts on its requests."""

    violations: tuple[history_checks.Violation, ...]
    verdicts: abc.Mapping[str, typing.Any]
    fault_count: int
    observation_count: int


def run(
    seed: int,
    seconds: float,
    kinds: tuple[str, ...] = tuple(fault_plans.KINDS),
    rate: float = 15,
    period_seconds: float = 2.0,
) -> RunResult:
    """Run a site under load and faults and return the result.

    `rate` is in requests per second. A fault begins about every
    `period_seconds`. Raises `ProcessError` if the site does not start.
    """
    spec = site_specs.SiteSpec(
        entries=4,
        runners=9,
        seed=seed,
        entry_arguments=(
            f'--address-validity-seconds={ADDRESS_VALIDITY_SECONDS}',
        ),
    )
    with sites.Site(spec) as site:
        driver = FaultDriver(site)
        targets = fault_plans.FaultTargets(
            tuple(entry.instance_id for entry in site.plan.entries),
            tuple(runner.instance_id for runner in site.plan.runners),
            tuple(runner.instance_id for runner in site.plan.action_runners),
        )
        plan = fault_plans.draw_plan(
            seed,
            seconds,
            targets,
            kinds,
            period_seconds,
        )
        load = demo.build_load_process(site, seconds, rate, seed)
        load.start()
        try:
            run_plan(driver, plan, load, seconds)
        finally:
            load.kill()
        driver.observe_instances()
        return check_run(driver, plan)


def check_run(
    driver: FaultDriver,
    plan: tuple[fault_plans.PlannedFault, ...],
) -> RunResult:
    """Check the recorded history, the ledgers, audits and observations."""
    directory = driver.site.directory
    with (directory / 'history.jsonl').open() as history:
        lines = tuple(json.loads(line) for line in history)
    evidence = history_checks.Evidence(
        lines=lines,
        executions_by_key=read_executions(driver.site),
        step_violations=read_step_violations(driver.site),
        observations=tuple(driver.observations),
    )
    late_promotions = history_checks.check_in_force(
        evidence,
        IN_FORCE_LIMIT_SECONDS,
        driver.promoted_at,
        driver.faulted_names,
    )
    summary = json.loads((directory / 'summary.json').read_text())
    return RunResult(
        history_checks.check(evidence) + late_promotions,
        summary['verdicts'],
        len(plan),
        len(driver.observations),
    )


def main(
    seed: int = 0,
    seconds: float = 30,
    runs: int = 1,
    kinds: str = '',
    rate: float = 15,
) -> None:
    """Run one or more seeds in sequence; seed 0 draws the first at random."""
    first_seed = seed or random.SystemRandom().randrange(1, 1_000_000)
    chosen_kinds = (
        tuple(kinds.split('+')) if kinds else tuple(fault_plans.KINDS)
    )
    violation_count = 0
    for number in range(first_seed, first_seed + runs):
        result = run(number, seconds, chosen_kinds, rate)
        print(
            f'seed {number}: {result.fault_count} faults,'
            f' {result.observation_count} observations,'
            f' {dict(result.verdicts)},'
            f' {len(result.violations)} violations',
            flush=True,
        )
        for violation in result.violations:
            print(f'  {violation}')
        violation_count += len(result.violations)
    sys.exit(int(bool(violation_count)))


if __name__ == '__main__':
    fire.Fire(main)
