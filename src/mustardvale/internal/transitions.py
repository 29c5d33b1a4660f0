"""Define the result of handling one event."""

import dataclasses
import typing
from collections import abc

from mustardvale.internal import effects as effect_types

StateT = typing.TypeVar('StateT')
ItemT = typing.TypeVar('ItemT')


@dataclasses.dataclass(frozen=True, slots=True)
class Transition(typing.Generic[StateT]):
    """Pair the next state with the effects for the edge to perform."""

    state: StateT
    effects: tuple[effect_types.Effect, ...] = ()

    def then(
        self,
        step: abc.Callable[[StateT], 'Transition[StateT]'],
    ) -> 'Transition[StateT]':
        """Apply another step to the state and append its effects."""
        following = step(self.state)
        return Transition(following.state, self.effects + following.effects)

    def then_each(
        self,
        elements: abc.Iterable[ItemT],
        step: abc.Callable[[ItemT, StateT], 'Transition[StateT]'],
    ) -> 'Transition[StateT]':
        """Apply a step to the state for each element and append effects."""
        state = self.state
        collected = list(self.effects)
        for element in elements:
            following = step(element, state)
            state = following.state
            collected.extend(following.effects)
        return Transition(state, tuple(collected))

    def with_effects(
        self,
        *further: effect_types.Effect,
    ) -> 'Transition[StateT]':
        """Return the transition with effects appended."""
        return Transition(self.state, self.effects + further)
