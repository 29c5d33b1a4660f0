"""Abandon calls of the load tool by closing their connections."""

import dataclasses

from bench import load_calls
from mustardvale.internal import effects, events
from mustardvale.internal.edge import connections, http_client


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonCall(effects.Effect):
    """Close the connection of a call for a model answer; report no failure."""

    request_id: str
    call_number: int


class LoadClient(http_client.HttpClient):
    """Perform calls that can be abandoned."""

    def abandon(self, effect: AbandonCall) -> None:
        """Close the connection of a call, or drop a call that has none yet."""
        for pending in tuple(self.timer_queue.current):
            if is_abandoned_call(pending, effect) and self.mark_ended(pending):
                self.close_abandoned(pending)

    def close_abandoned(self, pending: connections.PendingCall) -> None:
        """Close the connection of a call that has ended, if it has one."""
        connection = pending.connection
        if connection is not None and connection.pending is pending:
            kind = events.FailureKind.CLOSED
            self.close_and_fail(connection, kind, 'abandoned')


def is_abandoned_call(
    pending: connections.PendingCall,
    effect: AbandonCall,
) -> bool:
    """Return whether a pending call is the one to abandon."""
    call = pending.call
    return isinstance(call, load_calls.AnswerCall) and (
        (call.request_id, call.call_number)
        == (effect.request_id, effect.call_number)
    )
