"""Decisions of a dispatcher: which target, wait or refusal, and what reports change."""

from __future__ import annotations

import dataclasses
import random

import pytest

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import (
    dispatcher,
    messages,
    retry_estimate,
    retry_ledger,
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
    ledger = retry_ledger.RetryLedger(0.2, lambda: retries, 10.0, 0.0)
    estimate = retry_estimate.RetryEstimate(ledger)
    assigner = dispatcher.Dispatcher(work_times.KindTimes(), estimate, random.Random(1))
    assigner.update_targets([make_entry(name, slots) for name in names], 0.0)
    return assigner


def make_request(
    ticket: str, now: float = 0.0, **changes: object
) -> messages.SlotRequest:
    request = messages.SlotRequest(
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
    return dataclasses.replace(request, **changes)  # type: ignore[arg-type]


def report(
    assigner: dispatcher.Dispatcher,
    ticket: str,
    target: str,
    outcome: messages.Outcome,
    now: float,
    vm: str = "vm-1",
) -> list[messages.Decision]:
    message = messages.Report(ticket, shards.Shard("desk"), target, outcome, 0.2, vm)
    return assigner.handle_report(message, now)


def find_grant(decisions: list[messages.Decision], ticket: str) -> messages.Grant:
    [found] = [candidate for candidate in decisions if candidate.ticket == ticket]
    assert isinstance(found, messages.Grant)
    return found


def test_each_slot_is_granted_once_and_then_requests_wait() -> None:
    assigner = make_dispatcher("ab")
    granted = {
        find_grant(assigner.request_slot(make_request(n), 0.0), n).target_id
        for n in ("1", "2")
    }
    assert granted == {"a", "b"}
    assert assigner.request_slot(make_request("3"), 0.0) == [messages.Wait("3")]
    decisions = report(assigner, "1", "a", Outcome.GOOD, 0.1)
    assert find_grant(decisions, "3").target_id == "a"


def test_repeated_slot_request_gets_the_same_slot() -> None:
    # A VM repeats its slot request if the datagram with the grant is lost. A second
    # slot for the same request would stay occupied until its deadline.
    assigner = make_dispatcher("ab")
    first = find_grant(assigner.request_slot(make_request("1"), 0.0), "1")
    again = find_grant(assigner.request_slot(make_request("1"), 0.03), "1")
    assert again.target_id == first.target_id
    assert assigner.in_flight == 1


def test_waiting_request_of_higher_priority_is_served_first() -> None:
    assigner = make_dispatcher("a")
    assigner.request_slot(make_request("held"), 0.0)
    assigner.request_slot(make_request("late", priority=2), 0.0)
    assigner.request_slot(make_request("urgent", priority=0), 0.01)
    decisions = report(assigner, "held", "a", Outcome.GOOD, 0.1)
    assert [decision.ticket for decision in decisions] == ["urgent"]


def test_request_that_cannot_be_served_in_time_is_refused_on_arrival() -> None:
    # A burst for one slot: the queue soon holds more work than fits in the time left.
    assigner = make_dispatcher("a")
    decisions: list[messages.Decision] = []
    for n in range(30):
        decisions = assigner.request_slot(make_request(str(n)), 0.0)
    [refusal] = decisions
    assert isinstance(refusal, messages.Refuse)
    assert refusal.reason is messages.RefusalReason.OVERLOADED
    assert refusal.retry_at > 0.25
    assert assigner.queue_length < 8


def test_refused_callers_are_asked_to_return_at_different_times() -> None:
    assigner = make_dispatcher("a")
    times = set()
    for n in range(40):
        for decision in assigner.request_slot(make_request(str(n)), 0.0):
            if isinstance(decision, messages.Refuse):
                times.add(decision.retry_at)
    assert len(times) > 20
    assert max(times) > 1.3 * min(times)


def test_request_that_may_not_be_retried_avoids_a_failing_target() -> None:
    # A failing target answers with errors sooner than others with results, and so it
    # often has the most free slots.
    assigner = make_dispatcher("ab", slots=3)
    first = find_grant(assigner.request_slot(make_request("0"), 0.0), "0").target_id
    report(assigner, "0", first, Outcome.FAILED, 0.01)
    for n in range(1, 4):
        grant = find_grant(
            assigner.request_slot(make_request(str(n), 0.02), 0.02), str(n)
        )
        assert grant.target_id != first


def test_request_that_may_be_retried_tests_whether_a_target_has_recovered() -> None:
    assigner = make_dispatcher("ab", slots=3)
    for n in range(4):
        target = find_grant(
            assigner.request_slot(make_request(f"g{n}"), 0.0), f"g{n}"
        ).target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(assigner, f"g{n}", target, outcome, 0.1)
    now = 3.0
    request = make_request("probe", now, may_retry=True)
    assert find_grant(assigner.request_slot(request, now), "probe").target_id == "a"
    # While that request is in flight, others do not go to the same target.
    request = make_request("next", now, may_retry=True)
    assert (
        find_grant(assigner.request_slot(request, now + 0.01), "next").target_id == "b"
    )


def test_request_avoids_uncertain_targets_when_few_retries_remain() -> None:
    # Guards against requests that test failing targets until no retries of the service
    # are left.
    assigner = make_dispatcher("ab", slots=3, retries=4.0)
    for n in range(4):
        target = find_grant(
            assigner.request_slot(make_request(f"g{n}"), 0.0), f"g{n}"
        ).target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(assigner, f"g{n}", target, outcome, 0.1)
    for n in range(4):
        request = make_request(f"again{n}", 0.2, attempt=2, excluded=("a",))
        target = find_grant(assigner.request_slot(request, 0.2), f"again{n}").target_id
        report(assigner, f"again{n}", target, Outcome.GOOD, 0.3)
    now = 3.0
    for n in range(3):
        request = make_request(f"probe{n}", now, may_retry=True)
        assert (
            find_grant(assigner.request_slot(request, now), f"probe{n}").target_id
            == "b"
        )


def test_request_waits_for_a_proven_healthy_target_when_no_retries_remain() -> None:
    assigner = make_dispatcher("ab", retries=-5.0)
    for n in range(3):
        target = find_grant(
            assigner.request_slot(make_request(f"g{n}"), 0.0), f"g{n}"
        ).target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(assigner, f"g{n}", target, outcome, 0.05)
    request = make_request("x", 0.1, may_retry=True)
    assert find_grant(assigner.request_slot(request, 0.1), "x").target_id == "b"
    request = make_request("y", 0.1, may_retry=True)
    assert assigner.request_slot(request, 0.1) == [messages.Wait("y")]


def test_connected_target_is_preferred_among_equal_ones() -> None:
    # Guards against a VM with few requests that opens a new connection for each.
    assigner = make_dispatcher("abcd", slots=3)
    for n, name in enumerate("dcba"):
        request = make_request(f"{n}", connected_targets=(name,))
        assert find_grant(assigner.request_slot(request, 0.0), f"{n}").target_id == name


def test_failing_target_is_avoided_even_if_it_is_connected() -> None:
    assigner = make_dispatcher("ab", slots=3)
    for n in range(4):
        target = find_grant(
            assigner.request_slot(make_request(f"g{n}"), 0.0), f"g{n}"
        ).target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(assigner, f"g{n}", target, outcome, 0.1)
    request = make_request("x", 0.2, connected_targets=("a",))
    assert find_grant(assigner.request_slot(request, 0.2), "x").target_id == "b"


@pytest.mark.parametrize("requests_per_failure", [7, 17])
def test_healthy_targets_get_some_requests_while_others_of_the_service_fail(
    requests_per_failure: int,
) -> None:
    # Guards against a dispatcher that sends all requests to a few targets while other
    # healthy ones are idle, also in a shard that fails a smaller share of its requests
    # than the whole service.
    names = "abcdefghij"
    assigner = make_dispatcher(names, slots=3)
    last_used: dict[str, float] = {}
    now = 0.0
    for n in range(200):
        now = n * 0.1
        target = find_grant(
            assigner.request_slot(make_request(f"{n}", now), now), f"{n}"
        ).target_id
        last_used[target] = now
        is_failed = n % requests_per_failure == 0
        outcome = Outcome.FAILED if is_failed else Outcome.GOOD
        report(assigner, f"{n}", target, outcome, now + 0.05)
        if now > 5.0:
            probabilities = {
                state.entry.target_id: state.find_request_failure_probability(now)
                for state in assigner.pool.list_states()
            }
            healthy = [name for name in names if probabilities[name] <= 0.25]
            used = [name for name in healthy if last_used.get(name, -9.0) > now - 2.0]
            assert len(used) >= 0.7 * len(healthy)


def test_recovered_targets_get_work_again_while_others_of_the_service_fail() -> None:
    # Guards against targets that stay idle long after they have recovered, in a service
    # without idempotent work that could try them, while callers get failures.
    names = "abcdefghijkl"
    assigner = make_dispatcher(names, slots=3)
    failed_at = dict.fromkeys(names, -9.0)
    used_at = dict.fromkeys(names, -9.0)
    for n in range(600):
        now = n * 0.02
        target = find_grant(
            assigner.request_slot(make_request(f"{n}", now), now), f"{n}"
        ).target_id
        used_at[target] = now
        is_failed = (target in "abcd" and now < 2.5) or n % 7 == 0
        if is_failed:
            failed_at[target] = now
        outcome = Outcome.FAILED if is_failed else Outcome.GOOD
        report(assigner, f"{n}", target, outcome, now + 0.015)
        if now > 3.0:
            sound = [name for name in names if failed_at[name] < now - 2.0]
            used = [name for name in sound if used_at[name] > now - 2.0]
            assert len(used) >= 0.7 * len(sound), now


def test_request_waits_for_a_limited_time_rather_than_risk_a_retry() -> None:
    # Guards against spending a retry although a slot of a proven healthy target is
    # about to become free.
    assigner = make_dispatcher("ab", retries=5.0)
    for n in range(6):
        target = find_grant(
            assigner.request_slot(make_request(f"g{n}"), 0.0), f"g{n}"
        ).target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(assigner, f"g{n}", target, outcome, 0.02)
    assert (
        find_grant(assigner.request_slot(make_request("x", 0.1), 0.1), "x").target_id
        == "b"
    )
    request = make_request("trial", 0.1, may_retry=True)
    assert find_grant(assigner.request_slot(request, 0.1), "trial").target_id == "a"
    report(assigner, "trial", "a", Outcome.FAILED, 0.11)
    later = {"objective_at": 2.0, "deadline_at": 3.0}
    request = make_request("y", 0.12, may_retry=True, **later)
    assert assigner.request_slot(request, 0.12) == [messages.Wait("y")]
    # The wait is limited, so that it uses only part of the time until the objective.
    assert find_grant(assigner.wake(0.7), "y").target_id == "a"


def test_request_waits_for_a_healthy_target_rather_than_use_a_failing_one() -> None:
    # "a" has just failed and is free; "b" is healthy and busy for some 0.2 s. The
    # request would almost certainly fail at "a", and is in time if it waits for "b".
    assigner = make_dispatcher("ab")
    for n in range(6):
        target = find_grant(
            assigner.request_slot(make_request(f"g{n}"), 0.0), f"g{n}"
        ).target_id
        outcome = Outcome.FAILED if target == "a" else Outcome.GOOD
        report(assigner, f"g{n}", target, outcome, 0.05)
    assert (
        find_grant(assigner.request_slot(make_request("x", 0.1), 0.1), "x").target_id
        == "b"
    )
    assert assigner.request_slot(make_request("y", 0.1), 0.1) == [messages.Wait("y")]
    assert (
        find_grant(report(assigner, "x", "b", Outcome.GOOD, 0.3), "y").target_id == "b"
    )


def test_target_with_long_durations_is_avoided() -> None:
    assigner = make_dispatcher("ab", slots=3)
    for n in range(20):
        request = make_request(f"{n}", n * 0.3)
        target = find_grant(assigner.request_slot(request, n * 0.3), f"{n}").target_id
        duration = 1.5 if target == "a" else 0.2
        message = messages.Report(
            f"{n}", shards.Shard("desk"), target, Outcome.GOOD, duration, "vm-1"
        )
        assigner.handle_report(message, n * 0.3 + 0.2)
    grant = find_grant(assigner.request_slot(make_request("x", 6.0), 6.0), "x")
    assert grant.target_id == "b"


def test_target_is_used_unless_two_vms_cannot_reach_it() -> None:
    # A single VM may be cut off from a target that others reach. Its reports must not
    # take the target's capacity from all.
    assigner = make_dispatcher("a")
    for n in range(3):
        assigner.request_slot(make_request(str(n)), 0.0)
        report(assigner, str(n), "a", Outcome.UNREACHABLE, 0.0, vm="vm-1")
    assert (
        find_grant(assigner.request_slot(make_request("x"), 0.0), "x").target_id == "a"
    )
    report(assigner, "x", "a", Outcome.UNREACHABLE, 0.0, vm="vm-2")
    assert assigner.request_slot(make_request("y"), 0.01) == [messages.Wait("y")]


def test_slot_without_a_report_is_freed_after_the_deadline() -> None:
    # The VM that held the slot may have been killed, or its report lost.
    assigner = make_dispatcher("a")
    assigner.request_slot(make_request("1"), 0.0)
    assigner.request_slot(make_request("2", 1.0), 1.0)
    freed_at = 1.2 + dispatcher.LOST_REPORT_GRACE_S + 0.01
    decisions = assigner.wake(freed_at)
    assert find_grant(decisions, "2").target_id == "a"


def test_abandoned_slot_request_leaves_the_queue() -> None:
    assigner = make_dispatcher("a")
    assigner.request_slot(make_request("1"), 0.0)
    assigner.request_slot(make_request("2"), 0.0)
    report(assigner, "2", "", Outcome.ABANDONED, 0.05)
    assert report(assigner, "1", "a", Outcome.GOOD, 0.1) == []


def test_slot_is_freed_when_its_grant_came_too_late() -> None:
    # The VM had turned to another dispatcher before the grant came. Its report names
    # only the ticket, since it does not know which target was granted.
    assigner = make_dispatcher("a")
    assigner.request_slot(make_request("1"), 0.0)
    report(assigner, "1", "", Outcome.ABANDONED, 0.1)
    assert assigner.in_flight == 0
    assert (
        find_grant(assigner.request_slot(make_request("2", 0.1), 0.1), "2").target_id
        == "a"
    )


def test_retries_that_vms_may_send_are_granted() -> None:
    # Guards against a second limit on retries, by what the dispatcher alone knows.
    assigner = make_dispatcher("abcdefgh", slots=4, retries=2.0)
    for n in range(3):
        request = make_request(str(n), attempt=2, excluded=("a",))
        find_grant(assigner.request_slot(request, 0.0), str(n))


def test_request_is_refused_at_once_if_there_is_no_target() -> None:
    assigner = make_dispatcher("")
    [refusal] = assigner.request_slot(make_request("1"), 0.0)
    assert isinstance(refusal, messages.Refuse)
    assert refusal.reason is messages.RefusalReason.NO_TARGET


def test_new_dispatcher_counts_slots_granted_by_its_predecessor() -> None:
    # When the dispatching VM is killed, its successor must not grant the slots that are
    # in use: the targets would turn the requests away.
    assigner = make_dispatcher("a")
    assigner.adopt_slot(messages.HeldSlot(make_request("old"), "a"), 0.0)
    assert assigner.request_slot(make_request("1"), 0.0) == [messages.Wait("1")]
    decisions = report(assigner, "old", "a", Outcome.GOOD, 0.2)
    assert find_grant(decisions, "1").target_id == "a"


@pytest.mark.parametrize("outcome", list(Outcome))
def test_every_outcome_frees_the_slot(outcome: messages.Outcome) -> None:
    assigner = make_dispatcher("a")
    assigner.request_slot(make_request("1"), 0.0)
    report(assigner, "1", "a", outcome, 0.2)
    assert assigner.in_flight == 0


def test_first_answers_of_a_new_kind_change_no_estimate_of_targets() -> None:
    # Guards against estimates from the initial mean of a kind that has no answers yet.
    # Work of 2 ms compared with the initial mean of 200 ms makes its target look much
    # faster than it is: it attracts other requests, which are cancelled as overdue.
    assigner = make_dispatcher("a", slots=3)
    for n in range(6):
        assigner.request_slot(make_request(f"{n}", kind=f"new-{n}"), 0.0)
        message = messages.Report(
            f"{n}", shards.Shard("desk"), "a", Outcome.GOOD, 0.002, "vm-1"
        )
        assigner.handle_report(message, 0.0)
    grant = find_grant(assigner.request_slot(make_request("x"), 0.0), "x")
    assert grant.expected_duration == pytest.approx(work_times.INITIAL_MEAN_S)


def test_targets_that_other_vms_reach_stay_in_use() -> None:
    # Guards against a group of VMs that cannot reach any target taking all targets out
    # of service for the VMs that can.
    assigner = make_dispatcher("abcd", slots=4)
    now = 0.0
    for number in range(40):
        now += 0.05
        vm = f"cut-{number % 3}"
        for ticket, sender, outcome in (
            (f"c{number}", vm, Outcome.UNREACHABLE),
            (f"o{number}", "other", Outcome.GOOD),
        ):
            decisions = assigner.request_slot(make_request(ticket, now), now)
            [granted] = [item for item in decisions if item.ticket == ticket]
            assert isinstance(granted, messages.Grant)
            report(assigner, ticket, granted.target_id, outcome, now + 0.04, sender)


def test_target_that_no_vm_reaches_is_paused() -> None:
    # Guards against sending more requests to a target whose host is gone.
    assigner = make_dispatcher("abcd", slots=4)
    for number, vm in enumerate(("vm-1", "vm-2")):
        ticket = f"u{number}"
        excluded = ("b", "c", "d")
        request = make_request(ticket, number * 0.1, excluded=excluded)
        assigner.request_slot(request, number * 0.1)
        report(assigner, ticket, "a", Outcome.UNREACHABLE, number * 0.1 + 0.05, vm)
    assert assigner.summarize(0.3).paused == 1


def test_request_that_excludes_all_targets_is_refused_at_once() -> None:
    # Guards against a queue that fills with requests for which no target can be used.
    assigner = make_dispatcher("ab")
    [answer] = assigner.request_slot(make_request("t", excluded=("a", "b")), 0.0)
    assert isinstance(answer, messages.Refuse)
    assert answer.reason is messages.RefusalReason.NO_TARGET
