"""Run a site that relays requests under load and faults, and check it.

    PYTHONPATH=src:. python -m bench.relay_soak --seed 1 --runs 10

A seed, which is printed, determines the load and the faults. The exit status is
1 if a check finds a violation; the histories and logs are then kept.
"""

import collections
import dataclasses
import random
import shutil
import signal
import sys
import time
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

# Three in each of two zones: two that read the store and one that follows them.
ENTRY_COUNT = 6
# All faults end this long before the load, so that it shows the recovery.
FAULT_FREE_SECONDS = relay_checks.RECOVERY_SECONDS + 3.0
# Faults around which the bound on draining runners is not checked.
DISTURBING_FAULTS = (
    fault_plans.Kill,
    fault_plans.Freeze,
    fault_plans.Stop,
    relay_faults.KillAll,
    relay_faults.DisturbStore,
    relay_faults.RestoreStore,
    relay_faults.DisturbLink,
)


class SoakDriver(fault_run.ProcessDriver):
    """Begin and end the faults of a site that relays requests.

    `failed_call_count` counts the calls to stand-ins that failed.
    `runner_faults` has the last fault of each runner, which replaces earlier
    ones. `was_restored` is true once the store was restored, after which the
    operator writes its last version again until the store confirms it.
    """

    def __init__(self, site: relay_sites.RelaySite) -> None:
        super().__init__(site)
        self.site = site
        self.was_restored = False
        self.failed_call_count = 0
        self.runner_faults: dict[str, fault_plans.Fault] = {}

    def try_control(
        self,
        method: abc.Callable[..., None],
        *names: typing.Any,
        **faults: typing.Any,
    ) -> bool:
        """Call a method of the site that sets faults or the configuration.

        Return whether the stand-in has confirmed it. Faults of a suspended
        store are not set.
        """
        if (
            method == self.site.set_store_faults
            and 'store' in self.frozen_names
        ):
            self.failed_call_count += 1
            return False
        try:
            method(*names, **faults)
        except processes.ProcessError:
            self.failed_call_count += 1
            return False
        return True

    def rewrite_if_restored(self) -> None:
        """Write the last configuration again if a restore may have lost it."""
        if self.was_restored:
            self.was_restored = not self.try_control(
                self.site.rewrite_configuration
            )

    def record_fault(self, fault: fault_plans.Fault) -> None:
        """Record faults of instances, the store or links in the history."""
        if isinstance(fault, DISTURBING_FAULTS):
            target = getattr(fault, 'target', '')
            addresses = self.site.entry_addresses.get(target, (target,))
            self.site.record_event(
                'fault', kind=type(fault).__name__, target=addresses[0]
            )

    def end_all_faults(self) -> None:
        """Resume, restart and clear everything, and record it as settled."""
        super().end_all_faults()
        for link in self.site.link_addresses:
            self.try_control(self.site.set_link_faults, link)
        self.try_control(self.site.set_store_faults)
        self.rewrite_if_restored()
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
    """Restart all entry instances that have ended."""
    for name in driver.site.entry_names:
        driver.start_if_ended(name)


@fault_run.begin_fault.register(relay_faults.Together)
def begin_together(fault: relay_faults.Together, driver: SoakDriver) -> None:
    """Begin several faults."""
    for member in fault.faults:
        fault_run.apply_change(fault_run.begin_fault, member, driver)


@fault_run.end_fault.register(relay_faults.Together)
def end_together(fault: relay_faults.Together, driver: SoakDriver) -> None:
    """End several faults."""
    for member in fault.faults:
        fault_run.apply_change(fault_run.end_fault, member, driver)


@fault_run.begin_fault.register(relay_faults.DisturbStore)
def begin_store_fault(
    fault: relay_faults.DisturbStore, driver: SoakDriver
) -> None:
    """Activate faults of the store."""
    driver.try_control(driver.site.set_store_faults, **dict(fault.faults))


@fault_run.begin_fault.register(relay_faults.RestoreStore)
def begin_restore(fault: relay_faults.RestoreStore, driver: SoakDriver) -> None:
    """Restore the store, and write the last configuration again."""
    driver.was_restored |= driver.try_control(
        driver.site.set_store_faults, restore_seconds=fault.copy_seconds
    )
    time.sleep(fault.rewrite_seconds)
    driver.rewrite_if_restored()


@fault_run.end_fault.register(relay_faults.RestoreStore)
def end_restore(fault: relay_faults.RestoreStore, driver: SoakDriver) -> None:
    """Write the configuration again if the store has not confirmed it."""
    driver.rewrite_if_restored()


@fault_run.begin_fault.register(relay_faults.RestartBesideRestore)
def begin_restarts(
    fault: relay_faults.RestartBesideRestore, driver: SoakDriver
) -> None:
    """Kill instances, restore the store, and start them before the rewrite."""
    kills = [fault_plans.Kill(name) for name in fault.names]
    for kill in kills:
        driver.record_fault(kill)
        fault_run.begin_fault(kill, driver)
    driver.record_fault(
        relay_faults.RestoreStore(fault.copy_seconds, fault.rewrite_seconds)
    )
    driver.was_restored |= driver.try_control(
        driver.site.set_store_faults, restore_seconds=fault.copy_seconds
    )
    for kill in kills:
        fault_run.end_fault(kill, driver)
    time.sleep(fault.rewrite_seconds)
    driver.rewrite_if_restored()


@fault_run.end_fault.register(relay_faults.RestartBesideRestore)
def end_restarts(
    fault: relay_faults.RestartBesideRestore, driver: SoakDriver
) -> None:
    """Write the configuration again if the store has not confirmed it."""
    driver.rewrite_if_restored()


@fault_run.end_fault.register(relay_faults.DisturbStore)
def end_store_fault(
    fault: relay_faults.DisturbStore, driver: SoakDriver
) -> None:
    """Clear the faults of the store."""
    driver.try_control(driver.site.set_store_faults)


@fault_run.begin_fault.register(relay_faults.DisturbRunner)
def begin_runner_fault(
    fault: relay_faults.DisturbRunner, driver: SoakDriver
) -> None:
    """Activate faults of a runner and record if it drains or ends."""
    faults = dict(fault.faults)
    driver.runner_faults[fault.target] = fault
    if not faults.keys() <= relay_faults.UNBROKEN_FAULTS:
        driver.site.record_event('broken', runner=fault.target)
    if faults.get('down'):
        driver.site.record_event('restarted', runner=fault.target)
    if not faults.get('draining'):
        driver.site.record_event('returned', runner=fault.target)
    is_confirmed = driver.try_control(
        driver.site.set_runner_faults, fault.target, **faults
    )
    if is_confirmed and faults.get('draining'):
        driver.site.record_event('draining', runner=fault.target)


@fault_run.end_fault.register(relay_faults.DisturbRunner)
def end_runner_fault(
    fault: relay_faults.DisturbRunner, driver: SoakDriver
) -> None:
    """Clear the faults of a runner, unless later ones have replaced them.

    A runner that was down, dark, draining or leaving restarts without layers.
    """
    if driver.runner_faults.get(fault.target) is not fault:
        return
    faults = dict(fault.faults)
    is_restarted = bool(faults.keys() & relay_faults.RESTARTING_FAULTS)
    if is_restarted:
        driver.site.record_event('restarted', runner=fault.target)
    driver.try_control(
        driver.site.set_runner_faults, fault.target, **{'born': is_restarted}
    )
    if faults.get('draining'):
        driver.site.record_event('returned', runner=fault.target)


@fault_run.begin_fault.register(relay_faults.DisturbLink)
def begin_link_fault(
    fault: relay_faults.DisturbLink, driver: SoakDriver
) -> None:
    """Activate faults of a link."""
    faults = dict(fault.faults)
    driver.try_control(driver.site.set_link_faults, fault.target, **faults)


@fault_run.end_fault.register(relay_faults.DisturbLink)
def end_link_fault(fault: relay_faults.DisturbLink, driver: SoakDriver) -> None:
    """Clear the faults of a link."""
    driver.try_control(driver.site.set_link_faults, fault.target)


@fault_run.begin_fault.register(relay_faults.LeaveEntry)
def begin_leave_entry(
    fault: relay_faults.LeaveEntry, driver: SoakDriver
) -> None:
    """Leave an odd entry in the list of runners."""
    driver.try_control(
        driver.site.append_record,
        'keyed.servers',
        f'odd-{fault.kind.replace(" ", "-")}',
        relay_faults.ODD_ENTRIES[fault.kind],
    )


@fault_run.end_fault.register(relay_faults.LeaveEntry)
def end_leave_entry(fault: relay_faults.LeaveEntry, driver: SoakDriver) -> None:
    """Drop the odd entry."""
    driver.try_control(
        driver.site.append_record,
        'keyed.servers',
        f'odd-{fault.kind.replace(" ", "-")}',
        b'',
    )


@fault_run.begin_fault.register(relay_faults.Configure)
def begin_configure(fault: relay_faults.Configure, driver: SoakDriver) -> None:
    """Write versions of the configuration without the key to revoke, if any.

    Each version has another timeout, so that no two versions are equal.
    """
    for _ in range(fault.count):
        driver.site.timeout_ms += 100
        driver.site.keys_by_tenant.pop(fault.revoked, None)
        driver.try_control(driver.site.write_configuration)


@fault_run.end_fault.register(relay_faults.Configure)
def end_configure(fault: relay_faults.Configure, driver: SoakDriver) -> None:
    """Write a version that has the revoked key again."""
    if fault.revoked:
        keys = dict(relay_sites.TENANTS)
        driver.site.keys_by_tenant[fault.revoked] = [keys[fault.revoked]]
        driver.try_control(driver.site.write_configuration)


@fault_run.begin_fault.register(relay_faults.ChangeSettings)
def begin_change_settings(
    fault: relay_faults.ChangeSettings, driver: SoakDriver
) -> None:
    """Change the settings file of an instance and send SIGHUP if `signalled`."""
    overrides: dict[str, typing.Any] = {'stop-seconds': 5}
    if not fault.usable:
        overrides = {'retry-ratio': 'none'}
    driver.site.write_settings(fault.target, **overrides)
    if fault.signalled:
        driver.site.find_process(fault.target).signal(signal.SIGHUP)


@fault_run.end_fault.register(relay_faults.ChangeSettings)
def end_change_settings(
    fault: relay_faults.ChangeSettings, driver: SoakDriver
) -> None:
    """Restore the settings file of an instance."""
    driver.site.write_settings(fault.target)


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Hold the violations of a run and the outcomes of its attempts.

    `outcome_counts` has statuses, and `lost` or `left` where there is none.
    `directory` has the histories and logs.
    """

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
    """Run a site under load and return the result.

    Faults of the given kinds begin within the first `seconds`. `rate` is in
    requests per second. Raises `ProcessError` if the site does not start.
    """
    site = relay_sites.RelaySite(
        seed,
        entries=ENTRY_COUNT,
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
        load = site.build_load_process()
        load.start()
        try:
            fault_run.run_plan(driver, plan, load, seconds)
        finally:
            load.kill()
        return check_run(site, plan)


def check_run(
    site: relay_sites.RelaySite, plan: tuple[fault_plans.PlannedFault, ...]
) -> RunResult:
    """Check the recorded history of a run."""
    history = site.read_history()
    outcome_counts = collections.Counter(
        str(line.get('status') or line['event'])
        for line in history.select('answer', 'lost', 'left')
    )
    return RunResult(
        relay_checks.check(history), outcome_counts, plan, str(site.directory)
    )


def main(
    seed: int = 0,
    runs: int = 1,
    seconds: float = 12,
    kinds: str = '',
    rate: float = 30,
) -> None:
    """Run one or more seeds in sequence; seed 0 draws the first at random.

    `kinds` has names joined by `+`, or is `all`.
    """
    # A soak that is stopped by a signal would otherwise leave its processes.
    signal.signal(signal.SIGTERM, demo.exit_on_signal)
    first_seed = seed or random.SystemRandom().randrange(1, 1_000_000)
    chosen_kinds = relay_faults.choose_kinds(kinds)
    violation_count = 0
    for number in range(first_seed, first_seed + runs):
        result = run(number, seconds, chosen_kinds, rate)
        print(
            f'seed {number}: {len(result.faults)} faults,'
            f' {dict(sorted(result.outcome_counts.items()))},'
            f' {len(result.violations)} violations',
            flush=True,
        )
        for violation in result.violations:
            print(f'  {violation}')
        if result.violations:
            print(f'  kept: {result.directory}', flush=True)
        else:
            shutil.rmtree(result.directory)
        violation_count += len(result.violations)
    sys.exit(int(bool(violation_count)))


if __name__ == '__main__':
    fire.Fire(main)
