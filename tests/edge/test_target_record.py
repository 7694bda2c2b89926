"""What a VM takes in about targets, and from where on it must read for itself."""

from __future__ import annotations

import os

from zinniastand_core.deployment import targets
from zinniastand_proxy.edge import datagrams, log_lines, ports, target_record


def make_entry(name: str, position: int) -> targets.Entry:
    return targets.Entry(
        name, "s", "10.0.0.1", 80, "a", 2, targets.Phase.READY, 1, 0.0, position
    )


class Site:
    """A record, and how often it said that targets changed."""

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


def test_news_count_only_after_a_whole_read() -> None:
    # News tell changes. A VM that began with them would not know older targets.
    site = Site()
    site.record.apply_target_update(make_update(0, 5, "t1"), 1.0)
    assert not site.record.is_complete
    assert site.registry.find("t1") is None


def test_news_with_a_gap_before_them_are_left_to_the_store() -> None:
    site = Site()
    site.record.apply_listing(ports.TargetPage((make_entry("t1", 3),), 4), 1.0)
    site.record.apply_target_update(make_update(6, 9, "t2"), 2.0)
    assert site.record.position == 4
    assert site.record.received_at == 0.0
    assert site.registry.find("t2") is None
    site.record.apply_target_update(make_update(4, 9, "t2"), 2.0)
    assert site.record.position == 9
    assert site.record.received_at == 2.0
    assert site.registry.find("t2") is not None
    assert site.changes == 2


def test_late_news_bring_no_old_position_back() -> None:
    site = Site()
    site.record.apply_listing(ports.TargetPage((make_entry("t1", 8),), 9), 1.0)
    site.record.apply_target_update(make_update(0, 5), 2.0)
    assert site.record.position == 9


def test_a_page_without_changes_is_no_news() -> None:
    site = Site()
    assert site.record.apply_listing(ports.TargetPage((make_entry("t1", 3),), 4), 1.0)
    assert not site.record.apply_changes(ports.TargetPage((), 6), 2.0)
    assert site.record.position == 6
    assert site.changes == 1


def test_changes_are_listed_from_a_time_on() -> None:
    site = Site()
    site.record.apply_listing(ports.TargetPage((make_entry("t1", 3),), 4), 1.0)
    site.record.apply_changes(ports.TargetPage((make_entry("t2", 5),), 6), 2.0)
    _, listed = site.record.list_since(1.5)
    assert [change.target_id for change in listed] == ["t2"]


def test_changes_that_nobody_will_be_told_are_forgotten() -> None:
    # A VM that never reads for the others hears of changes all day. Kept for a telling
    # that never comes, they would fill its memory until it is killed.
    site = Site()
    site.record.apply_listing(ports.TargetPage((), 0), 0.0)
    for number in range(1, 200):
        site.record.apply_target_update(
            make_update(number - 1, number, f"t{number}"), number * 1.0
        )
    assert len(site.record.list_since(0.0)[1]) < 10


def test_vm_that_becomes_the_reader_tells_from_where_the_former_one_stopped() -> None:
    # Guards against a gap that makes every VM read the store at a change of reader.
    site = Site()
    site.record.apply_listing(ports.TargetPage((make_entry("t1", 3),), 4), 1.0)
    site.record.apply_target_update(make_update(4, 9, "t2"), 2.0)
    site.record.apply_changes(ports.TargetPage((make_entry("t3", 9),), 10), 2.5)
    since, changes = site.record.list_since(1.5)
    assert since == 4
    assert [one.target_id for one in changes] == ["t2", "t3"]
    since, changes = site.record.list_since(2.2)
    assert since == 9
    assert [one.target_id for one in changes] == ["t3"]


def test_whole_listing_is_not_told_again() -> None:
    site = Site()
    site.record.apply_listing(ports.TargetPage((make_entry("t1", 3),), 4), 1.0)
    assert site.record.list_since(0.0) == (4, ())
