"""Weights of targets: the higher a target's failure score, the less work it gets.

Steering is not ejection. Each VM steers on its own, at once and reversibly, and still
sends a suspect a small share of idempotent work, so that good answers can lower its
score again.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from . import services

FULL_WEIGHT_LEVEL = 0.3
"""Level, as a ratio of the threshold, up to which a target keeps its full weight."""

SUSPECT_LEVEL = 0.85
"""Level, as a ratio of the threshold, from which on a target is a suspect."""

SUSPECT_WEIGHT = 0.02
"""Weight of a suspect; between the two levels the weight falls linearly to it."""

COLD_WEIGHT = 0.15
"""Factor on the weight of a target at the start of its warm-up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Score and warm-up state of one target."""

    target: services.Target
    """The target."""

    level: float
    """Score as a ratio of the threshold at which a target counts as failing."""

    warmth: float
    """From 0 (just added or readmitted) to 1 (takes its full share)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Weighted:
    """A target with its weight."""

    target: services.Target
    """The target."""

    weight: float
    """Share of its slots that new work is planned for, above 0 and up to 1."""

    is_suspect: bool
    """Whether at-most-once work should go to other targets if there are any."""


def calculate_weights(
    conditions: collections.abc.Sequence[Condition], floor_slots: int
) -> list[Weighted]:
    """Return the weight of each target.

    The targets with the lowest scores, until they have `floor_slots` slots together,
    are not weighted down for their scores. When every target looks bad, the fault may
    be this VM's own, and avoiding them all would turn it into an outage.

    Parameters
    ----------
    conditions : sequence of Condition
        Targets that may get work.
    floor_slots : int
        Slots that keep their weight whatever the scores.
    """
    protected = _list_protected(conditions, floor_slots)
    weighted: list[Weighted] = []
    for condition in conditions:
        health = 1.0
        if condition.target.name not in protected:
            health = _find_health_weight(condition.level)
        warmth = COLD_WEIGHT + (1.0 - COLD_WEIGHT) * condition.warmth
        suspect = health < 1.0 and condition.level >= SUSPECT_LEVEL
        weighted.append(Weighted(condition.target, health * warmth, suspect))
    return weighted


def _list_protected(
    conditions: collections.abc.Sequence[Condition], floor_slots: int
) -> set[str]:
    protected: set[str] = set()
    slots = 0
    for condition in sorted(conditions, key=_make_rank):
        if slots >= floor_slots:
            break
        protected.add(condition.target.name)
        slots += condition.target.slots
    return protected


def _make_rank(condition: Condition) -> tuple[float, str]:
    return condition.level, condition.target.name


def _find_health_weight(level: float) -> float:
    if level <= FULL_WEIGHT_LEVEL:
        return 1.0
    if level >= SUSPECT_LEVEL:
        return SUSPECT_WEIGHT
    return 1.0 - (1.0 - SUSPECT_WEIGHT) * (level - FULL_WEIGHT_LEVEL) / (
        SUSPECT_LEVEL - FULL_WEIGHT_LEVEL
    )
