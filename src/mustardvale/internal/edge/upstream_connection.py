"""Hold a connection to an upstream, and the send that uses it."""

import typing

import h11

from mustardvale.internal import events
from mustardvale.internal.edge import channels, input_pacing

if typing.TYPE_CHECKING:
    from mustardvale.internal.edge import relay_client, relay_wire
    from mustardvale.internal.relay import effects as relay_effects


class UpstreamConnection:
    """Hold one connection to an upstream and the send that uses it."""

    def __init__(
        self, client: 'relay_client.RelayClient', address: str
    ) -> None:
        self.client = client
        self.address = address
        self.channel: channels.Channel | None = None
        self.protocol = h11.Connection(h11.CLIENT)
        self.effect: relay_effects.StartSend | None = None
        self.encoded: relay_wire.EncodedSend | None = None
        self.was_sent = False
        self.skips_answer = False
        self.skipped_answers = 0
        self.skipped_bytes = 0
        self.interim_answers = 0
        self.awaits_head = True
        # The status of the answer, and whether bytes may follow its end.
        self.status = 0
        self.may_have_rest = False
        self.is_reused = False
        self.reusable_until = 0.0
        self.idle_since = 0.0
        self.idle_seconds = 0.0
        self.allowance = input_pacing.NEW_ANSWER
        self.is_paced = False
        # Whether the protocol holds input that was not parsed yet, and whether
        # the caller takes no more of the answer for now.
        self.has_unparsed = False
        self.is_blocked = False

    def on_connected(self, channel: channels.Channel) -> None:
        """Send the request that the connection was opened for."""
        self.client.send_request(self)

    def on_received(self, channel: channels.Channel, received: bytes) -> None:
        """Handle input of the upstream."""
        self.client.handle_input(self, received)

    def on_error(self, channel: channels.Channel, problem: str) -> None:
        """Fail the send that uses the connection."""
        kind = events.FailureKind.CLOSED
        if not channel.is_connected:
            kind = events.FailureKind.REFUSED
        self.client.fail_send(self, kind, problem)

    def on_drained(self, channel: channels.Channel) -> None:
        """Ignore the event: the request has been written."""

    def continue_input(self) -> None:
        """Parse what is left of the input, or read on."""
        self.client.continue_input(self)
