"""Which VM does what for all."""

from __future__ import annotations

import dataclasses

from zinniastand_proxy.edge import members, ports

SETTLED = members.SETTLE_TIME_S + 0.1


def make_member(name: str, incarnation: int = 1) -> ports.Member:
    return ports.Member(name, "a", "10.0.0.1", 7660, incarnation)


def make_fleet(*names: str) -> members.Members:
    fleet = members.Members(make_member("own"), 0.0)
    for name in names:
        fleet.add(make_member(name))
        fleet.record_contact(name, 0.0)
    return fleet


def test_all_vms_agree_on_who_does_a_task() -> None:
    names = [f"vm-{n}" for n in range(6)]
    ranks = set()
    for own in names:
        fleet = members.Members(make_member(own), 0.0)
        for name in names:
            fleet.add(make_member(name))
            fleet.record_contact(name, 0.0)
        ranks.add(tuple(fleet.rank("desk", SETTLED, 3)))
    assert len(ranks) == 1


def test_silent_vm_loses_its_tasks_until_it_is_heard() -> None:
    fleet = make_fleet("a", "b", "c")
    first, second, *_ = fleet.rank("desk", SETTLED, 4)
    if first == "own":
        first, second = second, first
    assert fleet.suspect(first, SETTLED)
    assert not fleet.suspect(first, SETTLED)
    assert first not in fleet.rank("desk", SETTLED, 4)
    assert first in {one.vm for one in fleet.list_suspects(SETTLED)}
    fleet.record_contact(first, SETTLED)
    assert first in fleet.rank("desk", SETTLED, 4)


def test_vm_never_heard_from_does_nothing_for_all() -> None:
    # The store keeps the records of VMs that are long gone.
    fleet = make_fleet("a")
    fleet.add(make_member("gone"))
    assert "gone" not in fleet.rank("desk", SETTLED, 4)


def test_new_vm_takes_no_task_over_at_once() -> None:
    # A VM that has just started knows nothing of slots in use and failing targets.
    fleet = make_fleet("a", "b")
    fleet.add(make_member("new"))
    fleet.record_contact("new", SETTLED)
    assert "new" not in fleet.rank("desk", SETTLED, 4)
    assert "new" in fleet.rank("desk", 2 * SETTLED, 4)
    assert "new" in fleet.rank_reachable("desk", SETTLED)


def test_at_the_first_start_everybody_is_new_and_tasks_are_done() -> None:
    fleet = make_fleet("a", "b")
    assert len(fleet.rank("desk", 0.1, 4)) == 3


def test_restarted_vm_counts_as_new() -> None:
    fleet = make_fleet("a")
    assert fleet.add(make_member("a", incarnation=2))
    assert not fleet.add(make_member("a", incarnation=1))
    fleet.record_contact("a", SETTLED)
    assert "a" not in fleet.rank("desk", SETTLED, 4)


def test_leaving_vm_does_nothing_for_all_and_can_be_answered() -> None:
    # A VM says that it leaves, and serves its callers for some seconds. The others
    # forgot its address and could not answer its asks: it took one dispatcher after the
    # other for dead, 0.09 s each, and its second attempts were refused by itself.
    fleet = make_fleet("a", "b")
    fleet.record_leaving("a", 1, SETTLED)
    assert "a" not in fleet.rank("desk", SETTLED, 4)
    assert "a" not in fleet.rank_reachable("desk", SETTLED)
    fleet.record_contact("a", SETTLED)
    assert "a" not in fleet.rank("desk", SETTLED, 4)
    assert fleet.find("a") is not None
    assert fleet.list_suspects(SETTLED) == []


def test_vm_that_left_is_forgotten_some_time_after() -> None:
    fleet = make_fleet("a")
    fleet.record_leaving("a", 1, SETTLED)
    fleet.remove_departed(SETTLED + 1)
    assert fleet.find("a") is not None
    fleet.remove_departed(SETTLED + members.LEAVING_RETENTION_S)
    assert fleet.find("a") is None


def test_vm_that_left_and_starts_again_takes_tasks() -> None:
    fleet = make_fleet("a")
    fleet.record_leaving("a", 1, SETTLED)
    assert fleet.add(make_member("a", incarnation=2))
    fleet.record_contact("a", SETTLED)
    assert "a" in fleet.rank("desk", 2 * SETTLED, 4)
    fleet.remove_departed(SETTLED + members.LEAVING_RETENTION_S)
    assert fleet.find("a") is not None


def test_own_entry_stays_and_leaves_tasks_to_others() -> None:
    fleet = make_fleet("a")
    fleet.record_leaving("own", 1, SETTLED)
    assert fleet.rank("desk", SETTLED, 4) == ["a"]
    fleet.remove_departed(SETTLED + members.LEAVING_RETENTION_S)
    assert fleet.find("own") is not None
    other = dataclasses.replace(make_member("own"), incarnation=9)
    assert not fleet.add(other)


def test_vm_of_a_fleet_that_starts_does_not_take_all_tasks_for_itself() -> None:
    # All VMs start at the same moment, and each hears the others a little after its
    # own start. Two seconds later each was the only one settled in its own eyes: all
    # of them read the store, and dispatched their own requests without the others.
    fleet = members.Members(make_member("own"), 0.0)
    for name in ("a", "b", "c"):
        fleet.add(make_member(name))
        fleet.record_contact(name, 0.4)
    for tenth in range(40):
        assert fleet.rank("desk", tenth / 10, 4) != ["own"]
    assert "own" in fleet.rank("desk", 0.4 + SETTLED, 4)


def test_vms_of_a_data_centre_are_asked_first() -> None:
    fleet = make_fleet("a", "b")
    far = ports.Member("far", "z", "10.0.0.2", 7660, 1)
    fleet.add(far)
    fleet.record_contact("far", 0.0)
    assert fleet.rank("desk", 2 * SETTLED, 2, "z") == ["far"]
    assert fleet.rank_reachable("desk", 2 * SETTLED, "z") == ["far"]
    fleet.suspect("far", 2 * SETTLED)
    assert "far" not in fleet.rank("desk", 2 * SETTLED, 2, "z")
    assert len(fleet.rank("desk", 2 * SETTLED, 2, "z")) == 2


def test_news_through_a_relay_say_nothing_of_the_reader() -> None:
    # The reader is cut off from this VM but not from its relay. Requests would ask the
    # reader first after each piece of news, and wait for it in vain.
    fleet = make_fleet("near")
    fleet.add(ports.Member("far", "z", "10.0.0.2", 7660, 1))
    assert not fleet.is_direct("far", is_for_relay=False)
    assert fleet.is_direct("far", is_for_relay=True)
    assert fleet.is_direct("near", is_for_relay=False)
