"""Keep the calls of actions that must not run twice."""

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
    """Wait for what another attempt makes of the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claiming(Phase):
    """Wait until the record of the own attempt is read back."""

    claimed_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sending(Phase):
    """Wait for the answer of a runner.

    `refused` holds the addresses that took no byte of the call.
    """

    address: str = ''
    refused_addresses: frozenset[str] = frozenset()
    sent_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Recording(Phase):
    """Wait until the record of the answer is read back."""


@dataclasses.dataclass(frozen=True, slots=True)
class ActionCall:
    """Describe one call; `answered` says whether its origin has a result."""

    call_id: int
    key: action_keys.ActionKey
    request: action_requests.OperationRequest
    phase: Phase = Waiting()
    is_answered: bool = False


CallIds = tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ActionTable:
    """Hold the calls by id, their ids by key and by attempt.

    `abandoning` holds the attempts whose `AttemptAbandoned` has not been read
    back yet.
    """

    by_id: immutables.Map[int, ActionCall] = immutables.Map()
    by_key: immutables.Map[action_keys.ActionKey, CallIds] = immutables.Map()
    by_attempt: immutables.Map[str, int] = immutables.Map()
    abandoning: immutables.Map[str, action_keys.ActionKey] = immutables.Map()
    next_id: int = 0

    def find_by_key(self, key: action_keys.ActionKey) -> tuple[ActionCall, ...]:
        """Return the calls with a key in the order of their arrival."""
        return tuple(self.by_id[one] for one in self.by_key.get(key, ()))

    def find_by_attempt(self, attempt_id: str) -> ActionCall | None:
        """Return the call that made an attempt and has not ended."""
        call_id = self.by_attempt.get(attempt_id)
        return None if call_id is None else self.by_id[call_id]

    def find_holder(self, key: action_keys.ActionKey) -> ActionCall | None:
        """Return the call that has made the current attempt on a key."""
        return next(
            (call for call in self.find_by_key(key) if call.phase.attempt_id),
            None,
        )

    def add(self, call: ActionCall) -> 'ActionTable':
        """Return the table with a new call."""
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
        ids = tuple(one for one in self.by_key[call.key] if one != call.call_id)
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
        """Return the table with an attempt that is being abandoned."""
        abandoning = self.abandoning.set(attempt_id, key)
        return dataclasses.replace(self, abandoning=abandoning)

    def end_abandoning(self, attempt_id: str) -> 'ActionTable':
        """Return the table after an abandonment was read back."""
        if attempt_id not in self.abandoning:
            return self
        abandoning = self.abandoning.delete(attempt_id)
        return dataclasses.replace(self, abandoning=abandoning)

    def is_idle(self) -> bool:
        """Return whether no call and no abandonment is in flight."""
        return not self.by_id and not self.abandoning
