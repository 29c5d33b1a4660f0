"""Perform the effects of entry instances in a simulated site."""

import functools
import typing

from mustardvale.internal import action_requests, calls, effects, messages


@functools.singledispatch
def perform(effect: typing.Any, instance: typing.Any, site: typing.Any) -> None:
    """Ignore effects without influence on the simulation."""


@perform.register(effects.Call)
def perform_call(
    effect: effects.Call, instance: typing.Any, site: typing.Any
) -> None:
    """Store a call until the test answers or fails it."""
    instance.calls.append(effect)
    if isinstance(effect.call, calls.RunAction):
        site.check_send(instance, effect.call)


@perform.register(effects.SetTimer)
def perform_set_timer(
    effect: effects.SetTimer,
    instance: typing.Any,
    site: typing.Any,
) -> None:
    """Set a timer of an instance."""
    instance.timers[effect.timer] = site.now + effect.delay_seconds


@perform.register(effects.CancelTimer)
def perform_cancel_timer(
    effect: effects.CancelTimer,
    instance: typing.Any,
    site: typing.Any,
) -> None:
    """Cancel a timer of an instance."""
    instance.timers.pop(effect.timer, None)


@perform.register(effects.Reply)
def perform_reply(
    effect: effects.Reply,
    instance: typing.Any,
    site: typing.Any,
) -> None:
    """Check a reply to a caller."""
    site.check_reply(effect.request_id, effect.reply)


@perform.register(effects.SendToPeer)
def perform_send_to_peer(
    effect: effects.SendToPeer,
    instance: typing.Any,
    site: typing.Any,
) -> None:
    """Store a message until the test delivers or drops it.

    Heartbeats are ignored; `Site.receive_heartbeats` delivers them.
    """
    if not isinstance(effect.message, messages.Heartbeat):
        sender = instance.state.identity.peer_address
        site.messages.append((sender, effect.address, effect.message))


@functools.singledispatch
def find_request_id(origin: action_requests.Origin) -> str:
    """Return the id of a request at the instance that received it first."""
    raise TypeError(type(origin).__name__)


@find_request_id.register(action_requests.Caller)
def find_caller_request_id(origin: action_requests.Caller) -> str:
    """Return the id of a request that was received locally."""
    return origin.request_id


@find_request_id.register(action_requests.ForwardingPeer)
def find_forward_id(origin: action_requests.ForwardingPeer) -> str:
    """Return the id of a forwarded request."""
    return origin.forward_id
