"""Define the calls of non-idempotent operations and their table."""

import dataclasses

import immutables

from mustardvale.internal import action_keys, action_requests


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Mark a data class as the phase of a call.

    `attempt_id` is empty while the call has made no attempt.
    """

    attempt_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting(Phase):
    """Wait for the attempt that holds the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claiming(Phase):
    """Wait until the record of the call's own attempt is read back.

    `claimed_at` is the monotonic time of its append.
    """

    claimed_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sending(Phase):
    """Wait for the response of a runner.

    `refused_addresses` holds the runners that received no byte of the call.
    `sent_at` is a monotonic time.
    """

    address: str = ''
    refused_addresses: frozenset[str] = frozenset()
    sent_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Recording(Phase):
    """Wait until the record of the answer is read back."""


@dataclasses.dataclass(frozen=True, slots=True)
class ActionCall:
    """Hold one call; `is_answered` is true once its origin has the result."""

    call_id: int
    key: action_keys.ActionKey
    request: action_requests.OperationRequest
    phase: Phase = Waiting()
    is_answered: bool = False


CallIds = tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ActionTable:
    """Hold the calls by id, with their ids indexed by key and by attempt.

    `abandoning` holds the attempts whose `AttemptAbandoned` has not been read
    back yet. `next_id` numbers calls and attempts.
    """

    by_id: immutables.Map[int, ActionCall] = immutables.Map()
    by_key: immutables.Map[action_keys.ActionKey, CallIds] = immutables.Map()
    by_attempt: immutables.Map[str, int] = immutables.Map()
    abandoning: immutables.Map[str, action_keys.ActionKey] = immutables.Map()
    next_id: int = 0

    def find_by_key(self, key: action_keys.ActionKey) -> tuple[ActionCall, ...]:
        """Return the calls with a key in order of arrival."""
        return tuple(
            self.by_id[call_id] for call_id in self.by_key.get(key, ())
        )

    def find_by_attempt(self, attempt_id: str) -> ActionCall | None:
        """Return the unfinished call that made an attempt."""
        call_id = self.by_attempt.get(attempt_id)
        return None if call_id is None else self.by_id[call_id]

    def find_holder(self, key: action_keys.ActionKey) -> ActionCall | None:
        """Return the call of this instance that has an attempt on a key."""
        return next(
            (call for call in self.find_by_key(key) if call.phase.attempt_id),
            None,
        )

    def add(self, call: ActionCall) -> 'ActionTable':
        """Return the table with a call added."""
        ids = (*self.by_key.get(call.key, ()), call.call_id)
        return dataclasses.replace(
            self,
            by_id=self.by_id.set(call.call_id, call),
            by_key=self.by_key.set(call.key, ids),
            next_id=self.next_id + 1,
        )

    def replace(self, call: ActionCall) -> 'ActionTable':
        """Return the table with a call replaced."""
        attempts = self.by_attempt
        earlier = self.by_id[call.call_id].phase.attempt_id
        if earlier:
            attempts = attempts.delete(earlier)
        if call.phase.attempt_id:
            attempts = attempts.set(call.phase.attempt_id, call.call_id)
        return dataclasses.replace(
            self,
            by_id=self.by_id.set(call.call_id, call),
            by_attempt=attempts,
        )

    def remove(self, call: ActionCall) -> 'ActionTable':
        """Return the table without a call."""
        attempts = self.by_attempt
        attempt_id = self.by_id[call.call_id].phase.attempt_id
        if attempt_id:
            attempts = attempts.delete(attempt_id)
        ids = tuple(
            call_id
            for call_id in self.by_key[call.key]
            if call_id != call.call_id
        )
        by_key = self.by_key.delete(call.key)
        if ids:
            by_key = by_key.set(call.key, ids)
        return dataclasses.replace(
            self,
            by_id=self.by_id.delete(call.call_id),
            by_key=by_key,
            by_attempt=attempts,
        )

    def start_abandoning(
        self,
        attempt_id: str,
        key: action_keys.ActionKey,
    ) -> 'ActionTable':
        """Return the table with an attempt marked as being abandoned."""
        abandoning = self.abandoning.set(attempt_id, key)
        return dataclasses.replace(self, abandoning=abandoning)

    def end_abandoning(self, attempt_id: str) -> 'ActionTable':
        """Return the table after an abandonment has been read back."""
        if attempt_id not in self.abandoning:
            return self
        abandoning = self.abandoning.delete(attempt_id)
        return dataclasses.replace(self, abandoning=abandoning)

    def is_idle(self) -> bool:
        """Return whether no call and no abandonment is in flight."""
        return not self.by_id and not self.abandoning
