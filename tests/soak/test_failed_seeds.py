"""Seeds that once failed, each with what its callers saw and why."""

from __future__ import annotations

import pathlib

import pytest

from soak import plan, run

OVERDUE_FOR_NOTHING = 14
"""A lookup is broken off as overdue for a second target, which turns it away."""

FOREIGN_ANSWER = 15
"""On a kept connection a late answer to another request comes before the own one."""


@pytest.mark.parametrize("seed", [OVERDUE_FOR_NOTHING, FOREIGN_ANSWER])
def test_work_that_goes_on_is_not_given_up(seed: int, tmp_path: pathlib.Path) -> None:
    # Callers get 502 of the proxy while a sound target is at work on their request.
    # The proxy closes its connection to that target: either the second target, for
    # which the first was left, fails as well, or an answer to another request counted
    # as a failure of the target.
    report = run.play(seed, tmp_path, shape=run.Shape(plan.Kind.ROLLING))
    assert report.breaches == ()
