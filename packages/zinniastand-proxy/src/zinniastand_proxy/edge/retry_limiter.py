"""Limits the retries that this VM sends, and lends and borrows retries.

Every retry of this VM is paid for by its own `retry_ledger` or by loans of other VMs.
The dispatchers of a service limit its retries, too, by the counts that they send each
other, but may not know what others have granted. The ledgers keep the limit also then.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import math
import random

import anyio

from zinniastand_core.dispatch import messages, retry_ledger

from . import members, peer_link, ports, retry_counts, retry_loans

SLACK_SHARE = 0.9
"""Share of the retry slack that all VMs together use. The rest covers retries that take
long to arrive at their target, and VMs that know of different numbers of VMs."""

LOAN_LIFETIME_S = 1.0
"""Seconds from its request for which a loan may be used."""

NEAR_LENDER_COUNT = 6
"""VMs of the own data centre that are asked in turn. Where most VMs have less than a
retry left, several of them together lend one."""

FAR_LENDER_COUNT = 4
"""Other VMs that are asked after them."""

MIN_LOAN = 0.05
"""Smallest part of a retry that is asked for; less is not worth a datagram."""

ANSWER_TIMEOUT_S = 0.03
"""Seconds to wait for the answer of a lender: longer than a round trip."""

PAUSE_AFTER_REFUSAL_S = 0.3
"""Seconds without requests for loans of a service after its lenders had too little."""

MAX_UNANSWERED = 256
"""Requests for loans without an answer in time that are kept."""

START_DURATION_S = 60.0
"""Seconds after the start of a VM of a new fleet by which its first request counts as
one of the first of the fleet."""

MIN_RETURN_DELAY_S = 1.0
"""Minimum seconds that a caller is asked to stay away when no retry is left."""

UNSENT_OUTCOMES = frozenset({messages.Outcome.UNUSED, messages.Outcome.UNREACHABLE})
"""Outcomes of attempts that reached no target."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerTotals:
    """Totals of the retries of a service at this VM."""

    sent: int
    """Retries sent, without those that reached no target."""

    refused: int
    """Requests refused because neither this VM nor those asked had a retry left."""

    borrowed: float
    """Retries that other VMs have lent to this one."""

    lent: float
    """Retries that this VM has lent to others."""

    left: float
    """Retries that may still be sent now."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Loan:
    """Part of a retry that another VM has lent."""

    lender: str
    """Name of that VM."""

    ticket: str
    """Ticket of the request for the loan."""

    amount: float
    """Part of a retry, 1 for a whole one."""

    usable_until: float
    """Time until which it may be used, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Spending:
    """Part of a retry that counts in the ledger of this VM."""

    amount: float
    """Part of a retry, 1 for a whole one."""

    at: float
    """Time at which it counts, in seconds."""


class _Account:
    """The retries of a service that this VM may send: its ledger and its loans."""

    def __init__(self, ledger: retry_ledger.RetryLedger) -> None:
        self.ledger = ledger
        self.loans: list[_Loan] = []
        self.lendings: dict[str, _Spending] = {}
        self.pause_until = -math.inf
        self.sent = 0
        self.refused = 0
        self.borrowed = 0.0
        self.lent = 0.0

    def find_missing(self, now: float) -> float:
        """Return the part of a retry that neither ledger nor loans cover."""
        own = max(0.0, self.ledger.find_remaining(now))
        return max(0.0, 1.0 - own - sum(loan.amount for loan in self.loans))

    def remove_expired_loans(self, now: float) -> list[_Loan]:
        """Remove and return the loans that may not be used any more."""
        expired = [loan for loan in self.loans if loan.usable_until <= now]
        self.loans = [loan for loan in self.loans if loan.usable_until > now]
        return expired

    def remove_old_lendings(self, before: float) -> None:
        """Remove the loans to others that count before a time; they were used."""
        while self.lendings:
            ticket, oldest = next(iter(self.lendings.items()))
            if oldest.at >= before:
                return
            del self.lendings[ticket]

    def open_permit(self, now: float) -> _Permit | None:
        """Return a permit for one retry, or None if there is too little for it."""
        if self.find_missing(now) > retry_ledger.TOLERANCE:
            return None
        loans: list[_Loan] = []
        own = 1.0
        while self.loans and own > retry_ledger.TOLERANCE:
            loan = self.loans.pop()
            loans.append(loan)
            own -= loan.amount
        own = max(0.0, own)
        if not self.ledger.reserve(own, now):
            self.loans += loans
            return None
        return _Permit(self, own, loans)


class _Permit:
    """Permission to send one retry, held while its request waits for a slot."""

    def __init__(self, account: _Account, own: float, loans: list[_Loan]) -> None:
        self._account = account
        self._own = own
        self._loans = loans

    def use(self, now: float) -> _Spending | None:
        """Count the retry as sent.

        Returns
        -------
        _Spending or None
            What this VM has paid for it; None if the retry must not be sent any more,
            because loans or requests have expired while it waited.
        """
        ledger = self._account.ledger
        valid = sum(loan.amount for loan in self._loans if loan.usable_until > now)
        needed = max(0.0, 1.0 - valid)
        ledger.release(self._own)
        self._own = 0.0
        if not ledger.reserve(needed, now) or not ledger.spend(needed, now):
            return None
        self._loans = []
        return _Spending(needed, now)

    def close(self) -> None:
        """Return what was not used."""
        self._account.ledger.release(self._own)
        self._own = 0.0
        self._account.loans += self._loans
        self._loans = []


class _PendingLoan:
    """A request for a loan that waits for its answer."""

    def __init__(self, lender: str) -> None:
        self.lender = lender
        self.amount = 0.0
        self._decided = anyio.Event()

    @property
    def is_decided(self) -> bool:
        """Whether the answer has arrived."""
        return self._decided.is_set()

    def decide(self, amount: float) -> None:
        """Store the answer; only the first one counts."""
        if not self._decided.is_set():
            self.amount = amount
            self._decided.set()

    async def wait(self) -> None:
        """Wait for the answer."""
        await self._decided.wait()


class RetryLimiter(ports.LimitedSlotSource):
    """Source of slots that grants no more retries than this VM may send.

    Parameters
    ----------
    slots : ports.SlotSource
        Grants the slots.
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    budget : retry_counts.RetryBudget
        Limit on the retries of each service.
    rng : random.Random
        Chooses lenders, and spreads the times at which refused callers come back.
    is_new_fleet : bool, optional
        Whether this VM starts together with the whole fleet, so that no retry was sent
        before.
    """

    def __init__(
        self,
        slots: ports.SlotSource,
        fleet: members.Members,
        link: peer_link.PeerLink,
        budget: retry_counts.RetryBudget,
        rng: random.Random,
        is_new_fleet: bool = False,
    ) -> None:
        now = anyio.current_time()
        self._slots = slots
        self._fleet = fleet
        self._link = link
        self._budget = budget
        self._rng = rng
        self._accounts: dict[str, _Account] = {}
        self._spendings: dict[str, _Spending] = {}
        self._pending: dict[str, _PendingLoan] = {}
        self._unanswered: dict[str, str] = {}
        self._numbers = itertools.count()
        self._has_slack_from = -math.inf if is_new_fleet else now + budget.window
        self._starts_until = now + START_DURATION_S if is_new_fleet else -math.inf
        self._first_request_at: float | None = None

    def use_budget(self, budget: retry_counts.RetryBudget, now: float) -> None:
        """Replace the budget, also for the ledgers in use."""
        self._budget = budget
        for account in self._accounts.values():
            account.ledger.set_bounds(budget.ratio, budget.window, now)

    def discard_requests(self) -> None:
        """Discard counts of requests and loans, whose times a suspension has changed.

        The monotonic clock did not count the suspension, so that they are older than
        they seem. Retries count for longer than they should.
        """
        for account in self._accounts.values():
            account.ledger.discard_requests()
            account.loans.clear()
        self._starts_until = -math.inf

    async def acquire(
        self, slot_request: messages.SlotRequest
    ) -> messages.Grant | messages.Refuse:
        """Return a slot, or the refusal; a retry needs a permit of this VM."""
        name = slot_request.shard.service
        if slot_request.is_first:
            self._record_request(name, anyio.current_time())
        if slot_request.attempt <= 1:
            return await self._slots.acquire(slot_request)
        account = self._open_account(name)
        permit = await self._find_permit(name, account)
        if permit is None:
            return self._refuse(slot_request, account)
        try:
            answer = await self._slots.acquire(slot_request)
            if not isinstance(answer, messages.Grant):
                return answer
            spending = permit.use(anyio.current_time())
            if spending is None:
                self._return_slot(slot_request, answer)
                return self._refuse(slot_request, account)
            self._spendings[slot_request.ticket] = spending
            account.sent += 1
            return answer
        finally:
            permit.close()

    def report(self, report: messages.Report) -> None:
        """Release a slot, and correct the count of retries by what was sent."""
        now = anyio.current_time()
        spending = self._spendings.pop(report.ticket, None)
        account = self._open_account(report.shard.service)
        if spending is not None and report.outcome in UNSENT_OUTCOMES:
            account.ledger.refund(spending.amount, spending.at, now)
            account.sent -= 1
        if report.is_resent:
            account.ledger.charge(now)
            account.sent += 1
        self._slots.report(report)

    def may_resend(self, service: str) -> bool:
        """Return whether a request may be sent once more on a new connection.

        The report counts it afterwards.
        """
        now = anyio.current_time()
        return self._open_account(service).ledger.find_remaining(now) >= 1.0

    def apply(self, message: retry_loans.LoanMessage) -> None:
        """Handle a message about a loan."""
        match message:
            case retry_loans.LoanRequested():
                self._lend(message)
            case retry_loans.LoanReturned():
                self._take_back(message)
            case retry_loans.LoanDecided():
                self._handle_answer(message)

    def find_totals(self, now: float) -> dict[str, LedgerTotals]:
        """Return the totals of each service."""
        return {
            name: LedgerTotals(
                account.sent,
                account.refused,
                round(account.borrowed, 2),
                round(account.lent, 2),
                round(max(0.0, account.ledger.find_remaining(now)), 1),
            )
            for name, account in self._accounts.items()
        }

    def _record_request(self, service: str, now: float) -> None:
        if self._first_request_at is None:
            self._first_request_at = now
        self._open_account(service).ledger.add_request(now)

    def _open_account(self, service: str) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            ledger = retry_ledger.RetryLedger(
                self._budget.ratio,
                self._find_slack,
                self._budget.window,
                self._find_fleet_start(),
            )
            account = self._accounts[service] = _Account(ledger)
        return account

    def _find_fleet_start(self) -> float:
        """Return when the first request of a new fleet came; minus infinity if the
        fleet is not new.
        """
        first = self._first_request_at
        return first if first is not None and first < self._starts_until else -math.inf

    def _find_slack(self) -> float:
        """Return the part of the slack that this VM may use in a window.

        A VM that has started again does not know what it has sent before. It waits
        until that lies outside of the window.
        """
        if anyio.current_time() < self._has_slack_from:
            return 0.0
        return SLACK_SHARE * self._budget.slack / self._fleet.count()

    async def _find_permit(self, name: str, account: _Account) -> _Permit | None:
        """Return a permit for a retry, if needed with loans; None if there is none."""
        now = anyio.current_time()
        self._return_loans(account.remove_expired_loans(now))
        permit = account.open_permit(now)
        if permit is not None or now < account.pause_until:
            return permit
        for lender in self._choose_lenders(now):
            await self._borrow(name, account, lender)
            permit = account.open_permit(anyio.current_time())
            if permit is not None:
                return permit
        account.pause_until = anyio.current_time() + PAUSE_AFTER_REFUSAL_S
        self._return_loans(account.loans)
        account.loans = []
        return None

    def _choose_lenders(self, now: float) -> list[ports.Member]:
        """Return VMs to ask in turn, first some of the own data centre."""
        others = [
            member
            for member in self._fleet.list_others()
            if self._fleet.is_reachable(member.vm, now)
        ]
        self._rng.shuffle(others)
        own = self._fleet.own.data_centre
        near = [other for other in others if other.data_centre == own]
        far = [other for other in others if other.data_centre != own]
        return near[:NEAR_LENDER_COUNT] + far[:FAR_LENDER_COUNT]

    async def _borrow(
        self, service: str, account: _Account, lender: ports.Member
    ) -> None:
        """Ask a VM for what is missing for one retry."""
        own = self._fleet.own
        now = anyio.current_time()
        ticket = f"{own.vm}:{own.incarnation}:{next(self._numbers)}"
        missing = min(1.0, max(MIN_LOAN, account.find_missing(now)))
        pending = self._pending[ticket] = _PendingLoan(lender.vm)
        try:
            request = retry_loans.LoanRequested(own.vm, service, ticket, missing)
            self._link.send(request, lender)
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                await pending.wait()
        finally:
            del self._pending[ticket]
        if not pending.is_decided:
            self._unanswered[ticket] = lender.vm
            if len(self._unanswered) > MAX_UNANSWERED:
                del self._unanswered[next(iter(self._unanswered))]
        if pending.amount > 0.0:
            until = now + LOAN_LIFETIME_S
            account.loans.append(_Loan(lender.vm, ticket, pending.amount, until))
            account.borrowed += pending.amount

    def _handle_answer(self, decided: retry_loans.LoanDecided) -> None:
        """Pass an answer on to the request that waits for it; return late loans."""
        pending = self._pending.get(decided.ticket)
        if pending is not None:
            if pending.lender == decided.vm:
                pending.decide(decided.amount)
        elif self._unanswered.get(decided.ticket) == decided.vm:
            del self._unanswered[decided.ticket]
            self._return_loan(decided.vm, decided.ticket)

    def _return_loans(self, loans: collections.abc.Iterable[_Loan]) -> None:
        """Return loans that are too small or too old to be used."""
        for loan in loans:
            self._return_loan(loan.lender, loan.ticket)

    def _return_loan(self, vm: str, ticket: str) -> None:
        lender = self._fleet.find(vm)
        if lender is not None:
            returned = retry_loans.LoanReturned(self._fleet.own.vm, ticket)
            self._link.send(returned, lender)

    def _lend(self, request: retry_loans.LoanRequested) -> None:
        borrower = self._fleet.find(request.vm)
        if borrower is None:
            return
        account = self._accounts.get(request.service)
        now = anyio.current_time()
        amount = 0.0
        if account is not None:
            account.remove_old_lendings(now - self._budget.window)
            amount = account.ledger.lend(request.amount, LOAN_LIFETIME_S, now)
        if account is not None and amount > 0.0:
            account.lent += amount
            lending = _Spending(amount, now + LOAN_LIFETIME_S)
            account.lendings[request.ticket] = lending
        decided = retry_loans.LoanDecided(self._fleet.own.vm, request.ticket, amount)
        self._link.send(decided, borrower)

    def _take_back(self, returned: retry_loans.LoanReturned) -> None:
        """Undo the count of a loan; a repeated message undoes nothing."""
        for account in self._accounts.values():
            lending = account.lendings.pop(returned.ticket, None)
            if lending is not None:
                now = anyio.current_time()
                account.ledger.refund(lending.amount, lending.at, now)
                account.lent -= lending.amount

    def _return_slot(
        self, slot_request: messages.SlotRequest, grant: messages.Grant
    ) -> None:
        unused = messages.Report(
            slot_request.ticket,
            slot_request.shard,
            grant.target_id,
            messages.Outcome.UNUSED,
            0.0,
            self._fleet.own.vm,
        )
        self._slots.report(unused)

    def _refuse(
        self, slot_request: messages.SlotRequest, account: _Account
    ) -> messages.Refuse:
        account.refused += 1
        delay = MIN_RETURN_DELAY_S * (1 + self._rng.random())
        return messages.Refuse(
            slot_request.ticket,
            messages.RefusalReason.RETRY_BUDGET,
            anyio.current_time() + delay,
        )
