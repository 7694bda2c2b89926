"""Telling requests that crash their targets from those that were at them by chance."""

from __future__ import annotations

import math
import random

import hypothesis
import hypothesis.strategies as st

from zinniastand_core.quarantine import quarantine, suspect

TOOK = 0.1


def crash(ended_at: float, number: int, took: float = TOOK) -> suspect.Suspect:
    one = suspect.Crash(ended_at, took, f"t{number}:1")
    return suspect.Suspect((one,))


def merge_all(*records: suspect.Suspect) -> suspect.Suspect:
    merged = suspect.Suspect()
    for record in records:
        merged = merged.merge(record)
    return merged


def crash_in_turn(count: int, first: float = 100.0) -> suspect.Suspect:
    return merge_all(*(crash(first + number * 0.5, number) for number in range(count)))


def test_three_crashes_in_turn_quarantine_a_request() -> None:
    assert not crash_in_turn(2).is_quarantined(101.1)
    assert crash_in_turn(3).is_quarantined(101.1)


def test_targets_that_fail_in_one_moment_count_once() -> None:
    # A rack fails while equal requests of many callers are at all of its targets.
    rng = random.Random(1)
    parts = [crash(100.0, n, took=rng.uniform(0.005, 0.5)) for n in range(30)]
    assert merge_all(*parts).count_consecutive() == 1


def test_crashes_that_overlap_let_one_request_through_at_a_time() -> None:
    # The same request reaches many targets before the first of them crashes. Counted
    # in turn these are one crash, and the next ones would again go out side by side.
    kept = quarantine.Quarantine()
    for number in range(5):
        kept.merge("a", crash(102.0 + number / 10, number, took=2.0))
    assert kept.find_hold_end("a", 102.5) is None
    assert kept.begin_trial("a", 102.5)
    assert kept.find_hold_end("a", 102.6) is not None
    kept.merge("a", crash(104.5, 9, took=2.0))
    assert kept.find_hold_end("a", 104.6) is None
    assert kept.begin_trial("a", 104.6)
    kept.merge("a", crash(106.6, 10, took=2.0))
    assert kept.find_hold_end("a", 106.7) is not None
    kept.record_answer("a", 106.8)
    assert kept.find_hold_end("a", 106.9) is None


def test_equal_requests_at_a_rack_that_fails_wait_for_one_of_them() -> None:
    # None was answered lately, so that nothing clears them; one that is answered does.
    kept = quarantine.Quarantine()
    for number in range(30):
        kept.merge("a", crash(100.0, number, took=0.3))
    assert kept.find_hold_end("a", 100.1) is None
    assert kept.begin_trial("a", 100.1)
    assert kept.find_hold_end("a", 100.2) == 100.1 + suspect.SHORT_TRIAL_DURATION_S
    kept.record_answer("a", 100.4)
    assert kept.find_hold_end("a", 100.5) is None


def test_request_answered_between_crashes_is_not_quarantined() -> None:
    answered = suspect.Suspect(answered_at=100.4)
    assert crash_in_turn(6).merge(answered).count_consecutive() == 0
    soon = merge_all(*(crash(101.0 + n * 0.2, n) for n in range(6)))
    assert soon.merge(answered).count_consecutive() == 0


def test_hold_ends_and_doubles_with_each_crash_after_it() -> None:
    held = crash_in_turn(3)
    assert not held.is_quarantined(101.0 + suspect.INITIAL_HOLD_S)
    again = held.merge(crash(170.0, 9))
    assert again.find_hold_end() == 170.0 + 2 * suspect.INITIAL_HOLD_S


def test_trial_keeps_others_of_the_same_request_back() -> None:
    at = 101.0 + suspect.INITIAL_HOLD_S
    tried = crash_in_turn(3).merge(suspect.Suspect(tried_at=at))
    assert tried.is_quarantined(at + 0.1)
    assert not tried.is_quarantined(at + suspect.TRIAL_DURATION_S)


@hypothesis.given(
    st.permutations(range(6)), st.lists(st.integers(0, 5), max_size=6), st.booleans()
)
def test_records_merge_alike_in_any_order(
    order: list[int], again: list[int], is_answered: bool
) -> None:
    parts = [crash(100.0 + n, n) for n in range(6)]
    if is_answered:
        parts[0] = suspect.Suspect(answered_at=90.5)
    merged = merge_all(*(parts[n] for n in [*order, *again]))
    assert merged == merge_all(*parts)


def test_record_that_comes_back_by_other_ways_is_no_news() -> None:
    # Each VM that passes it on makes it some milliseconds later; taken for news, it
    # would be passed on for ever.
    known = crash_in_turn(3).merge(suspect.Suspect(tried_at=200.0, answered_at=10.0))
    assert not known.merge(known.age(-0.02)).adds_to(known)


def test_earliest_time_of_a_crash_is_kept() -> None:
    assert crash(100.02, 1).merge(crash(100.0, 1)).crashes[0].ended_at == 100.0


def test_one_crash_concerns_few_and_two_concern_all() -> None:
    kept = quarantine.Quarantine()
    kept.merge("a", crash(100.0, 1))
    assert kept.list_shared() == []
    kept.merge("a", crash(101.0, 2))
    assert kept.list_shared() == ["a"]


def test_vm_that_saw_an_answer_clears_what_others_suspect() -> None:
    kept = quarantine.Quarantine()
    kept.record_answer("a", 99.0)
    assert kept.merge("a", crash_in_turn(4))
    assert kept.find_hold_end("a", 102.0) is None
    assert kept.list_shared() == ["a"]


def test_request_answered_after_one_crash_is_forgotten() -> None:
    kept = quarantine.Quarantine()
    kept.merge("a", crash(100.0, 1))
    assert not kept.record_answer("a", 100.5)
    assert len(kept) == 0


def test_thousands_of_different_requests_do_not_drive_out_one_that_crashes() -> None:
    # Targets crash by themselves, and each request there has one crash to its name.
    kept = quarantine.Quarantine()
    kept.merge("worst", crash_in_turn(2))
    for number in range(5000):
        kept.merge(f"r{number}", crash(101.0 + number / 1000, number))
        kept.record_answer(f"s{number}", 101.0)
    assert len(kept) <= quarantine.MAX_SUSPECTS
    kept.merge("worst", crash(107.0, 6000))
    assert kept.find_hold_end("worst", 107.1) is not None


def test_popular_request_that_was_cleared_is_told_no_more() -> None:
    # It is answered all the time. Told with each answer, it would be told for ever.
    kept = quarantine.Quarantine()
    kept.merge("a", crash_in_turn(2))
    assert kept.record_answer("a", 102.0)
    told = sum(kept.record_answer("a", 102.0 + number / 10) for number in range(400))
    assert told == 0
    kept.drop_expired(145.0)
    assert kept.list_shared() == []


def test_request_that_begins_to_crash_its_targets_is_known_soon() -> None:
    # Its answers of before count for less than the time in which all VMs must know.
    kept = quarantine.Quarantine()
    kept.record_answer("a", 100.0)
    for number in range(20):
        kept.merge("a", crash(100.2 + 0.2 * number, number, took=0.1))
        kept.record_answer("b", 100.0)
    assert kept.find_hold_end("a", 103.0) is not None


def test_only_one_trial_follows_a_hold() -> None:
    kept = quarantine.Quarantine()
    kept.merge("a", crash_in_turn(3))
    over = 101.0 + suspect.INITIAL_HOLD_S
    assert kept.find_hold_end("a", over) is None
    assert kept.begin_trial("a", over)
    assert kept.find_hold_end("a", over + 0.1) is not None
    assert not kept.begin_trial("other", over)


def test_records_are_forgotten_and_age_while_the_vm_stands_still() -> None:
    kept = quarantine.Quarantine()
    kept.merge("a", crash_in_turn(3))
    kept.compensate_suspension(suspect.INITIAL_HOLD_S)
    assert kept.find_hold_end("a", 101.5) is None
    kept.drop_expired(101.0 + quarantine.RETENTION_S)
    assert len(kept) == 0
    assert math.isinf(suspect.Suspect().find_hold_end())
