"""Parts of the dispatcher's policy that can be switched individually.

Only tests and load models switch off those that are enabled by default, to measure what
each contributes. The others are enabled by the settings of a VM.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanisms:
    """Which parts of the policy are enabled."""

    trials: bool = True
    """Idempotent requests serve as trials of targets that may be failing."""

    patience: bool = True
    """Work waits for a proven healthy target while its answer can still be on time."""

    short_queue: bool = True
    """A standing queue is kept short, so that answers are on time."""

    second_rank: bool = True
    """Retries are raised one priority while the queue is short."""

    scarcity: bool = True
    """Retries become more expensive as the budget runs out."""

    load_price: bool = True
    """Full targets cost more than idle ones."""

    connection_price: bool = True
    """New connections cost more than idle ones."""

    idle_work: bool = True
    """Idle healthy targets get work while many requests of the shard are not served."""

    silence: bool = True
    """Requests that run for longer than usual count as evidence that their target is
    failing."""

    local_first: bool = False
    """Work stays in its data centre while targets there can answer it on time."""

    fair_accounts: bool = False
    """Waiting work of a priority is ordered fairly over client accounts."""


ALL = Mechanisms()
"""The complete policy, without the parts that settings enable."""
