"""Give up calls of the load tool as a caller does, by closing them."""

import dataclasses

from bench import load_calls
from mustardvale.internal import effects, events
from mustardvale.internal.edge import connections, http_client


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonCall(effects.Effect):
    """Close the connection of a call for a model answer without a report."""

    request_id: str
    call_number: int


class LoadClient(http_client.HttpClient):
    """Perform calls that can be given up."""

    def abandon(self, wanted: AbandonCall) -> None:
        """Close the connection of a call, or forget one that waits."""
        for pending in tuple(self.timer_queue.current):
            if is_abandoned_call(pending, wanted) and self.mark_ended(pending):
                self.close_abandoned(pending)

    def close_abandoned(self, pending: connections.PendingCall) -> None:
        """Close the connection of a call that has ended, if it has one."""
        connection = pending.connection
        if connection is not None and connection.pending is pending:
            kind = events.FailureKind.CLOSED
            self.close_and_fail(connection, kind, 'abandoned')


def is_abandoned_call(
    pending: connections.PendingCall,
    wanted: AbandonCall,
) -> bool:
    """Return whether a pending call is the one to give up."""
    called = pending.call
    return isinstance(called, load_calls.AnswerCall) and (
        (called.request_id, called.call_number)
        == (wanted.request_id, wanted.call_number)
    )
