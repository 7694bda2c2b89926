"""Gives up tasks that this VM cannot do for all at the moment, though it lives.

Others would ask it first again as soon as they hear from it, and wait for nothing.
"""

from __future__ import annotations

import anyio

from . import datagrams, log_lines, members, peer_link

RESIGNATION_S = 3.0
"""Seconds for which a task is given up; told again while the reason lasts."""

ALL_TASKS = ""
"""Name that stands for every task."""

LATE = 0.06
"""Seconds by which timers fire late from which a VM is too slow to answer others: they
ask the next one after 90 ms."""

LATE_WEIGHT = 0.25
"""Weight of a new lateness in their mean: one pause of the process is no slowness."""


class Resignation:
    """Tells others what this VM cannot do.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Datagrams to them.
    log : log_lines.LogLines
        Where it is noted.
    """

    def __init__(
        self,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
    ) -> None:
        self._fleet = fleet
        self._link = link
        self._log = log
        self._lateness = 0.0
        self._until: dict[str, float] = {}

    def resign(self, task: str, why: str) -> None:
        """Give up a task for a while, unless that was told just now."""
        now = anyio.current_time()
        if self._until.get(task, 0.0) - now > RESIGNATION_S / 2:
            return
        until = now + RESIGNATION_S
        own = self._fleet.own
        if not self._fleet.record_resignation(
            own.vm, own.incarnation, task, until, now
        ):
            return
        self._until[task] = until
        self._log.write("resigned", task=task or "all", why=why)
        message = datagrams.Resigned(own.vm, own.incarnation, task, until)
        self._link.send_many(message, self._fleet.list_others())

    def record_lateness(self, seconds: float, has_tasks: bool) -> None:
        """Take in by how much a timer of this process fired late.

        Load pattern: a VM turns slow while it places the requests of a shard. Its
        queue of datagrams would hold them, and every asker finds out for itself.
        """
        self._lateness += LATE_WEIGHT * (max(0.0, seconds) - self._lateness)
        if self._lateness > LATE and has_tasks:
            self.resign(ALL_TASKS, f"timers {self._lateness:.2f} s late")
