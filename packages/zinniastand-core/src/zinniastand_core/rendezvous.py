"""Rendezvous hashing: assigns tasks to members without any messages between them.

It is not mutual exclusion: it only keeps most VMs from doing the same work. VMs that
see different sets of members may pick different ones, and both act. Where a task must
not be done twice, the log decides; see `claim_ledger` and `ejections`.
"""

from __future__ import annotations

import collections.abc
import hashlib
import heapq


def pick(
    task: str, members: collections.abc.Iterable[str], count: int = 1
) -> list[str]:
    """Return the members that rank highest for a task.

    Parameters
    ----------
    task : str
        Name of the task; it is hashed, and all VMs must use the same one.
    members : collections.abc.Iterable of str
        Names of all members to choose from.
    count : int
        Maximum number of members to return.

    Returns
    -------
    list of str
        At most `count` members, highest rank first.
    """
    return heapq.nlargest(count, members, key=lambda member: _rank(task, member))


def _rank(task: str, member: str) -> tuple[bytes, str]:
    content = f"{task}\0{member}".encode()
    return hashlib.blake2b(content, digest_size=8).digest(), member
