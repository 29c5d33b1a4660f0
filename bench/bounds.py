"""Compute the throughput that the hardware of a set of runners allows.

    python -m bench.bounds --site cooperative --runners 40

Model: an iteration of a runner takes `iteration_seconds` plus `input_seconds`
for each input, and runs at most `batch_limit` steps. An answer of T tokens to a
prompt of P tokens, of which C are cached, takes T steps and P - C + T - 1
inputs at one runner of each stage, so it takes a runner

    T / batch_limit * iteration_seconds + (P - C + T - 1) * input_seconds

A runner's link carries the activations of the same inputs into the runner and
out of it. The capacity of a runner is the smaller one of the two, that of a
stage the sum over its runners, and the bound is that of the smallest stage. One
answer alone cannot be faster than one iteration and one link delay in and out
at each stage for each token. No policy of a router can exceed these figures;
unequal runners reach them only if each gets its share.
"""

import dataclasses
import math
from collections import abc

import fire

from bench import site_specs
from standins import engine

# Size of the activation of one position (design page, section 7.2).
ACTIVATION_BYTES = 16 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """Describe the link of a runner; the delay is one way, in seconds."""

    delay_seconds: float = 0
    bytes_per_second: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """Pair what a runner holds with its link."""

    config: engine.EngineConfig
    link: Link = Link()


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Describe the answers; lengths are means in tokens."""

    prompt_tokens: float
    answer_tokens: float
    cached_tokens: float = 0

    @property
    def inputs(self) -> float:
        """Return the inputs that a runner runs for one answer."""
        return self.prompt_tokens - self.cached_tokens + self.answer_tokens - 1


@dataclasses.dataclass(frozen=True, slots=True)
class StageBound:
    """Bound one stage in answers per second.

    `limited_by` is `compute` or `link`, whichever is smaller in total.
    """

    first_layer: int
    end_layer: int
    runners: int
    answers_per_second: float
    limited_by: str


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Bound a set of runners.

    `answer_tokens_per_second` and `first_token_seconds` are those of a single
    answer at the fastest runner of each stage.
    """

    stages: tuple[StageBound, ...]
    slowest: StageBound
    answers_per_second: float
    tokens_per_second: float
    single_answer_tokens_per_second: float
    first_token_seconds: float


def compute_accelerator_capacity(
    config: engine.EngineConfig, work: Workload
) -> float:
    """Return how many answers a second the accelerator of a runner can run."""
    iterations = work.answer_tokens / config.batch_limit
    seconds = (
        iterations * config.iteration_seconds
        + work.inputs * config.input_seconds
    )
    return 1 / seconds


def compute_link_capacity(link: Link, work: Workload) -> float:
    """Return how many answers a second the link of a runner can carry.

    In and out are separate directions, so the larger of the two counts.
    """
    return link.bytes_per_second / (work.inputs * ACTIVATION_BYTES)


def compute_stage_bound(
    runners: abc.Sequence[Runner], work: Workload
) -> StageBound:
    """Bound the runners that hold the same layers."""
    compute = sum(
        compute_accelerator_capacity(runner.config, work) for runner in runners
    )
    both = sum(
        min(
            compute_accelerator_capacity(runner.config, work),
            compute_link_capacity(runner.link, work),
        )
        for runner in runners
    )
    config = runners[0].config
    return StageBound(
        config.first_layer,
        config.end_layer,
        len(runners),
        both,
        'link' if both < compute else 'compute',
    )


def group_stages(
    runners: abc.Iterable[Runner],
) -> tuple[tuple[Runner, ...], ...]:
    """Group runners by their layers, which must follow each other."""
    groups: dict[tuple[int, int], list[Runner]] = {}
    for runner in runners:
        layers = (runner.config.first_layer, runner.config.end_layer)
        groups.setdefault(layers, []).append(runner)
    ordered = sorted(groups)
    expected = 0
    for first, end in ordered:
        if first != expected:
            raise ValueError(f'layers {expected} to {first}: not one stage')
        expected = end
    return tuple(tuple(groups[layers]) for layers in ordered)


def compute_step_seconds(runner: Runner, inputs: float) -> float:
    """Return the time of one step that runs alone, with its link."""
    config = runner.config
    transfer = inputs * ACTIVATION_BYTES / runner.link.bytes_per_second
    return (
        config.iteration_seconds
        + inputs * config.input_seconds
        + 2 * (runner.link.delay_seconds + transfer)
    )


def compute_bound(runners: abc.Iterable[Runner], work: Workload) -> Bound:
    """Bound the throughput of runners that together hold a whole model."""
    stages = group_stages(runners)
    bounds = tuple(compute_stage_bound(stage, work) for stage in stages)
    slowest = min(bounds, key=lambda stage: stage.answers_per_second)
    prefill = work.prompt_tokens - work.cached_tokens
    token = sum(
        min(compute_step_seconds(runner, 1) for runner in stage)
        for stage in stages
    )
    return Bound(
        stages=bounds,
        slowest=slowest,
        answers_per_second=slowest.answers_per_second,
        tokens_per_second=slowest.answers_per_second * work.answer_tokens,
        single_answer_tokens_per_second=1 / token,
        first_token_seconds=sum(
            min(compute_step_seconds(runner, prefill) for runner in stage)
            for stage in stages
        ),
    )


def build_runners(plan: site_specs.Plan) -> tuple[Runner, ...]:
    """Return the runners of a site with the delays of their links."""
    configs = (
        site_specs.build_engine_config(member, plan) for member in plan.runners
    )
    return tuple(
        Runner(config, Link(config.link_seconds / 2)) for config in configs
    )


def main(
    site: str = 'cooperative',
    runners: int = 12,
    prompt_tokens: float = 38.5,
    answer_tokens: float = 20,
    cached_tokens: float = 0,
) -> None:
    """Print the bound of a site for answers of the given mean lengths."""
    spec = site_specs.SiteSpec(site, runners=runners)
    work = Workload(prompt_tokens, answer_tokens, cached_tokens)
    found = compute_bound(build_runners(site_specs.build_plan(spec)), work)
    for stage in found.stages:
        print(
            f'layers {stage.first_layer}-{stage.end_layer}:'
            f' {stage.runners} runners,'
            f' {stage.answers_per_second:.1f} answers/s by {stage.limited_by}',
        )
    print(
        f'bound: {found.answers_per_second:.1f} answers/s,'
        f' {found.tokens_per_second:.0f} tokens/s; a single answer:'
        f' first token after {found.first_token_seconds * 1000:.1f} ms,'
        f' {found.single_answer_tokens_per_second:.1f} tokens/s',
    )


if __name__ == '__main__':
    fire.Fire(main)
