"""Rendezvous hashing: who does a task, without asking anybody.

It settles only who *should* act, to save cost. Two VMs that see different members may
both act, and the log decides; see `claim_ledger` and `ejections`.
"""

from __future__ import annotations

import collections.abc
import hashlib
import heapq


def pick(
    task: str, members: collections.abc.Iterable[str], count: int = 1
) -> list[str]:
    """Return the `count` members that rank highest for a task, best first."""
    return heapq.nlargest(count, members, key=lambda member: _rank(task, member))


def _rank(task: str, member: str) -> tuple[bytes, str]:
    content = f"{task}\0{member}".encode()
    return hashlib.blake2b(content, digest_size=8).digest(), member
