"""Build the results of non-idempotent operations."""

import base64

from mustardvale import errors
from mustardvale.internal import action_requests, caller_messages, records

# Every reader of a partition reads its whole log, so larger answers are not
# stored.
MAXIMUM_STORED_ANSWER_BYTES = 16 * 1024


def build_key_reused() -> caller_messages.RequestError:
    """Build the error for a key that was used for another request."""
    return action_requests.build_not_run(
        errors.IDEMPOTENCY_KEY_REUSED,
        'the key was used with another operation or body',
    )


def build_records_dropped() -> caller_messages.RequestError:
    """Build the error for a key whose records may have been dropped unread."""
    return action_requests.build_unknown(
        'the log dropped records that may concern the key',
    )


def build_answer_lost() -> caller_messages.RequestError:
    """Build the error for an attempt that was sent and got no answer."""
    return action_requests.build_unknown(
        'the action was sent and its answer is not known',
    )


def build_not_answered() -> caller_messages.RequestError:
    """Build the error for a deadline that passed before the answer."""
    return action_requests.build_unknown('the action was not answered in time')


def build_log_unavailable() -> caller_messages.RequestError:
    """Build the error for an attempt that the log does not confirm."""
    return action_requests.build_not_run(
        errors.LOG_UNAVAILABLE,
        'the log does not confirm attempts',
    )


def build_not_sent() -> caller_messages.RequestError:
    """Build the error for a deadline that passed before the call was sent."""
    return action_requests.build_not_run(
        errors.DEADLINE_EXCEEDED,
        'the deadline passed before the action was sent',
    )


def build_no_runner(service: str) -> caller_messages.RequestError:
    """Build the error for a call that no runner received.

    Its attempt held the key, so the error applies to every call with the key.
    """
    return action_requests.build_not_run(
        errors.NO_UPSTREAM,
        f'no runner of {service} is usable',
        errors.Scope.KEY,
    )


def decode_stored_answer(record: records.AttemptDone) -> action_requests.Result:
    """Return the answer that a record holds.

    The outcome is unknown to the caller if the body was too large to store.
    """
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
    """Encode a body for a record, as empty text if it is too large."""
    if len(body) > MAXIMUM_STORED_ANSWER_BYTES:
        return ''
    return base64.b64encode(body).decode()
