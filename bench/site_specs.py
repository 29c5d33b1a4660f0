"""Specify sites, and plan their instances and processes."""

import dataclasses
import importlib.util
import itertools
import pathlib
import types
import typing

import immutables
import msgspec

from bench import processes
from mustardvale import document as documents
from standins import engine, engine_main

EXAMPLES = processes.ROOT / 'examples'
ACTION_SERVICE_MODULE = 'standins.action_service_main'
ENTRY_POOL = 'entry'
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Accelerator:
    """Describe a kind of accelerator by the time of one iteration.

    An iteration takes `iteration_ms`, and `input_ms` more for each input.
    """

    name: str
    iteration_ms: float
    input_ms: float


ACCELERATORS = (
    Accelerator('standard', 4, 0.02),
    Accelerator('fast', 3, 0.01),
    Accelerator('slow', 6, 0.04),
    Accelerator('wide', 5, 0.01),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Hold the region and the availability zones of a site."""

    region: str
    zones: tuple[str, ...]


LOCATIONS = types.MappingProxyType(
    {
        'cooperative': Location(
            'east-mids',
            ('melton-vault', 'hartington-cave', 'colston-store'),
        ),
        'directorate': Location(
            'astana',
            ('astana-a', 'astana-b', 'astana-c'),
        ),
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class SiteSpec:
    """Specify a site: its size, its rates and the options of its processes.

    `runners` are spread evenly over `stages`; `runners_per_process` of them
    share a process. `document_path` replaces the example document of the site.
    `engine_options` are fields of `engine.EngineConfig` that all runners get.
    The runners of a stage take the kinds in `accelerators` in turn, and the
    round trips of their links from `link_round_trips_ms`.
    """

    name: str = 'cooperative'
    entries: int = 6
    runners: int = 12
    stages: int = 3
    action_runners: int = 3
    seed: int = 1
    list_lag_seconds: float = 0
    retention_seconds: float = 3600
    appends_per_second: float = 300
    runners_per_process: int = 1
    accelerators: tuple[Accelerator, ...] = ACCELERATORS
    document_path: pathlib.Path | None = None
    entry_arguments: tuple[str, ...] = ()
    engine_options: immutables.Map[str, typing.Any] = immutables.Map()
    link_round_trips_ms: tuple[float, ...] = (0,)
    weight_units_per_second: float = 20
    weight_slots: int = 2

    @property
    def location(self) -> Location:
        """Return the region and the zones of the site."""
        return LOCATIONS[self.name]

    @property
    def resolved_document_path(self) -> pathlib.Path:
        """Return the path of the given document or of the example document."""
        return self.document_path or EXAMPLES / f'{self.name}.toml'

    def read_document(self) -> str:
        """Return the text of the document of the site."""
        return self.resolved_document_path.read_text()

    def choose_zone(self, index: int) -> str:
        """Choose the availability zone of an instance by its index."""
        return self.location.zones[index % len(self.location.zones)]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Describe one instance of the platform's instance list.

    Several runners may share the process with `process_name`.
    """

    instance_id: str
    pool: str
    address: str
    availability_zone: str
    process_name: str
    peer_address: str = ''
    accelerator: Accelerator = ACCELERATORS[0]
    first_layer: int = 0
    end_layer: int = 0
    link_round_trip_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Hold the instances of a site and the addresses of its platform."""

    spec: SiteSpec
    document: documents.Document
    log_address: str
    list_address: str
    weight_store_address: str
    entries: tuple[Member, ...]
    runners: tuple[Member, ...]
    action_runners: tuple[Member, ...]

    @property
    def members(self) -> tuple[Member, ...]:
        """Return all instances that the instance list is to show."""
        return self.entries + self.runners + self.action_runners


def build_plan(spec: SiteSpec) -> Plan:
    """Choose the addresses, zones and layer ranges of a site."""
    document = documents.parse(spec.read_document())
    addresses = iter(
        processes.find_free_addresses(
            3 + 2 * spec.entries + spec.runners + spec.action_runners,
        )
    )
    return Plan(
        spec=spec,
        document=document,
        log_address=next(addresses),
        list_address=next(addresses),
        weight_store_address=next(addresses),
        entries=tuple(
            Member(
                instance_id=f'entry-{index}',
                pool=ENTRY_POOL,
                address=next(addresses),
                availability_zone=spec.choose_zone(index),
                process_name=f'entry-{index}',
                peer_address=next(addresses),
            )
            for index in range(spec.entries)
        ),
        runners=tuple(
            build_runner(index, next(addresses), document.models[0], spec)
            for index in range(spec.runners)
        ),
        action_runners=tuple(
            build_action_runner(index, next(addresses), document, spec)
            for index in range(count_action_runners(spec, document))
        ),
    )


def count_action_runners(
    spec: SiteSpec,
    document: documents.Document,
) -> int:
    """Return how many action runners to start.

    There are none without the stand-in of the action service, or if the
    document has no service.
    """
    if importlib.util.find_spec(ACTION_SERVICE_MODULE) is None:
        return 0
    return spec.action_runners if document.services else 0


def build_action_runner(
    index: int,
    address: str,
    document: documents.Document,
    spec: SiteSpec,
) -> Member:
    """Describe one runner of the action service."""
    return Member(
        instance_id=f'action-{index}',
        pool=document.services[0].pool,
        address=address,
        availability_zone=spec.choose_zone(index),
        process_name=f'action-{index}',
    )


def build_runner(
    index: int,
    address: str,
    model: documents.Model,
    spec: SiteSpec,
) -> Member:
    """Describe one model runner: its stage, layers, accelerator and process."""
    stage = index % spec.stages
    rank = index // spec.stages
    return Member(
        instance_id=f'runner-{index}',
        pool=model.pool,
        address=address,
        # The zone depends on the rank too, so that each stage has runners in
        # every zone.
        availability_zone=spec.choose_zone(stage + rank),
        process_name=f'runners-{index // spec.runners_per_process}',
        accelerator=spec.accelerators[rank % len(spec.accelerators)],
        first_layer=stage * model.layers // spec.stages,
        end_layer=(stage + 1) * model.layers // spec.stages,
        link_round_trip_ms=spec.link_round_trips_ms[
            rank % len(spec.link_round_trips_ms)
        ],
    )


def prepare_processes(
    plan: Plan,
    directory: pathlib.Path,
) -> tuple[processes.ProcessSpec, ...]:
    """Write the settings of the runners and describe all processes.

    Settings files are written to `directory`. The processes are in the order of
    their start.
    """
    return (
        describe_log(plan),
        describe_list(plan),
        describe_weights(plan),
        *(
            prepare_runners(name, tuple(members), plan, directory)
            for name, members in itertools.groupby(
                plan.runners,
                key=lambda member: member.process_name,
            )
        ),
        *(describe_action_runner(member) for member in plan.action_runners),
        *(describe_entry(member, plan) for member in plan.entries),
    )


def describe_log(plan: Plan) -> processes.ProcessSpec:
    """Describe the process of the log service."""
    return processes.ProcessSpec(
        'log',
        'standins.log_main',
        plan.log_address,
        (
            f'--address={plan.log_address}',
            f'--retention_seconds={plan.spec.retention_seconds}',
            f'--appends_per_second={plan.spec.appends_per_second}',
        ),
    )


def describe_list(plan: Plan) -> processes.ProcessSpec:
    """Describe the process of the instance list."""
    return processes.ProcessSpec(
        'list',
        'standins.list_main',
        plan.list_address,
        (
            f'--address={plan.list_address}',
            f'--lag_seconds={plan.spec.list_lag_seconds}',
        ),
    )


def describe_weights(plan: Plan) -> processes.ProcessSpec:
    """Describe the process of the weight store."""
    return processes.ProcessSpec(
        'weights',
        'standins.weight_main',
        plan.weight_store_address,
        (
            f'--address={plan.weight_store_address}',
            f'--units_per_second={plan.spec.weight_units_per_second}',
            f'--slots={plan.spec.weight_slots}',
        ),
    )


def build_engine_config(member: Member, plan: Plan) -> engine.EngineConfig:
    """Build the configuration of the engine stand-in of a model runner."""
    model = plan.document.models[0]
    is_fenced = any(
        pool.orders_fenced
        for pool in plan.document.pools
        if pool.name == model.pool
    )
    config = engine.EngineConfig(
        instance_id=member.instance_id,
        accelerator=member.accelerator.name,
        model=model.name,
        version=model.version,
        adapters=model.adapters,
        layers=model.layers,
        first_layer=member.first_layer,
        end_layer=member.end_layer,
        iteration_seconds=member.accelerator.iteration_ms
        / MILLISECONDS_PER_SECOND,
        input_seconds=member.accelerator.input_ms / MILLISECONDS_PER_SECOND,
        fenced=is_fenced,
        weight_store=plan.weight_store_address,
        link_seconds=member.link_round_trip_ms / MILLISECONDS_PER_SECOND,
    )
    return dataclasses.replace(config, **dict(plan.spec.engine_options))


def prepare_runners(
    name: str,
    members: tuple[Member, ...],
    plan: Plan,
    directory: pathlib.Path,
) -> processes.ProcessSpec:
    """Write the settings of runners and describe their shared process."""
    path = directory / f'{name}.json'
    settings = tuple(
        engine_main.EngineSettings(
            member.address, build_engine_config(member, plan)
        )
        for member in members
    )
    path.write_bytes(msgspec.json.encode(settings))
    return processes.ProcessSpec(
        name,
        'standins.engine_main',
        members[0].address,
        (f'--settings_file={path}',),
    )


def describe_action_runner(member: Member) -> processes.ProcessSpec:
    """Describe the process of a runner of the action service."""
    return processes.ProcessSpec(
        member.process_name,
        ACTION_SERVICE_MODULE,
        member.address,
        (
            f'--address={member.address}',
            f'--instance_id={member.instance_id}',
        ),
    )


def describe_entry(member: Member, plan: Plan) -> processes.ProcessSpec:
    """Describe the process of an entry instance."""
    return processes.ProcessSpec(
        member.process_name,
        'bench.entry_main',
        member.address,
        (
            f'--instance-id={member.instance_id}',
            f'--address={member.address}',
            f'--peer-address={member.peer_address}',
            f'--availability-zone={member.availability_zone}',
            f'--region={plan.spec.location.region}',
            f'--environment={plan.document.environment}',
            f'--log-address={plan.log_address}',
            f'--list-address={plan.list_address}',
            f'--weight-store-address={plan.weight_store_address}',
            f'--seed={plan.spec.seed + int(member.instance_id.split("-")[1])}',
            *plan.spec.entry_arguments,
        ),
    )
