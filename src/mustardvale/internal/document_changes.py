"""Compare two environment documents and describe the differences."""

import dataclasses
import functools
import typing
from collections import abc

NAME = 'name'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Mark a data class as one difference between two documents.

    `path` locates the changed part, such as
    `client_accounts.melton-dairy.priority`.
    """

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ItemAdded(Change):
    """Report an added pool, model, service, operation or account."""

    added: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class ItemRemoved(Change):
    """Report a removed pool, model, service, operation or account."""

    removed: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChanged(Change):
    """Report a field whose value changed."""

    old: typing.Any
    new: typing.Any


def diff(
    old: typing.Any, new: typing.Any, prefix: str = ''
) -> tuple[Change, ...]:
    """Return the differences between two documents or two of their parts."""
    changes: list[Change] = []
    for field in dataclasses.fields(old):
        path = f'{prefix}{field.name}'
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if is_table(before) or is_table(after):
            changes.extend(diff_tables(path, before, after))
        elif before != after:
            changes.append(FieldChanged(path, before, after))
    return tuple(changes)


def is_table(candidate: typing.Any) -> bool:
    """Return whether a value is a non-empty tuple of named items."""
    return (
        isinstance(candidate, tuple)
        and bool(candidate)
        and hasattr(candidate[0], NAME)
    )


def diff_tables(
    path: str,
    before: abc.Sequence[typing.Any],
    after: abc.Sequence[typing.Any],
) -> tuple[Change, ...]:
    """Return the differences between two tables, whose items pair by name."""
    old_items = {item.name: item for item in before}
    new_items = {item.name: item for item in after}
    changes: list[Change] = [
        ItemRemoved(f'{path}.{name}', item)
        for name, item in old_items.items()
        if name not in new_items
    ]
    for name, item in new_items.items():
        old_item = old_items.get(name)
        if old_item is None:
            changes.append(ItemAdded(f'{path}.{name}', item))
        else:
            changes.extend(diff(old_item, item, f'{path}.{name}.'))
    return tuple(changes)


@functools.singledispatch
def describe(change: Change) -> str:
    """Describe a change in one line."""
    raise TypeError(f'no description for {type(change).__name__}')


@describe.register(ItemAdded)
def describe_added(change: ItemAdded) -> str:
    """Describe an added item as `+ path`."""
    return f'+ {change.path}'


@describe.register(ItemRemoved)
def describe_removed(change: ItemRemoved) -> str:
    """Describe a removed item as `- path`."""
    return f'- {change.path}'


@describe.register(FieldChanged)
def describe_field(change: FieldChanged) -> str:
    """Describe a changed field as `~ path: old -> new`."""
    return (
        f'~ {change.path}: '
        f'{format_value(change.old)} -> {format_value(change.new)}'
    )


@functools.singledispatch
def format_value(shown: typing.Any) -> str:
    """Format the value of a field for operators."""
    return str(getattr(shown, 'value', shown))


@format_value.register(tuple)
def format_names(shown: tuple[typing.Any, ...]) -> str:
    """Format a list of names for operators."""
    return f'[{", ".join(format_value(name) for name in shown)}]'
