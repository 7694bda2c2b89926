"""Asks other VMs for credit, one question per account at a time."""

from __future__ import annotations

import anyio

from zinniastand_core.accounts import quota_credit

from .. import log_lines, members, peer_link
from . import account_messages, counting_vms


class _Pending:
    """A question that waits for its answer."""

    def __init__(self) -> None:
        self.lent: account_messages.CreditLent | None = None
        self.changed = anyio.Event()


class CreditQuestions:
    """Sends questions, and passes answers to what waits for them.

    Parameters
    ----------
    vms : counting_vms.CountingVms
        Records which VMs do not answer.
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    log : log_lines.LogLines
        Receives a line for each VM that does not answer.
    counts : quota_credit.CreditCounts
        Totals to which this adds.
    """

    def __init__(
        self,
        vms: counting_vms.CountingVms,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        counts: quota_credit.CreditCounts,
    ) -> None:
        self._vms = vms
        self._fleet = fleet
        self._link = link
        self._log = log
        self._counts = counts
        self._pending: dict[tuple[str, int], _Pending] = {}

    async def ask(
        self,
        vm: str,
        question: account_messages.CreditAsked,
        timeouts: tuple[float, ...],
    ) -> account_messages.CreditLent | None:
        """Return a VM's answer, or None if it does not decide.

        Parameters
        ----------
        vm : str
            VM that is asked.
        question : account_messages.CreditAsked
            The question.
        timeouts : tuple of float
            Seconds to wait after each sending.
        """
        member = self._fleet.find(vm)
        if member is None:
            return None
        asked_at = anyio.current_time()
        key = question.borrower, question.number
        pending = self._pending[key] = _Pending()
        try:
            for timeout in timeouts:
                self._counts.questions_sent += 1
                self._link.send(question, member)
                with anyio.move_on_after(timeout):
                    await pending.changed.wait()
                if pending.lent is not None:
                    break
        finally:
            del self._pending[key]
        if pending.lent is None:
            now = anyio.current_time()
            if self._vms.record_unanswered(vm, asked_at, now):
                self._log.write("quota_counter_lost", peer=vm)
            return None
        return pending.lent if pending.lent.amount >= 0 else None

    def apply(self, lent: account_messages.CreditLent) -> None:
        """Pass an answer to what waits for it.

        Its sender is running, also if the answer comes too late to be used.
        """
        self._fleet.record_contact(lent.vm, anyio.current_time())
        pending = self._pending.get((lent.borrower, lent.number))
        if pending is not None:
            pending.lent = lent
            pending.changed.set()
