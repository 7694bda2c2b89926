"""Decides on requests of accounts with credit that is borrowed from the counting VM.

While this VM has credit of an account it asks nobody, and once it knows that the
account has no tokens, it refuses until its next turn. At most one question per account
is in flight; requests that arrive meanwhile wait for its answer.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import math

import anyio

from zinniastand_core.accounts import account, quota, quota_credit
from zinniastand_core.deployment import configuration

from ... import metrics
from .. import log_lines, members, peer_link
from . import (
    account_messages,
    counting_vms,
    credit_lending,
    credit_questions,
    quota_exchange,
)

REPORT_INTERVAL_S = 1.0
"""Seconds between two log lines about credit."""

IDLE_LIMIT_S = 10.0
"""Seconds without requests after which an account's estimates are forgotten."""

MAX_WAIT_S = 1.0
"""Seconds after which a request no longer waits for credit, but is decided as if no VM
had answered. Answers may come too late to be used again and again."""

CUT_OFF_VALIDITY_S = 0.1
"""Seconds for which requests are decided here after no VM has answered."""


class _Borrowing:
    """An account whose requests arrive here."""

    def __init__(self) -> None:
        self.credit = quota_credit.CreditAccount()
        self.waiting = 0
        self.answered: anyio.Event | None = None
        self.cut_off_until = -math.inf
        self.requested_at = -math.inf


class CreditExchange:
    """Decides on requests of accounts with a quota, together with other VMs.

    Parameters
    ----------
    state : configuration.ConfigurationState
        Holds the accounts.
    ledger : quota.QuotaLedger
        Counts the accounts for which this VM ranks first.
    quotas : quota_exchange.QuotaExchange
        Decides on requests of VMs that do not borrow credit.
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    log : log_lines.LogLines
        Receives lines about credit and about VMs that do not answer.
    check_suspension : callable, optional
        Detects a suspension of this VM and handles it.
    """

    def __init__(
        self,
        state: configuration.ConfigurationState,
        ledger: quota.QuotaLedger,
        quotas: quota_exchange.QuotaExchange,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        check_suspension: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.counts = quota_credit.CreditCounts()
        self._state = state
        self._ledger = ledger
        self._fleet = fleet
        self._link = link
        self._log = log
        self._check_suspension = check_suspension
        self._vms = quotas.counting_vms
        self._lender = quota_credit.CreditLender(ledger, self.counts)
        self._questions = credit_questions.CreditQuestions(
            self._vms, fleet, link, log, self.counts
        )
        self._lending = credit_lending.CreditLending(
            state, self._lender, self._vms, self._questions, fleet, link, log
        )
        self._borrower = f"{fleet.own.vm}:{fleet.own.incarnation}"
        self._numbers = itertools.count()
        self._accounts: dict[str, _Borrowing] = {}
        self._uses: dict[str, tuple[_Borrowing, quota_credit.BorrowedLoan | None]] = {}
        self._has_borrowed = anyio.Event()
        self._resets = 0
        self._reported = quota_credit.CreditCounts()

    async def run(self) -> None:
        """Pass on questions, return credit and report, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._lending.run)
            group.start_soon(self._return_periodically)
            while True:
                await anyio.sleep(REPORT_INTERVAL_S)
                self._lender.expire(anyio.current_time())
                self._report()
                self._remove_idle(anyio.current_time())

    async def request(self, holder: account.Account, ticket: str) -> quota.Decision:
        """Return whether a request is within the quota of its account.

        Parameters
        ----------
        holder : account.Account
            The account.
        ticket : str
            Names the request uniquely in the fleet.
        """
        now = anyio.current_time()
        if holder.quota is None:
            return quota.Decision(True, now)
        borrowing = self._accounts.setdefault(holder.name, _Borrowing())
        borrowing.credit.record_request(now)
        borrowing.requested_at = now
        borrowing.waiting += 1
        try:
            while True:
                decision = self._decide(borrowing, holder, ticket)
                if decision is not None:
                    return decision
                if anyio.current_time() >= now + MAX_WAIT_S:
                    return self._decide_cut_off(borrowing, holder, ticket)
                if borrowing.answered is not None:
                    await borrowing.answered.wait()
                else:
                    await self._borrow(borrowing, holder)
        finally:
            borrowing.waiting -= 1

    def settle(self, ticket: str, has_run: bool) -> None:
        """Record the end of a granted request; one that has not run does not count."""
        borrowing, loan = self._uses.pop(ticket, (None, None))
        if borrowing is None or has_run:
            return
        if loan is None:
            self._ledger.refund(ticket)
        elif borrowing.credit.refund(loan, anyio.current_time()):
            self._has_borrowed.set()
        else:
            self._return(loan, 1)

    def handle(self, message: account_messages.CreditMessage) -> None:
        """Handle a message of another VM."""
        match message:
            case account_messages.CreditAsked():
                self.counts.questions_received += 1
                self._lending.answer(message)
            case account_messages.CreditLent():
                self._questions.apply(message)
            case account_messages.CreditReturned():
                self._take_back(message)

    def reset(self) -> None:
        """Discard what is lent and borrowed, as after a process start."""
        self._lender.reset()
        self._resets += 1
        now = anyio.current_time()
        for borrowing in self._accounts.values():
            borrowing.credit.begin_question(0, now)

    def report(self, gauges: metrics.Metrics) -> None:
        """Set the metrics of credit."""
        self._lender.expire(anyio.current_time())
        for name, value in dataclasses.asdict(self.counts).items():
            gauges.set_gauge(f"zinniastand_quota_credit_{name}_total", value)
        outstanding = self._lender.read_outstanding()
        gauges.set_gauge("zinniastand_quota_credit_outstanding", outstanding)

    def _decide(
        self, borrowing: _Borrowing, holder: account.Account, ticket: str
    ) -> quota.Decision | None:
        """Return the decision on a request, or None if another VM must be asked."""
        now = anyio.current_time()
        self._remove_unused(borrowing, holder.quota, now)
        loan = borrowing.credit.use(now)
        if loan is not None:
            self._uses[ticket] = borrowing, loan
            if borrowing.credit.is_used_up():
                self._return(loan, 0)
            return quota.Decision(True, now)
        if now < borrowing.cut_off_until:
            return self._decide_cut_off(borrowing, holder, ticket)
        counting_vm = self._vms.choose_next(holder.name, set(), now)
        retry_at = borrowing.credit.find_turn(counting_vm, now)
        if retry_at is None:
            return None
        self.counts.local_refusals += 1
        return quota.Decision(False, retry_at)

    def _decide_cut_off(
        self, borrowing: _Borrowing, holder: account.Account, ticket: str
    ) -> quota.Decision:
        """Return the decision on a request while no other VM can be reached."""
        now = anyio.current_time()
        decision = self._ledger.request(holder, ticket, now, self._fleet.count())
        if decision.is_granted:
            self._uses[ticket] = borrowing, None
        return decision

    async def _borrow(self, borrowing: _Borrowing, holder: account.Account) -> None:
        """Ask for credit; wake the requests that wait for the answer."""
        borrowing.answered = anyio.Event()
        try:
            if not await self._ask_in_turn(borrowing, holder):
                borrowing.cut_off_until = anyio.current_time() + CUT_OFF_VALIDITY_S
        finally:
            borrowing.answered.set()
            borrowing.answered = None

    async def _ask_in_turn(
        self, borrowing: _Borrowing, holder: account.Account
    ) -> bool:
        """Ask VMs by rank; return whether one that may lend has answered."""
        asked: set[str] = set()
        while len(asked) < counting_vms.MAX_ASKED:
            now = anyio.current_time()
            vm = self._vms.choose_next(holder.name, asked, now)
            question = self._make_question(borrowing, holder, now)
            if vm == self._vms.own:
                if not self._vms.is_connected(now):
                    return False
                answer = self._lending.lend(question, holder, is_relayed=False)
                self._apply(borrowing, holder, question, answer, (vm, vm), now)
                return True
            timeouts = counting_vms.CREDIT_TIMEOUTS_S
            if asked:
                timeouts = counting_vms.SUCCESSOR_TIMEOUTS_S
            resets = self._resets
            lent = await self._questions.ask(vm, question, timeouts)
            self._check_suspension()
            if self._resets != resets:
                continue  # The time since the question is not known.
            if lent is not None:
                answer = quota_credit.Answer(
                    lent.amount, lent.lifetime, lent.retry_at, lent.is_settled_early
                )
                self._apply(borrowing, holder, question, answer, (vm, lent.lender), now)
                return True
            asked.add(vm)
        return False

    def _make_question(
        self, borrowing: _Borrowing, holder: account.Account, now: float
    ) -> account_messages.CreditAsked:
        wanted = borrowing.credit.begin_question(borrowing.waiting, now)
        return account_messages.CreditAsked(
            self._vms.own, self._borrower, next(self._numbers), holder.name, wanted
        )

    def _apply(
        self,
        borrowing: _Borrowing,
        holder: account.Account,
        question: account_messages.CreditAsked,
        answer: quota_credit.Answer,
        asked_and_lender: tuple[str, str],
        asked_at: float,
    ) -> None:
        asked_vm, lender = asked_and_lender
        deadline = asked_at + answer.lifetime
        loan = quota_credit.BorrowedLoan(
            lender, question.number, answer.amount, deadline, answer.is_settled_early
        )
        borrowing.credit.apply(answer, loan, asked_vm, holder.quota)
        self.counts.borrowed += answer.amount
        self._has_borrowed.set()

    def _remove_unused(
        self, borrowing: _Borrowing, current_quota: account.Quota | None, now: float
    ) -> None:
        loan = borrowing.credit.remove_unused(current_quota, now)
        if loan is not None:
            self._return(loan, loan.unused)

    def _return(self, loan: quota_credit.BorrowedLoan, amount: int) -> None:
        """Send a loan's totals to its lender."""
        self.counts.returned += amount
        returned = account_messages.CreditReturned(
            self._borrower,
            loan.number,
            loan.unused,
            loan.refunded,
            loan.is_settled,
        )
        member = self._fleet.find(loan.lender)
        if loan.lender == self._vms.own:
            self._take_back(returned)
        elif member is not None:
            self._link.send(returned, member)

    def _take_back(self, returned: account_messages.CreditReturned) -> None:
        now = anyio.current_time()
        borrower, number = returned.borrower, returned.number
        self._lender.take_back(
            borrower, number, returned.unused, returned.refunded, now
        )
        if returned.is_settled:
            self._lender.settle(borrower, number, now)

    async def _return_periodically(self) -> None:
        """Return what is not used by its deadline, until cancelled."""
        while True:
            deadlines = [row.credit.deadline for row in self._accounts.values()]
            deadline = min(deadlines, default=math.inf)
            self._has_borrowed = anyio.Event()
            with anyio.CancelScope(deadline=deadline):
                await self._has_borrowed.wait()
            now = anyio.current_time()
            for name, borrowing in self._accounts.items():
                if borrowing.credit.deadline <= now:
                    holder = self._state.directory.find(name)
                    current_quota = holder.quota if holder is not None else None
                    self._remove_unused(borrowing, current_quota, now)

    def _report(self) -> None:
        """Log what has changed since the previous line, if anything has."""
        current = dataclasses.replace(self.counts)
        changes = {
            field.name: getattr(current, field.name)
            - getattr(self._reported, field.name)
            for field in dataclasses.fields(current)
        }
        self._reported = current
        if any(changes.values()):
            self._log.write("quota_credit", **changes)

    def _remove_idle(self, now: float) -> None:
        self._accounts = {
            name: borrowing
            for name, borrowing in self._accounts.items()
            if borrowing.waiting or now - borrowing.requested_at < IDLE_LIMIT_S
        }
