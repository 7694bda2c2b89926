"""Which updates about targets a VM applies, and which changes it sends on."""

from __future__ import annotations

import os

from zinniastand_core.deployment import targets
from zinniastand_proxy.edge import datagrams, log_lines, ports, target_record


def make_entry(name: str, position: int) -> targets.Entry:
    return targets.Entry(
        name, "s", "10.0.0.1", 80, "a", 2, targets.Phase.READY, 1, 0.0, position
    )


class RecordFixture:
    """A record, with a count of its notifications that targets changed."""

    def __init__(self) -> None:
        self.changes = 0
        self.registry = targets.Registry()
        _, writer = os.pipe()
        log = log_lines.LogLines("vm-1", writer)
        self.record = target_record.TargetRecord(self.registry, log, self._count)

    def _count(self) -> None:
        self.changes += 1


def make_update(since: int, position: int, *names: str) -> datagrams.TargetUpdate:
    changes = tuple(make_entry(name, position - 1) for name in names)
    return datagrams.TargetUpdate("vm-2", 1, position, since, changes)


def test_updates_are_ignored_before_the_first_full_list() -> None:
    # Updates hold changes only. A VM that started with them would lack older targets.
    fixture = RecordFixture()
    fixture.record.apply_target_update(make_update(0, 5, "t1"), 1.0)
    assert not fixture.record.is_complete
    assert fixture.registry.find("t1") is None


def test_update_after_a_gap_is_ignored() -> None:
    fixture = RecordFixture()
    fixture.record.apply_listing(ports.TargetPage((make_entry("t1", 3),), 4), 1.0)
    fixture.record.apply_target_update(make_update(6, 9, "t2"), 2.0)
    assert fixture.record.position == 4
    assert fixture.record.received_at == 0.0
    assert fixture.registry.find("t2") is None
    fixture.record.apply_target_update(make_update(4, 9, "t2"), 2.0)
    assert fixture.record.position == 9
    assert fixture.record.received_at == 2.0
    assert fixture.registry.find("t2") is not None
    assert fixture.changes == 2


def test_late_update_does_not_move_the_position_back() -> None:
    fixture = RecordFixture()
    fixture.record.apply_listing(ports.TargetPage((make_entry("t1", 8),), 9), 1.0)
    fixture.record.apply_target_update(make_update(0, 5), 2.0)
    assert fixture.record.position == 9


def test_page_without_changes_is_not_reported_as_a_change() -> None:
    fixture = RecordFixture()
    assert fixture.record.apply_listing(
        ports.TargetPage((make_entry("t1", 3),), 4), 1.0
    )
    assert not fixture.record.apply_changes(ports.TargetPage((), 6), 2.0)
    assert fixture.record.position == 6
    assert fixture.changes == 1


def test_only_changes_after_the_given_time_are_listed() -> None:
    fixture = RecordFixture()
    fixture.record.apply_listing(ports.TargetPage((make_entry("t1", 3),), 4), 1.0)
    fixture.record.apply_changes(ports.TargetPage((make_entry("t2", 5),), 6), 2.0)
    _, listed = fixture.record.list_since(1.5)
    assert [change.target_id for change in listed] == ["t2"]


def test_changes_past_the_retention_period_are_dropped() -> None:
    # A VM that is never the reader receives changes all day. If it kept all of them for
    # sending, they would fill its memory until it is killed.
    fixture = RecordFixture()
    fixture.record.apply_listing(ports.TargetPage((), 0), 0.0)
    for number in range(1, 200):
        fixture.record.apply_target_update(
            make_update(number - 1, number, f"t{number}"), number * 1.0
        )
    assert len(fixture.record.list_since(0.0)[1]) < 10


def test_new_reader_sends_changes_from_where_the_former_one_stopped() -> None:
    # Guards against a gap that makes each VM read the store when the reader changes.
    fixture = RecordFixture()
    fixture.record.apply_listing(ports.TargetPage((make_entry("t1", 3),), 4), 1.0)
    fixture.record.apply_target_update(make_update(4, 9, "t2"), 2.0)
    fixture.record.apply_changes(ports.TargetPage((make_entry("t3", 9),), 10), 2.5)
    since, changes = fixture.record.list_since(1.5)
    assert since == 4
    assert [listed_change.target_id for listed_change in changes] == ["t2", "t3"]
    since, changes = fixture.record.list_since(2.2)
    assert since == 9
    assert [listed_change.target_id for listed_change in changes] == ["t3"]


def test_full_list_is_not_listed_as_changes() -> None:
    fixture = RecordFixture()
    fixture.record.apply_listing(ports.TargetPage((make_entry("t1", 3),), 4), 1.0)
    assert fixture.record.list_since(0.0) == (4, ())
