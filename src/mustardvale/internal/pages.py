"""Define the pages about a process that its edge fills in."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsPage:
    """Tell the edge to reply with the metrics that it holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class SpansPage:
    """Tell the edge to reply with the trace spans that it holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """Hold text rendered by the edge."""

    text: bytes
    content_type: str
