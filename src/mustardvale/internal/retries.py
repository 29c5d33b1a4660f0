"""Limit retries by a budget that grows with the number of requests."""

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

RETRIES_PER_REQUEST = 0.1
# The loss of one runner can interrupt about 50 answers of an instance at once;
# all of them can restart without waiting for new requests.
MAXIMUM_BALANCE = 50.0
# A leaving runner refuses steps without running them. Retries for this reason do
# not use the budget, so that a graceful shutdown leaves it unchanged.
LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Hold the number of retries that are available."""

    balance: float = MAXIMUM_BALANCE


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """Pair the next state with whether a retry is granted."""

    state: 'states.State'
    is_granted: bool


def deposit(state: 'states.State') -> 'states.State':
    """Add the fraction of a retry that a new request earns."""
    balance = state.retries.balance + RETRIES_PER_REQUEST
    budget = RetryBudget(min(balance, MAXIMUM_BALANCE))
    return dataclasses.replace(state, retries=budget)


def withdraw(problem: str, state: 'states.State') -> Withdrawal:
    """Withdraw a retry from the budget, if available."""
    if problem == LEAVING:
        return Withdrawal(state, is_granted=True)
    balance = state.retries.balance - 1
    if balance < 0:
        return Withdrawal(state, is_granted=False)
    budget = RetryBudget(balance)
    return Withdrawal(
        dataclasses.replace(state, retries=budget), is_granted=True
    )
