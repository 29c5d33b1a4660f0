"""Define the history that the load tool writes for the checks.

A history is a file of JSON lines in the order in which the load tool handled
the events. Every line has these fields:

- `event`: the name of the event, see below;
- `at`: seconds of the monotonic clock, comparable within one machine;
- `wall`: seconds since the epoch;
- `request`: the identity of the request, unique to one run and seed. A twin is
  a second request with the same idempotency key that is sent at the same time;
  its identity ends in `.twin`;
- `call`: the number of the call, from 1 on; a request is called again after an
  error, when its answer was cut, or to repeat a completed action;
- `work`: `answer` or `action`;
- `entry`: the address of the entry instance that was called;
- `key`: the idempotency key, empty for an answer or an idempotent action.

Events, with their further fields:

- `start`: a call is made. `account`; `target` is the model, or
  `service/operation`; `adapter`; `prompt` (tokens); `maximum_tokens`;
  `delivered`, the number of tokens that the caller has and sends; `idempotent`
  and `body` (text) of an action; `repeats` is true when the action has been
  answered already and is repeated on purpose;
- `tokens`: tokens arrived. `count` is the number that the caller now has. It
  is written for the first token of a call and then at most every 0.25 s;
- `end`: the call was answered completely. `count` tokens and `version` of the
  model; or the `status`, `body` (text) and `replayed` flag of an action;
- `error`: the call failed or its answer was cut. `kind` is `refused` (an error
  in place of an answer), `cut` (an error line at the end of a stream),
  `truncated` (the stream ended without an end mark), `stalled` (no token came
  for too long), `malformed`, or the client's `refused_connection`, `closed`,
  `timed_out`, `overloaded`; `status`, `code`, `outcome`, `scope` and
  `retry_after` as in the error object; `sent` is false only if no byte of the
  call was sent; `count` tokens that the caller has;
- `verdict`: the request has ended. `verdict` is `right`, `wrong` (with
  `problem`), `cut` (the answer stayed incomplete, or the outcome of an action
  stayed unknown), `refused` (every call ended as not run) or `failed` (the
  service answered an action with an error status); `tokens` is the number of
  tokens that the caller has, `calls` the number of calls made.
"""

import dataclasses
import typing

from mustardvale.internal import effects

TOKENS_PERIOD_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Record(effects.Effect):
    """Write one line of the history."""

    event: str
    at: float
    wall_time: float
    request: str
    call: int
    work: str
    entry: str
    key: str
    fields: tuple[tuple[str, typing.Any], ...] = ()

    def to_object(self) -> dict[str, typing.Any]:
        """Return the JSON object of the line."""
        return {
            'event': self.event,
            'at': round(self.at, 6),
            'wall': round(self.wall_time, 6),
            'request': self.request,
            'call': self.call,
            'work': self.work,
            'entry': self.entry,
            'key': self.key,
            **dict(self.fields),
        }


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSummary(effects.Effect):
    """Write the summary of a run whose arrivals lasted `seconds`."""

    seconds: float
