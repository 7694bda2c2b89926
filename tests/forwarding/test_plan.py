"""A plan never sends once-only work twice and says "not run" only with proof."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest

from zinniastand_core import services
from zinniastand_core.deployment import configuration
from zinniastand_core.forwarding import plan

Result, Step = plan.AttemptResult, plan.NextStep
NOT_RUN = {Result.TURNED_AWAY, Result.MISPLACED, Result.UNREACHABLE}


def make_plan(work: services.Work, attempts: int = 3) -> plan.Plan:
    route = configuration.Route(
        name="r",
        host="h",
        path_prefix="/",
        work=work,
        time_limit=1.0,
        objective=0.5,
        max_attempts=attempts,
        priority=0,
        weighted_services=(configuration.WeightedService("desk", 1.0),),
    )
    return plan.Plan(route, plan.Deadlines(objective_at=0.5, deadline_at=1.0))


def attempt(
    request_plan: plan.Plan, result: plan.AttemptResult, now: float = 0.1
) -> plan.NextStep:
    request_plan.start_attempt(f"t{request_plan.attempts}")
    if result is not Result.UNREACHABLE:
        request_plan.mark_sent()
    return request_plan.end_attempt(result, now)


@pytest.mark.parametrize("result", [Result.BROKEN, Result.ERROR])
def test_work_that_may_have_run_goes_to_no_second_target(
    result: plan.AttemptResult,
) -> None:
    # The target accepted the request and gave no complete answer, or a failure.
    # A second target could run it again, and one order would become two.
    request_plan = make_plan(services.Work.AT_MOST_ONCE)
    step = attempt(request_plan, result)
    assert step in (Step.ANSWER_UNKNOWN, Step.RELAY)


@pytest.mark.parametrize(
    "result", [Result.TURNED_AWAY, Result.MISPLACED, Result.UNREACHABLE]
)
def test_work_proved_not_to_have_run_is_tried_elsewhere(
    result: plan.AttemptResult,
) -> None:
    request_plan = make_plan(services.Work.AT_MOST_ONCE)
    assert attempt(request_plan, result) is Step.TRY_AGAIN
    assert request_plan.excluded == ("t0",)


def test_not_run_is_said_when_every_target_turned_it_away() -> None:
    request_plan = make_plan(services.Work.AT_MOST_ONCE, attempts=2)
    assert attempt(request_plan, Result.TURNED_AWAY) is Step.TRY_AGAIN
    assert attempt(request_plan, Result.TURNED_AWAY) is Step.ANSWER_NOT_RUN


def test_refusal_of_a_later_target_proves_nothing_of_an_earlier_one() -> None:
    # An attempt at idempotent work breaks off, and the next target turns it away. The
    # first may have run it, so "not run" would be false.
    request_plan = make_plan(services.Work.IDEMPOTENT, attempts=2)
    assert attempt(request_plan, Result.BROKEN) is Step.TRY_AGAIN
    assert attempt(request_plan, Result.TURNED_AWAY) is Step.ANSWER_UNKNOWN


def test_error_of_idempotent_work_is_tried_again_and_kept_as_last_resort() -> None:
    request_plan = make_plan(services.Work.IDEMPOTENT, attempts=2)
    assert attempt(request_plan, Result.ERROR) is Step.TRY_AGAIN
    assert attempt(request_plan, Result.BROKEN) is Step.RELAY


def test_no_attempt_starts_just_before_the_deadline() -> None:
    request_plan = make_plan(services.Work.IDEMPOTENT)
    assert attempt(request_plan, Result.BROKEN, now=0.99) is Step.ANSWER_UNKNOWN


@hypothesis.given(
    work=st.sampled_from(list(services.Work)),
    target_limit=st.integers(1, 4),
    results=st.lists(st.sampled_from(list(Result)), min_size=1, max_size=12),
)
def test_promises_hold_for_any_results(
    work: services.Work, target_limit: int, results: list[plan.AttemptResult]
) -> None:
    request_plan = make_plan(work, target_limit)
    runs = 0
    step = Step.TRY_AGAIN
    for result in results:
        if step is not Step.TRY_AGAIN:
            break
        step = attempt(request_plan, result)
        runs += result not in NOT_RUN
    assert request_plan.sent <= target_limit
    if work is services.Work.AT_MOST_ONCE:
        assert runs <= 1
    final = request_plan.give_up() if step is Step.TRY_AGAIN else step
    if final is Step.ANSWER_NOT_RUN:
        assert runs == 0


def start(request_plan: plan.Plan) -> None:
    request_plan.start_attempt(f"t{request_plan.attempts}")
    request_plan.mark_sent()


@pytest.mark.parametrize(
    "result", [Result.TURNED_AWAY, Result.MISPLACED, Result.BROKEN, Result.ERROR]
)
def test_plan_waits_for_the_first_attempt_when_its_backup_fails(
    result: plan.AttemptResult,
) -> None:
    # Idempotent work is overdue at one target, and the backup attempt fails. The first
    # target still works on it and may answer, so an error now would be wrong.
    request_plan = make_plan(services.Work.IDEMPOTENT, attempts=2)
    start(request_plan)
    start(request_plan)
    assert request_plan.end_attempt(result, now=0.3) is Step.WAIT
    assert request_plan.end_attempt(Result.ANSWERED, now=0.4) is Step.RELAY


def test_plan_waits_for_an_attempt_when_no_backup_is_available() -> None:
    request_plan = make_plan(services.Work.IDEMPOTENT, attempts=2)
    start(request_plan)
    assert request_plan.give_up() is Step.WAIT
    assert request_plan.end_attempt(Result.BROKEN, now=0.3) is Step.TRY_AGAIN


def test_answer_stays_the_answer_when_another_attempt_fails_after_it() -> None:
    request_plan = make_plan(services.Work.IDEMPOTENT, attempts=3)
    start(request_plan)
    start(request_plan)
    assert request_plan.end_attempt(Result.ANSWERED, now=0.3) is Step.RELAY
    assert request_plan.end_attempt(Result.BROKEN, now=0.3) is Step.RELAY


def test_deadline_ends_a_request_with_an_attempt_in_flight() -> None:
    request_plan = make_plan(services.Work.IDEMPOTENT)
    start(request_plan)
    assert request_plan.decide_final() is Step.ANSWER_UNKNOWN


def test_deadline_can_only_be_brought_forward() -> None:
    request_plan = make_plan(services.Work.IDEMPOTENT)
    request_plan.bring_deadline_forward(2.0)
    assert request_plan.deadlines.deadline_at == 1.0
    request_plan.bring_deadline_forward(0.4)
    assert request_plan.deadlines.deadline_at == 0.4


@hypothesis.given(
    target_limit=st.integers(1, 4),
    moves=st.lists(
        st.one_of(st.just(None), st.tuples(st.integers(0, 3), st.sampled_from(Result))),
        max_size=16,
    ),
)
def test_no_final_error_while_an_attempt_is_in_flight(
    target_limit: int, moves: list[tuple[int, plan.AttemptResult] | None]
) -> None:
    # A move without a result starts one more attempt; the others end one of those in
    # flight, in any order.
    request_plan = make_plan(services.Work.IDEMPOTENT, target_limit)
    in_flight = 0
    runs = 0
    for move in moves:
        if request_plan.is_answered:
            break
        if move is None:
            if request_plan.sent < target_limit:
                start(request_plan)
                in_flight += 1
                runs += 1
            step = request_plan.give_up() if in_flight else Step.TRY_AGAIN
        elif in_flight:
            in_flight -= 1
            runs -= move[1] in NOT_RUN
            step = request_plan.end_attempt(move[1], now=0.1)
        else:
            continue
        if in_flight and not request_plan.is_answered:
            assert step in (Step.WAIT, Step.TRY_AGAIN)
        if step is Step.ANSWER_NOT_RUN:
            assert runs == 0
    if request_plan.decide_final() is Step.ANSWER_NOT_RUN:
        assert runs == 0
    assert request_plan.sent <= target_limit
