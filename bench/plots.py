"""Plot the measurements of routing decisions and policies.

python -m bench.plots
"""

import json
import typing

import fire
import matplotlib
from matplotlib import pyplot

from bench import measurements

POLICY_FILES = ('mixed-stale', 'uniform-fresh')


def read_results(name: str) -> dict[str, typing.Any]:
    """Return the results that `measurements.write` wrote."""
    path = measurements.DIRECTORY / f'{name}.json'
    results: dict[str, typing.Any] = json.loads(path.read_text())
    return results


def plot_decisions() -> None:
    """Plot the time per decision against the number of runners."""
    runners = read_results('decisions')['runners']
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for name in next(iter(runners.values())):
        axes.plot(
            [int(count) for count in runners],
            [results[name]['median'] for results in runners.values()],
            marker='o',
            label=name,
        )
    axes.set(
        xscale='log',
        yscale='log',
        xlabel='runners that hold the layers',
        ylabel='microseconds per decision',
    )
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(measurements.DIRECTORY / 'decisions.svg')


def plot_policies() -> None:
    """Plot the served load against the requested load for each policy."""
    figure, columns = pyplot.subplots(1, len(POLICY_FILES), figsize=(10, 4.5))
    for axes, name in zip(columns, POLICY_FILES, strict=True):
        rows = read_results(f'policies-{name}')['runs']
        for policy in dict.fromkeys(row['policy'] for row in rows):
            policy_rows = [row for row in rows if row['policy'] == policy]
            axes.plot(
                [row['part_of_bound'] for row in policy_rows],
                [row['share_of_bound'] for row in policy_rows],
                marker='o',
                label=policy,
            )
        axes.set(
            title=name.replace('-', ' accelerators, ') + ' reports',
            xlabel='requested part of the bound',
            ylabel='served part of the bound',
        )
        axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(measurements.DIRECTORY / 'policies.svg')


def main() -> None:
    """Write all plots."""
    matplotlib.use('svg')
    plot_decisions()
    plot_policies()


if __name__ == '__main__':
    fire.Fire(main)
