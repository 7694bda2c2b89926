"""Decisions of a dispatcher: placing, waiting, refusing, and what it learns."""

from __future__ import annotations

import dataclasses
import random

import pytest

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import (
    dispatcher,
    messages,
    retry_window,
    shards,
    work_times,
)

Outcome = messages.Outcome


def make_entry(name: str, slots: int = 1) -> targets.Entry:
    return targets.Entry(
        target_id=name,
        service="desk",
        host="127.0.0.1",
        port=80,
        data_centre="a",
        slots=slots,
        phase=targets.Phase.READY,
        born=1,
        cold_until=0.0,
        position=1,
    )


def make_dispatcher(
    names: str = "ab", slots: int = 1, retries: float = 10.0
) -> dispatcher.Dispatcher:
    window = retry_window.RetryWindow(0.2, lambda: retries, 10.0)
    one = dispatcher.Dispatcher(work_times.KindTimes(), window, random.Random(1))
    one.update_targets([make_entry(name, slots) for name in names], 0.0)
    return one


def make_ask(ticket: str, now: float = 0.0, **changes: object) -> messages.SlotRequest:
    ask = messages.SlotRequest(
        ticket=ticket,
        shard=shards.Shard("desk"),
        kind="write",
        may_retry=False,
        priority=1,
        objective_at=now + 0.6,
        deadline_at=now + 1.2,
        attempt=1,
        data_centre="a",
        is_first=changes.get("attempt", 1) == 1,
    )
    return dataclasses.replace(ask, **changes)  # type: ignore[arg-type]


def report(
    one: dispatcher.Dispatcher,
    ticket: str,
    target: str,
    outcome: messages.Outcome,
    now: float,
    vm: str = "vm-1",
) -> list[messages.Decision]:
    told = messages.Report(ticket, shards.Shard("desk"), target, outcome, 0.2, vm)
    return one.handle_report(told, now)


def grant_of(decisions: list[messages.Decision], ticket: str) -> messages.Grant:
    [found] = [one for one in decisions if one.ticket == ticket]
    assert isinstance(found, messages.Grant)
    return found


def test_each_slot_is_given_once_and_then_requests_wait() -> None:
    one = make_dispatcher("ab")
    given = {
        grant_of(one.request_slot(make_ask(n), 0.0), n).target_id for n in ("1", "2")
    }
    assert given == {"a", "b"}
    assert one.request_slot(make_ask("3"), 0.0) == [messages.Wait("3")]
    decisions = report(one, "1", "a", Outcome.GOOD, 0.1)
    assert grant_of(decisions, "3").target_id == "a"


def test_ask_sent_again_gets_the_same_slot() -> None:
    # The datagram with the grant is lost and the VM asks again. A second slot for the
    # same request would stay taken until its deadline.
    one = make_dispatcher("ab")
    first = grant_of(one.request_slot(make_ask("1"), 0.0), "1")
    again = grant_of(one.request_slot(make_ask("1"), 0.03), "1")
    assert again.target_id == first.target_id
    assert one.in_flight == 1


def test_urgent_work_is_served_first() -> None:
    one = make_dispatcher("a")
    one.request_slot(make_ask("held"), 0.0)
    one.request_slot(make_ask("late", priority=2), 0.0)
    one.request_slot(make_ask("urgent", priority=0), 0.01)
    decisions = report(one, "held", "a", Outcome.GOOD, 0.1)
    assert [decision.ticket for decision in decisions] == ["urgent"]


def test_work_that_cannot_be_served_in_time_is_refused_on_arrival() -> None:
    # One slot, and a burst: the queue already holds more work than the request's time.
    one = make_dispatcher("a")
    decisions: list[messages.Decision] = []
    for n in range(30):
        decisions = one.request_slot(make_ask(str(n)), 0.0)
    [refusal] = decisions
    assert isinstance(refusal, messages.Refuse)
    assert refusal.reason is messages.RefusalReason.OVERLOADED
    assert refusal.retry_at > 0.25
    assert one.queue_length < 8


def test_refused_callers_come_back_at_different_times() -> None:
    one = make_dispatcher("a")
    times = set()
    for n in range(40):
        for decision in one.request_slot(make_ask(str(n)), 0.0):
            if isinstance(decision, messages.Refuse):
                times.add(decision.retry_at)
    assert len(times) > 20
    assert max(times) > 1.3 * min(times)


def test_failing_target_is_avoided_by_work_that_may_run_only_once() -> None:
    # A failing target answers errors faster than any other, so it is always free.
    one = make_dispatcher("ab", slots=3)
    first = grant_of(one.request_slot(make_ask("0"), 0.0), "0").target_id
    report(one, "0", first, Outcome.FAILED, 0.01)
    for n in range(1, 4):
        grant = grant_of(one.request_slot(make_ask(str(n), 0.02), 0.02), str(n))
        assert grant.target_id != first


def test_idempotent_work_finds_out_whether_a_target_has_recovered() -> None:
    one = make_dispatcher("ab", slots=3)
    for n in range(4):
        target = grant_of(one.request_slot(make_ask(f"g{n}"), 0.0), f"g{n}").target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(one, f"g{n}", target, outcome, 0.1)
    now = 3.0
    ask = make_ask("probe", now, may_retry=True)
    assert grant_of(one.request_slot(ask, now), "probe").target_id == "a"
    # While that one is out, others do not pile up behind it.
    ask = make_ask("next", now, may_retry=True)
    assert grant_of(one.request_slot(ask, now + 0.01), "next").target_id == "b"


def test_idempotent_work_avoids_doubt_as_retries_run_out() -> None:
    # Guards against trials of failing targets that spend the retries of a service.
    one = make_dispatcher("ab", slots=3, retries=4.0)
    for n in range(4):
        target = grant_of(one.request_slot(make_ask(f"g{n}"), 0.0), f"g{n}").target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(one, f"g{n}", target, outcome, 0.1)
    for n in range(4):
        ask = make_ask(f"again{n}", 0.2, attempt=2, excluded=("a",))
        target = grant_of(one.request_slot(ask, 0.2), f"again{n}").target_id
        report(one, f"again{n}", target, Outcome.GOOD, 0.3)
    now = 3.0
    for n in range(3):
        ask = make_ask(f"probe{n}", now, may_retry=True)
        assert grant_of(one.request_slot(ask, now), f"probe{n}").target_id == "b"


def test_idempotent_work_without_retries_waits_for_a_proved_target() -> None:
    one = make_dispatcher("ab", retries=-5.0)
    for n in range(3):
        target = grant_of(one.request_slot(make_ask(f"g{n}"), 0.0), f"g{n}").target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(one, f"g{n}", target, outcome, 0.05)
    ask = make_ask("x", 0.1, may_retry=True)
    assert grant_of(one.request_slot(ask, 0.1), "x").target_id == "b"
    ask = make_ask("y", 0.1, may_retry=True)
    assert one.request_slot(ask, 0.1) == [messages.Wait("y")]


def test_target_with_an_open_connection_is_taken_among_equals() -> None:
    # Guards against a new connection for each request of a VM that sends few.
    one = make_dispatcher("abcd", slots=3)
    for n, name in enumerate("dcba"):
        ask = make_ask(f"{n}", connected_targets=(name,))
        assert grant_of(one.request_slot(ask, 0.0), f"{n}").target_id == name


def test_open_connection_to_a_failing_target_is_no_reason_to_use_it() -> None:
    one = make_dispatcher("ab", slots=3)
    for n in range(4):
        target = grant_of(one.request_slot(make_ask(f"g{n}"), 0.0), f"g{n}").target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(one, f"g{n}", target, outcome, 0.1)
    ask = make_ask("x", 0.2, connected_targets=("a",))
    assert grant_of(one.request_slot(ask, 0.2), "x").target_id == "b"


@pytest.mark.parametrize("each", [7, 17])
def test_sound_targets_get_some_work_while_the_service_fails_its_callers(
    each: int,
) -> None:
    # Guards against idle sound targets beside the few that all work is kept on, also
    # in a shard that fails fewer callers than the service as a whole.
    names = "abcdefghij"
    one = make_dispatcher(names, slots=3)
    last: dict[str, float] = {}
    now = 0.0
    for n in range(200):
        now = n * 0.1
        target = grant_of(
            one.request_slot(make_ask(f"{n}", now), now), f"{n}"
        ).target_id
        last[target] = now
        is_failed = n % each == 0
        outcome = Outcome.FAILED if is_failed else Outcome.GOOD
        report(one, f"{n}", target, outcome, now + 0.05)
        if now > 5.0:
            doubts = {
                state.entry.target_id: state.find_request_failure_probability(now)
                for state in one.pool.list_states()
            }
            sound = [name for name in names if doubts[name] <= 0.25]
            served = [name for name in sound if last.get(name, -9.0) > now - 2.0]
            assert len(served) >= 0.7 * len(sound)


def test_idempotent_work_waits_a_little_rather_than_spend_a_retry() -> None:
    # Guards against retries that are spent while a proved slot is about to come free.
    one = make_dispatcher("ab", retries=5.0)
    for n in range(6):
        target = grant_of(one.request_slot(make_ask(f"g{n}"), 0.0), f"g{n}").target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(one, f"g{n}", target, outcome, 0.02)
    assert grant_of(one.request_slot(make_ask("x", 0.1), 0.1), "x").target_id == "b"
    ask = make_ask("trial", 0.1, may_retry=True)
    assert grant_of(one.request_slot(ask, 0.1), "trial").target_id == "a"
    report(one, "trial", "a", Outcome.FAILED, 0.11)
    later = {"objective_at": 2.0, "deadline_at": 3.0}
    ask = make_ask("y", 0.12, may_retry=True, **later)
    assert one.request_slot(ask, 0.12) == [messages.Wait("y")]
    # Not for ever: what it would take from the objective has its limit.
    assert grant_of(one.wake(0.7), "y").target_id == "a"


def test_work_waits_for_a_proved_target_rather_than_try_a_failing_one() -> None:
    # "a" has just failed and is free, "b" works but is busy for some 0.2 s. The
    # request would fail at "a" for certain and is in time after "b".
    one = make_dispatcher("ab")
    for n in range(6):
        target = grant_of(one.request_slot(make_ask(f"g{n}"), 0.0), f"g{n}").target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(one, f"g{n}", target, outcome, 0.05)
    assert grant_of(one.request_slot(make_ask("x", 0.1), 0.1), "x").target_id == "b"
    assert one.request_slot(make_ask("y", 0.1), 0.1) == [messages.Wait("y")]
    assert grant_of(report(one, "x", "b", Outcome.GOOD, 0.3), "y").target_id == "b"


def test_slow_target_is_avoided_until_its_slowness_fades() -> None:
    one = make_dispatcher("ab", slots=3)
    for n in range(20):
        ask = make_ask(f"{n}", n * 0.3)
        target = grant_of(one.request_slot(ask, n * 0.3), f"{n}").target_id
        took = 1.5 if target == "a" else 0.2
        told = messages.Report(
            f"{n}", shards.Shard("desk"), target, Outcome.GOOD, took, "vm-1"
        )
        one.handle_report(told, n * 0.3 + 0.2)
    grant = grant_of(one.request_slot(make_ask("x", 6.0), 6.0), "x")
    assert grant.target_id == "b"


def test_target_is_not_left_out_because_one_vm_cannot_reach_it() -> None:
    # A VM is cut off from a target. Others reach it; leaving it out for all would
    # throw capacity away on a fault of the link.
    one = make_dispatcher("a")
    for n in range(3):
        one.request_slot(make_ask(str(n)), 0.0)
        report(one, str(n), "a", Outcome.UNREACHABLE, 0.0, vm="vm-1")
    assert grant_of(one.request_slot(make_ask("x"), 0.0), "x").target_id == "a"
    report(one, "x", "a", Outcome.UNREACHABLE, 0.0, vm="vm-2")
    assert one.request_slot(make_ask("y"), 0.01) == [messages.Wait("y")]


def test_slot_without_a_report_comes_back() -> None:
    # The VM that held the slot was killed, or its report was lost.
    one = make_dispatcher("a")
    one.request_slot(make_ask("1"), 0.0)
    one.request_slot(make_ask("2", 1.0), 1.0)
    late = 1.2 + dispatcher.LOST_REPORT_GRACE_S + 0.01
    decisions = one.wake(late)
    assert grant_of(decisions, "2").target_id == "a"


def test_abandoned_ask_frees_its_place_in_the_queue() -> None:
    one = make_dispatcher("a")
    one.request_slot(make_ask("1"), 0.0)
    one.request_slot(make_ask("2"), 0.0)
    report(one, "2", "", Outcome.ABANDONED, 0.05)
    assert report(one, "1", "a", Outcome.GOOD, 0.1) == []


def test_late_grant_that_nobody_waits_for_is_given_back() -> None:
    # The grant came after its VM had asked somebody else. The VM says so by the
    # ticket alone, since it never learned of the target.
    one = make_dispatcher("a")
    one.request_slot(make_ask("1"), 0.0)
    report(one, "1", "", Outcome.ABANDONED, 0.1)
    assert one.in_flight == 0
    assert grant_of(one.request_slot(make_ask("2", 0.1), 0.1), "2").target_id == "a"


def test_retries_are_refused_beyond_their_budget() -> None:
    one = make_dispatcher("abcdefgh", slots=4, retries=2.0)
    answers = [
        one.request_slot(make_ask(str(n), attempt=2, excluded=("a",)), 0.0)[0]
        for n in range(3)
    ]
    assert isinstance(answers[-1], messages.Refuse)
    assert answers[-1].reason is messages.RefusalReason.RETRY_BUDGET


def test_no_target_at_all_is_said_at_once() -> None:
    one = make_dispatcher("")
    [refusal] = one.request_slot(make_ask("1"), 0.0)
    assert isinstance(refusal, messages.Refuse)
    assert refusal.reason is messages.RefusalReason.NO_TARGET


def test_new_dispatcher_counts_slots_that_another_gave() -> None:
    # The VM that dispatched was killed. Its successor would give every slot a second
    # time, and targets would turn the work away.
    one = make_dispatcher("a")
    one.adopt_slot(messages.HeldSlot(make_ask("old"), "a"), 0.0)
    assert one.request_slot(make_ask("1"), 0.0) == [messages.Wait("1")]
    decisions = report(one, "old", "a", Outcome.GOOD, 0.2)
    assert grant_of(decisions, "1").target_id == "a"


@pytest.mark.parametrize("outcome", list(Outcome))
def test_every_outcome_frees_the_slot(outcome: messages.Outcome) -> None:
    one = make_dispatcher("a")
    one.request_slot(make_ask("1"), 0.0)
    report(one, "1", "a", outcome, 0.2)
    assert one.in_flight == 0


def test_first_answers_of_a_new_kind_say_nothing_of_their_target() -> None:
    # A new route has work of two milliseconds. Held against the first guess of 200,
    # each answer made its target look many times faster than it is: it drew other
    # work, which was then broken off as overdue.
    one = make_dispatcher("a", slots=3)
    for n in range(6):
        one.request_slot(make_ask(f"{n}", kind=f"new-{n}"), 0.0)
        told = messages.Report(
            f"{n}", shards.Shard("desk"), "a", Outcome.GOOD, 0.002, "vm-1"
        )
        one.handle_report(told, 0.0)
    grant = grant_of(one.request_slot(make_ask("x"), 0.0), "x")
    assert grant.expected_duration == pytest.approx(work_times.INITIAL_MEAN_S)
