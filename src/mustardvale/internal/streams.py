"""Identify the streams of the log service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Mark a data class as the identifier of a stream."""

    @property
    def name(self) -> str:
        """Return the name that the log service knows."""
        raise NotImplementedError


@dataclasses.dataclass(frozen=True, slots=True)
class EnvironmentStream(Stream):
    """Identify the stream of promotions of one environment."""

    environment: str

    @property
    def name(self) -> str:
        """Return the name that the log service knows."""
        return f'environment.{self.environment}'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStream(Stream):
    """Identify the stream of action attempts of one partition."""

    partition: int

    @property
    def name(self) -> str:
        """Return the name that the log service knows."""
        return f'attempts.{self.partition}'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderStream(Stream):
    """Identify the stream of placement plans."""

    @property
    def name(self) -> str:
        """Return the name that the log service knows."""
        return 'orders'
