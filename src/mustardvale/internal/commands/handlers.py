"""Import all modules that register handlers of the command-line tool."""

from mustardvale.internal.commands import (
    entries,
    environments,
    explaining,
    promoting,
    reducer,
)

REGISTERED = (entries, environments, explaining, promoting)

reduce = reducer.reduce
