"""The time line: the events of many VMs in one causal order."""

from __future__ import annotations

from zinniastand_core import hybrid_clock
from zinniastand_ctl import timeline_page


def make_event(time: float, count: int, vm: str, subject: str) -> timeline_page.Event:
    """Return an event as a VM's admin page shows it."""
    return {
        "time": time,
        "count": count,
        "vm": vm,
        "kind": "ejected",
        "subject": subject,
        "detail": "<b>level 9</b>",
    }


def test_a_cause_comes_before_its_effect_in_spite_of_skewed_clocks() -> None:
    # vm-1's clock is 3 s ahead. It tells vm-2 something; vm-2's next event is later
    # in the order, though vm-2's own clock shows an earlier time.
    ahead, behind = hybrid_clock.HybridClock(), hybrid_clock.HybridClock()
    cause = ahead.tick(1003.0)
    effect = behind.merge(cause, 1000.0)
    assert effect > cause
    pages = [
        {"events": [make_event(effect.time, effect.count, "vm-2", "effect")]},
        {"events": [make_event(cause.time, cause.count, "vm-1", "cause")]},
    ]
    merged = timeline_page.merge(pages)
    assert [event["subject"] for event in merged] == ["cause", "effect"]


def test_one_broken_clock_does_not_drag_the_others() -> None:
    clock = hybrid_clock.HybridClock()
    clock.tick(1000.0)
    assert clock.merge(hybrid_clock.Stamp(9e9, 0), 1001.0).time == 1001.0


def test_the_page_stands_alone_and_escapes_what_it_shows() -> None:
    page = timeline_page.render([make_event(1000.0, 0, "vm-1", "desk/desk-4")])
    assert "desk/desk-4" in page
    assert "<b>level 9</b>" not in page
    assert "http://" not in page
    assert "https://" not in page
