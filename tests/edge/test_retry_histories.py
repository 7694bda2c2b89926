"""The limit on the retries of a service in histories drawn at random."""

from __future__ import annotations

import pytest

from bench import retry_histories


@pytest.mark.parametrize("seed", [14, 17, 47, 55])
def test_limit_on_retries_holds_whatever_vms_know_of_each_other(seed: int) -> None:
    # Guards against retries granted by counts that are lost, late or known in part.
    result = retry_histories.play(seed)
    assert result.worst.excess <= 0, result
