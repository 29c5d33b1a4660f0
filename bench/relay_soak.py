"""Run a site that relays requests under load and faults, and check it.

    PYTHONPATH=src:. python -m bench.relay_soak --seed 1 --runs 10

The seed is printed; the same seed draws the same load and faults again. The
exit code is 1 if a promise was broken; the histories and logs are kept then.
"""

import collections
import dataclasses
import random
import shutil
import signal
import sys
import typing
from collections import abc

import fire

from bench import (
    demo,
    fault_plans,
    fault_run,
    processes,
    relay_checks,
    relay_faults,
    relay_sites,
)

# Two zones of three, of which one follows the others.
ENTRIES = 6
# Faults end this long before the load, which shows that the site recovers.
FAULT_FREE_SECONDS = relay_checks.RECOVERY_SECONDS + 3.0
# Faults after which bounds on times do not hold for a while.
DISTURBING_FAULTS = (
    fault_plans.Kill,
    fault_plans.Freeze,
    fault_plans.Stop,
    relay_faults.KillAll,
    relay_faults.DisturbStore,
    relay_faults.DisturbLink,
)


class SoakDriver(fault_run.ProcessDriver):
    """Begin and end the faults of a site that relays requests."""

    def __init__(self, site: relay_sites.RelaySite) -> None:
        super().__init__(site)
        self.site = site
        self.failed_call_count = 0

    def try_control(
        self, switch: abc.Callable[..., None], *names: str, **faults: typing.Any
    ) -> bool:
        """Switch faults; a stand-in that is paused cannot be reached."""
        if (
            switch == self.site.set_store_faults
            and 'store' in self.frozen_names
        ):
            self.failed_call_count += 1
            return False
        try:
            switch(*names, **faults)
        except processes.ProcessError:
            self.failed_call_count += 1
            return False
        return True

    def record_fault(self, fault: fault_plans.Fault) -> None:
        """Note what disturbs instances, the store or the way to it."""
        if isinstance(fault, DISTURBING_FAULTS):
            self.site.record_event('fault', kind=type(fault).__name__)

    def end_all_faults(self) -> None:
        """End everything that is still disturbed, and say so."""
        super().end_all_faults()
        for link in self.site.link_addresses:
            self.try_control(self.site.set_link_faults, link)
        self.try_control(self.site.set_store_faults)
        for row in self.site.runners:
            self.try_control(self.site.set_runner_faults, row['runner_id'])
        self.site.record_event('settled')


@fault_run.begin_fault.register(relay_faults.KillAll)
def begin_kill_all(fault: relay_faults.KillAll, driver: SoakDriver) -> None:
    """Kill all entry instances."""
    for name in driver.site.entry_names:
        driver.site.kill(name)


@fault_run.end_fault.register(relay_faults.KillAll)
def end_kill_all(fault: relay_faults.KillAll, driver: SoakDriver) -> None:
    """Start all entry instances again."""
    for name in driver.site.entry_names:
        driver.start_if_ended(name)


@fault_run.begin_fault.register(relay_faults.DisturbStore)
def begin_store_fault(
    fault: relay_faults.DisturbStore, driver: SoakDriver
) -> None:
    """Disturb the store."""
    driver.try_control(driver.site.set_store_faults, **dict(fault.faults))


@fault_run.end_fault.register(relay_faults.DisturbStore)
def end_store_fault(
    fault: relay_faults.DisturbStore, driver: SoakDriver
) -> None:
    """End the faults of the store."""
    driver.try_control(driver.site.set_store_faults)


@fault_run.begin_fault.register(relay_faults.DisturbRunner)
def begin_runner_fault(
    fault: relay_faults.DisturbRunner, driver: SoakDriver
) -> None:
    """Disturb a runner; one that leaves is noted for the checks."""
    faults = dict(fault.faults)
    done = driver.try_control(
        driver.site.set_runner_faults, fault.target, **faults
    )
    if done and faults.get('draining'):
        driver.site.record_event('draining', runner=fault.target)


@fault_run.end_fault.register(relay_faults.DisturbRunner)
def end_runner_fault(
    fault: relay_faults.DisturbRunner, driver: SoakDriver
) -> None:
    """Start a disturbed runner again; one that was full only goes on."""
    faults = dict(fault.faults)
    restarts = bool(faults.keys() & {'down', 'dark', 'draining'})
    driver.try_control(
        driver.site.set_runner_faults, fault.target, **{'born': restarts}
    )
    if faults.get('draining'):
        driver.site.record_event('returned', runner=fault.target)


@fault_run.begin_fault.register(relay_faults.DisturbLink)
def begin_link_fault(
    fault: relay_faults.DisturbLink, driver: SoakDriver
) -> None:
    """Disturb a link."""
    faults = dict(fault.faults)
    driver.try_control(driver.site.set_link_faults, fault.target, **faults)


@fault_run.end_fault.register(relay_faults.DisturbLink)
def end_link_fault(fault: relay_faults.DisturbLink, driver: SoakDriver) -> None:
    """End the faults of a link."""
    driver.try_control(driver.site.set_link_faults, fault.target)


@fault_run.begin_fault.register(relay_faults.Configure)
def begin_configure(fault: relay_faults.Configure, driver: SoakDriver) -> None:
    """Write versions; a revoked key is missing in the last one."""
    for _ in range(fault.count):
        driver.site.timeout_ms += 100
        driver.site.keys_by_tenant.pop(fault.revoked, None)
        driver.try_control(driver.site.write_configuration)


@fault_run.end_fault.register(relay_faults.Configure)
def end_configure(fault: relay_faults.Configure, driver: SoakDriver) -> None:
    """Give a revoked key back."""
    if fault.revoked:
        keys = dict(relay_sites.TENANTS)
        driver.site.keys_by_tenant[fault.revoked] = [keys[fault.revoked]]
        driver.try_control(driver.site.write_configuration)


@fault_run.begin_fault.register(relay_faults.ChangeSettings)
def begin_change_settings(
    fault: relay_faults.ChangeSettings, driver: SoakDriver
) -> None:
    """Change the settings file of an instance."""
    changed: dict[str, typing.Any] = {'stop-seconds': 5}
    if not fault.usable:
        changed = {'retry-ratio': 'none'}
    driver.site.write_settings(fault.target, **changed)
    if fault.signalled:
        driver.site.process_of(fault.target).signal(signal.SIGHUP)


@fault_run.end_fault.register(relay_faults.ChangeSettings)
def end_change_settings(
    fault: relay_faults.ChangeSettings, driver: SoakDriver
) -> None:
    """Restore the settings file."""
    driver.site.write_settings(fault.target)


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Hold what a run showed."""

    violations: tuple[relay_checks.Violation, ...]
    outcome_counts: abc.Mapping[str, int]
    faults: tuple[fault_plans.PlannedFault, ...]
    directory: str


def run(
    seed: int,
    seconds: float = 12,
    kinds: tuple[str, ...] = tuple(relay_faults.KINDS),
    rate: float = 30,
) -> RunResult:
    """Run a site under faults for some seconds and return what it showed."""
    site = relay_sites.RelaySite(
        seed,
        entries=ENTRIES,
        rate=rate,
        seconds=seconds + FAULT_FREE_SECONDS,
    )
    with site:
        driver = SoakDriver(site)
        targets = relay_faults.FaultTargets(
            site.entry_names,
            tuple(
                row['runner_id'] for row in site.runners if 'accelerator' in row
            ),
            tuple(
                row['runner_id']
                for row in site.runners
                if 'accelerator' not in row
            ),
        )
        plan = relay_faults.draw_plan(seed, seconds, targets, kinds)
        for planned in plan:
            site.record_event('plan', fault=str(planned))
        load = site.build_load()
        load.start()
        try:
            fault_run.run_plan(driver, plan, load, seconds)
        finally:
            load.kill()
        return check_run(site, plan)


def check_run(
    site: relay_sites.RelaySite, plan: tuple[fault_plans.PlannedFault, ...]
) -> RunResult:
    """Check everything that was recorded."""
    history = site.read_history()
    ends = collections.Counter(
        str(line.get('status') or line['event'])
        for line in history.select('answer', 'lost', 'left')
    )
    return RunResult(
        relay_checks.check(history), ends, plan, str(site.directory)
    )


def main(
    seed: int = 0,
    runs: int = 1,
    seconds: float = 12,
    kinds: str = '',
    rate: float = 30,
) -> None:
    """Run faults with one or more seeds; seed 0 draws one."""
    # Without it the processes of a run would outlive a stopped soak.
    signal.signal(signal.SIGTERM, demo.exit_on_signal)
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    chosen = tuple(kinds.split('+')) if kinds else tuple(relay_faults.KINDS)
    broken = 0
    for number in range(first, first + runs):
        outcome = run(number, seconds, chosen, rate)
        print(
            f'seed {number}: {len(outcome.faults)} faults,'
            f' {dict(sorted(outcome.outcome_counts.items()))},'
            f' {len(outcome.violations)} violations',
            flush=True,
        )
        for violation in outcome.violations:
            print(f'  {violation}')
        if outcome.violations:
            print(f'  kept: {outcome.directory}', flush=True)
        else:
            shutil.rmtree(outcome.directory)
        broken += len(outcome.violations)
    sys.exit(int(bool(broken)))


if __name__ == '__main__':
    fire.Fire(main)
