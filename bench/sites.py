"""Start and stop all processes of one site, and inject faults.

    with sites.Site(site_specs.SiteSpec(runners=6)) as site:
        site.kill('runner-0')
        site.set_faults('log', {'down': True})

An instance is named by its id (`entry-0`, `runner-3`, `action-1`), a service of
the platform by `log`, `list` or `weights`. The logs stay in `site.directory`.
Runners that share a process cannot be killed or frozen separately; use
`set_faults` with `die` or `frozen` for those.
"""

import functools
import pathlib
import tempfile
import typing

import msgspec

from bench import processes, site_specs
from mustardvale.internal import promotions, records
from mustardvale.internal.edge import codec_records
from standins import step_audit

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 3.0
# An entry instance serves callers until the addresses that they hold expire.
GRACEFUL_SHUTDOWN_TIMEOUT_SECONDS = 60.0


class Site(processes.Startable):
    """Control the processes, the instance list and the faults of one site."""

    def __init__(
        self,
        spec: site_specs.SiteSpec | None = None,
        directory: pathlib.Path | None = None,
    ) -> None:
        self.spec = spec or site_specs.SiteSpec()
        self.plan = site_specs.build_plan(self.spec)
        self.directory = directory or pathlib.Path(
            tempfile.mkdtemp(prefix=f'mustardvale-{self.spec.name}-'),
        )
        self.processes = {
            spec.name: processes.Process(spec, self.directory)
            for spec in site_specs.prepare_processes(
                self.plan,
                self.directory,
            )
        }
        self.members = {
            member.instance_id: member for member in self.plan.members
        }

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Return the caller addresses of all entry instances."""
        return tuple(entry.address for entry in self.plan.entries)

    def start(self) -> None:
        """Start all processes, publish the document and wait for readiness."""
        for process in self.processes.values():
            process.start()
        for address, target in (
            (self.plan.log_address, '/v1/streams/orders/records'),
            (self.plan.list_address, '/v1/instances'),
        ):
            processes.wait_until(
                functools.partial(processes.is_answering, address, target),
                START_TIMEOUT_SECONDS,
                f'answer of {address}',
            )
        self.publish(self.spec.read_document())
        self.write_instance_list()
        self.wait_until_ready()
        self.wait_until_upstreams_usable()

    def stop(self) -> None:
        """Kill the entry instances and stop the other processes.

        A process that still runs after a timeout is killed.
        """
        for process in self.processes.values():
            # A graceful shutdown of an entry instance takes too long here,
            # as it serves callers until their addresses expire.
            if process.spec.name.startswith('entry'):
                process.kill()
            else:
                process.request_stop()
        for process in self.processes.values():
            process.stop(STOP_TIMEOUT_SECONDS)

    def write_instance_list(self) -> None:
        """Write all instances to the list, whose readers see them after a lag."""
        rows = [
            {
                'instance_id': member.instance_id,
                'pool': member.pool,
                'address': member.address,
                'availability_zone': member.availability_zone,
                'region': self.spec.location.region,
                'peer_address': member.peer_address,
            }
            for member in self.plan.members
        ]
        self.change_instance_list('PUT', '/v1/instances', {'instances': rows})

    def change_instance_list(
        self, method: str, target: str, body: typing.Any
    ) -> None:
        """Send a change to the instance list."""
        address = self.plan.list_address
        answer = processes.send_request(method, address, target, body)
        if answer.status != 200:
            raise processes.ProcessError(
                f'{target}: status {answer.status}: {answer.body!r}'
            )

    def mark_leaving(self, name: str) -> None:
        """Mark an instance as leaving in the instance list."""
        body = {'instance_id': name, 'state': 'leaving'}
        self.change_instance_list('POST', '/v1/instances/state', body)

    def mark_live(self, name: str) -> None:
        """Mark an instance as live in the instance list."""
        body = {'instance_id': name, 'state': 'live'}
        self.change_instance_list('POST', '/v1/instances/state', body)

    def remove_from_list(self, name: str) -> None:
        """Remove an instance from the instance list."""
        body = {'instance_id': name}
        self.change_instance_list('POST', '/v1/instances/remove', body)

    def read_promotion_state(self) -> promotions.PromotionState:
        """Read the environment stream and return its folded promotion state."""
        stream = f'environment.{self.plan.document.environment}'
        promoted = promotions.PromotionState()
        offset = 0
        while True:
            target = f'/v1/streams/{stream}/records?from={offset}'
            answer = processes.send_request(
                'GET', self.plan.log_address, target
            )
            page = answer.decode_json()
            for stored in page['records']:
                record = codec_records.decode_record(stored['record'])
                offset = stored['offset'] + 1
                folded = promotions.fold(record, stored['offset'], promoted)
                promoted = folded.promoted
            if offset >= page['next_offset']:
                return promoted

    def publish(self, document: str, operator: str = 'bench') -> int:
        """Promote a document based on the one in force; return its offset."""
        return self.publish_based_on(
            document, operator, self.read_promotion_state()
        )

    def publish_based_on(
        self,
        document: str,
        operator: str,
        promoted: promotions.PromotionState,
    ) -> int:
        """Promote a document based on a given state; return its offset."""
        record = records.Promotion(
            promotion_id=f'{operator}-{promoted.as_of + 1}',
            operator=operator,
            based_on_version=promoted.version,
            based_on_offset=promoted.offset,
            document=document,
        )
        stream = f'environment.{self.plan.document.environment}'
        answer = processes.send_request(
            'POST',
            self.plan.log_address,
            f'/v1/streams/{stream}/records',
            {'records': [codec_records.encode_record(record)]},
        )
        if answer.status != 200:
            raise processes.ProcessError(
                f'promotion: status {answer.status}: {answer.body!r}'
            )
        return int(answer.decode_json()['first_offset'])

    def wait_until_ready(
        self,
        timeout_seconds: float = START_TIMEOUT_SECONDS,
    ) -> None:
        """Wait until `/readyz` of every entry instance answers 200."""
        for entry in self.plan.entries:
            self.wait_for_entry(entry.instance_id, timeout_seconds)

    def wait_for_entry(
        self,
        name: str,
        timeout_seconds: float = START_TIMEOUT_SECONDS,
    ) -> None:
        """Wait until `/readyz` of one entry instance answers 200."""
        process = self.find_process(name)
        process.check_running()
        processes.wait_until(
            lambda: processes.is_answering(
                process.spec.address, '/readyz', 200
            ),
            timeout_seconds,
            f'readiness of {name}, log {process.log_path}',
        )

    def wait_until_upstreams_usable(
        self,
        timeout_seconds: float = START_TIMEOUT_SECONDS,
    ) -> None:
        """Wait until every entry instance holds each upstream as usable."""
        for entry in self.plan.entries:
            processes.wait_until(
                functools.partial(self.has_usable_upstreams, entry.address),
                timeout_seconds,
                f'usable upstreams at {entry.instance_id}',
            )

    def has_usable_upstreams(self, address: str) -> bool:
        """Return whether an entry instance holds all upstreams as usable."""
        status = processes.send_request(
            'GET', address, '/v1/status'
        ).decode_json()
        usable = [
            upstream['instance_id']
            for upstream in status['upstreams']
            if upstream['state'] == 'usable'
        ]
        upstream_count = len(self.plan.runners) + len(self.plan.action_runners)
        return len(usable) >= upstream_count

    def find_process(self, name: str) -> processes.Process:
        """Return the process of an instance or of a platform service.

        Raises `ProcessError` for an instance that shares its process.
        """
        member = self.members.get(name)
        if member is None:
            return self.processes[name]
        sharing = [
            other.instance_id
            for other in self.plan.members
            if other.process_name == member.process_name
        ]
        if len(sharing) > 1:
            raise processes.ProcessError(
                f'{name} shares a process with others, use set_faults',
            )
        return self.processes[member.process_name]

    def kill(self, name: str) -> None:
        """Kill the process of an instance."""
        self.find_process(name).kill()

    def shut_down_gracefully(
        self,
        name: str,
        timeout_seconds: float = GRACEFUL_SHUTDOWN_TIMEOUT_SECONDS,
    ) -> int:
        """Shut an instance down gracefully and return its exit status."""
        process = self.find_process(name)
        process.request_stop()
        return process.wait(timeout_seconds)

    def freeze(self, name: str) -> None:
        """Suspend the process of an instance (SIGSTOP)."""
        self.find_process(name).freeze()

    def resume(self, name: str) -> None:
        """Resume the suspended process of an instance (SIGCONT)."""
        self.find_process(name).resume()

    def start_again(self, name: str) -> None:
        """Start an instance that has ended, at the same address."""
        self.find_process(name).start()

    def restart(self, name: str) -> None:
        """Kill an instance and start it again at the same address."""
        self.kill(name)
        self.start_again(name)

    def find_address(self, name: str) -> str:
        """Return the address of an instance or of a platform service."""
        member = self.members.get(name)
        return member.address if member else self.processes[name].spec.address

    def set_faults(self, name: str, faults: dict[str, typing.Any]) -> None:
        """Replace the faults of a stand-in; `{}` removes all."""
        address = self.find_address(name)
        try:
            answer = processes.send_request('POST', address, '/faults', faults)
        except ConnectionError:
            # On a busy machine an engine may die before its answer is sent.
            if faults.get('die'):
                return
            raise
        if answer.status != 200:
            raise processes.ProcessError(f'faults of {name}: {answer.body!r}')

    def audit(self) -> tuple[step_audit.Violation, ...]:
        """Return the steps that ran more than once or out of order.

        The spans of all runners are merged, so that a layer that ran at two
        runners in the same session is found. Runners that were killed are left
        out, because their audit is lost with them.
        """
        spans: dict[str, list[step_audit.Span]] = {}
        for member in self.plan.runners:
            if not processes.is_answering(member.address, '/audit', 200):
                continue
            answer = processes.send_request(
                'GET',
                member.address,
                '/audit?spans=true',
            )
            page = msgspec.json.decode(answer.body, type=step_audit.AuditPage)
            for session, session_spans in page.spans.items():
                spans.setdefault(session, []).extend(session_spans)
        return tuple(
            violation
            for session, session_spans in spans.items()
            for violation in step_audit.find_violations(session, session_spans)
        )
