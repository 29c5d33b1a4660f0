"""Generate pseudo-random numbers from a seed that is part of the state."""

import dataclasses

WORD_MASK = (1 << 64) - 1
GOLDEN_GAMMA = 0x9E3779B97F4A7C15
FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
SECOND_MULTIPLIER = 0x94D049BB133111EB


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """Pair the next seed with a uniformly distributed number in [0, 1)."""

    seed: int
    fraction: float


def draw(seed: int) -> Draw:
    """Generate one number with SplitMix64 (Steele et al. 2014)."""
    following = (seed + GOLDEN_GAMMA) & WORD_MASK
    mixed = ((following ^ (following >> 30)) * FIRST_MULTIPLIER) & WORD_MASK
    mixed = ((mixed ^ (mixed >> 27)) * SECOND_MULTIPLIER) & WORD_MASK
    mixed = mixed ^ (mixed >> 31)  # noqa: WPS350
    return Draw(following, (mixed >> 11) / (1 << 53))
