"""Import every module that registers handlers of the command-line tool."""

from mustardvale.internal.commands import (
    entries,
    environments,
    promoting,
    reducer,
)

REGISTERED = (entries, environments, promoting)

reduce = reducer.reduce
