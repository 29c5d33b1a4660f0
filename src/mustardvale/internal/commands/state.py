"""Define the state of the command-line tool."""

import dataclasses

import immutables

from mustardvale.internal import promotions, records
from mustardvale.internal.commands import reports, wanted

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Hold what was read of one environment.

    `end` is the offset up to which the stream is read, known after the first
    answer of the log. `overtaken` says that the log dropped records before
    they were read.
    """

    promoted: promotions.PromotionState = promotions.PromotionState()
    end: int = -1
    rows: tuple[reports.HistoryRow, ...] = ()
    overtaken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Hold one run of the tool.

    `proposed` is the promotion that was sent to the log. `delivered` holds
    the tokens received so far and `entry_index` the entry address in use.
    """

    command: wanted.Command
    log_address: str = ''
    entry_addresses: tuple[str, ...] = ()
    as_json: bool = False
    timeout_seconds: float = 10
    started_at: float = 0
    readings: immutables.Map[str, Reading] = immutables.Map()
    proposed: records.Promotion | None = None
    delivered: tuple[str, ...] = ()
    answer_ended: bool = False
    entry_index: int = 0
