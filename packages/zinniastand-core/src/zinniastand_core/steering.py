"""Weights of targets: load moves away by degrees as evidence mounts.

Steering is not ejection. It is each VM's own act, at once and reversible, and it keeps
a trickle of idempotent work on a suspect, from which it can clear itself.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from . import services

FULL_WEIGHT_LEVEL = 0.3
SUSPECT_LEVEL = 0.85
SUSPECT_WEIGHT = 0.02
COLD_WEIGHT = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """What is known of one target at this moment."""

    target: services.Target
    """Which."""

    level: float
    """Score, as a share of the threshold."""

    warmth: float
    """From 0 (just came up or back) to 1 (takes its full share)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Weighted:
    """A target with its weight."""

    target: services.Target
    """Which."""

    weight: float
    """Share of its slots that new work may count on, above 0 and up to 1."""

    is_suspect: bool
    """Whether at-most-once work should go elsewhere."""


def weigh(
    conditions: collections.abc.Sequence[Condition], floor_slots: int
) -> list[Weighted]:
    """Return the weight of each target.

    The least suspect targets, up to the floor, keep their whole weight. When everything
    looks bad, avoiding everything would turn a fault of the observer into an outage.
    """
    spared = _spare(conditions, floor_slots)
    weighted: list[Weighted] = []
    for condition in conditions:
        health = 1.0
        if condition.target.name not in spared:
            health = _weigh_health(condition.level)
        warmth = COLD_WEIGHT + (1.0 - COLD_WEIGHT) * condition.warmth
        suspect = health < 1.0 and condition.level >= SUSPECT_LEVEL
        weighted.append(Weighted(condition.target, health * warmth, suspect))
    return weighted


def _spare(
    conditions: collections.abc.Sequence[Condition], floor_slots: int
) -> set[str]:
    spared: set[str] = set()
    slots = 0
    for condition in sorted(conditions, key=_rank):
        if slots >= floor_slots:
            break
        spared.add(condition.target.name)
        slots += condition.target.slots
    return spared


def _rank(condition: Condition) -> tuple[float, str]:
    return condition.level, condition.target.name


def _weigh_health(level: float) -> float:
    if level <= FULL_WEIGHT_LEVEL:
        return 1.0
    if level >= SUSPECT_LEVEL:
        return SUSPECT_WEIGHT
    return 1.0 - (1.0 - SUSPECT_WEIGHT) * (level - FULL_WEIGHT_LEVEL) / (
        SUSPECT_LEVEL - FULL_WEIGHT_LEVEL
    )
