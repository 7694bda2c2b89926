"""Whose reports of failed connections count against a target."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from zinniastand_core.dispatch import reachability

TARGETS = ("a", "b", "c", "d")


def test_target_is_unreachable_once_two_vms_failed_there() -> None:
    reports = reachability.Reachability()
    assert not reports.record_failure("a", "vm-1", 0.0)
    assert not reports.record_failure("a", "vm-1", 0.2)
    assert reports.record_failure("a", "vm-2", 0.4)


def test_reports_count_for_a_limited_time() -> None:
    reports = reachability.Reachability()
    reports.record_failure("a", "vm-1", 0.0)
    late = reachability.REPORT_RETENTION_S + 0.1
    assert not reports.record_failure("a", "vm-2", late)


def test_vm_that_fails_at_several_targets_in_turn_does_not_count() -> None:
    # Guards against a partitioned VM taking targets out of service.
    reports = reachability.Reachability()
    reports.record_failure("a", "cut", 0.0)
    reports.record_failure("b", "cut", 0.0)
    assert not reports.record_failure("a", "vm-1", 0.1)
    assert not reports.record_failure("b", "vm-2", 0.1)


def test_vm_that_reached_a_target_in_between_counts() -> None:
    # Guards against a failed rack going unnoticed, since each VM meets several dead
    # targets, and living ones in between.
    reports = reachability.Reachability()
    reports.record_failure("a", "vm-1", 0.0)
    reports.record_contact("c", "vm-1")
    reports.record_failure("b", "vm-1", 0.1)
    assert reports.record_failure("b", "vm-2", 0.2)


def test_answer_to_one_vm_clears_a_target() -> None:
    reports = reachability.Reachability()
    reports.record_failure("a", "vm-1", 0.0)
    reports.record_contact("a", "vm-3")
    assert not reports.record_failure("a", "vm-2", 0.1)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(("cut-1", "cut-2", "cut-3")), st.permutations(TARGETS)
        )
    )
)
def test_partitioned_vms_never_pause_a_target_beyond_their_first_failure(
    turns: list[tuple[str, list[str]]],
) -> None:
    reports = reachability.Reachability()
    paused = 0
    for vm, order in turns:
        paused += sum(reports.record_failure(target, vm, 0.0) for target in order)
    # Each VM counts at its first target only, and two of them make a pause.
    assert paused <= 1
