"""Picks the neighbours of a VM on a ring.

Their number is bounded, so heartbeats cost a VM the same in a fleet of any size.
"""

from __future__ import annotations

import collections.abc
import hashlib

MAX_NEIGHBOURS = 4
"""Maximum number of VMs that one VM connects to."""


def pick_neighbours(
    own: str, members: collections.abc.Iterable[str], limit: int = MAX_NEIGHBOURS
) -> list[str]:
    """Return the members that `own` connects to.

    They are its successor on the ring and some members at longer strides.

    With strides of a half, a quarter, ... of the ring, and edges used both ways,
    updates reach all members in about log2(n) / 2 steps. After the loss of any single
    member or edge, other paths remain.
    """
    ring = sorted({*members, own}, key=_find_ring_position)
    count = len(ring)
    start = ring.index(own)
    strides = [1]
    next_stride = count // 2
    while next_stride > 1 and len(strides) < limit:
        strides.append(next_stride)
        next_stride //= 2
    found: list[str] = []
    for stride in strides:
        member = ring[(start + stride) % count]
        if member != own and member not in found:
            found.append(member)
    return found


def _find_ring_position(vm: str) -> tuple[bytes, str]:
    return hashlib.blake2b(vm.encode(), digest_size=8).digest(), vm
