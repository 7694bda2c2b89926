"""What the registry makes of entries, removals and old news."""

from __future__ import annotations

import dataclasses

from zinniastand_core.deployment import targets


def make_entry(
    name: str,
    position: int,
    phase: targets.Phase = targets.Phase.READY,
    service: str = "desk",
    born: int = 1,
) -> targets.Entry:
    return targets.Entry(
        target_id=name,
        service=service,
        host="127.0.0.1",
        port=80,
        data_centre="a",
        slots=3,
        phase=phase,
        born=born,
        cold_until=0.0,
        position=position,
    )


def list_names(registry: targets.Registry, now: float = 0.0) -> set[str]:
    return {one.target_id for one in registry.list_usable("desk", now)}


def test_draining_target_gets_no_new_work() -> None:
    registry = targets.Registry()
    registry.apply([make_entry("a", 1), make_entry("b", 2)], 0.0)
    registry.apply([make_entry("a", 3, targets.Phase.DRAINING)], 0.0)
    assert list_names(registry) == {"b"}


def test_old_page_does_not_bring_a_leaving_target_back() -> None:
    # A VM hears from a peer that a target drains. The store then serves it a page
    # that is seconds old, in which the target is still ready. Sending work there
    # would break the bound on leaving targets.
    registry = targets.Registry()
    registry.apply([make_entry("a", 1), make_entry("b", 2)], 0.0)
    registry.apply([make_entry("a", 9, targets.Phase.DRAINING)], 0.0)
    registry.apply([make_entry("a", 5)], 0.0)
    registry.replace([make_entry("a", 5), make_entry("b", 6)], 7, 0.0)
    assert list_names(registry) == {"b"}


def test_removed_target_is_not_brought_back_by_old_news() -> None:
    registry = targets.Registry()
    registry.apply([make_entry(name, n) for n, name in enumerate("abcdefgh")], 0.0)
    registry.apply([targets.Gone("a", 20)], 0.0)
    registry.apply([make_entry("a", 12)], 0.0)
    assert "a" not in list_names(registry)
    registry.apply([make_entry("a", 21)], 0.0)
    assert "a" in list_names(registry)


def test_held_up_heartbeat_of_an_earlier_start_is_ignored() -> None:
    # A target restarts under its id; a heartbeat of its former self arrives late.
    registry = targets.Registry()
    registry.apply([make_entry("a", 1, born=100)], 0.0)
    registry.apply([make_entry("a", 2, born=50, service="other")], 0.0)
    assert list_names(registry) == {"a"}


def test_many_that_vanish_at_once_stay_in_use_for_a_moment() -> None:
    # The store was away and the leases of live targets ran out with it. Dropping all
    # at once would refuse every request until they have registered again.
    registry = targets.Registry()
    registry.apply([make_entry(name, n) for n, name in enumerate("abcdef")], 0.0)
    gone = [targets.Gone(name, 10 + n) for n, name in enumerate("abcde")]
    # The removals are news all the same: other VMs must hear of them.
    assert registry.apply(gone, 100.0) == gone
    assert list_names(registry, 100.0) == set("abcdef")
    registry.apply([make_entry("a", 30)], 100.5)
    later = 100.0 + targets.LAPSE_GRACE
    assert registry.drop_lapsed(later)
    assert not registry.drop_lapsed(later)
    assert list_names(registry, later) == {"a", "f"}


def test_single_one_that_vanishes_is_dropped_at_once() -> None:
    registry = targets.Registry()
    registry.apply([make_entry(name, n) for n, name in enumerate("abcdef")], 0.0)
    registry.apply([targets.Gone("a", 10)], 0.0)
    assert list_names(registry) == set("bcdef")


def test_heartbeat_that_changes_nothing_is_no_news() -> None:
    registry = targets.Registry()
    entry = make_entry("a", 1)
    assert registry.apply([entry], 0.0) == [entry]
    again = dataclasses.replace(entry, position=2, cold_until=3.0)
    assert registry.apply([again], 0.0) == []


def test_late_word_of_a_target_does_not_bring_it_back_after_a_listing() -> None:
    # Guards against a VM that starts while a target leaves, and then hears a peer that
    # stood still tell of it as ready.
    registry = targets.Registry()
    registry.replace([make_entry("t1", position=3)], 9, 0.0)
    assert registry.apply([make_entry("t2", position=8)], 0.0) == []
    assert registry.find("t2") is None
    assert registry.apply([make_entry("t3", position=9)], 0.0) != []
    assert registry.find_usable("t3") is not None


def test_targets_that_have_vanished_are_not_handed_on() -> None:
    # Guards against a VM that starts in the grace of vanished targets and never hears
    # that they are gone.
    registry = targets.Registry()
    names = ["t1", "t2", "t3"]
    registry.apply([make_entry(name, position=1) for name in names], 0.0)
    registry.apply([targets.Gone("t1", 2), targets.Gone("t2", 3)], 0.0)
    assert registry.find_usable("t1") is not None
    assert [one.target_id for one in registry.list_lasting()] == ["t3"]
