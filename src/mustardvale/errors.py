"""Define the error codes and exceptions of the public interface."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """Tell whether a request that failed may have run.

    `NOT_RUN` is stated only if it is certain. `UNKNOWN` means that the request
    may have run and that the system does not send it again.
    """

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Scope(enum.Enum):
    """Tell what a `not_run` outcome covers.

    `KEY` means that nothing has been sent for the idempotency key so far; an
    open call with the same key may still send. `CALL` means only that nothing
    was or will be sent for the answered call.
    """

    KEY = 'key'
    CALL = 'call'


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorCode:
    """Describe one kind of error: its name, HTTP status and remedy.

    `outcomes` lists the outcomes that it is reported with, the usual one first.
    """

    name: str
    status: int
    remedy: str
    outcomes: tuple[Outcome, ...] = (Outcome.NOT_RUN,)


MALFORMED_REQUEST = ErrorCode(
    'malformed_request',
    400,
    'Correct the request; the message names the part.',
)
UNAUTHORIZED = ErrorCode(
    'unauthorized',
    401,
    'Send the key of a client account as a bearer token.',
)
FORBIDDEN = ErrorCode(
    'forbidden',
    403,
    'Ask the operators to grant the account this use.',
)
NOT_FOUND = ErrorCode('not_found', 404, 'Check the path against the docs.')
UNKNOWN_MODEL = ErrorCode(
    'unknown_model',
    404,
    'Use a model that the environment document names.',
)
UNKNOWN_OPERATION = ErrorCode(
    'unknown_operation',
    404,
    'Use a service operation that the environment document names.',
)
PAYLOAD_TOO_LARGE = ErrorCode(
    'payload_too_large',
    413,
    'Send a smaller request.',
)
HEADERS_TOO_LARGE = ErrorCode(
    'headers_too_large',
    431,
    'Send a shorter path and fewer headers.',
)
UNSUPPORTED_ENCODING = ErrorCode(
    'unsupported_encoding',
    415,
    'Send the body without compression.',
)
EXPECTATION_FAILED = ErrorCode(
    'expectation_failed',
    417,
    'Send no Expect header other than 100-continue.',
)
REQUEST_TIMEOUT = ErrorCode(
    'request_timeout',
    408,
    'Send the whole request without a long pause.',
)
IDEMPOTENCY_KEY_REQUIRED = ErrorCode(
    'idempotency_key_required',
    400,
    'Send a UUID version 7 in the Idempotency-Key header.',
)
IDEMPOTENCY_KEY_INVALID = ErrorCode(
    'idempotency_key_invalid',
    400,
    'Make the key a UUID version 7 with the current time.',
)
IDEMPOTENCY_KEY_REUSED = ErrorCode(
    'idempotency_key_reused',
    422,
    'Use a new key for a different request.',
)
IDEMPOTENCY_KEY_EXPIRED = ErrorCode(
    'idempotency_key_expired',
    409,
    'Check whether the action took effect before using a new key.',
    (Outcome.UNKNOWN,),
)
OUTCOME_UNKNOWN = ErrorCode(
    'outcome_unknown',
    504,
    'Repeat with the same key later, or check the service itself.',
    (Outcome.UNKNOWN,),
)
RATE_LIMITED = ErrorCode(
    'rate_limited',
    429,
    'Wait for the time in Retry-After.',
)
OVERLOADED = ErrorCode('overloaded', 503, 'Wait for the time in Retry-After.')
DEADLINE_EXCEEDED = ErrorCode(
    'deadline_exceeded',
    504,
    'Allow more time or ask for fewer tokens.',
    (Outcome.NOT_RUN, Outcome.UNKNOWN),
)
LOG_UNAVAILABLE = ErrorCode(
    'log_unavailable',
    503,
    'Repeat with the same key when the log is back.',
)
NO_UPSTREAM = ErrorCode(
    'no_upstream',
    503,
    'Wait for the time in Retry-After.',
    (Outcome.NOT_RUN, Outcome.UNKNOWN),
)
SUSPECT_REQUEST = ErrorCode(
    'suspect_request',
    422,
    'Do not repeat this request: runners that ran it have failed.',
    (Outcome.NOT_RUN, Outcome.UNKNOWN),
)
NOT_READY = ErrorCode(
    'not_ready',
    503,
    'Use another entry address, or wait.',
)
STOPPING = ErrorCode('stopping', 503, 'Use another entry address.')
INTERNAL_ERROR = ErrorCode(
    'internal_error',
    500,
    'Report the error with the request id.',
    (Outcome.UNKNOWN,),
)

ALL_CODES = (
    MALFORMED_REQUEST,
    UNAUTHORIZED,
    FORBIDDEN,
    NOT_FOUND,
    UNKNOWN_MODEL,
    UNKNOWN_OPERATION,
    PAYLOAD_TOO_LARGE,
    HEADERS_TOO_LARGE,
    UNSUPPORTED_ENCODING,
    EXPECTATION_FAILED,
    REQUEST_TIMEOUT,
    IDEMPOTENCY_KEY_REQUIRED,
    IDEMPOTENCY_KEY_INVALID,
    IDEMPOTENCY_KEY_REUSED,
    IDEMPOTENCY_KEY_EXPIRED,
    OUTCOME_UNKNOWN,
    RATE_LIMITED,
    OVERLOADED,
    DEADLINE_EXCEEDED,
    LOG_UNAVAILABLE,
    NO_UPSTREAM,
    SUSPECT_REQUEST,
    NOT_READY,
    STOPPING,
    INTERNAL_ERROR,
)


class MustardvaleError(Exception):
    """Report an error with a code that programs can act on."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f'{code}: {message}')
        self.code = code
        self.message = message


class DocumentError(MustardvaleError):
    """Report all problems of an environment document."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__('document_invalid', '; '.join(problems))
        self.problems = problems


class SettingsError(MustardvaleError):
    """Report all problems of the settings of a daemon."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__('settings_invalid', '; '.join(problems))
        self.problems = problems
