"""When a VM takes its own links for lost, and what shows that they work again."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from zinniastand_core.forwarding import target_links


def test_one_failed_target_is_lost_alone() -> None:
    links = target_links.TargetLinks()
    assert not links.record_failure("desk", "a")
    assert links.is_lost("desk", "a")
    assert not links.is_lost("desk", "b")


def test_links_are_in_doubt_once_two_targets_failed_in_turn() -> None:
    # Guards against a VM without links trying one target after the other.
    links = target_links.TargetLinks()
    links.record_failure("desk", "a")
    assert links.record_failure("desk", "b")
    assert not links.is_lost("desk", "c")
    links.record_loss("desk")
    assert links.is_lost("desk", "c")
    assert not links.is_lost("register", "d")


def test_success_in_between_removes_the_doubt() -> None:
    # Guards against taking a failed rack for lost links.
    links = target_links.TargetLinks()
    links.record_failure("desk", "a")
    links.record_success("desk", "c")
    assert not links.record_failure("desk", "b")


def test_success_at_another_target_leaves_a_failed_one_lost() -> None:
    # Guards against using the direct link to a target that only this VM cannot reach.
    links = target_links.TargetLinks()
    links.record_failure("desk", "a")
    links.record_failure("desk", "b")
    links.record_loss("desk")
    assert links.record_success("desk", "c")
    assert links.is_lost("desk", "a")
    assert not links.is_lost("desk", "c")
    links.record_success("desk", "a")
    assert not links.is_lost("desk", "a")


def test_targets_that_are_gone_are_forgotten() -> None:
    links = target_links.TargetLinks()
    links.record_failure("desk", "a")
    links.keep_only({"b"})
    assert links.lost_targets == ()
    assert not links.record_failure("desk", "b")


@hypothesis.given(st.lists(st.tuples(st.booleans(), st.sampled_from("abcd"))))
def test_link_is_lost_until_a_connection_succeeds(
    events: list[tuple[bool, str]],
) -> None:
    links = target_links.TargetLinks()
    for has_failed, target in events:
        record = links.record_failure if has_failed else links.record_success
        record("desk", target)
        assert links.is_lost("desk", target) is has_failed
