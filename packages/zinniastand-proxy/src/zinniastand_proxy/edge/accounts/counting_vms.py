"""Which VM counts an account, as far as this VM can tell."""

from __future__ import annotations

import math

from .. import members

TASK_PREFIX = "quota "
"""Beginning of the name of the task of counting an account, by which VMs are ranked."""

ANSWER_TIMEOUTS_S = (0.04, 0.08)
"""Seconds to wait for an answer to the first and second sending of a request."""

CREDIT_TIMEOUTS_S = (0.06, 0.18)
"""Seconds to wait for an answer to the first and second sending of a question about
credit. When an account becomes hot, all VMs ask at once; a slow counting VM answers
110 questions of 2 ms each in this time."""

SUCCESSOR_TIMEOUTS_S = (0.2,)
"""Seconds to wait for the answer of the next VM in rank, which may ask the first."""

MAX_ASKED = 4
"""Number of VMs that are asked in turn. If none of them answers, this VM cannot tell
who counts, and uses its part of what cut-off VMs may grant."""

CONFIRMATION_S = 1.2
"""Seconds for which a VM that ranks before this one must be suspected until this one
grants the whole quota. Suspected VMs are greeted each second; one that is only slow
answers, and has counted for others meanwhile."""

CONTACT_VALIDITY_S = 1.5
"""Seconds after a message of another VM for which this VM counts as connected. Updates
about targets alone come several times in this period."""


class CountingVms:
    """Ranks VMs for accounts, and records who can be heard.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    """

    def __init__(self, fleet: members.Members) -> None:
        self._fleet = fleet
        self._heard_at = -math.inf
        self._unanswered_at = -math.inf

    @property
    def own(self) -> str:
        """Name of this VM."""
        return self._fleet.own.vm

    def rank(self, account_name: str, now: float, count: int) -> list[str]:
        """Return the VMs that should count an account, best first."""
        return self._fleet.rank(TASK_PREFIX + account_name, now, count)

    def is_first(self, account_name: str, now: float) -> bool:
        """Return whether this VM counts an account."""
        ranked = self.rank(account_name, now, 1)
        return not ranked or ranked[0] == self.own

    def choose_next(self, account_name: str, asked: set[str], now: float) -> str:
        """Return the best VM that has not been asked, or this VM if there is none."""
        ranked = self.rank(account_name, now, MAX_ASKED + 1)
        return next((name for name in ranked if name not in asked), self.own)

    def may_have_rival(self, account_name: str, now: float) -> bool:
        """Return whether a VM that ranks before this one may still be counting."""
        task = TASK_PREFIX + account_name
        return self._fleet.has_suspects_before(task, now, now - CONFIRMATION_S)

    def is_connected(self, now: float) -> bool:
        """Return whether other VMs can be heard, also while one did not answer."""
        is_recent = now - self._heard_at < CONTACT_VALIDITY_S
        return is_recent and self._heard_at >= self._unanswered_at

    def record_contact(self, now: float) -> None:
        """Record that a message of another VM has arrived."""
        self._heard_at = now

    def record_unanswered(self, vm: str, asked_at: float, now: float) -> bool:
        """Record that a VM did not answer; return whether this is news."""
        self._unanswered_at = max(self._unanswered_at, asked_at)
        return self._fleet.suspect(vm, now)

    def reset(self) -> None:
        """Forget that others were heard, as after a process start."""
        self._heard_at = -math.inf
