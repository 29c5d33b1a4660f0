"""Run a site under load and faults, and check the history.

    PYTHONPATH=src:. python -m bench.fault_run --seed 1 --seconds 30

The seed is printed; the same seed draws the same load and faults again. The
exit code is 1 if a promise was broken.
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
    """Name what faults of processes need of a site."""

    @property
    def processes(self) -> ProcessTable:
        """Return all processes by name."""

    def process_of(self, name: str) -> Process:
        """Return a process by its name."""

    def kill(self, name: str) -> None:
        """End a process without notice."""

    def freeze(self, name: str) -> None:
        """Pause a process."""

    def resume(self, name: str) -> None:
        """Let a paused process go on."""


class ProcessDriver:
    """Begin and end faults of the processes of a site."""

    def __init__(self, process_site: ProcessSite) -> None:
        self.process_site = process_site
        self.faulted_names: set[str] = set()
        self.frozen_names: set[str] = set()

    def freeze(self, name: str) -> None:
        """Pause a process that runs."""
        if self.process_site.process_of(name).is_running:
            self.frozen_names.add(name)
            self.process_site.freeze(name)

    def resume(self, name: str) -> None:
        """Resume a process that was paused."""
        if name in self.frozen_names:
            self.frozen_names.discard(name)
            self.process_site.resume(name)

    def start_if_ended(self, name: str) -> None:
        """Start a process unless it still runs."""
        process = self.process_site.process_of(name)
        if not process.is_running:
            process.start()

    def observe_instances(self) -> None:
        """Look at the site between faults."""

    def record_fault(self, fault: fault_plans.Fault) -> None:
        """Note that a fault begins or ends now."""

    def end_all_faults(self) -> None:
        """End everything that is still disturbed."""
        for name in tuple(self.frozen_names):
            self.resume(name)
        for name in self.process_site.processes:
            self.start_if_ended(name)


class FaultDriver(ProcessDriver):
    """Begin and end faults of a site and observe its instances."""

    def __init__(self, site: sites.Site) -> None:
        super().__init__(site)
        self.site = site
        self.observations: list[history_checks.Observation] = []
        self.promoted_at: dict[int, float] = {}
        self.promotions = itertools.count(1)

    def promote(self, count: int) -> None:
        """Append promotions that are all based on the version in force."""
        text = self.site.spec.read_document()
        try:
            based_on = self.site.read_promotion_state()
            for _ in range(count):
                number = next(self.promotions)
                changed = f'{text}\n# change {number}\n'
                self.site.publish_based_on(changed, f'op{number}', based_on)
            promoted = self.site.read_promotion_state()
        except (OSError, KeyError, processes.ProcessError):
            return
        self.promoted_at.setdefault(promoted.version, time.monotonic())

    def set_faults(self, name: str, faults: dict[str, typing.Any]) -> None:
        """Set the faults of a stand-in, which may be killed or paused."""
        if (
            name in self.frozen_names
            or not self.site.process_of(name).is_running
        ):
            return
        try:
            self.site.set_faults(name, faults)
        except OSError:
            return

    def observe_instances(self) -> None:
        """Note the document version that each reachable instance states."""
        for entry in self.site.plan.entries:
            if entry.instance_id in self.frozen_names:
                continue
            try:
                answer = processes.send_request(
                    'GET', entry.address, '/v1/status'
                )
                own = answer.decode_json()['instances'][0]
            except (OSError, ValueError, KeyError):
                continue
            self.observations.append(
                history_checks.Observation(
                    time.monotonic(),
                    own['instance_id'],
                    own['document_version'],
                    own['document_offset'],
                ),
            )


@functools.singledispatch
def begin_fault(fault: fault_plans.Fault, driver: typing.Any) -> None:
    """Begin a fault."""
    raise TypeError(type(fault).__name__)


@functools.singledispatch
def end_fault(fault: fault_plans.Fault, driver: typing.Any) -> None:
    """End a fault; some end by themselves."""


@begin_fault.register(fault_plans.Kill)
def begin_kill(fault: fault_plans.Kill, driver: ProcessDriver) -> None:
    """Kill a process."""
    driver.faulted_names.add(fault.target)
    driver.process_site.kill(fault.target)


@end_fault.register(fault_plans.Kill)
def end_kill(fault: fault_plans.Kill, driver: ProcessDriver) -> None:
    """Start a killed process again."""
    driver.start_if_ended(fault.target)


@begin_fault.register(fault_plans.Freeze)
def begin_freeze(fault: fault_plans.Freeze, driver: ProcessDriver) -> None:
    """Pause a process."""
    driver.faulted_names.add(fault.target)
    driver.freeze(fault.target)


@end_fault.register(fault_plans.Freeze)
def end_freeze(fault: fault_plans.Freeze, driver: ProcessDriver) -> None:
    """Resume a process."""
    driver.resume(fault.target)


@begin_fault.register(fault_plans.Stop)
def begin_stop(fault: fault_plans.Stop, driver: ProcessDriver) -> None:
    """Stop an instance as planned."""
    driver.faulted_names.add(fault.target)
    process = driver.process_site.process_of(fault.target)
    if process.is_running and fault.target not in driver.frozen_names:
        process.request_stop()


@end_fault.register(fault_plans.Stop)
def end_stop(fault: fault_plans.Stop, driver: ProcessDriver) -> None:
    """Start a stopped instance again if it has ended."""
    driver.start_if_ended(fault.target)


@begin_fault.register(fault_plans.Disturb)
def begin_disturb(fault: fault_plans.Disturb, driver: FaultDriver) -> None:
    """Switch the faults of a stand-in on."""
    driver.set_faults(fault.target, dict(fault.faults))


@end_fault.register(fault_plans.Disturb)
def end_disturb(fault: fault_plans.Disturb, driver: FaultDriver) -> None:
    """Switch the faults of a stand-in off."""
    driver.set_faults(fault.target, {})


@begin_fault.register(fault_plans.Promote)
def begin_promote(fault: fault_plans.Promote, driver: FaultDriver) -> None:
    """Promote one document, or several that race."""
    driver.promote(fault.count)


def apply_change(
    change: abc.Callable[[fault_plans.Fault, typing.Any], None],
    fault: fault_plans.Fault,
    driver: ProcessDriver,
) -> None:
    """Begin or end a fault, and note it."""
    driver.record_fault(fault)
    change(fault, driver)


def run_plan(
    driver: ProcessDriver,
    plan: tuple[fault_plans.PlannedFault, ...],
    load: processes.Process,
    seconds: float,
) -> None:
    """Carry out the plan while the load runs."""
    started = time.monotonic()
    order = itertools.count()
    due: list[tuple[float, int, abc.Callable[[], None]]] = []
    for planned in plan:
        ended = planned.at + planned.seconds
        for at, change in ((planned.at, begin_fault), (ended, end_fault)):
            step: abc.Callable[[], None] = functools.partial(
                apply_change,
                change,
                planned.fault,
                driver,
            )
            heapq.heappush(due, (at, next(order), step))
    while time.monotonic() - started < seconds:
        while due and due[0][0] <= time.monotonic() - started:
            heapq.heappop(due)[2]()
        driver.observe_instances()
        time.sleep(POLL_SECONDS)
    for _, _, remaining in sorted(due, key=lambda one: one[:2]):
        remaining()
    driver.end_all_faults()
    load.wait(LOAD_MARGIN_SECONDS)


def read_executions(site: sites.Site) -> dict[str, int]:
    """Return the executions for each key over all action runners."""
    total: dict[str, int] = {}
    for member in site.plan.action_runners:
        answer = processes.send_request('GET', member.address, '/ledger')
        for key, count in answer.decode_json()['by_key'].items():
            total[key] = total.get(key, 0) + count
    return total


def read_step_violations(site: sites.Site) -> tuple[str, ...]:
    """Return what the audits of the engines report, where there are any."""
    found: list[str] = []
    for member in site.plan.runners:
        answer = processes.send_request('GET', member.address, '/audit')
        if answer.status == 200:
            page = answer.decode_json()
            found.extend(str(one) for one in page.get('repeated', ()))
            found.extend(str(one) for one in page.get('out_of_order', ()))
    return tuple(found)


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Hold what a run showed."""

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
    """Run a site under load and faults and return what it showed."""
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
            tuple(one.instance_id for one in site.plan.action_runners),
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
    """Check everything that was recorded."""
    directory = driver.site.directory
    with (directory / 'history.jsonl').open() as history:
        lines = tuple(json.loads(line) for line in history)
    evidence = history_checks.Evidence(
        lines=lines,
        executions_by_key=read_executions(driver.site),
        step_violations=read_step_violations(driver.site),
        observations=tuple(driver.observations),
    )
    late = history_checks.check_in_force(
        evidence,
        IN_FORCE_LIMIT_SECONDS,
        driver.promoted_at,
        driver.faulted_names,
    )
    summary = json.loads((directory / 'summary.json').read_text())
    return RunResult(
        history_checks.check(evidence) + late,
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
    """Run faults with one or more seeds; seed 0 draws one."""
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    chosen = tuple(kinds.split('+')) if kinds else tuple(fault_plans.KINDS)
    broken = 0
    for number in range(first, first + runs):
        outcome = run(number, seconds, chosen, rate)
        print(
            f'seed {number}: {outcome.fault_count} faults,'
            f' {outcome.observation_count} observations,'
            f' {dict(outcome.verdicts)},'
            f' {len(outcome.violations)} violations',
            flush=True,
        )
        for violation in outcome.violations:
            print(f'  {violation}')
        broken += len(outcome.violations)
    sys.exit(int(bool(broken)))


if __name__ == '__main__':
    fire.Fire(main)
