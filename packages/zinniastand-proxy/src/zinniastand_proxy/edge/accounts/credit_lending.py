"""Answers other VMs' questions for credit, or passes them on to the counting VM."""

from __future__ import annotations

import dataclasses

import anyio

from zinniastand_core.accounts import account, quota_credit
from zinniastand_core.deployment import configuration

from .. import log_lines, members, peer_link
from . import account_messages, counting_vms, credit_questions

MAX_RELAYED = 256
"""Maximum number of questions that this VM passes on to others at the same time."""

UNKNOWN_ACCOUNT = quota_credit.Answer(-1, 0.0, 0.0)
"""Answer to a question about an account of which this VM knows no quota."""


class CreditLending:
    """Lends credit of the accounts that this VM counts.

    Parameters
    ----------
    state : configuration.ConfigurationState
        Holds the accounts.
    lender : quota_credit.CreditLender
        Decides on questions.
    vms : counting_vms.CountingVms
        Tells which VM counts an account.
    questions : credit_questions.CreditQuestions
        Passes questions on.
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    log : log_lines.LogLines
        Receives a line for each question that cannot be passed on.
    """

    def __init__(
        self,
        state: configuration.ConfigurationState,
        lender: quota_credit.CreditLender,
        vms: counting_vms.CountingVms,
        questions: credit_questions.CreditQuestions,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
    ) -> None:
        self._state = state
        self._lender = lender
        self._vms = vms
        self._questions = questions
        self._fleet = fleet
        self._link = link
        self._log = log
        self._relayed: set[tuple[str, int]] = set()
        self._sender, self._receiver = anyio.create_memory_object_stream[
            tuple[account_messages.CreditAsked, account.Account]
        ](MAX_RELAYED)

    async def run(self) -> None:
        """Pass on questions that another VM should have been sent, until cancelled."""
        async with anyio.create_task_group() as group:
            async for asked, holder in self._receiver:
                group.start_soon(self._relay, asked, holder)

    def answer(self, asked: account_messages.CreditAsked) -> None:
        """Answer another VM's question, or pass it on."""
        holder = self._state.directory.find(asked.account)
        if holder is None or holder.quota is None:
            self._reply(asked, UNKNOWN_ACCOUNT)
            return
        now = anyio.current_time()
        is_first = self._vms.is_first(asked.account, now)
        if is_first or asked.is_relayed:
            self._reply(asked, self.lend(asked, holder, asked.is_relayed))
        elif (asked.borrower, asked.number) not in self._relayed:
            self._start_relay(asked, holder)

    def lend(
        self,
        asked: account_messages.CreditAsked,
        holder: account.Account,
        is_relayed: bool,
    ) -> quota_credit.Answer:
        """Return the answer of this VM to a question."""
        now = anyio.current_time()
        is_first = self._vms.is_first(asked.account, now)
        return self._lender.lend(
            quota_credit.Question(asked.borrower, asked.number, asked.wanted),
            holder,
            now,
            not is_first or self._vms.may_have_rival(asked.account, now),
            is_relayed,
        )

    def _start_relay(
        self, asked: account_messages.CreditAsked, holder: account.Account
    ) -> None:
        try:
            self._sender.send_nowait((asked, holder))
        except anyio.WouldBlock:
            # The asking VM asks the next one after its timeout.
            self._log.write("quota_relay_full", peer=asked.vm)
            return
        self._relayed.add((asked.borrower, asked.number))

    async def _relay(
        self, asked: account_messages.CreditAsked, holder: account.Account
    ) -> None:
        """Get the answer to another VM's question and send it there.

        If no VM that ranks before this one answers, this one does.
        """
        try:
            lent = await self._ask_in_turn(asked)
        finally:
            self._relayed.discard((asked.borrower, asked.number))
        now = anyio.current_time()
        if lent is not None:
            self._send(asked, dataclasses.replace(lent, vm=self._vms.own))
        elif self._vms.is_first(asked.account, now) and self._vms.is_connected(now):
            self._reply(asked, self.lend(asked, holder, is_relayed=True))

    async def _ask_in_turn(
        self, asked: account_messages.CreditAsked
    ) -> account_messages.CreditLent | None:
        """Return the answer of the first VM before this one that answers."""
        own = self._vms.own
        passed_on = dataclasses.replace(asked, vm=own, is_relayed=True)
        without_answer: set[str] = set()
        while len(without_answer) < counting_vms.MAX_ASKED:
            now = anyio.current_time()
            vm = self._vms.choose_next(asked.account, without_answer, now)
            if vm == own:
                return None
            lent = await self._questions.ask(
                vm, passed_on, counting_vms.ANSWER_TIMEOUTS_S
            )
            if lent is not None:
                return lent
            without_answer.add(vm)
        return None

    def _reply(
        self, asked: account_messages.CreditAsked, answer: quota_credit.Answer
    ) -> None:
        own = self._vms.own
        lent = account_messages.CreditLent(
            own,
            own,
            asked.borrower,
            asked.number,
            answer.amount,
            answer.lifetime,
            answer.retry_at,
            answer.is_settled_early,
        )
        self._send(asked, lent)

    def _send(
        self, asked: account_messages.CreditAsked, lent: account_messages.CreditLent
    ) -> None:
        member = self._fleet.find(asked.vm)
        if member is not None:
            self._link.send(lent, member)
