"""Define a state machine of promotions under faults."""

import hypothesis
from hypothesis import stateful, strategies

from mustardvale.internal import promotions, records
from mustardvale.internal.commands import command_types, reports
from tests import configuration_site, runs

NAMES = ('entry-a', 'entry-b', 'entry-c')
OPERATORS = ('ann', 'bob')
APPEND_OUTCOMES = ('stored', 'stored', 'lost', 'late', 'refused')

instance_names = strategies.sampled_from(NAMES)
operator_names = strategies.sampled_from(OPERATORS)

PROFILE = hypothesis.settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    report_multiple_bugs=False,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)

# An injected fault only has to be found, so the example is not shrunk.
MUTATION_PROFILE = hypothesis.settings(
    PROFILE,
    max_examples=1500,
    phases=(hypothesis.Phase.generate,),
)


class Promotions(stateful.RuleBasedStateMachine):
    """Interleave steps of instances and operators under faults."""

    def __init__(self) -> None:
        super().__init__()
        self.site = configuration_site.Site(NAMES)
        self.layers = 0
        self.running: dict[str, runs.Run] = {}
        self.finished: list[runs.Run] = []

    @stateful.initialize()
    def begin(self) -> None:
        """Promote the first document and let one instance read it."""
        self.publish_uninterrupted(OPERATORS[0])
        self.site.settle(self.site.instances[NAMES[0]])

    @stateful.rule(seconds=strategies.sampled_from((0.3, 1.0, 2.5)))
    def let_time_pass(self, seconds: float) -> None:
        """Advance the time and fire due timers."""
        self.site.advance(seconds)

    @stateful.rule(name=instance_names, limit=strategies.integers(1, 3))
    def read_page(self, name: str, limit: int) -> None:
        """Answer the reads of an instance with a few records."""
        self.site.read(self.site.instances[name], limit)

    @stateful.rule(name=instance_names)
    def settle(self, name: str) -> None:
        """Complete the pending work of an instance."""
        self.site.settle(self.site.instances[name])

    @stateful.rule(
        name=instance_names, outcome=strategies.sampled_from(APPEND_OUTCOMES)
    )
    def end_append(self, name: str, outcome: str) -> None:
        """Complete the appends of an instance."""
        self.site.append(self.site.instances[name], outcome)

    @stateful.rule(name=instance_names)
    def delay_snapshot(self, name: str) -> None:
        """Let a snapshot fall due and delay its append."""
        self.site.settle(self.site.instances[name])
        self.site.advance(configuration_site.RETENTION_SECONDS)
        self.site.append(self.site.instances[name], 'late')

    @stateful.rule(name=instance_names)
    def deliver(self, name: str) -> None:
        """Deliver the messages of peers to an instance."""
        self.site.deliver(self.site.instances[name])

    @stateful.rule(name=instance_names)
    def lose_messages(self, name: str) -> None:
        """Lose the messages of peers to an instance."""
        self.site.instances[name].inbox.clear()

    @stateful.precondition(lambda self: self.site.delayed_appends)
    @stateful.rule()
    def append_late(self) -> None:
        """Store the delayed appends."""
        for call in self.site.delayed_appends:
            self.site.log.append(call)
        self.site.delayed_appends.clear()

    @stateful.rule(down=strategies.sampled_from((False, False, False, True)))
    def switch_log(self, down: bool) -> None:
        """Begin or end an outage of the log."""
        self.site.log_down = down

    @stateful.rule(count=strategies.sampled_from((1, 2, 5, 100)))
    def drop_records(self, count: int) -> None:
        """Drop the oldest records."""
        stream = configuration_site.STREAM
        earliest = self.site.log.earliest.get(stream, 0)
        self.site.log.drop_before(stream, earliest + count)

    @stateful.rule(name=instance_names)
    def pause(self, name: str) -> None:
        """Pause an instance."""
        self.site.instances[name].paused = True

    @stateful.rule()
    def resume(self) -> None:
        """Resume every instance."""
        for instance in self.site.instances.values():
            instance.paused = False

    @stateful.rule(name=instance_names)
    def restart(self, name: str) -> None:
        """Restart an instance."""
        self.site.start(self.site.instances[name])

    @stateful.rule()
    def restart_all(self) -> None:
        """Restart every instance."""
        for instance in self.site.instances.values():
            self.site.start(instance)

    @stateful.rule(name=instance_names)
    def restart_and_settle(self, name: str) -> None:
        """Restart an instance and complete its pending work."""
        self.site.start(self.site.instances[name])
        self.site.settle(self.site.instances[name])

    @stateful.rule(operator=operator_names)
    def begin_publish(self, operator: str) -> None:
        """Start a run of the command-line tool."""
        if operator in self.running:
            return
        self.layers += 1
        text = configuration_site.build_document_text(self.layers)
        proposal = command_types.Proposal(f'{operator}-{self.layers}', operator)
        publish = command_types.Publish('file', text, 'production', proposal)
        self.running[operator] = runs.Run(publish)

    @stateful.rule(
        operator=operator_names,
        outcome=strategies.sampled_from(APPEND_OUTCOMES),
    )
    def continue_publishing(self, operator: str, outcome: str) -> None:
        """Perform the next step of the run of an operator."""
        run = self.running.get(operator)
        if run is None:
            return
        self.step(run, outcome)
        if run.exit_code is not None:
            self.finished.append(self.running.pop(operator))

    @stateful.rule(operator=operator_names)
    def publish_uninterrupted(self, operator: str) -> None:
        """Publish without steps of the other operator in between."""
        self.begin_publish(operator)
        for _ in range(6):
            self.continue_publishing(operator, 'stored')

    def step(self, run: runs.Run, outcome: str) -> None:
        """Perform the next call or timer of a run."""
        if not run.calls:
            run.fire_timer()
        elif self.site.log_down or outcome == 'refused':
            run.fail(configuration_site.REFUSED)
        elif not isinstance(run.calls[0].call, runs.AppendRecords):
            run.read(self.site.log)
        elif outcome == 'stored':
            run.append(self.site.log)
        else:
            self.site.lose_answer(run.calls[0].call, outcome)
            run.fail(configuration_site.LOST)

    @stateful.invariant()
    def instances_match_log(self) -> None:
        """Check that every instance agrees with the log on each version."""
        self.site.check()

    @stateful.invariant()
    def reports_match_log(self) -> None:
        """Check the reports to operators against the log.

        A promotion reported as accepted has that version in the log, and one
        reported as lost is never accepted.
        """
        accepted = {}
        known = promotions.PromotionState()
        for stored, folded in zip(
            self.site.log.list_appended(configuration_site.STREAM),
            self.site.fold_log(),
            strict=True,
        ):
            if isinstance(stored.record, records.Promotion) and (
                folded.version > known.version
            ):
                accepted[stored.record.promotion_id] = folded.version
            known = folded
        for run in self.finished:
            report = run.shown[-1]
            if isinstance(report, reports.PromotionAccepted):
                assert accepted.get(report.promotion_id) == report.version
            elif isinstance(report, reports.PromotionLost):
                assert report.promotion_id not in accepted
                assert report.winner_operator in OPERATORS
