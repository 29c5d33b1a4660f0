"""Run the reducer of an instance that relays requests."""

import dataclasses
import logging
import os
import resource
import signal
import time
import typing
from collections import abc

import circuits

from mustardvale import errors
from mustardvale.internal import effects, events
from mustardvale.internal.edge import (
    bounded_output,
    channels,
    input_pacing,
    log_budget,
    loop,
    metrics,
    relay_client,
    relay_performer,
    relay_server,
    relay_wire,
    store_client,
    watched_connections,
)
from mustardvale.internal.relay import byte_budgets, connection_limits
from mustardvale.internal.relay import events as relay_events

logger = logging.getLogger('mustardvale')

# Period of the check for a changed settings file, and of the report of log lines
# that were not written.
MAINTENANCE_PERIOD_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceDue:
    """Identify the timer for `RelayLoop.run_maintenance`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadSignal:
    """Identify the timer that passes a reload signal to the loop."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSweep:
    """Identify the timer that ends connections whose timeout has expired."""


class Codecs(typing.NamedTuple):
    """Hold the codecs of callers, sends and other calls."""

    callers: relay_wire.CallerCodec
    sends: relay_wire.SendCodec
    calls: store_client.StoreCallCodec


class RelayLoop(loop.Loop):
    """Feed the events of callers, upstreams and the store to a reducer."""

    def __init__(
        self,
        reduce: loop.Reduce,
        state: typing.Any,
        perform: loop.Perform,
        metric_table: metrics.Metrics,
        codecs: Codecs,
    ) -> None:
        poller = channels.DirectPoller()
        super().__init__(
            reduce, state, perform, metric_table, read_boot_clock, poller
        )
        self.log_budget = log_budget.LogBudget()
        self.output: bounded_output.BoundedOutput | None = None
        self.read_settings: abc.Callable[[], typing.Any] | None = None
        self.listener_shares: dict[str, float] = {}
        self.settings_path = ''
        self.settings_version: tuple[int, int] | None = None
        self.channel_table = channels.ChannelTable(poller)
        self.callers = relay_server.RelayServer(
            self.channel_table, codecs.callers, self.emit_event
        )
        self.upstreams = relay_client.RelayClient(
            self.channel_table,
            codecs.sends,
            self.emit_event,
            input_pacing.InputPacer().register(self),
        )
        self.watched = watched_connections.WatchedConnections(
            self.channel_table, self.emit_event
        )
        self.client = store_client.StoreClient(
            codecs.calls, self.poller, self.emit_event
        ).register(self)
        # The effects that all loops share are performed on `server`.
        self.server = self.callers
        self.logged_intake = byte_budgets.Intake.ALL
        self.timer_queue.set_timer(
            ConnectionSweep(), relay_server.SWEEP_PERIOD_SECONDS
        )

    def limit_resources(
        self,
        memory_mb: int,
        maximum_descriptors: int,
        listener_shares: abc.Mapping[str, float],
    ) -> None:
        """Limit what callers hold; `listener_shares` is by listener."""
        permitted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = min(maximum_descriptors, permitted)
        self.listener_shares = dict(listener_shares)
        self.callers.resources.apply_limits(
            byte_budgets.build(memory_mb),
            {
                listener: connection_limits.build(share, descriptors)
                for listener, share in listener_shares.items()
            },
        )

    def sweep(self) -> None:
        """End connections of callers whose timeout has expired."""
        self.timer_queue.set_timer(
            ConnectionSweep(), relay_server.SWEEP_PERIOD_SECONDS
        )
        self.callers.sweep()

    def end_failed_event(self, event: events.Event) -> None:
        """Let the reducer end what the event belongs to, or do it here."""
        failed = relay_events.EventFailed(
            at=self.clock(), wall_time=time.time(), dropped=event
        )
        try:
            transition = self.reduce(failed, self.current_state)
        except Exception:
            logger.exception('reducer failed', extra={'event_type': 'repeated'})
            self.restart_timer(event)
        else:
            self.apply_transition(transition)
        super().end_failed_event(event)

    def restart_timer(self, event: events.Event) -> None:
        """Set the timer of an event again, if it has one."""
        if isinstance(event, events.TimerFired):
            self.timer_queue.set_timer(event.timer, MAINTENANCE_PERIOD_SECONDS)

    def end_failed_effect(self, effect: effects.Effect) -> None:
        """End the request or the send of an effect that failed."""
        relay_performer.end_failed(effect, self)

    def watch_settings(
        self, path: str, read_settings: abc.Callable[[], typing.Any]
    ) -> None:
        """Reload the settings when their file changes."""
        self.settings_path = path
        self.read_settings = read_settings
        self.settings_version = read_file_version(path)
        self.timer_queue.set_timer(MaintenanceDue(), MAINTENANCE_PERIOD_SECONDS)

    @circuits.handler('started', channel='*')
    def install_reload_handler(self, *_: typing.Any) -> None:
        """Reload the settings on SIGHUP."""
        signal.signal(signal.SIGHUP, self.request_reload)

    def request_reload(self, *_: typing.Any) -> None:
        """Pass a reload signal to the loop, and wake the poller."""
        self.timer_queue.set_timer(ReloadSignal(), 0)
        self.poller.resume()

    def reload(self) -> None:
        """Report the reloaded settings, or log why they are rejected."""
        self.settings_version = read_file_version(self.settings_path)
        if self.read_settings is None:
            return
        try:
            limits = self.read_settings()
        except errors.SettingsError as error:
            logger.warning(
                'settings_rejected', extra={'problems': list(error.problems)}
            )
            return
        self.limit_resources(
            limits.memory_mb, limits.maximum_descriptors, self.listener_shares
        )
        self.emit_event(relay_events.SettingsRead, limits=limits)

    def report_closes(self) -> None:
        """Count and log the closes of callers' connections with a request."""
        counts = {
            f'{close.phase.value}_{close.reason.value}': count
            for close, count in self.callers.take_closes().items()
        }
        for kind, count in counts.items():
            self.metrics.count('caller_closes', (kind,), count)
        if counts:
            logger.info('callers_closed', extra=counts)

    def report_resources(self) -> None:
        """Report what callers hold, and what was ended in the last second."""
        resources = self.callers.resources
        held = dataclasses.asdict(resources.measure_held())
        for kind, count in held.items():
            self.metrics.set_gauge('held_bytes', count, (kind,))
        self.metrics.set_gauge(
            'caller_connections', len(resources.open_connections)
        )
        ended = dict(resources.take_ended())
        for reason, count in ended.items():
            self.metrics.count('callers_ended', (reason,), count)
        if ended:
            logger.info('callers_ended', extra=ended)
        if resources.intake is not self.logged_intake:
            logger.info(
                'intake_changed',
                extra={
                    'before': self.logged_intake.value,
                    'intake': resources.intake.value,
                    'paused': len(resources.paused),
                    **held,
                },
            )
            self.logged_intake = resources.intake

    def run_maintenance(self) -> None:
        """Reload changed settings, and report closes and lines left out."""
        if read_file_version(self.settings_path) != self.settings_version:
            self.reload()
        self.report_closes()
        self.report_resources()
        suppressed = self.log_budget.take_suppressed_count()
        dropped_lines = 0
        if self.output is not None:
            dropped_lines = self.output.dropped_lines
            self.output.dropped_lines = 0
        if suppressed or dropped_lines:
            self.metrics.count(
                'log_lines_left_out', (), suppressed + dropped_lines
            )
            logger.info(
                'lines_left_out',
                extra={'by_budget': suppressed, 'by_reader': dropped_lines},
            )
        self.timer_queue.set_timer(MaintenanceDue(), MAINTENANCE_PERIOD_SECONDS)


@loop.handle_timer.register(ConnectionSweep)
def handle_connection_sweep(timer: ConnectionSweep, runtime: RelayLoop) -> None:
    """End connections of callers whose timeout has expired."""
    runtime.sweep()


@loop.handle_timer.register(MaintenanceDue)
def handle_maintenance_due(timer: MaintenanceDue, runtime: RelayLoop) -> None:
    """Reload changed settings, and report log lines not written."""
    runtime.run_maintenance()


@loop.handle_timer.register(ReloadSignal)
def handle_reload_signal(timer: ReloadSignal, runtime: RelayLoop) -> None:
    """Reload the settings."""
    runtime.reload()


def read_boot_clock() -> float:
    """Return monotonic seconds, including time while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_file_version(path: str) -> tuple[int, int] | None:
    """Return the modification time and size of a file, if it exists."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
