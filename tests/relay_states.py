"""Build the state of an instance that relays requests, and drive it."""

import dataclasses
import logging
import typing

import immutables

from bench import chain_placement
from mustardvale.internal import effects, events
from mustardvale.internal.relay import (
    calls,
    configuration,
    handlers,
    instance_settings,
    members,
    requests,
    retry_budgets,
    runners,
    state,
    timers,
)
from mustardvale.internal.relay import effects as relay_effects
from mustardvale.internal.relay import events as relay_events
from tests import reducer_driver

HOST = 'site.example'
# A log line with a field of one of these names cannot be written.
RECORD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({})))
KEY = 'key-of-ann'

# Names for the accelerators of the benchmark that tell how they differ.
ACCELERATOR_NAMES = immutables.Map(
    {'a100': 'large', 'v100': 'small', 'l4': 'wide'}
)
ENGINE = dataclasses.replace(
    chain_placement.ENGINE,
    accelerators=immutables.Map(
        {
            ACCELERATOR_NAMES[kind]: dataclasses.replace(
                accelerator, name=ACCELERATOR_NAMES[kind]
            )
            for kind, accelerator in chain_placement.ENGINE.accelerators.items()
        }
    ),
    model_load_seconds=14,
    concurrent_loads=6,
)

IDENTITY = instance_settings.Identity(
    'entry-1',
    'zone-a',
    'region',
    instance_settings.Addresses(
        front='10.0.0.1:80',
        readiness='10.0.0.1:81',
        directory='10.0.0.1:82',
        metrics='10.0.0.1:83',
        store='10.9.0.1:90',
        peers='10.0.0.1:84',
    ),
)


def build_route(
    name: str, kind: configuration.RequestKind, **fields: typing.Any
) -> configuration.Route:
    """Return a route, by default to the service of the same name."""
    field_values = {
        'timeout_seconds': 20.0,
        'target_latency_seconds': 0.5,
        'maximum_attempts': 2,
        'event_gap_seconds': 0.25,
        **fields,
    }
    return configuration.Route(
        name,
        HOST,
        f'/{name}/',
        kind,
        (configuration.ServiceShare(field_values.pop('service', name), 1),),
        **field_values,
    )


ROUTES = (
    build_route(
        'model',
        configuration.RequestKind.STREAMING,
        is_resumable=True,
    ),
    build_route('read', configuration.RequestKind.IDEMPOTENT, service='plain'),
    build_route(
        'write',
        configuration.RequestKind.NON_IDEMPOTENT,
        service='plain',
        maximum_attempts=1,
        timeout_seconds=1.0,
    ),
    build_route(
        'open',
        configuration.RequestKind.IDEMPOTENT,
        service='plain',
        is_public=True,
    ),
)

CONFIGURATION = configuration.Configuration(
    version=7,
    routes_by_host=immutables.Map({HOST: ROUTES}),
    services=immutables.Map(
        {
            'model': configuration.Service('model', ENGINE),
            'plain': configuration.Service('plain'),
        }
    ),
    tenants_by_key=immutables.Map({KEY: configuration.Tenant('ann', 1)}),
    is_key_required=True,
)


def with_routes(
    routes: tuple[configuration.Route, ...],
) -> configuration.Configuration:
    """Return a newer version of the configuration with other routes."""
    return dataclasses.replace(
        CONFIGURATION,
        version=CONFIGURATION.version + 1,
        routes_by_host=immutables.Map({HOST: routes}),
    )


def build_model_runner(
    name: str, first: int, end: int, **fields: typing.Any
) -> runners.ListedRunner:
    """Return the entry of a model runner, without layers if `end` is 0."""
    field_values = {
        'accelerator': 'large',
        'availability_zone': 'zone-a',
        **fields,
    }
    return runners.ListedRunner(
        name,
        'model',
        f'10.1.0.{int(name[1:])}:8000',
        slots=96,
        started_at_ms=1,
        layers=runners.LayerRange(first, end) if end else None,
        **field_values,
    )


def build_plain_runner(name: str) -> runners.ListedRunner:
    """Return the entry of a runner of a plain service."""
    return runners.ListedRunner(
        name,
        'plain',
        f'10.2.0.{int(name[1:])}:8000',
        'zone-a',
        slots=6,
        started_at_ms=1,
    )


TWO_CHAINS = (
    build_model_runner('m1', 0, 40),
    build_model_runner('m2', 40, 80),
    build_model_runner('m3', 0, 40),
    build_model_runner('m4', 40, 80),
    build_plain_runner('p1'),
    build_plain_runner('p2'),
)


def build_client_request(
    path: str, attempt_id: str = 'a1', **fields: typing.Any
) -> requests.ClientRequest:
    """Return a request of a client with a key."""
    field_values: dict[str, typing.Any] = {
        'method': 'POST',
        'host': HOST,
        'headers': (),
        'body': b'',
        'api_key': KEY,
        'deadline_seconds': 20.0,
        **fields,
    }
    if path.startswith('/model/') and 'prompt' not in field_values:
        field_values['prompt'] = requests.Prompt('m', 800, 400, 200)
    return requests.ClientRequest(
        attempt_id=attempt_id, target=path, **field_values
    )


def build_head(status: int = 200, **fields: typing.Any) -> requests.AnswerHead:
    """Return the head of an answer with the runner's proof."""
    field_values: dict[str, typing.Any] = {
        'headers': (('server-stamp', 'stamp'),),
        'has_proof': True,
        **fields,
    }
    return requests.AnswerHead(status, **field_values)


UNEXECUTED_HEAD = build_head(
    503, is_unexecuted=True, has_proof=False, headers=()
)


def build_full_buckets(
    now: float, limits: instance_settings.Limits
) -> retry_budgets.RetryBuckets:
    """Return the full retry buckets of an instance that has run for long."""
    balance = limits.retries_per_window / 2
    return immutables.Map(
        {
            service: retry_budgets.RetryBucket(balance, now)
            for service in CONFIGURATION.services
        }
    )


class Instance(reducer_driver.Driver):
    """Drive an instance that has read its configuration and upstreams."""

    def __init__(
        self,
        listed: tuple[runners.ListedRunner, ...] = TWO_CHAINS,
        limits: instance_settings.Limits = instance_settings.Limits(),
    ) -> None:
        super().__init__(
            handlers.reduce,
            state.State(identity=IDENTITY, limits=limits, seed=1),
        )
        self.sends: list[relay_effects.StartSend] = []
        self.aborted_send_ids: list[str] = []
        self.stream_heads: dict[str, typing.Any] = {}
        self.log_lines: list[relay_effects.LogDecision] = []
        self.configure(CONFIGURATION)
        self.list_runners(listed)
        self.state = dataclasses.replace(
            self.state,
            members=members.MemberState(
                zone=members.GroupState(listed_generation=1),
                readers=members.GroupState(listed_generation=1),
            ),
            retry_buckets=build_full_buckets(self.now, limits),
        )
        self.emit_event(events.TimerFired, timer=timers.ExchangeCheckDue())

    def record_effect(self, effect: effects.Effect) -> None:
        """Record an effect."""
        match effect:
            case relay_effects.StartSend():
                self.sends.append(effect)
            case relay_effects.AbortSend(send_id):
                self.aborted_send_ids.append(send_id)
            case relay_effects.StartStream(request_id, stream_head):
                assert request_id not in self.stream_heads, (
                    'a stream has only one head'
                )
                self.stream_heads[request_id] = stream_head
            case relay_effects.LogDecision(_, fields):
                taken = RECORD_ATTRIBUTES.intersection(dict(fields))
                assert not taken, f'log records have attributes {taken}'
                self.log_lines.append(effect)
            case _:
                super().record_effect(effect)

    def configure(self, active: configuration.Configuration | None) -> None:
        """Deliver the store's answer to a read of the configuration."""
        self.emit_event(
            events.CallAnswered,
            call=calls.ReadConfiguration(requested_at=self.now),
            address='',
            answer=calls.ConfigurationRead(1, active),
        )

    def list_runners(self, listed: tuple[runners.ListedRunner, ...]) -> None:
        """Deliver the store's answer to a read of all upstreams."""
        changes = tuple(
            calls.RunnerChange(entry.runner_id, entry) for entry in listed
        )
        self.emit_event(
            events.CallAnswered,
            call=calls.ReadRunners(),
            address='',
            answer=calls.RunnersRead(1, changes),
        )

    def receive_request(
        self, request_id: str, path: str, **fields: typing.Any
    ) -> None:
        """Deliver a request of a client."""
        request = build_client_request(path, f'a-{request_id}', **fields)
        self.emit_event(
            events.CallerRequested, request_id=request_id, request=request
        )

    def start_send(self, number: int = -1) -> str:
        """Report that a send is being written; return its id."""
        send_id = self.sends[number].send_id
        self.emit_event(relay_events.SendStarted, send_id=send_id)
        return send_id

    def deliver_answer(
        self, send_id: str, answer_head: requests.AnswerHead, *parts: bytes
    ) -> None:
        """Deliver the head and chunks of an answer."""
        self.emit_event(
            relay_events.HeadArrived, send_id=send_id, head=answer_head
        )
        self.deliver_chunks(send_id, *parts)

    def deliver_chunks(self, send_id: str, *parts: bytes) -> None:
        """Deliver chunks of an answer."""
        for part in parts:
            self.emit_event(
                relay_events.PartArrived, send_id=send_id, part=part
            )

    def end_answer(self, send_id: str) -> None:
        """Report the complete end of an answer."""
        self.emit_event(relay_events.SendEnded, send_id=send_id)

    def fail_send(self, send_id: str, was_sent: bool = True) -> None:
        """Report that a send failed, refused if it was not sent."""
        kind = (
            events.FailureKind.CLOSED
            if was_sent
            else (events.FailureKind.REFUSED)
        )
        self.emit_event(
            relay_events.SendFailed,
            send_id=send_id,
            failure=events.Failure(kind, was_sent),
        )

    def list_calls(self, kind: type[typing.Any]) -> list[effects.Call]:
        """Return the calls of a kind so far."""
        return [call for call in self.calls if isinstance(call.call, kind)]
