"""Define rules for the values of settings."""

import dataclasses
import functools
import re
import typing

from mustardvale.internal import addresses


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Mark a data class as a rule for the value of a setting."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern(Rule):
    """Allow text that a pattern matches as a whole."""

    pattern: re.Pattern[str]
    advice: str


@dataclasses.dataclass(frozen=True, slots=True)
class Address(Rule):
    """Allow an address of the form IP:port."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice(Rule):
    """Allow one of a fixed set of words."""

    allowed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Integer(Rule):
    """Allow a whole number in a closed range."""

    minimum: int
    maximum: int


@dataclasses.dataclass(frozen=True, slots=True)
class Seconds(Rule):
    """Allow a duration in seconds in a closed range."""

    minimum: float
    maximum: float


@dataclasses.dataclass(frozen=True, slots=True)
class Number(Seconds):
    """Allow a number in a closed range."""


@functools.singledispatch
def allows(rule: Rule, text: str) -> bool:
    """Return whether a rule allows the text of a value."""
    raise TypeError(f'no check for {type(rule).__name__}')


@functools.singledispatch
def advise(rule: Rule) -> str:
    """Return advice on what a rule allows."""
    raise TypeError(f'no advice for {type(rule).__name__}')


@allows.register(Pattern)
def allows_pattern(rule: Pattern, text: str) -> bool:
    """Return whether a value matches the pattern."""
    return rule.pattern.fullmatch(text) is not None


@advise.register(Pattern)
def advise_pattern(rule: Pattern) -> str:
    """Return the advice that the pattern carries."""
    return rule.advice


@allows.register(Address)
def allows_address(rule: Address, text: str) -> bool:
    """Return whether a value is an address of the form IP:port."""
    return addresses.is_address(text)


@advise.register(Address)
def advise_address(rule: Address) -> str:
    """Describe the format of addresses."""
    return addresses.EXPECTED_FORM


@allows.register(Choice)
def allows_choice(rule: Choice, text: str) -> bool:
    """Return whether a value is one of the allowed words."""
    return text in rule.allowed


@advise.register(Choice)
def advise_choice(rule: Choice) -> str:
    """List the allowed words."""
    return f'use one of {", ".join(rule.allowed)}'


@allows.register(Integer)
def allows_integer(rule: Integer, text: str) -> bool:
    """Return whether a value is a whole number in the range."""
    return (
        text.isascii()
        and text.isdecimal()
        and rule.minimum <= int(text) <= rule.maximum
    )


@advise.register(Integer)
def advise_integer(rule: Integer) -> str:
    """Name the range."""
    return f'use a whole number from {rule.minimum} to {rule.maximum}'


@allows.register(Seconds)
def allows_seconds(rule: Seconds, text: str) -> bool:
    """Return whether a value is a number in the range; nan is not."""
    try:
        number = float(text)
    except ValueError:
        return False
    return rule.minimum <= number <= rule.maximum


@advise.register(Seconds)
def advise_seconds(rule: Seconds) -> str:
    """Name the range."""
    return f'use seconds from {rule.minimum:g} to {rule.maximum:g}'


@advise.register(Number)
def advise_number(rule: Number) -> str:
    """Name the range."""
    return f'use a number from {rule.minimum:g} to {rule.maximum:g}'


@functools.singledispatch
def convert(rule: Rule, text: str) -> typing.Any:
    """Convert an allowed value to the type of its field."""
    return text


@convert.register(Integer)
def convert_integer(rule: Integer, text: str) -> int:
    """Convert a value to a whole number."""
    return int(text)


@convert.register(Seconds)
def convert_seconds(rule: Seconds, text: str) -> float:
    """Convert a value to a float."""
    return float(text)
