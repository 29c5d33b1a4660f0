"""Define the base class of the timers of all processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """Mark a data class as a timer."""
