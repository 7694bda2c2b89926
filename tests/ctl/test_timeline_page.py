"""Tests that events of many VMs are merged in causal order and shown on a page."""

from __future__ import annotations

from zinniastand_core import hybrid_clock
from zinniastand_ctl import timeline_page


def make_event(time: float, count: int, vm: str, subject: str) -> timeline_page.Event:
    """Return an event as on the admin page ``/events`` of a VM."""
    return {
        "time": time,
        "count": count,
        "vm": vm,
        "kind": "ejected",
        "subject": subject,
        "detail": "<b>level 9</b>",
    }


def test_effect_comes_after_its_cause_although_clocks_differ() -> None:
    # vm-1's clock is 3 s ahead of vm-2's. vm-2 receives a message from vm-1, and its
    # next event must come after vm-1's, although its own clock shows an earlier time.
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


def test_clock_that_is_far_ahead_does_not_advance_others() -> None:
    clock = hybrid_clock.HybridClock()
    clock.tick(1000.0)
    assert clock.merge(hybrid_clock.Stamp(9e9, 0), 1001.0).time == 1001.0


def test_page_loads_nothing_and_escapes_event_details() -> None:
    page = timeline_page.render([make_event(1000.0, 0, "vm-1", "desk/desk-4")])
    assert "desk/desk-4" in page
    assert "<b>level 9</b>" not in page
    assert "http://" not in page
    assert "https://" not in page
