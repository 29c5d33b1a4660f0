"""Test a process of several engine stand-ins, each at its own port."""

import pathlib
import tempfile
import typing
import unittest

import msgspec

from bench import processes
from standins import engine_main
from tests import engine_cases

START_SECONDS = 20


class EnginesInOneProcess(unittest.TestCase):
    """Engines that share a process have separate sessions and ports."""

    process: typing.ClassVar[processes.Process]
    addresses: typing.ClassVar[tuple[str, ...]]
    directory: typing.ClassVar[tempfile.TemporaryDirectory[str]]

    @classmethod
    def setUpClass(cls) -> None:
        """Start two engines in one process."""
        cls.directory = tempfile.TemporaryDirectory()
        path = pathlib.Path(cls.directory.name)
        cls.addresses = processes.find_free_addresses(2)
        settings = [
            engine_main.EngineSettings(
                address,
                engine_cases.build_driver(
                    instance_id=f'runner-{number}',
                ).state.config,
            )
            for number, address in enumerate(cls.addresses)
        ]
        file = path / 'engines.json'
        file.write_bytes(msgspec.json.encode(settings))
        cls.process = processes.Process(
            processes.ProcessSpec(
                'engines',
                'standins.engine_main',
                cls.addresses[0],
                (f'--settings_file={file}',),
            ),
            path,
        )
        cls.process.start()
        for address in cls.addresses:
            cls.wait_for(address)

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the process."""
        cls.process.stop(5)
        cls.directory.cleanup()

    @classmethod
    def wait_for(cls, address: str) -> None:
        """Wait until an engine answers."""
        processes.wait_until(
            lambda: processes.is_answering(address, '/v1/load', 200),
            START_SECONDS,
            f'answer of {address}, {cls.process.read_log_tail()}',
        )

    def run_step(self, address: str, session: str) -> dict:
        """Run one step and return its result."""
        step = msgspec.to_builtins(engine_cases.build_step(session))
        answer = processes.send_request(
            'POST', address, '/v1/steps', {'steps': [step]}
        )
        return answer.decode_json()['results'][0]

    def test_own_sessions(self) -> None:
        """Guard against requests that reach the wrong engine."""
        first, second = self.addresses
        self.assertEqual(self.run_step(first, 's')['error'], '')
        self.assertEqual(self.run_step(second, 's')['error'], '')
        self.assertEqual(self.run_step(first, 's')['error'], 'wrong_position')

    def test_crash_of_one_engine(self) -> None:
        """Guard against a crash that closes the wrong port, or none."""
        first, second = self.addresses
        faults = {'die': True, 'restart_seconds': 0.5}
        processes.send_request('POST', first, '/faults', faults)
        processes.wait_until(
            lambda: not processes.is_answering(first, '/v1/load'),
            5,
            'end of the first engine',
        )
        self.assertTrue(processes.is_answering(second, '/v1/load', 200))
        self.wait_for(first)
        self.assertEqual(self.run_step(first, 'after')['error'], '')

    def test_stream_over_http(self) -> None:
        """Guard against streams that are not JSON lines with an end marker."""
        request = {
            'session': 'stream',
            'model': 'affinage',
            'version': '3',
            'prompt': ['a'],
            'maximum_tokens': 3,
        }
        answer = processes.send_request(
            'POST', self.addresses[0], '/v1/streams', request
        )
        lines = [msgspec.json.decode(line) for line in answer.body.splitlines()]
        self.assertEqual([line.get('index') for line in lines[:3]], [0, 1, 2])
        self.assertEqual(lines[3], {'tokens': 3, 'end': True})

    def test_session_copy_over_http(self) -> None:
        """Guard against a session copy that changes in encoding."""
        first, second = self.addresses
        self.run_step(first, 'copied')
        copy = processes.send_request(
            'POST', first, '/v1/sessions/copied/export'
        ).decode_json()
        answer = processes.send_request(
            'POST', second, '/v1/sessions/copied/import', copy
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(
            self.run_step(second, 'copied')['error'], 'wrong_position'
        )
