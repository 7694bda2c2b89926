"""Distinguishes requests that crash their targets from those held by chance."""

from __future__ import annotations

import math
import random

import hypothesis
import hypothesis.strategies as st

from zinniastand_core.quarantine import quarantine, suspect

DURATION_S = 0.1


def crash(
    ended_at: float, number: int, duration: float = DURATION_S
) -> suspect.Suspect:
    found = suspect.Crash(ended_at, duration, f"t{number}:1")
    return suspect.Suspect((found,))


def merge_all(*partial_records: suspect.Suspect) -> suspect.Suspect:
    merged = suspect.Suspect()
    for record in partial_records:
        merged = merged.merge(record)
    return merged


def crash_consecutively(count: int, first: float = 100.0) -> suspect.Suspect:
    return merge_all(*(crash(first + number * 0.5, number) for number in range(count)))


def test_three_consecutive_crashes_quarantine_a_request() -> None:
    assert not crash_consecutively(2).is_quarantined(101.1)
    assert crash_consecutively(3).is_quarantined(101.1)


def test_targets_that_fail_at_the_same_moment_count_once() -> None:
    # A rack fails while all of its targets hold equal requests of many callers.
    rng = random.Random(1)
    parts = [crash(100.0, n, duration=rng.uniform(0.005, 0.5)) for n in range(30)]
    assert merge_all(*parts).count_consecutive() == 1


def test_crashes_that_overlap_let_one_request_through_at_a_time() -> None:
    # The same request reaches many targets before the first of them crashes. These
    # count as one consecutive crash, and later attempts would overlap again.
    records = quarantine.Quarantine()
    for number in range(5):
        records.merge("a", crash(102.0 + number / 10, number, duration=2.0))
    assert records.find_hold_end("a", 102.5) is None
    assert records.begin_trial("a", 102.5)
    assert records.find_hold_end("a", 102.6) is not None
    records.merge("a", crash(104.5, 9, duration=2.0))
    assert records.find_hold_end("a", 104.6) is None
    assert records.begin_trial("a", 104.6)
    records.merge("a", crash(106.6, 10, duration=2.0))
    assert records.find_hold_end("a", 106.7) is not None
    records.record_answer("a", 106.8)
    assert records.find_hold_end("a", 106.9) is None


def test_equal_requests_at_a_rack_that_fails_wait_for_one_of_them() -> None:
    # None of them was answered recently, so only an answered trial clears them.
    records = quarantine.Quarantine()
    for number in range(30):
        records.merge("a", crash(100.0, number, duration=0.3))
    assert records.find_hold_end("a", 100.1) is None
    assert records.begin_trial("a", 100.1)
    assert records.find_hold_end("a", 100.2) == 100.1 + suspect.SHORT_TRIAL_DURATION_S
    records.record_answer("a", 100.4)
    assert records.find_hold_end("a", 100.5) is None


def test_request_answered_between_crashes_is_not_quarantined() -> None:
    answered = suspect.Suspect(answered_at=100.4)
    assert crash_consecutively(6).merge(answered).count_consecutive() == 0
    soon = merge_all(*(crash(101.0 + n * 0.2, n) for n in range(6)))
    assert soon.merge(answered).count_consecutive() == 0


def test_hold_ends_and_doubles_with_each_crash_after_it() -> None:
    held = crash_consecutively(3)
    assert not held.is_quarantined(101.0 + suspect.INITIAL_HOLD_S)
    again = held.merge(crash(170.0, 9))
    assert again.find_hold_end() == 170.0 + 2 * suspect.INITIAL_HOLD_S


def test_trial_holds_other_attempts_of_the_same_request() -> None:
    at = 101.0 + suspect.INITIAL_HOLD_S
    tried = crash_consecutively(3).merge(suspect.Suspect(tried_at=at))
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


def test_forwarded_record_with_shifted_times_adds_nothing() -> None:
    # Each VM that forwards a record makes its times some milliseconds later. If that
    # counted as an update, the record would be forwarded for ever.
    known = crash_consecutively(3).merge(
        suspect.Suspect(tried_at=200.0, answered_at=10.0)
    )
    assert not known.merge(known.age(-0.02)).adds_to(known)


def test_earliest_time_of_a_crash_is_kept() -> None:
    assert crash(100.02, 1).merge(crash(100.0, 1)).crashes[0].ended_at == 100.0


def test_record_is_shared_with_all_vms_from_the_second_crash() -> None:
    records = quarantine.Quarantine()
    records.merge("a", crash(100.0, 1))
    assert records.list_shared() == []
    records.merge("a", crash(101.0, 2))
    assert records.list_shared() == ["a"]


def test_vm_that_saw_an_answer_clears_what_others_suspect() -> None:
    records = quarantine.Quarantine()
    records.record_answer("a", 99.0)
    assert records.merge("a", crash_consecutively(4))
    assert records.find_hold_end("a", 102.0) is None
    assert records.list_shared() == ["a"]


def test_request_answered_after_one_crash_is_forgotten() -> None:
    records = quarantine.Quarantine()
    records.merge("a", crash(100.0, 1))
    assert not records.record_answer("a", 100.5)
    assert len(records) == 0


def test_thousands_of_other_requests_do_not_evict_one_that_crashes() -> None:
    # Targets crash for other reasons, and each request that they hold has one crash.
    records = quarantine.Quarantine()
    records.merge("worst", crash_consecutively(2))
    for number in range(5000):
        records.merge(f"r{number}", crash(101.0 + number / 1000, number))
        records.record_answer(f"s{number}", 101.0)
    assert len(records) <= quarantine.MAX_SUSPECTS
    records.merge("worst", crash(107.0, 6000))
    assert records.find_hold_end("worst", 107.1) is not None


def test_popular_request_that_was_cleared_is_announced_once() -> None:
    # It is answered all the time. If each answer were announced, announcements would
    # never end.
    records = quarantine.Quarantine()
    records.merge("a", crash_consecutively(2))
    assert records.record_answer("a", 102.0)
    announced = sum(
        records.record_answer("a", 102.0 + number / 10) for number in range(400)
    )
    assert announced == 0
    records.drop_expired(145.0)
    assert records.list_shared() == []


def test_answered_request_that_begins_to_crash_targets_is_quarantined() -> None:
    # An answer clears later crashes for a shorter time than VMs have to learn of them.
    records = quarantine.Quarantine()
    records.record_answer("a", 100.0)
    for number in range(20):
        records.merge("a", crash(100.2 + 0.2 * number, number, duration=0.1))
        records.record_answer("b", 100.0)
    assert records.find_hold_end("a", 103.0) is not None


def test_only_one_trial_follows_a_hold() -> None:
    records = quarantine.Quarantine()
    records.merge("a", crash_consecutively(3))
    over = 101.0 + suspect.INITIAL_HOLD_S
    assert records.find_hold_end("a", over) is None
    assert records.begin_trial("a", over)
    assert records.find_hold_end("a", over + 0.1) is not None
    assert not records.begin_trial("other", over)


def test_records_age_during_a_suspension_and_expire() -> None:
    records = quarantine.Quarantine()
    records.merge("a", crash_consecutively(3))
    records.compensate_suspension(suspect.INITIAL_HOLD_S)
    assert records.find_hold_end("a", 101.5) is None
    records.drop_expired(101.0 + quarantine.RETENTION_S)
    assert len(records) == 0
    assert math.isinf(suspect.Suspect().find_hold_end())
