"""Weighted choice of a target: the less loaded of two random draws."""

from __future__ import annotations

import collections.abc
import random

from . import services, steering


def pick_target(
    weighted: collections.abc.Sequence[steering.Weighted],
    in_flight: collections.abc.Mapping[str, float],
    generator: random.Random,
) -> services.Target | None:
    """Return the less loaded of two targets drawn by weight, or None if there are none.

    Parameters
    ----------
    weighted : sequence of steering.Weighted
        Targets that may be chosen.
    in_flight : mapping
        Requests in flight by name of target; targets without an entry have none.
    generator : random.Random
        Source of randomness.
    """
    if not weighted:
        return None
    shares = [item.weight * item.target.slots for item in weighted]
    first, second = generator.choices(weighted, shares, k=2)
    # A suspect's small weight makes it lose almost every comparison by load. The weight
    # is already the share of work that it should get as a trial, so a suspect that is
    # drawn first is chosen without a comparison.
    if first.is_suspect:
        return first.target
    if _find_load(second, in_flight) < _find_load(first, in_flight):
        return second.target
    return first.target


def _find_load(
    item: steering.Weighted, in_flight: collections.abc.Mapping[str, float]
) -> float:
    requests = in_flight.get(item.target.name, 0.0) + 1.0
    return requests / (item.weight * item.target.slots)
