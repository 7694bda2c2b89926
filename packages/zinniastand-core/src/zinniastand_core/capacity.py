"""Finds the VMs that have the capacity to perform tasks for the whole fleet.

Load pattern: nearly all VMs of a fleet have a fraction of a core and a slow link, and a
few are many times larger. Rendezvous hashing gives most tasks to small VMs. One that
dispatches a few hundred requests a second, or sends each change of the targets to a
hundred VMs, answers late, and the other VMs count it as lost.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import statistics

LARGE_FACTOR = 3.0
"""Multiple of the fleet's median processor and link from which a VM counts as large."""

MIN_LARGE_SHARE = 0.1
"""Minimum share of the fleet's processors that large VMs have together. A smaller group
would be overloaded by the tasks of the whole fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What a VM can process and send; 0 if it is not known."""

    processor: float = 0.0
    """Processor time per second, in seconds of a core of usual speed."""

    link: float = 0.0
    """Bandwidth of its network link in bytes per second."""


def check_amount(value: object) -> float:
    """Return an amount of a capacity that another VM has stated.

    Raises
    ------
    ValueError
        If it is not a finite number of at least 0.
    """
    if not isinstance(value, float | int) or not 0.0 <= value < math.inf:
        raise ValueError(f"expected a number of at least 0, got {value!r:.20}")
    return float(value)


def find_large(
    capacities: collections.abc.Mapping[str, Capacity],
) -> frozenset[str]:
    """Return the VMs that are large enough to get the tasks of the fleet.

    Parameters
    ----------
    capacities : collections.abc.Mapping of str to Capacity
        The capacity of each VM.

    Returns
    -------
    frozenset of str
        Names of the large VMs. Empty if all VMs are alike, if the capacity of most VMs
        is unknown, or if the large ones have too little capacity together.
    """
    if not capacities:
        return frozenset()
    processor = statistics.median(each.processor for each in capacities.values())
    link = statistics.median(each.link for each in capacities.values())
    if processor <= 0.0 or link <= 0.0:
        return frozenset()
    large = frozenset(
        vm
        for vm, each in capacities.items()
        if each.processor >= LARGE_FACTOR * processor
        and each.link >= LARGE_FACTOR * link
    )
    total = sum(each.processor for each in capacities.values())
    if sum(capacities[vm].processor for vm in large) < MIN_LARGE_SHARE * total:
        return frozenset()
    return large
