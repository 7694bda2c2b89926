"""Choice of a target among weighted ones: the better of two random draws."""

from __future__ import annotations

import collections.abc
import random

from . import services, steering


def draw(
    weighted: collections.abc.Sequence[steering.Weighted],
    in_flight: collections.abc.Mapping[str, float],
    generator: random.Random,
) -> services.Target | None:
    """Return the less loaded of two targets drawn by weight, or None of none.

    Parameters
    ----------
    weighted : sequence of steering.Weighted
        Targets that may be chosen.
    in_flight : mapping
        Requests under way by name of target, as far as known.
    generator : random.Random
        Source of randomness.
    """
    if not weighted:
        return None
    shares = [item.weight * item.target.slots for item in weighted]
    first, second = generator.choices(weighted, shares, k=2)
    # Of two draws a suspect would never win. Its small weight is the share of work
    # that it is to get, as a trial, so the first draw counts.
    if first.is_suspect:
        return first.target
    if _rate(second, in_flight) < _rate(first, in_flight):
        return second.target
    return first.target


def _rate(
    item: steering.Weighted, in_flight: collections.abc.Mapping[str, float]
) -> float:
    waiting = in_flight.get(item.target.name, 0.0) + 1.0
    return waiting / (item.weight * item.target.slots)
