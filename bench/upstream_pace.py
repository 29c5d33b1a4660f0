"""Compare ways to send to a new upstream, with many instances that want to.

PYTHONPATH=src:. python -m bench.upstream_pace

`bench/pace_model.py` has the model and describes the rules.
"""

import itertools
import statistics

import fire

from bench import pace_model

STEP_COUNT = 600
WINDOW_STEPS = 10
# Numbers of instances, and requests that the upstream can hold.
SITES = ((7, 16), (58, 16), (195, 16), (195, 64))
RULES = ('answers', 'ramp', 'loads')


def simulate(
    rule: str, speed: str, count: int, capacity: int, seed: int
) -> dict[str, float]:
    """Return the peak of arrivals in 100 ms and the use, as shares."""
    run = pace_model.Run(rule, speed, count, capacity, seed)
    for step in range(STEP_COUNT):
        run.advance(step * pace_model.STEP_SECONDS)
    windows = zip(*(run.arrivals[start:] for start in range(WINDOW_STEPS)))
    third, last = run.occupied[200:300], run.occupied[-100:]
    return {
        'peak': round(max(map(sum, windows)) / capacity, 2),
        'refused': run.refusal_count,
        'third_second': round(statistics.fmean(third) / capacity, 2),
        'last_second': round(statistics.fmean(last) / capacity, 2),
    }


def main(seed: int = 1) -> None:
    """Print the results of all rules, speeds and numbers of instances."""
    for speed, site, rule in itertools.product(pace_model.SPEEDS, SITES, RULES):
        print(speed, *site, rule, simulate(rule, speed, *site, seed))


if __name__ == '__main__':
    fire.Fire(main)
