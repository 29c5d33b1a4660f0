"""Call the platform's store, whose answers name the era that they are from."""

import typing

from mustardvale.internal import events
from mustardvale.internal.edge import http_client, wire
from mustardvale.internal.relay import events as relay_events


class StoreCallCodec(http_client.CallCodec, typing.Protocol):
    """Encode calls, and decode their answers with the era of the store."""

    def decode_era(self, call: typing.Any, raw: wire.RawAnswer) -> int | None:
        """Decode the era of an answer, or `None` if it names none."""


class StoreClient(http_client.HttpClient):
    """Perform calls; report the answers of a store together with its era."""

    codec: StoreCallCodec

    def classify_answer(
        self, call: typing.Any, answer: wire.RawAnswer
    ) -> tuple[type[events.CallAnswered], dict[str, typing.Any]]:
        """Return the event type of an answer, with the era if it names one."""
        era = self.codec.decode_era(call, answer)
        if era is None:
            return events.CallAnswered, {}
        return relay_events.StoreAnswered, {'era': era}
