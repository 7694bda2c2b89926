"""Seeds that failed once, each with its cause."""

from __future__ import annotations

import pathlib

import pytest

from soak import plan, run

REFUSED_SECOND_ATTEMPT_SEED = 14
"""A lookup is cancelled as overdue in favour of a second target, which refuses it."""

FOREIGN_ANSWER_SEED = 15
"""On a reused connection a late answer to another request precedes the expected one."""


@pytest.mark.parametrize("seed", [REFUSED_SECOND_ATTEMPT_SEED, FOREIGN_ANSWER_SEED])
def test_work_that_goes_on_is_not_given_up(seed: int, tmp_path: pathlib.Path) -> None:
    # Guards against a 502 of the proxy while a sound target works on the request. The
    # proxy closed its connection to that target: either the second target, for which
    # the first was left, failed as well, or an answer to another request was counted as
    # a failure of the target.
    report = run.play_seed(seed, tmp_path, scenario=run.Scenario(plan.Kind.ROLLING))
    assert report.breaches == ()
