"""Bound the attempts that are started again."""

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from mustardvale.internal import state as states

RETRIES_PER_REQUEST = 0.1
# The loss of one runner can end some fifty answers of an instance at once;
# these restart without waiting for further requests.
LARGEST_BALANCE = 50.0
# A runner that leaves refuses a step without running it, so a planned stop
# costs nothing.
LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Hold how many attempts may be started again."""

    balance: float = LARGEST_BALANCE


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """Pair the next state with whether another attempt may start."""

    state: 'states.State'
    granted: bool


def earn(state: 'states.State') -> 'states.State':
    """Add the part of a retry that a new request allows."""
    balance = state.retries.balance + RETRIES_PER_REQUEST
    budget = RetryBudget(min(balance, LARGEST_BALANCE))
    return dataclasses.replace(state, retries=budget)


def spend(problem: str, state: 'states.State') -> Spent:
    """Take a retry from the budget, if there is one."""
    if problem == LEAVING:
        return Spent(state, granted=True)
    balance = state.retries.balance - 1
    if balance < 0:
        return Spent(state, granted=False)
    budget = RetryBudget(balance)
    return Spent(dataclasses.replace(state, retries=budget), granted=True)
