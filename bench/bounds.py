"""Compute the throughput bound of a set of runners from their hardware.

    python -m bench.bounds --site cooperative --runners 40

Model: an iteration of a runner takes `iteration_seconds` plus `input_seconds`
for each input, and runs at most `batch_limit` steps. An answer of T tokens to a
prompt of P tokens, of which C are cached, takes T steps and P - C + T - 1
inputs at one runner of each stage, so it occupies that runner for

    T / batch_limit * iteration_seconds + (P - C + T - 1) * input_seconds

A runner's link carries the activations of the same inputs into the runner and
out of it. The capacity of a runner is the smaller of those of its accelerator
and its link, the capacity of a stage is the sum over its runners, and the
throughput is bounded by the stage with the smallest capacity. A single answer
takes at least one iteration and one link delay in each direction for each token
and stage. No routing policy can exceed these bounds, and unequal runners reach
them only if each is loaded in proportion to its capacity.
"""

import dataclasses
import math
from collections import abc

import fire

from bench import site_specs
from standins import engine

# Size of the activation of one token position (design page, section 7.2).
ACTIVATION_BYTES = 16 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """Describe the network link of a runner; the delay is one way."""

    delay_seconds: float = 0
    bytes_per_second: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """Pair the engine configuration of a runner with its link."""

    config: engine.EngineConfig
    link: Link = Link()


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Describe prompts and answers by their mean lengths in tokens."""

    prompt_tokens: float
    answer_tokens: float
    cached_tokens: float = 0

    @property
    def input_count(self) -> float:
        """Return how many inputs a runner processes for one answer."""
        return self.prompt_tokens - self.cached_tokens + self.answer_tokens - 1


@dataclasses.dataclass(frozen=True, slots=True)
class StageBound:
    """Hold the throughput bound of one stage.

    `limited_by` is `link` if the links lower the capacity of the stage, else
    `compute`.
    """

    first_layer: int
    end_layer: int
    runners: int
    answers_per_second: float
    limited_by: str


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Hold the throughput bound of a set of runners.

    `single_answer_tokens_per_second` and `first_token_seconds` apply to a
    single answer at the fastest runner of each stage.
    """

    stages: tuple[StageBound, ...]
    slowest: StageBound
    answers_per_second: float
    tokens_per_second: float
    single_answer_tokens_per_second: float
    first_token_seconds: float


def compute_accelerator_capacity(
    config: engine.EngineConfig, workload: Workload
) -> float:
    """Compute how many answers per second an accelerator can run."""
    iterations = workload.answer_tokens / config.batch_limit
    seconds = (
        iterations * config.iteration_seconds
        + workload.input_count * config.input_seconds
    )
    return 1 / seconds


def compute_link_capacity(link: Link, workload: Workload) -> float:
    """Compute how many answers per second the link of a runner can carry.

    Each direction has the full bandwidth and carries the same amount, so only
    one direction counts.
    """
    return link.bytes_per_second / (workload.input_count * ACTIVATION_BYTES)


def compute_stage_bound(
    runners: abc.Sequence[Runner], workload: Workload
) -> StageBound:
    """Compute the bound of runners that hold the same layers."""
    accelerator_capacity = sum(
        compute_accelerator_capacity(runner.config, workload)
        for runner in runners
    )
    capacity = sum(
        min(
            compute_accelerator_capacity(runner.config, workload),
            compute_link_capacity(runner.link, workload),
        )
        for runner in runners
    )
    config = runners[0].config
    return StageBound(
        config.first_layer,
        config.end_layer,
        len(runners),
        capacity,
        'link' if capacity < accelerator_capacity else 'compute',
    )


def group_stages(
    runners: abc.Iterable[Runner],
) -> tuple[tuple[Runner, ...], ...]:
    """Group runners by layer range, in the order of the layers.

    Raises `ValueError` if the ranges overlap or leave a gap.
    """
    groups: dict[tuple[int, int], list[Runner]] = {}
    for runner in runners:
        layers = (runner.config.first_layer, runner.config.end_layer)
        groups.setdefault(layers, []).append(runner)
    ordered = sorted(groups)
    expected = 0
    for first, end in ordered:
        if first != expected:
            raise ValueError(f'stage starts at layer {first}, not {expected}')
        expected = end
    return tuple(tuple(groups[layers]) for layers in ordered)


def compute_step_seconds(runner: Runner, input_count: float) -> float:
    """Compute the time of a step that runs alone, including its transfers."""
    config = runner.config
    transfer_seconds = (
        input_count * ACTIVATION_BYTES / runner.link.bytes_per_second
    )
    return (
        config.iteration_seconds
        + input_count * config.input_seconds
        + 2 * (runner.link.delay_seconds + transfer_seconds)
    )


def compute_bound(runners: abc.Iterable[Runner], workload: Workload) -> Bound:
    """Compute the bound of runners that together hold a whole model."""
    stages = group_stages(runners)
    bounds = tuple(compute_stage_bound(stage, workload) for stage in stages)
    slowest = min(bounds, key=lambda stage: stage.answers_per_second)
    prefill_inputs = workload.prompt_tokens - workload.cached_tokens
    token_seconds = sum(
        min(compute_step_seconds(runner, 1) for runner in stage)
        for stage in stages
    )
    return Bound(
        stages=bounds,
        slowest=slowest,
        answers_per_second=slowest.answers_per_second,
        tokens_per_second=slowest.answers_per_second * workload.answer_tokens,
        single_answer_tokens_per_second=1 / token_seconds,
        first_token_seconds=sum(
            min(
                compute_step_seconds(runner, prefill_inputs) for runner in stage
            )
            for stage in stages
        ),
    )


def build_runners(plan: site_specs.Plan) -> tuple[Runner, ...]:
    """Build the runners of a site; a link delay is half of a round trip."""
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
    """Print the bounds of a site for prompts and answers of mean lengths."""
    spec = site_specs.SiteSpec(site, runners=runners)
    workload = Workload(prompt_tokens, answer_tokens, cached_tokens)
    site_bound = compute_bound(
        build_runners(site_specs.build_plan(spec)), workload
    )
    for stage in site_bound.stages:
        print(
            f'layers {stage.first_layer}-{stage.end_layer}:'
            f' {stage.runners} runners,'
            f' {stage.answers_per_second:.1f} answers/s by {stage.limited_by}',
        )
    print(
        f'bound: {site_bound.answers_per_second:.1f} answers/s,'
        f' {site_bound.tokens_per_second:.0f} tokens/s; a single answer:'
        f' first token after {site_bound.first_token_seconds * 1000:.1f} ms,'
        f' {site_bound.single_answer_tokens_per_second:.1f} tokens/s',
    )


if __name__ == '__main__':
    fire.Fire(main)
