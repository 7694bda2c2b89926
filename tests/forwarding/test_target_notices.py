"""How long a target that wants no requests gets none."""

from __future__ import annotations

import dataclasses

from zinniastand_core.deployment import targets
from zinniastand_core.forwarding import target_notices

TARGET = targets.Entry(
    "t1", "desk", "127.0.0.1", 80, "a", 1, targets.Phase.READY, 1, 0.0, 1
)


def test_rest_ends_at_its_time() -> None:
    notices = target_notices.TargetNotices()
    notices.record_rest(TARGET, 3.0)
    assert notices.find_end(TARGET, 2.9) == 3.0
    assert notices.find_end(TARGET, 3.0) is None
    assert notices.list_current(3.0) == ()


def test_shorter_rest_does_not_end_a_longer_one() -> None:
    # Guards against answers that arrive out of order.
    notices = target_notices.TargetNotices()
    notices.record_rest(TARGET, 3.0)
    notices.record_rest(TARGET, 1.0)
    assert notices.find_end(TARGET, 2.0) == 3.0


def test_next_start_of_a_target_knows_of_no_rest() -> None:
    notices = target_notices.TargetNotices()
    notices.record_rest(TARGET, 3.0)
    assert notices.find_end(dataclasses.replace(TARGET, born=2), 1.0) is None


def test_rest_ends_earlier_after_a_suspension() -> None:
    notices = target_notices.TargetNotices()
    notices.record_rest(TARGET, 3.0)
    notices.compensate_suspension(2.0)
    assert notices.find_end(TARGET, 1.0) is None


def test_target_that_is_leaving_gets_no_requests_after_its_rest() -> None:
    notices = target_notices.TargetNotices()
    notices.record_leaving(TARGET, 0.0)
    notices.record_rest(TARGET, 3.0)
    assert notices.find_end(TARGET, 10.0) is not None
