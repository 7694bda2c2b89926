"""Resigns from tasks that this VM cannot perform at the moment, though it is running.

Without a resignation, the other VMs would ask this VM first again as soon as they
receive a message from it, and wait in vain.
"""

from __future__ import annotations

import anyio

from . import datagrams, log_lines, members, peer_link

RESIGNATION_DURATION_S = 3.0
"""Seconds that a resignation lasts; it is renewed while its reason lasts."""

ALL_TASKS = ""
"""Name that stands for every task."""

MAX_MEAN_LATENESS_S = 0.06
"""Mean delay of timers in seconds above which a VM is too slow to answer others, which
ask the next VM after 90 ms."""

LATENESS_WEIGHT = 0.25
"""Weight of a new delay in the exponential mean, so that a single pause of the process
does not count as slowness."""


class Resignation:
    """Announces the tasks that this VM cannot perform.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Sends datagrams to them.
    log : log_lines.LogLines
        Logs each resignation.
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
        self._resigned_until: dict[str, float] = {}

    def resign(self, task: str, why: str) -> None:
        """Resign from a task, unless most of the current resignation is still left."""
        now = anyio.current_time()
        if self._resigned_until.get(task, 0.0) - now > RESIGNATION_DURATION_S / 2:
            return
        until = now + RESIGNATION_DURATION_S
        own = self._fleet.own
        if not self._fleet.record_resignation(
            own.vm, own.incarnation, task, until, now
        ):
            return
        self._resigned_until[task] = until
        self._log.write("resigned", task=task or "all", why=why)
        message = datagrams.Resigned(own.vm, own.incarnation, task, until)
        self._link.send_many(message, self._fleet.list_others())

    def record_lateness(self, seconds: float, has_tasks: bool) -> None:
        """Record by how many seconds a timer of this process fired late.

        This guards against a VM that becomes slow while it dispatches a shard. Slot
        requests would wait in its queue of datagrams, and each requesting VM would
        notice that only by a time-out of its own.
        """
        self._lateness += LATENESS_WEIGHT * (max(0.0, seconds) - self._lateness)
        if self._lateness > MAX_MEAN_LATENESS_S and has_tasks:
            self.resign(ALL_TASKS, f"timers {self._lateness:.2f} s late")
