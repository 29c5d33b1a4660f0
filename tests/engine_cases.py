"""Build engine stand-ins and steps for tests."""

import dataclasses
import typing

from mustardvale.internal import calls
from standins import engine, engine_handlers
from tests import reducer_driver

ITERATION_SECONDS = 0.01

CONFIG = engine.EngineConfig(
    instance_id='runner-0',
    accelerator='standard',
    model='affinage',
    version='3',
    adapters=('rind',),
    layers=4,
    first_layer=0,
    end_layer=4,
    iteration_seconds=ITERATION_SECONDS,
    input_seconds=0.001,
)


def build_driver(**fields: typing.Any) -> reducer_driver.Driver:
    """Return a driver of an engine without sessions.

    `fields` replace those of the default configuration.
    """
    config = dataclasses.replace(CONFIG, **fields)
    state = engine.State(config, cache=engine.build_cache(config))
    return reducer_driver.Driver(engine_handlers.reduce, state)


def build_step(
    session: str,
    position: int = 0,
    inputs: tuple[str, ...] = ('a',),
    **fields: typing.Any,
) -> calls.Step:
    """Return a step for the model that the engines hold."""
    return calls.Step(
        session,
        'affinage',
        '3',
        fields.pop('adapter', ''),
        position,
        inputs,
        **fields,
    )


def send_steps(
    driver: reducer_driver.Driver,
    request_id: str,
    *steps: calls.Step,
) -> None:
    """Send steps without waiting for their results."""
    driver.ask(request_id, calls.RunSteps(steps))


def run_steps(
    driver: reducer_driver.Driver,
    request_id: str,
    *steps: calls.Step,
    seconds: float = 1,
) -> tuple[calls.StepResult, ...]:
    """Send steps, let time pass and return their results."""
    send_steps(driver, request_id, *steps)
    driver.pass_time(seconds)
    results: tuple[calls.StepResult, ...] = driver.replies[request_id].results
    return results
