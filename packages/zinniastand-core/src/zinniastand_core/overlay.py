"""Whom a VM talks to: a few neighbours on a ring, so the cost stays flat."""

from __future__ import annotations

import collections.abc
import hashlib

MAX_NEIGHBOURS = 4


def pick_neighbours(
    own: str, members: collections.abc.Iterable[str], most: int = MAX_NEIGHBOURS
) -> list[str]:
    """Return the members that `own` calls: its successor, then ever longer strides.

    Strides that halve (a half, a quarter, ... of the ring) let news reach everybody in
    about log2(n) / 2 steps over edges used both ways, and any single loss leaves
    other ways round.
    """
    ring = sorted({*members, own}, key=_find_ring_position)
    count = len(ring)
    start = ring.index(own)
    strides = [1]
    reach = count // 2
    while reach > 1 and len(strides) < most:
        strides.append(reach)
        reach //= 2
    found: list[str] = []
    for stride in strides:
        member = ring[(start + stride) % count]
        if member != own and member not in found:
            found.append(member)
    return found


def _find_ring_position(vm: str) -> tuple[bytes, str]:
    return hashlib.blake2b(vm.encode(), digest_size=8).digest(), vm
