"""Test that a list which is read in pages misses no change between them."""

import dataclasses
import itertools
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mustardvale.internal import effects, events
from mustardvale.internal.relay import calls, runner_list, runners, timers
from tests import relay_states

RUNNER_IDS = tuple(f'p{number}' for number in range(1, 10))
PAGE_SIZE = 3


class PagedList:
    """Answer reads of a list of upstreams in pages."""

    def __init__(self) -> None:
        self.records: list[calls.RunnerChange] = []
        for runner_id in RUNNER_IDS:
            self.write(runner_id)

    def write(self, runner_id: str, **fields: typing.Any) -> None:
        """Write the entry of an upstream."""
        entry = relay_states.build_plain_runner(runner_id)
        self.records.append(
            calls.RunnerChange(runner_id, dataclasses.replace(entry, **fields))
        )

    def remove(self, runner_id: str) -> None:
        """Remove the entry of an upstream."""
        self.records.append(calls.RunnerChange(runner_id, None))

    def list_entries(self) -> dict[str, runners.ListedRunner]:
        """Return the entries as they are now."""
        newest = {change.runner_id: change.entry for change in self.records}
        return {
            runner_id: entry
            for runner_id, entry in sorted(newest.items())
            if entry is not None
        }

    def answer(self, call: typing.Any) -> calls.RunnersRead:
        """Return the answer to a read of a page, or of the log."""
        end = len(self.records)
        if isinstance(call, calls.FollowRunners):
            return calls.RunnersRead(end, tuple(self.records[call.position :]))
        keys = [key for key in self.list_entries() if key > call.after]
        page = tuple(
            calls.RunnerChange(key, self.list_entries()[key])
            for key in keys[:PAGE_SIZE]
        )
        next_page = page[-1].runner_id if len(keys) > PAGE_SIZE else ''
        return calls.RunnersRead(end, page, next_page)


class PagedReads(unittest.TestCase):
    """Drive an instance that reads a list in pages."""

    def setUp(self) -> None:
        self.start()

    def start(self) -> None:
        """Build an instance that does not know the list, and its store."""
        self.store = PagedList()
        self.instance = relay_states.Instance()
        self.forget()

    def forget(self) -> None:
        """Let the instance read the whole list again."""
        self.instance.state = dataclasses.replace(
            self.instance.state,
            runner_list=runner_list.RunnerListState(),
        )
        self.instance.calls.clear()
        self.instance.emit_event(
            events.TimerFired, timer=timers.RunnerListReadDue()
        )

    def list_reads(self) -> list[effects.Call]:
        """Return the reads that have not been answered, and forget them."""
        kinds = (calls.ReadRunners, calls.FollowRunners)
        reads = [
            call for call in self.instance.calls if isinstance(call.call, kinds)
        ]
        self.instance.calls.clear()
        return reads

    def deliver(self, call: typing.Any, answer: calls.RunnersRead) -> None:
        """Deliver the answer to a read."""
        self.instance.emit_event(
            events.CallAnswered, call=call, address='', answer=answer
        )

    def read_all(self, *changes: typing.Callable[[], None]) -> int:
        """Answer all reads, with one change after each; return their number."""
        pending = itertools.chain(changes, itertools.repeat(lambda: None))
        for count in itertools.count():
            reads = self.list_reads()
            if not reads:
                return count
            for read in reads:
                self.deliver(read.call, self.store.answer(read.call))
            next(pending)()
        raise AssertionError('unreachable')

    def list_usable(self) -> set[str]:
        """Return the upstreams that get new requests."""
        return {
            runner_id
            for runner_id, runner in self.instance.state.runners.items()
            if runner.is_usable
        }

    def list_expected(self) -> set[str]:
        """Return the upstreams that the store lists as ready."""
        return {
            runner_id
            for runner_id, entry in self.store.list_entries().items()
            if entry.state is runners.ListedState.READY
        }


class ChangesBetweenPages(PagedReads):
    """The log since the first page completes what the pages show."""

    def test_removal_of_an_entry_that_was_read(self) -> None:
        """Guard against requests to a runner whose removal nobody repeats."""
        self.read_all(lambda: self.store.remove('p1'))
        self.assertNotIn('p1', self.list_usable())

    def test_removal_of_an_entry_to_come(self) -> None:
        """Guard against an entry that is listed again by an older record."""
        self.read_all(lambda: self.store.remove('p9'))
        self.assertNotIn('p9', self.list_usable())

    def test_draining_runner_that_was_read(self) -> None:
        """Guard against requests to a runner that has announced its end."""
        self.read_all(
            lambda: self.store.write('p1', state=runners.ListedState.DRAINING)
        )
        self.assertNotIn('p1', self.list_usable())

    def test_removal_while_the_log_was_lost(self) -> None:
        """Guard against the same fault at a return after a lost history."""
        self.read_all()
        self.instance.emit_event(
            events.CallAnswered,
            call=calls.FollowRunners(1),
            address='',
            answer=calls.HistoryCompacted(),
        )
        self.read_all(lambda: self.store.remove('p2'))
        self.assertNotIn('p2', self.list_usable())

    def test_one_page_needs_no_second_read(self) -> None:
        """Guard against a further call at each start of a small site."""
        for runner_id in RUNNER_IDS[PAGE_SIZE:]:
            self.store.remove(runner_id)
        self.assertEqual(1, self.read_all())

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from((*RUNNER_IDS, 'p91', 'p11')),
                strategies.sampled_from(('remove', 'write', 'drain', 'none')),
            ),
            max_size=4,
        )
    )
    def test_any_changes(self, changes: list[tuple[str, str]]) -> None:
        """Guard against any order of changes that leaves a wrong list."""
        self.start()
        actions = {
            'remove': self.store.remove,
            'write': self.store.write,
            'drain': lambda runner_id: self.store.write(
                runner_id, state=runners.ListedState.DRAINING
            ),
            'none': lambda runner_id: None,
        }
        self.read_all(
            *(
                lambda name=name, kind=kind: actions[kind](name)
                for name, kind in changes[:3]
            )
        )
        self.assertEqual(self.list_expected(), self.list_usable())


class ConcurrentReads(PagedReads):
    """Two reads of the list may be open at once."""

    def test_pages_of_two_reads_are_not_mixed(self) -> None:
        """Guard against a page of one read that completes another one."""
        (first,) = self.list_reads()
        self.deliver(first.call, self.store.answer(first.call))
        (second_page,) = self.list_reads()
        answer = self.store.answer(second_page.call)
        self.store.remove('p4')
        self.instance.emit_event(
            events.TimerFired, timer=timers.RunnerListReadDue()
        )
        (again,) = self.list_reads()
        self.deliver(again.call, self.store.answer(again.call))
        self.deliver(second_page.call, answer)
        self.read_all()
        self.assertEqual(self.list_expected(), self.list_usable())

    def test_older_answer_undoes_no_removal(self) -> None:
        """Guard against a late read that lists a removed runner again."""
        self.read_all()
        position = len(self.store.records)
        self.store.write('p1', slots=9)
        late = self.store.answer(calls.FollowRunners(position))
        self.store.remove('p1')
        self.deliver(
            calls.FollowRunners(position),
            self.store.answer(calls.FollowRunners(position)),
        )
        self.deliver(calls.FollowRunners(position), late)
        self.assertNotIn('p1', self.list_usable())
