"""Perform the effects of relaying, and end what a failed effect belongs to."""

import functools
import logging
import typing

from mustardvale.internal import effects as base_effects
from mustardvale.internal import events
from mustardvale.internal.edge import caller_limits, performer
from mustardvale.internal.relay import effects
from mustardvale.internal.relay import events as relay_events

if typing.TYPE_CHECKING:
    from mustardvale.internal.edge import relay_loop

logger = logging.getLogger('mustardvale')

perform = performer.perform


@perform.register(effects.StartSend)
def perform_start_send(
    effect: effects.StartSend, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Send a request to an upstream."""
    runtime.upstreams.start_send(effect)


@perform.register(effects.AbortSend)
def perform_abort_send(
    effect: effects.AbortSend, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Close the connection of a send."""
    runtime.upstreams.abort_send(effect.send_id)


@perform.register(effects.PauseSend)
def perform_pause_send(
    effect: effects.PauseSend, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Stop reading the answer to a send."""
    runtime.upstreams.pause_send(effect.send_id)


@perform.register(effects.ResumeSend)
def perform_resume_send(
    effect: effects.ResumeSend, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Continue to read the answer to a send."""
    runtime.upstreams.resume_send(effect.send_id)


@perform.register(effects.LimitRest)
def perform_limit_rest(
    effect: effects.LimitRest, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Limit how long connections may be idle before they are reused."""
    runtime.upstreams.maximum_idle_seconds = effect.seconds


@perform.register(effects.WatchAddresses)
def perform_watch_addresses(
    effect: effects.WatchAddresses, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Keep idle connections open to the watched addresses."""
    runtime.watched.watch(effect.addresses)


@perform.register(effects.StartStream)
def perform_start_stream(
    effect: effects.StartStream, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Send the head of a streamed answer."""
    runtime.callers.start_stream(effect.request_id, effect.head)


@perform.register(effects.LimitCallers)
def perform_limit_callers(
    effect: effects.LimitCallers, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Limit what callers may send and how long they may take."""
    runtime.callers.apply_limits(
        caller_limits.CallerLimits(
            effect.maximum_header_bytes,
            effect.maximum_body_bytes,
            effect.header_timeout_seconds,
            effect.idle_timeout_seconds,
        )
    )


@perform.register(effects.CloseIdleCallers)
def perform_close_idle_callers(
    effect: effects.CloseIdleCallers, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Close idle connections of callers, and the others after their answers."""
    runtime.callers.close_idle()


@perform.register(effects.RebalanceCallers)
def perform_rebalance_callers(
    effect: effects.RebalanceCallers, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Close a share of the callers' connections, each after an answer."""
    runtime.callers.rebalance(effect.share, effect.delay_seconds)


@perform.register(effects.LogDecision)
def perform_log_decision(
    effect: effects.LogDecision, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Write a log line, unless the limit of its kind is reached."""
    if runtime.log_budget.allows(effect.is_routine):
        logger.info(effect.event, extra=dict(effect.fields))


@functools.singledispatch
def end_failed(
    effect: base_effects.Effect, runtime: 'relay_loop.RelayLoop'
) -> None:
    """End what an effect belongs to that could not be performed."""


@end_failed.register(base_effects.Reply)
@end_failed.register(base_effects.StreamPart)
@end_failed.register(base_effects.StreamEnd)
@end_failed.register(effects.StartStream)
def end_failed_answer(
    effect: typing.Any, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Answer the caller with an error, or cut a stream, and stop the sends."""
    runtime.callers.fail_request(effect.request_id)
    runtime.emit_event(events.CallerLeft, request_id=effect.request_id)


@end_failed.register(effects.StartSend)
def end_failed_send(
    effect: effects.StartSend, runtime: 'relay_loop.RelayLoop'
) -> None:
    """Report a send that could not be started."""
    runtime.emit_event(
        relay_events.SendFailed,
        send_id=effect.send_id,
        failure=events.Failure(events.FailureKind.MALFORMED, was_sent=False),
    )
