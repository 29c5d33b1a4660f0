"""Perform the effects of entry instances in the model of a site."""

import functools
import typing

from mustardvale.internal import action_requests, calls, effects, messages


@functools.singledispatch
def perform(effect: typing.Any, instance: typing.Any, site: typing.Any) -> None:
    """Ignore effects that only observe."""


@perform.register(effects.Call)
def perform_call(
    effect: effects.Call, instance: typing.Any, site: typing.Any
) -> None:
    """Keep a call until the test ends it."""
    instance.calls.append(effect)
    if isinstance(effect.call, calls.RunAction):
        site.check_send(instance, effect.call)


@perform.register(effects.SetTimer)
def perform_set_timer(
    effect: effects.SetTimer,
    instance: typing.Any,
    site: typing.Any,
) -> None:
    """Set a timer."""
    instance.timers[effect.timer] = site.now + effect.delay_seconds


@perform.register(effects.CancelTimer)
def perform_cancel_timer(
    effect: effects.CancelTimer,
    instance: typing.Any,
    site: typing.Any,
) -> None:
    """Cancel a timer."""
    instance.timers.pop(effect.timer, None)


@perform.register(effects.Reply)
def perform_reply(
    effect: effects.Reply,
    instance: typing.Any,
    site: typing.Any,
) -> None:
    """Check an answer to a caller."""
    site.check_reply(effect.request_id, effect.reply)


@perform.register(effects.SendToPeer)
def perform_send_to_peer(
    effect: effects.SendToPeer,
    instance: typing.Any,
    site: typing.Any,
) -> None:
    """Keep a message until the test delivers or drops it."""
    if not isinstance(effect.message, messages.Heartbeat):
        sender = instance.state.identity.peer_address
        site.messages.append((sender, effect.address, effect.message))


@functools.singledispatch
def find_request_id(origin: action_requests.Origin) -> str:
    """Return the id of the request of the first instance."""
    raise TypeError(type(origin).__name__)


@find_request_id.register(action_requests.Caller)
def find_caller_request_id(origin: action_requests.Caller) -> str:
    """Return the id of a local request."""
    return origin.request_id


@find_request_id.register(action_requests.ForwardingPeer)
def find_forward_id(origin: action_requests.ForwardingPeer) -> str:
    """Return the id of a forwarded request."""
    return origin.forward_id
