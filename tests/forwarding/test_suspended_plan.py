"""A request whose VM is suspended at any step: never run twice, answered truthfully."""

from __future__ import annotations

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st

from zinniastand_core import services
from zinniastand_core.deployment import configuration
from zinniastand_core.forwarding import plan

Step = plan.NextStep


class SuspendedRequest(stateful.RuleBasedStateMachine):
    """A VM that tries targets and is suspended and resumed at any moment.

    A target may start the work at any time after it was sent, even after the VM has
    given up, and its answer may come late or never.
    """

    @stateful.initialize(
        work=st.sampled_from(list(services.Work)), attempts=st.integers(1, 3)
    )
    def begin(self, work: services.Work, attempts: int) -> None:
        route = configuration.Route(
            "r",
            "h",
            "/",
            work,
            2.0,
            1.0,
            attempts,
            1,
            (configuration.WeightedService("s", 1),),
        )
        self.work = work
        self.max_attempts = attempts
        self.now = 0.0
        self.true_now = 0.0
        self.plan = plan.Plan(route, plan.Deadlines(1.0, 2.0))
        self.sent: list[str] = []
        self.ran: list[str] = []
        self.turned_away: list[str] = []
        self.in_flight_at: str | None = None
        self.step = Step.TRY_AGAIN
        self.final: Step | None = None

    @stateful.precondition(lambda self: self._may_try())
    @stateful.rule()
    def try_target(self) -> None:
        name = f"t{len(self.sent)}"
        self.plan.start_attempt(name)
        self.plan.mark_sent()
        self.sent.append(name)
        self.in_flight_at = name

    @stateful.precondition(lambda self: self._list_idle())
    @stateful.rule(data=st.data())
    def target_runs(self, data: st.DataObject) -> None:
        self.ran.append(data.draw(st.sampled_from(self._list_idle())))

    @stateful.precondition(lambda self: self.in_flight_at and self.final is None)
    @stateful.rule(result=st.sampled_from(list(plan.AttemptResult)))
    def attempt_ends(self, result: plan.AttemptResult) -> None:
        name = self.in_flight_at
        assert name is not None
        if result is plan.AttemptResult.UNREACHABLE:
            return  # An attempt that was sent did connect.
        proves_not_run = result in plan.PROVED_NOT_RUN
        has_run = name in self.ran
        if proves_not_run and has_run:
            return  # A target does not refuse work that it has run.
        if (
            result in (plan.AttemptResult.ANSWERED, plan.AttemptResult.ERROR)
            and not has_run
        ):
            self.ran.append(name)
        if proves_not_run:
            self.turned_away.append(name)
        self.in_flight_at = None
        self.step = self.plan.end_attempt(result, self.now)
        if self.step is not Step.TRY_AGAIN:
            self.final = self.step

    @stateful.rule(seconds=st.floats(0.01, 0.9))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self.true_now += seconds
        self._expire()

    @stateful.rule(seconds=st.floats(0.1, 5.0))
    def vm_is_suspended(self, seconds: float) -> None:
        self.true_now += seconds
        self.plan.compensate_suspension(seconds)
        self._expire()

    def _expire(self) -> None:
        if self.final is None and self.now >= self.plan.deadlines.deadline_at:
            if self.in_flight_at is not None:
                self.plan.abandon_attempt()
                self.in_flight_at = None
            self.final = self.plan.decide_final()

    def _may_try(self) -> bool:
        is_idle = self.in_flight_at is None and self.final is None
        return is_idle and self.step is Step.TRY_AGAIN

    def _list_idle(self) -> list[str]:
        return [
            name
            for name in self.sent
            if name not in self.ran and name not in self.turned_away
        ]

    @stateful.invariant()
    def once_only_work_runs_once(self) -> None:
        if self.work is not services.Work.IDEMPOTENT:
            assert len(self._list_idle()) + len(self.ran) <= 1
        assert len(self.sent) <= self.max_attempts

    @stateful.invariant()
    def not_run_is_true(self) -> None:
        if self.final is Step.ANSWER_NOT_RUN:
            assert not self.ran
            assert not self._list_idle()

    @stateful.invariant()
    def nothing_is_sent_after_the_callers_time(self) -> None:
        if self.true_now > 2.0:
            assert self.final is not None


SuspendedRequest.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=25, deadline=None
)
test_suspended_request = SuspendedRequest.TestCase
