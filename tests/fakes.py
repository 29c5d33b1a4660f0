"""Provide an in-memory fake of the log service for tests of reducers."""

from mustardvale.internal import calls, records, streams


class FakeLog:
    """Hold the records of all streams, with retention on demand."""

    def __init__(self) -> None:
        self.streams: dict[streams.Stream, list[records.StoredRecord]] = {}
        self.earliest: dict[streams.Stream, int] = {}
        self.wall_time = 1000.0

    def list_appended(
        self, stream: streams.Stream
    ) -> list[records.StoredRecord]:
        """Return all records appended to a stream, including dropped ones."""
        return self.streams.setdefault(stream, [])

    def append(self, call: calls.AppendRecords) -> calls.RecordsAppended:
        """Append records to a stream."""
        stored = self.list_appended(call.stream)
        first = len(stored)
        for record in call.records:
            stored.append(
                records.StoredRecord(len(stored), self.wall_time, record)
            )
        return calls.RecordsAppended(first)

    def drop_before(self, stream: streams.Stream, offset: int) -> None:
        """Drop the records before an offset, as retention does."""
        end = len(self.list_appended(stream))
        known = self.earliest.get(stream, 0)
        self.earliest[stream] = max(known, min(offset, end))

    def read(self, call: calls.ReadRecords) -> calls.RecordsRead:
        """Read records that have not been dropped."""
        stored = self.list_appended(call.stream)
        earliest = self.earliest.get(call.stream, 0)
        first = max(call.from_offset, earliest)
        return calls.RecordsRead(
            tuple(stored[first : first + call.limit]),
            earliest,
            len(stored),
        )
