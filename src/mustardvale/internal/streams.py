"""Name the streams of the log service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Mark a data class as the name of a stream."""

    @property
    def name(self) -> str:
        """Return the name that the log service knows."""
        raise NotImplementedError


@dataclasses.dataclass(frozen=True, slots=True)
class EnvironmentStream(Stream):
    """Hold the promotions of one environment."""

    environment: str

    @property
    def name(self) -> str:
        """Return the name that the log service knows."""
        return f'environment.{self.environment}'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStream(Stream):
    """Hold the attempts of the actions of one partition."""

    partition: int

    @property
    def name(self) -> str:
        """Return the name that the log service knows."""
        return f'attempts.{self.partition}'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderStream(Stream):
    """Hold the placement plans."""

    @property
    def name(self) -> str:
        """Return the name that the log service knows."""
        return 'orders'
