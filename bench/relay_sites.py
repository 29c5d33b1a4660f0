"""Run a site whose entry instances relay requests, and inject faults.

    with relay_sites.RelaySite(seed=1) as site:
        site.kill('entry-0')
        site.set_link_faults('store.entry-1', delay_seconds=0.2)

Each connection to the store or a runner passes a proxy. Its links are named by
the instance that reads the store, as in `store.entry-0`, or by the runner, as
in `m3`. The histories of callers, runners and the operator are files in
`site.directory`.
"""

import base64
import functools
import json
import pathlib
import struct
import tempfile
import time
import types
import typing
from http import client

from bench import processes, relay_checks, relay_load

START_TIMEOUT_SECONDS = 30.0
ZONES = ('zone-a', 'zone-b')
TENANTS = (('ann', 'key-of-ann'), ('bob', 'key-of-bob'), ('eve', 'key-of-eve'))
LENGTH_PREFIX = struct.Struct('>I')
SLOTS_PER_RUNNER = 64
CALL_TIMEOUT_SECONDS = 3.0
ADDRESSES_PER_ENTRY = 5

# Layers that each kind of accelerator holds with `CACHE_MEGABYTES` left free for
# requests.
LAYERS_BY_ACCELERATOR = types.MappingProxyType({'large': 4, 'small': 2})
LAYER_MEGABYTES = 1000
CACHE_MEGABYTES = 900


def build_configuration(
    version: int, keys: dict[str, list[str]], timeout_ms: int
) -> dict[str, typing.Any]:
    """Return a configuration in the format of the platform."""
    return {
        'version': version,
        'routes': [
            build_route('generate', 'streaming', 'model', timeout_ms),
            build_route('read', 'idempotent', 'plain', timeout_ms),
            build_route('write', 'non_idempotent', 'plain', timeout_ms),
        ],
        'services': [
            {'name': 'plain'},
            {'name': 'model', 'engine': build_engine()},
        ],
        'limits': {
            'max-header-bytes': 8192,
            'max-body-bytes': 100_000,
            'header-timeout-ms': 2000,
            'idle-timeout-ms': 8000,
        },
        'tenants': [
            {'name': name, 'api-keys': api_keys}
            for name, api_keys in keys.items()
        ],
    }


def build_route(
    name: str, kind: str, service: str, timeout_ms: int
) -> dict[str, typing.Any]:
    """Return the configuration of a route to a service."""
    return {
        'name': name,
        'host': relay_load.HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': timeout_ms,
        'target-latency-ms': 500,
        'gap-target-ms': 250,
        'max-attempts': 1 if kind == 'non_idempotent' else 2,
        'resumable': kind == 'streaming',
        'service': service,
    }


def build_engine() -> dict[str, typing.Any]:
    """Return the performance model of the runners' time and memory."""
    return {
        'layers': relay_checks.LAYER_COUNT,
        'layer-mb': LAYER_MEGABYTES,
        'kv-token-bytes': 80_000,
        'slots': SLOTS_PER_RUNNER,
        'step_ms': 1.0,
        'read_per_s': 100_000,
        'pipe-mbps': 10_000,
        'loads_at_once': 8,
        'models': [{'load-s': 1.5}],
        'kinds': [
            {
                'name': name,
                'size-mb': LAYER_MEGABYTES * layers + CACHE_MEGABYTES,
                'pace': 1.0,
                'read-factor': 1.0,
            }
            for name, layers in LAYERS_BY_ACCELERATOR.items()
        ],
    }


class RelaySite(processes.Startable):
    """Control the processes of a site.

    `keys_by_tenant` and `timeout_ms` are the current configuration, which
    `write_configuration` writes. `rate` (requests per second), `seconds` and
    `seed` describe the load.
    """

    def __init__(
        self,
        seed: int = 1,
        entries: int = 3,
        rate: float = 30,
        seconds: float = 12,
        directory: pathlib.Path | None = None,
    ) -> None:
        self.directory = directory or pathlib.Path(
            tempfile.mkdtemp(prefix='mustardvale-relay-')
        )
        self.version = 0
        self.written_configuration = b''
        self.written_keys: tuple[str, ...] = ()
        self.keys_by_tenant = {name: [key] for name, key in TENANTS}
        self.timeout_ms = 5000
        self.seconds = seconds
        self.rate = rate
        self.seed = seed
        self.entry_names = tuple(f'entry-{number}' for number in range(entries))
        self.runners = build_runners()
        link_names = [f'store.{name}' for name in self.entry_names]
        link_names += [row['runner_id'] for row in self.runners]
        free_addresses = iter(
            processes.find_free_addresses(
                4 + 2 * len(self.runners) + (ADDRESSES_PER_ENTRY + 1) * entries
            )
        )
        self.store_address = next(free_addresses)
        self.runner_control_address = next(free_addresses)
        self.proxy_control_address = next(free_addresses)
        self.link_addresses = {
            name: next(free_addresses) for name in link_names
        }
        self.listen_addresses = {
            row['runner_id']: next(free_addresses) for row in self.runners
        }
        self.entry_addresses = {
            name: [next(free_addresses) for _ in range(ADDRESSES_PER_ENTRY)]
            for name in self.entry_names
        }
        self.processes = {
            spec.name: processes.Process(spec, self.directory)
            for spec in self.build_process_specs()
        }

    def build_process_specs(self) -> list[processes.ProcessSpec]:
        """Return the specs of all processes in the order of their start."""
        runner_history = str(self.directory / 'runners.jsonl')
        commands = [
            ('store', 'standins.platform_store_main', (self.store_address,)),
            (
                'proxy',
                'standins.loopback_proxy_main',
                (self.get_plan_path('proxy'),),
            ),
            (
                'runners',
                'standins.layered_runner_main',
                (self.get_plan_path('runners'), runner_history),
            ),
            *(
                (name, 'mustardvale.relay_daemon', (self.get_plan_path(name),))
                for name in self.entry_names
            ),
        ]
        return [
            processes.ProcessSpec(name, module, '', arguments)
            for name, module, arguments in commands
        ]

    def get_plan_path(self, name: str) -> str:
        """Return the path of a plan or settings file."""
        return str(self.directory / f'{name}.plan')

    def start(self) -> None:
        """Start all processes and wait until all layers are placed."""
        self.write_plans()
        self.processes['store'].start()
        processes.wait_until(
            functools.partial(
                processes.is_answering,
                self.store_address,
                '/api/log-newest?topic=keyed.op&part=0',
            ),
            START_TIMEOUT_SECONDS,
            'answer of the store',
        )
        self.write_configuration()
        for name, process in self.processes.items():
            if name != 'store':
                process.start()
        for name in self.entry_names:
            self.wait_until_ready(name)
        self.wait_until_placed()

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes.values():
            process.kill()

    def write_plans(self) -> None:
        """Write the plan and settings files of all processes."""
        self.write_plan(
            'proxy',
            {
                'control': self.proxy_control_address,
                'links': [
                    {
                        'name': name,
                        'listen': address,
                        'target': self.listen_addresses.get(
                            name, self.store_address
                        ),
                    }
                    for name, address in self.link_addresses.items()
                ],
            },
        )
        self.write_plan(
            'runners',
            {
                'control': self.runner_control_address,
                'store': self.store_address,
                'layers': relay_checks.LAYER_COUNT,
                'runners': [
                    row
                    | {
                        'address': self.link_addresses[row['runner_id']],
                        'listen': self.listen_addresses[row['runner_id']],
                    }
                    for row in self.runners
                ],
            },
        )
        for name in self.entry_names:
            self.write_settings(name)

    def write_plan(self, name: str, plan: typing.Any) -> None:
        """Write a plan file."""
        pathlib.Path(self.get_plan_path(name)).write_text(json.dumps(plan))

    def write_settings(self, name: str, **overrides: typing.Any) -> None:
        """Write the settings file of an entry instance."""
        front, readiness, directory, metrics, peers = self.entry_addresses[name]
        settings = {
            'instance-id': name,
            'availability-zone': ZONES[
                self.entry_names.index(name) % len(ZONES)
            ],
            'region': 'region',
            'front-address': front,
            'readiness-address': readiness,
            'directory-address': directory,
            'metrics-port': metrics.rpartition(':')[2],
            'peer-port': peers.rpartition(':')[2],
            'store-address': self.link_addresses[f'store.{name}'],
            'strict-revocation': True,
            'revocation-ms': int(relay_checks.REVOCATION_SECONDS * 1000),
            'stop-seconds': 4,
            'retry-ratio': relay_checks.RETRY_RATIO,
            'retry-window-seconds': relay_checks.RETRY_WINDOW_SECONDS,
            'retry-slack': relay_checks.RETRIES_PER_WINDOW,
            **overrides,
        }
        lines = (
            f'{name} = {json.dumps(value)}\n'
            for name, value in settings.items()
        )
        pathlib.Path(self.get_plan_path(name)).write_text(''.join(lines))

    def write_configuration(self) -> None:
        """Write the next version of the configuration to the store.

        Raises `ProcessError` if the store does not confirm it.
        """
        self.version += 1
        self.written_keys = tuple(
            key
            for tenant_keys in self.keys_by_tenant.values()
            for key in tenant_keys
        )
        self.written_configuration = json.dumps(
            build_configuration(
                self.version, self.keys_by_tenant, self.timeout_ms
            )
        ).encode()
        # Recorded before the write, since a version whose confirmation is lost
        # may still come into force.
        self.record_event(
            'config_sent', version=self.version, keys=self.written_keys
        )
        self.rewrite_configuration()

    def rewrite_configuration(self) -> None:
        """Write the last version of the configuration, also once more.

        Raises `ProcessError` if the store does not confirm it.
        """
        self.append_record('keyed.op', 'config', self.written_configuration)
        self.record_event(
            'config', version=self.version, keys=self.written_keys
        )

    def append_record(self, topic: str, key: str, content: bytes) -> None:
        """Append a record to a topic of the store."""
        record = bytes((len(key),)) + key.encode() + content
        self.post(
            self.store_address,
            f'/api/log-append?topic={topic}&part=0',
            LENGTH_PREFIX.pack(len(record)) + record,
        )

    def post(self, address: str, target: str, body: bytes) -> None:
        """Send a POST to a stand-in.

        Raises `ProcessError` if the answer is missing or its status is not 200.
        """
        connection = client.HTTPConnection(
            address, timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            connection.request('POST', target, body)
            answer = connection.getresponse()
            answer.read()
        except (OSError, client.HTTPException) as error:
            raise processes.ProcessError(f'{target}: {error!r}') from error
        finally:
            connection.close()
        if answer.status != 200:
            raise processes.ProcessError(f'{target}: status {answer.status}')

    def record_event(self, event: str, **fields: typing.Any) -> None:
        """Append a line to the operator's history."""
        line = {'event': event, 'at': time.time(), **fields}
        with (self.directory / 'operator.jsonl').open('a') as opened:
            opened.write(f'{json.dumps(line)}\n')

    def set_store_faults(self, **faults: typing.Any) -> None:
        """Replace the faults of the store."""
        self.post(self.store_address, '/faults', json.dumps(faults).encode())

    def set_runner_faults(self, name: str, **faults: typing.Any) -> None:
        """Replace the faults of a runner."""
        body = json.dumps({'runner_id': name, **faults}).encode()
        self.post(self.runner_control_address, '/faults', body)

    def set_link_faults(self, name: str, **faults: typing.Any) -> None:
        """Replace the faults of a link."""
        body = json.dumps({'link': name, **faults}).encode()
        self.post(self.proxy_control_address, '/faults', body)

    def find_process(self, name: str) -> processes.Process:
        """Return a process by its name."""
        return self.processes[name]

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.processes[name].kill()

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.processes[name].freeze()

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.processes[name].resume()

    def wait_until_ready(self, name: str) -> None:
        """Wait until an entry instance reports that it is ready."""
        processes.wait_until(
            functools.partial(
                processes.is_answering,
                self.entry_addresses[name][1],
                '/api/readiness',
                200,
            ),
            START_TIMEOUT_SECONDS,
            f'readiness of {name}',
        )

    def wait_until_placed(self) -> None:
        """Wait until every model runner has layers."""
        processes.wait_until(
            self.is_placed, START_TIMEOUT_SECONDS, 'placement of all layers'
        )

    def is_placed(self) -> bool:
        """Return whether the store lists layers for every model runner."""
        target = '/api/log-newest?topic=keyed.servers&part=0'
        answer = processes.send_request(
            'GET', self.store_address, target
        ).decode_json()
        placed = sum(
            b'"layers"' in base64.b64decode(row['value'])
            for row in answer['items']
        )
        return placed == sum('accelerator' in row for row in self.runners)

    def build_load_process(self, **fields: typing.Any) -> processes.Process:
        """Return the process of the callers, which is not started yet.

        `fields` replaces those of the plan of the load.
        """
        self.write_plan(
            'load',
            {
                'run_id': f'q{self.seed}',
                'directories': [
                    addresses[2] for addresses in self.entry_addresses.values()
                ],
                'keys': [[key, name] for name, key in TENANTS],
                'rate': self.rate,
                'duration_seconds': self.seconds,
                'seed': self.seed,
                **fields,
            },
        )
        spec = processes.ProcessSpec(
            'load',
            'bench.relay_load_main',
            '',
            (self.get_plan_path('load'), str(self.directory / 'callers.jsonl')),
        )
        return processes.Process(spec, self.directory)

    def read_history(self) -> relay_checks.History:
        """Return the lines of the histories of all processes."""
        lines: list[relay_checks.Line] = []
        for name in ('callers', 'runners', 'operator'):
            path = self.directory / f'{name}.jsonl'
            if path.exists():
                lines += map(json.loads, path.read_text().splitlines())
        return relay_checks.History(tuple(lines))


def build_runners() -> list[dict[str, typing.Any]]:
    """Return eight runners of a model and three of a plain service.

    The model runners of each zone hold one and a half copies of all layers.
    """
    model = [
        {
            'runner_id': f'm{number}',
            'service': 'model',
            'zone': ZONES[number % len(ZONES)],
            'slots': SLOTS_PER_RUNNER,
            'accelerator': 'large' if number < 4 else 'small',
        }
        for number in range(8)
    ]
    plain = [
        {
            'runner_id': f'p{number}',
            'service': 'plain',
            'zone': ZONES[number % len(ZONES)],
            'slots': SLOTS_PER_RUNNER,
        }
        for number in range(3)
    ]
    return model + plain
