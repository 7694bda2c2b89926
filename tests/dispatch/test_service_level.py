"""The share of recent requests that were not served."""

from __future__ import annotations

import pytest

from zinniastand_core.dispatch import service_level


def test_share_covers_the_last_seconds() -> None:
    level = service_level.ServiceLevel()
    for n in range(20):
        level.add(is_served=n % 4 > 0, now=n * 0.01)
    assert level.find_unserved_share(0.2) == pytest.approx(0.25, abs=0.01)
    for n in range(40):
        level.add(is_served=True, now=5.0 + n * 0.01)
    assert level.find_unserved_share(5.4) < 0.02


def test_share_is_zero_while_there_are_few_requests() -> None:
    level = service_level.ServiceLevel()
    for _ in range(4):
        level.add(is_served=False, now=1.0)
    assert level.find_unserved_share(1.0) == 0.0
    level.add(is_served=False, now=1.0)
    assert level.find_unserved_share(1.0) == 1.0
    assert level.find_unserved_share(3.0) == 0.0
