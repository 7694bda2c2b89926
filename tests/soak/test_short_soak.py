"""The soak itself: a short seeded run, what it judges, and seeds that once failed."""

from __future__ import annotations

import dataclasses
import pathlib

import pytest

from soak import ledger, plan, promises, run

SHORT_SEEDS = (1, 2)
"""Played in CI: together they hold most kinds of faults."""


def make_book() -> ledger.Ledger:
    """Return what a request without any trouble leaves behind."""
    book = ledger.Ledger()
    book.published.append(ledger.Published(1, "desk", 0.0))
    book.sent.append(ledger.Sent("r1", 0, True, "/once/1", b"x", 10.0))
    book.ran.append(ledger.Ran("r1", "t1", "desk", "/once/1", b"x", 200, 10.01))
    answer = promises.make_answer("r1")
    book.seen["r1"] = ledger.Seen("r1", 10.1, 200, True, answer)
    return book


def name_breaches(book: ledger.Ledger) -> set[str]:
    return {breach.promise for breach in promises.judge(book, 0.0)}


@pytest.mark.parametrize("seed", SHORT_SEEDS)
def test_every_promise_holds_for_a_seed(seed: int, tmp_path: pathlib.Path) -> None:
    # Processes are killed, stopped and paused, links cut and silenced, targets fail
    # and leave, the store misbehaves, all in series that overlap, and callers keep
    # using open connections. None of it may double work or make an answer untrue.
    report = run.play(seed, tmp_path)
    assert report.breaches == ()
    assert report.served > 0.5 * report.sent


def test_every_promise_holds_where_callers_send_ahead(tmp_path: pathlib.Path) -> None:
    # Guards against requests of a series that are lost, doubled or given a wrong time.
    shape = run.Shape(plan.Kind.SERIES)
    report = run.play(SHORT_SEEDS[0], tmp_path, shape=shape)
    assert report.breaches == ()
    assert report.served > 0.5 * report.sent


def test_every_promise_holds_where_requests_crash_targets(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against a request that goes on to crash targets, and against requests that
    # are kept from targets since these crash by themselves.
    shape = run.Shape(plan.Kind.CRASHES)
    report = run.play(SHORT_SEEDS[1], tmp_path, shape=shape)
    assert report.breaches == ()
    assert report.served > 0.5 * report.sent


def test_every_promise_holds_where_services_turn_work_away(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against retries beyond their bound while VMs that dispatch are killed.
    shape = run.Shape(plan.Kind.RETRIES)
    report = run.play(SHORT_SEEDS[0], tmp_path, shape=shape)
    assert report.breaches == ()


def test_retries_beyond_their_bound_are_seen() -> None:
    book = make_book()
    for number in range(30):
        for target in ("t1", "t2"):
            arrived = ledger.Arrived(f"x{number}", target, "desk", 10.0 + number / 100)
            book.arrived.append(arrived)
    assert name_breaches(book) == {"retries"}
    del book.arrived[36:]
    assert not name_breaches(book)


def test_every_promise_holds_where_targets_name_limits(tmp_path: pathlib.Path) -> None:
    # Guards against limits that each VM keeps by itself, or that a new dispatcher does
    # not know.
    shape = run.Shape(plan.Kind.LIMITS)
    report = run.play(SHORT_SEEDS[1], tmp_path, shape=shape)
    assert report.breaches == ()
    assert report.served > 0.5 * report.sent


def test_every_promise_holds_where_the_store_returns_from_a_copy(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against leaving targets and older versions that a copy brings back.
    shape = run.Shape(plan.Kind.DRILLS)
    report = run.play(SHORT_SEEDS[0], tmp_path, shape=shape)
    assert report.breaches == ()
    assert report.served > 0.5 * report.sent


def test_target_that_gets_more_than_its_limit_is_a_breach() -> None:
    book = make_book()
    book.limited.append(ledger.Limited("t9", 2.0, 20.0, 40.0))
    for number in range(18):
        at = 24.0 + number / 10
        book.sent.append(ledger.Sent(f"l{number}", 0, False, "/safe/1", b"", at))
        book.arrived.append(ledger.Arrived(f"l{number}", "t9", "desk", at))
    assert "limit" in name_breaches(book)
    book.arrived.pop()
    assert "limit" not in name_breaches(book)


def make_crashing_book(runs: int) -> ledger.Ledger:
    """Return what a request leaves that runs so often after its third crash."""
    book = make_book()
    path = f"{promises.CRASHING}1"
    for number in range(3 + runs):
        name, at = f"c{number}", 20.0 + number * (0.1 if number < 3 else 5.0)
        book.sent.append(ledger.Sent(name, 0, False, path, b"", at))
        target = f"t{number}"
        book.ran.append(ledger.Ran(name, target, "desk", path, b"", 200, at))
        book.crashed.append(ledger.Crashed(target, path, at))
    return book


def test_request_that_goes_on_to_crash_targets_is_a_breach() -> None:
    assert "crashing" not in name_breaches(make_crashing_book(3))
    assert "crashing" in name_breaches(make_crashing_book(4))


def test_quarantine_of_a_request_that_crashes_nothing_is_a_breach() -> None:
    book = make_book()
    book.ran.clear()
    body = b'{"reason": "quarantined"}'
    book.seen["r1"] = ledger.Seen("r1", 10.1, 503, False, body)
    assert "denied" in name_breaches(book)


def test_target_that_is_given_time_its_caller_no_longer_has_is_a_breach() -> None:
    book = make_book()
    late = dataclasses.replace(book.ran[0], at=10.9, time_left=1.5)
    book.ran[0] = late
    assert name_breaches(book) == {"time-handed-on"}
    book.ran[0] = dataclasses.replace(late, time_left=0.6)
    assert name_breaches(book) == set()
    # A link that holds the request back on its way to the target excuses it.
    book.ran[0] = late
    book.disturbed.append(ledger.Disturbed("target-link", "t2", 10.1, 10.8))
    assert name_breaches(book) == {"time-handed-on"}
    book.disturbed.append(ledger.Disturbed("target-link", "t1", 10.1, 10.8))
    assert name_breaches(book) == set()


def test_plan_depends_on_its_seed_alone() -> None:
    assert plan.draw(7) == plan.draw(7)
    assert plan.draw(7) != plan.draw(8)
    acts = {
        step.act
        for kind in plan.Kind
        for seed in range(50)
        for step in plan.draw(seed, kind)
    }
    assert acts == set(plan.Act)


def test_nothing_wrong_is_no_breach() -> None:
    assert name_breaches(make_book()) == set()


def test_second_run_of_work_that_may_run_once_is_a_breach() -> None:
    book = make_book()
    book.ran.append(ledger.Ran("r1", "t2", "desk", "/once/1", b"x", 200, 10.02))
    assert name_breaches(book) == {"once"}


def test_changed_or_unsent_work_is_a_breach() -> None:
    book = make_book()
    book.ran.append(ledger.Ran("r9", "t1", "desk", "/once/1", b"x", 200, 10.0))
    assert name_breaches(book) == {"unasked"}
    changed = make_book()
    changed.ran[0] = ledger.Ran("r1", "t1", "desk", "/once/1", b"y", 200, 10.0)
    assert name_breaches(changed) == {"unasked"}


def test_cut_or_foreign_answer_is_a_breach() -> None:
    book = make_book()
    cut = promises.make_answer("r1")[:-1]
    book.seen["r1"] = ledger.Seen("r1", 10.1, 200, True, cut)
    assert "whole" in name_breaches(book)


def test_false_promise_of_not_run_is_a_breach() -> None:
    book = make_book()
    book.seen["r1"] = ledger.Seen("r1", 10.1, 503, False, b"")
    assert "not-run" in name_breaches(book)


def test_late_work_of_a_leaving_target_is_a_breach_only_in_calm() -> None:
    # While the store was out of reach of the VM, it could not know.
    book = make_book()
    book.drained.append(ledger.Drained("t1", 7.0))
    assert name_breaches(book) == {"draining"}
    book.disturbed.append(ledger.Disturbed("store-link", "vm-0", 6.0, 9.0))
    assert name_breaches(book) == set()
    book.disturbed[0] = ledger.Disturbed("store-link", "vm-1", 6.0, 9.0)
    assert name_breaches(book) == {"draining"}


def test_run_by_an_old_version_is_a_breach() -> None:
    book = make_book()
    book.sent[0] = ledger.Sent("r1", 0, True, "/moving/1", b"x", 10.0)
    book.ran[0] = ledger.Ran("r1", "t1", "desk", "/moving/1", b"x", 200, 10.01)
    book.published.append(ledger.Published(2, "register", 7.0))
    assert name_breaches(book) == {"version"}
    book.published[-1] = ledger.Published(2, "register", 9.0)
    assert name_breaches(book) == set()


def test_answer_long_after_the_time_limit_is_a_breach() -> None:
    book = make_book()
    answer = promises.make_answer("r1")
    book.seen["r1"] = ledger.Seen("r1", 13.0, 200, True, answer)
    assert name_breaches(book) == {"time"}


def test_close_instead_of_an_answer_is_a_breach_around_planned_stops() -> None:
    book = make_book()
    book.seen["r1"] = ledger.Seen("r1", 10.1, 0, False, b"")
    book.disturbed.append(ledger.Disturbed("stop", "vm-0", 9.0, 11.0))
    assert "cut" in name_breaches(book)
    book.disturbed.append(ledger.Disturbed("kill", "vm-0", 9.0, 11.0))
    assert "cut" not in name_breaches(book)


def make_cut_book(status: int, seen_at: float) -> ledger.Ledger:
    """Return what a request leaves behind whose work was cut after 0.6 s."""
    book = make_book()
    book.ended.append(ledger.Ended(book.ran[0], True, 10.6))
    book.seen["r1"] = ledger.Seen("r1", seen_at, status, False, b"")
    return book


@pytest.mark.parametrize("status", [0, 502])
def test_failure_in_place_of_work_that_goes_on_is_a_breach(status: int) -> None:
    book = make_cut_book(status, 10.8)
    assert "given-up" in name_breaches(book)
    book.disturbed.append(ledger.Disturbed("stop", "vm-0", 9.0, 16.0))
    assert "given-up" in name_breaches(book)
    book.ended[0] = ledger.Ended(book.ran[0], False, 10.6)
    assert "given-up" not in name_breaches(book)


@pytest.mark.parametrize(
    ("kind", "touched"), [("target-link", "t1"), ("kill", "vm-0"), ("pause", "vm-0")]
)
def test_work_cut_by_a_fault_is_not_given_up(kind: str, touched: str) -> None:
    book = make_cut_book(502, 10.8)
    book.disturbed.append(ledger.Disturbed(kind, "another", 10.2, 12.0))
    assert "given-up" in name_breaches(book)
    book.disturbed.append(ledger.Disturbed(kind, touched, 10.2, 12.0))
    assert "given-up" not in name_breaches(book)


def test_work_cut_for_its_caller_or_its_time_is_not_given_up() -> None:
    late = make_cut_book(504, 10.0 + promises.TIME_LIMIT)
    assert "given-up" not in name_breaches(late)
    left = make_cut_book(0, 10.8)
    left.seen["r1"] = ledger.Seen("r1", 10.8, 0, False, b"", has_left=True)
    assert "given-up" not in name_breaches(left)


def test_work_cut_for_an_answer_of_another_target_is_not_given_up() -> None:
    book = make_cut_book(500, 10.8)
    book.seen["r1"] = ledger.Seen("r1", 10.8, 500, True, b"failed")
    assert "given-up" not in name_breaches(book)


def test_no_service_after_the_last_fault_is_a_breach() -> None:
    book = make_book()
    book.seen["r1"] = ledger.Seen("r1", 10.1, 503, False, b"")
    book.ran.clear()
    assert name_breaches(book) == {"recovery"}
