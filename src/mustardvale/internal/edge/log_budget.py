"""Limit the log lines of a process per second; count suppressed lines."""

import time

# Routine lines are a sample. Other lines reach their limit only when something
# fails on a large scale.
ROUTINE_LINES_PER_SECOND = 5
OTHER_LINES_PER_SECOND = 200


class LogBudget:
    """Count the lines of each second of the monotonic clock."""

    def __init__(self) -> None:
        self.second = 0
        self.routine_lines = 0
        self.other_lines = 0
        self.suppressed_lines = 0

    def allows(self, is_routine: bool) -> bool:
        """Count a line, and return whether it may be written."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.routine_lines = 0
            self.other_lines = 0
        if is_routine:
            self.routine_lines += 1
            is_allowed = self.routine_lines <= ROUTINE_LINES_PER_SECOND
        else:
            self.other_lines += 1
            is_allowed = self.other_lines <= OTHER_LINES_PER_SECOND
        self.suppressed_lines += not is_allowed
        return is_allowed

    def take_suppressed_count(self) -> int:
        """Return the number of lines not written, and reset it."""
        count = self.suppressed_lines
        self.suppressed_lines = 0
        return count
