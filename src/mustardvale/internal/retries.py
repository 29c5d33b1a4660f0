"""Bound the attempts that are started again."""

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

RETRIES_PER_REQUEST = 0.1
# The loss of one runner can end some fifty answers of an instance at once;
# these restart without waiting for further requests.
MAXIMUM_BALANCE = 50.0
# A runner that leaves refuses a step without running it, so a planned stop
# costs nothing.
LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Hold how many attempts may be started again."""

    balance: float = MAXIMUM_BALANCE


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """Pair the next state with whether another attempt may start."""

    state: 'states.State'
    is_granted: bool


def deposit(state: 'states.State') -> 'states.State':
    """Add the part of a retry that a new request allows."""
    balance = state.retries.balance + RETRIES_PER_REQUEST
    budget = RetryBudget(min(balance, MAXIMUM_BALANCE))
    return dataclasses.replace(state, retries=budget)


def withdraw(problem: str, state: 'states.State') -> Withdrawal:
    """Take a retry from the budget, if there is one."""
    if problem == LEAVING:
        return Withdrawal(state, is_granted=True)
    balance = state.retries.balance - 1
    if balance < 0:
        return Withdrawal(state, is_granted=False)
    budget = RetryBudget(balance)
    return Withdrawal(
        dataclasses.replace(state, retries=budget), is_granted=True
    )
