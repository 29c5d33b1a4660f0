"""Bound the log lines of a process, and count those that are left out."""

import time

# Routine lines are a sample; all others fit unless something is badly wrong.
ROUTINE_LINES_PER_SECOND = 5
OTHER_LINES_PER_SECOND = 200


class LogBudget:
    """Count lines in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self.second = 0
        self.routine = 0
        self.other = 0
        self.suppressed = 0

    def allows(self, routine: bool) -> bool:
        """Return whether a line may be written; one that may not is counted."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.routine = 0
            self.other = 0
        if routine:
            self.routine += 1
            allowed = self.routine <= ROUTINE_LINES_PER_SECOND
        else:
            self.other += 1
            allowed = self.other <= OTHER_LINES_PER_SECOND
        self.suppressed += not allowed
        return allowed

    def take_suppressed_count(self) -> int:
        """Return and forget how many lines were left out."""
        count = self.suppressed
        self.suppressed = 0
        return count
