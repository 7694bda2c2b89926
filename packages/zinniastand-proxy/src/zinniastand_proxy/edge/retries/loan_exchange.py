"""Lends retries to other VMs, and borrows retries from them."""

from __future__ import annotations

import collections.abc
import itertools
import random

import anyio

from zinniastand_core.dispatch import retry_account

from .. import members, peer_link, ports
from . import retry_loans

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

LENDING_RETENTION_S = 10.0
"""Seconds after its end in which a loan may be returned. It stops counting soon."""

MAX_UNANSWERED = 256
"""Requests for loans without an answer in time that are kept."""


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


class LoanExchange:
    """Exchanges loans of retries with other VMs.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    rng : random.Random
        Chooses lenders.
    find_account : callable
        Returns the account of a service, or None if this VM has none.
    """

    def __init__(
        self,
        fleet: members.Members,
        link: peer_link.PeerLink,
        rng: random.Random,
        find_account: collections.abc.Callable[
            [str], retry_account.RetryAccount | None
        ],
    ) -> None:
        self._fleet = fleet
        self._link = link
        self._rng = rng
        self._find_account = find_account
        self._pending: dict[str, _PendingLoan] = {}
        self._unanswered: dict[str, str] = {}
        self._numbers = itertools.count()

    def handle(self, message: retry_loans.LoanMessage) -> None:
        """Handle a message about a loan."""
        match message:
            case retry_loans.LoanRequested():
                self._lend(message)
            case retry_loans.LoanReturned():
                account = self._find_account(message.service)
                if account is not None:
                    account.take_back(message.ticket, anyio.current_time())
            case retry_loans.LoanDecided():
                self._handle_answer(message)

    async def borrow_missing(
        self, service: str, account: retry_account.RetryAccount
    ) -> retry_account.Permit | None:
        """Ask other VMs in turn for what is missing for one retry.

        Returns
        -------
        retry_account.Permit or None
            The permit for the retry; None if all together lent too little. What they
            lent is then returned to them.
        """
        for lender in self._choose_lenders(anyio.current_time()):
            await self._borrow(service, account, lender)
            permit = account.open_permit(anyio.current_time())
            if permit is not None:
                return permit
        self.return_loans(service, account.remove_loans())
        return None

    def return_loans(
        self, service: str, loans: collections.abc.Iterable[retry_account.Loan]
    ) -> None:
        """Return loans that this VM will not use."""
        for loan in loans:
            self._return_loan(loan.lender, service, loan.ticket)

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
        self, service: str, account: retry_account.RetryAccount, lender: ports.Member
    ) -> None:
        """Ask one VM for what is missing."""
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
                self._record_unanswered(ticket, lender.vm)
        if pending.amount > 0.0:
            until = now + LOAN_LIFETIME_S
            loan = retry_account.Loan(lender.vm, ticket, pending.amount, until)
            account.add_loan(loan)

    def _record_unanswered(self, ticket: str, lender: str) -> None:
        self._unanswered[ticket] = lender
        if len(self._unanswered) > MAX_UNANSWERED:
            del self._unanswered[next(iter(self._unanswered))]

    def _handle_answer(self, decided: retry_loans.LoanDecided) -> None:
        """Pass an answer on to the request that waits for it; return late loans."""
        pending = self._pending.get(decided.ticket)
        if pending is not None:
            if pending.lender == decided.vm:
                pending.decide(decided.amount)
        elif self._unanswered.get(decided.ticket) == decided.vm:
            del self._unanswered[decided.ticket]
            self._return_loan(decided.vm, decided.service, decided.ticket)

    def _return_loan(self, vm: str, service: str, ticket: str) -> None:
        lender = self._fleet.find(vm)
        if lender is not None:
            returned = retry_loans.LoanReturned(self._fleet.own.vm, service, ticket)
            self._link.send(returned, lender)

    def _lend(self, request: retry_loans.LoanRequested) -> None:
        borrower = self._fleet.find(request.vm)
        if borrower is None:
            return
        account = self._find_account(request.service)
        amount = 0.0
        if account is not None:
            now = anyio.current_time()
            account.remove_old_lendings(now - LENDING_RETENTION_S)
            amount = account.lend(request.ticket, request.amount, LOAN_LIFETIME_S, now)
        own = self._fleet.own.vm
        decided = retry_loans.LoanDecided(own, request.service, request.ticket, amount)
        self._link.send(decided, borrower)
