"""Start, stop and disturb a site whose entry instances relay requests.

    with relay_sites.RelaySite(seed=1) as site:
        site.kill('entry-0')
        site.set_link_faults('store.entry-1', delay_seconds=0.2)

Every connection to the store and to runners passes a proxy, as link
`store.entry-0` or `m3`. The histories of callers, runners and the operator are
files in `site.directory`.
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
STOP_SECONDS = 3.0
ZONES = ('zone-a', 'zone-b')
TENANTS = (('ann', 'key-of-ann'), ('bob', 'key-of-bob'), ('eve', 'key-of-eve'))
LENGTH_PREFIX = struct.Struct('>I')
SLOTS_PER_RUNNER = 64
CALL_TIMEOUT_SECONDS = 3.0
ADDRESSES_PER_ENTRY = 5

# Kinds of accelerators by the layers that they hold beside requests.
LAYERS_BY_ACCELERATOR = types.MappingProxyType({'large': 4, 'small': 2})
LAYER_MEGABYTES = 1000
CACHE_MEGABYTES = 900


def build_configuration(
    version: int, keys: dict[str, list[str]], timeout_ms: int
) -> dict[str, typing.Any]:
    """Return a configuration in the form of the platform."""
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
            {'name': name, 'api-keys': found} for name, found in keys.items()
        ],
    }


def build_route(
    name: str, kind: str, service: str, timeout_ms: int
) -> dict[str, typing.Any]:
    """Return a route to a service."""
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
    """Return the model of the runners' time and memory."""
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
    """Control the processes of a site."""

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
        self.keys_by_tenant = {name: [key] for name, key in TENANTS}
        self.timeout_ms = 5000
        self.seconds = seconds
        self.rate = rate
        self.seed = seed
        self.entry_names = tuple(f'entry-{number}' for number in range(entries))
        self.runners = build_runners()
        names = [f'store.{name}' for name in self.entry_names]
        names += [row['runner_id'] for row in self.runners]
        found = iter(
            processes.find_free_addresses(
                4 + 2 * len(self.runners) + (ADDRESSES_PER_ENTRY + 1) * entries
            )
        )
        self.store_address = next(found)
        self.runner_control_address = next(found)
        self.proxy_control_address = next(found)
        self.link_addresses = {name: next(found) for name in names}
        self.listen_addresses = {
            row['runner_id']: next(found) for row in self.runners
        }
        self.entry_addresses = {
            name: [next(found) for _ in range(ADDRESSES_PER_ENTRY)]
            for name in self.entry_names
        }
        self.processes = {
            spec.name: processes.Process(spec, self.directory)
            for spec in self.build_process_specs()
        }

    def build_process_specs(self) -> list[processes.ProcessSpec]:
        """Return all processes, in the order in which they start."""
        runner_history = str(self.directory / 'runners.jsonl')
        described = [
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
            for name, module, arguments in described
        ]

    def get_plan_path(self, name: str) -> str:
        """Return the path of a plan or settings file."""
        return str(self.directory / f'{name}.plan')

    def start(self) -> None:
        """Start everything and wait until layers are placed."""
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
        """Stop all processes by id."""
        for process in self.processes.values():
            process.kill()

    def write_plans(self) -> None:
        """Write the files that the processes are started with."""
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
        """Write one plan."""
        pathlib.Path(self.get_plan_path(name)).write_text(json.dumps(plan))

    def write_settings(self, name: str, **overrides: typing.Any) -> None:
        """Write the settings of an entry instance."""
        front, ready, directory, metrics, peers = self.entry_addresses[name]
        table = {
            'instance-id': name,
            'availability-zone': ZONES[
                self.entry_names.index(name) % len(ZONES)
            ],
            'region': 'region',
            'front-address': front,
            'readiness-address': ready,
            'directory-address': directory,
            'metrics-port': metrics.rpartition(':')[2],
            'peer-port': peers.rpartition(':')[2],
            'store-address': self.link_addresses[f'store.{name}'],
            'strict-revocation': True,
            'revocation-ms': int(relay_checks.REVOCATION_SECONDS * 1000),
            'stop-seconds': 4,
            'retry-ratio': relay_checks.RETRY_RATIO,
            'retry-window-seconds': relay_checks.RETRY_WINDOW_SECONDS,
            'retry-slack': relay_checks.RETRY_ALLOWANCE,
            **overrides,
        }
        lines = (f'{key} = {json.dumps(one)}\n' for key, one in table.items())
        pathlib.Path(self.get_plan_path(name)).write_text(''.join(lines))

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        table = build_configuration(
            self.version, self.keys_by_tenant, self.timeout_ms
        )
        keys = [key for found in self.keys_by_tenant.values() for key in found]
        # A version whose confirmation is lost may be in force all the same.
        self.record_event('config_sent', version=self.version, keys=keys)
        key = b'config'
        record = bytes((len(key),)) + key + json.dumps(table).encode()
        self.post(
            self.store_address,
            '/api/log-append?topic=keyed.op&part=0',
            LENGTH_PREFIX.pack(len(record)) + record,
        )
        self.record_event('config', version=self.version, keys=keys)

    def post(self, address: str, target: str, body: bytes) -> None:
        """Send a request to a stand-in, or raise `ProcessError`."""
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
            raise processes.ProcessError(f'{target}: {answer.status}')

    def record_event(self, event: str, **fields: typing.Any) -> None:
        """Write a line of the operator's history."""
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

    def process_of(self, name: str) -> processes.Process:
        """Return a process by its name."""
        return self.processes[name]

    def kill(self, name: str) -> None:
        """End a process without notice."""
        self.processes[name].kill()

    def freeze(self, name: str) -> None:
        """Pause a process."""
        self.processes[name].freeze()

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self.processes[name].resume()

    def wait_until_ready(self, name: str) -> None:
        """Wait until an entry instance says that it is ready."""
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
        """Wait until all model runners hold layers."""
        processes.wait_until(
            self.is_placed, START_TIMEOUT_SECONDS, 'placement of all layers'
        )

    def is_placed(self) -> bool:
        """Return whether the entries of all model runners have layers."""
        target = '/api/log-newest?topic=keyed.servers&part=0'
        answer = processes.send_request(
            'GET', self.store_address, target
        ).decode_json()
        placed = sum(
            b'"layers"' in base64.b64decode(row['value'])
            for row in answer['items']
        )
        return placed == sum('accelerator' in row for row in self.runners)

    def build_load(self) -> processes.Process:
        """Return the process that acts as callers, not started yet."""
        self.write_plan(
            'load',
            {
                'run_id': f'q{self.seed}',
                'directories': [
                    one[2] for one in self.entry_addresses.values()
                ],
                'keys': [[key, name] for name, key in TENANTS],
                'rate': self.rate,
                'duration_seconds': self.seconds,
                'seed': self.seed,
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
        """Return all lines of the histories."""
        lines: list[relay_checks.Line] = []
        for name in ('callers', 'runners', 'operator'):
            path = self.directory / f'{name}.jsonl'
            if path.exists():
                lines += map(json.loads, path.read_text().splitlines())
        return relay_checks.History(tuple(lines))


def build_runners() -> list[dict[str, typing.Any]]:
    """Return the runners: one and a half copies a zone, and a plain service."""
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
