"""Build the results of actions that must not run twice."""

import base64

from mustardvale import errors
from mustardvale.internal import action_requests, caller_messages, records

# A larger answer would take too much of a log that every reader of the
# partition reads whole.
MAXIMUM_STORED_ANSWER_BYTES = 16 * 1024


def build_key_reused() -> caller_messages.RequestError:
    """Refuse a key that was used for another request."""
    return action_requests.build_not_run(
        errors.IDEMPOTENCY_KEY_REUSED,
        'the key was used with another operation or body',
    )


def build_records_dropped() -> caller_messages.RequestError:
    """Report that records about a key may have been dropped unread."""
    return action_requests.build_unknown(
        'the log dropped records that may concern the key',
    )


def build_answer_lost() -> caller_messages.RequestError:
    """Report that an attempt was sent, or may have been, without an answer."""
    return action_requests.build_unknown(
        'the action was sent and its answer is not known',
    )


def build_not_answered() -> caller_messages.RequestError:
    """Report that the deadline passed before the answer."""
    return action_requests.build_unknown('the action was not answered in time')


def build_log_unavailable() -> caller_messages.RequestError:
    """Refuse a call because the log does not confirm an attempt."""
    return action_requests.build_not_run(
        errors.LOG_UNAVAILABLE,
        'the log does not confirm attempts',
    )


def build_not_sent() -> caller_messages.RequestError:
    """Refuse a call whose deadline passed before it was sent."""
    return action_requests.build_not_run(
        errors.DEADLINE_EXCEEDED,
        'the deadline passed before the action was sent',
    )


def build_no_runner(service: str) -> caller_messages.RequestError:
    """Refuse a call that no runner took; its attempt held the key."""
    return action_requests.build_not_run(
        errors.NO_UPSTREAM,
        f'no runner of {service} is usable',
        errors.Scope.KEY,
    )


def decode_stored_answer(record: records.AttemptDone) -> action_requests.Result:
    """Return the answer that a record holds."""
    body = base64.b64decode(record.answer)
    if len(body) != record.answer_bytes:
        return action_requests.build_unknown(
            f'the action was answered with status {record.status}, '
            f'but {record.answer_bytes} bytes were too many to keep',
        )
    return caller_messages.ActionDone(
        record.status,
        record.content_type,
        body,
        replayed=True,
    )


def encode_answer(body: bytes) -> str:
    """Return the answer as a record holds it."""
    if len(body) > MAXIMUM_STORED_ANSWER_BYTES:
        return ''
    return base64.b64encode(body).decode()
