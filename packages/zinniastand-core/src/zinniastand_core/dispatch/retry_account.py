"""What one VM may send as retries of a service: its own ledger, and loans of others."""

from __future__ import annotations

import dataclasses

from . import retry_ledger


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
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
class Spending:
    """Part of a retry that counts in the ledger of this VM."""

    amount: float
    """Part of a retry, 1 for a whole one."""

    at: float
    """Time at which it counts, in seconds."""


class RetryAccount:
    """The retries of a service that one VM may send.

    Parameters
    ----------
    ledger : retry_ledger.RetryLedger
        What the VM has counted itself.
    """

    def __init__(self, ledger: retry_ledger.RetryLedger) -> None:
        self.ledger = ledger
        self._loans: list[Loan] = []
        self._lendings: dict[str, Spending] = {}
        self.discard_count = 0
        """How often loans were discarded, those of permits included."""
        self.borrowed = 0.0
        """Retries that other VMs have lent."""
        self.lent = 0.0
        """Retries lent to other VMs and not returned."""

    def find_missing(self, now: float) -> float:
        """Return the part of a retry that neither ledger nor loans cover."""
        own = max(0.0, self.ledger.find_remaining(now))
        return max(0.0, 1.0 - own - sum(loan.amount for loan in self._loans))

    def add_loan(self, loan: Loan) -> None:
        """Add what another VM has lent."""
        self._loans.append(loan)
        self.borrowed += loan.amount

    def remove_expired_loans(self, now: float) -> list[Loan]:
        """Remove and return the loans that may not be used any more."""
        expired = [loan for loan in self._loans if loan.usable_until <= now]
        self._loans = [loan for loan in self._loans if loan.usable_until > now]
        return expired

    def remove_loans(self) -> list[Loan]:
        """Remove and return all loans that are not in use."""
        loans, self._loans = self._loans, []
        return loans

    def discard_loans(self) -> None:
        """Discard all loans, also those of permits, since their ends are unknown."""
        self._loans = []
        self.discard_count += 1

    def lend(self, ticket: str, amount: float, lifetime: float, now: float) -> float:
        """Return how much of an amount another VM may send, and count it.

        Parameters
        ----------
        ticket : str
            Ticket of the request for the loan.
        amount : float
            Part of a retry that the other VM needs, 1 for a whole one.
        lifetime : float
            Seconds from now for which the other VM may send it.
        now : float
            Time in seconds.
        """
        lent = self.ledger.lend(amount, lifetime, now)
        if lent > 0.0:
            self._lendings[ticket] = Spending(lent, now + lifetime)
            self.lent += lent
        return lent

    def take_back(self, ticket: str, now: float) -> None:
        """Undo the count of a loan that its borrower has returned, once."""
        lending = self._lendings.pop(ticket, None)
        if lending is not None:
            self.ledger.refund(lending.amount, lending.at, now)
            self.lent -= lending.amount

    def remove_old_lendings(self, before: float) -> None:
        """Remove the loans to others that count before a time; they were used."""
        while self._lendings:
            ticket, oldest = next(iter(self._lendings.items()))
            if oldest.at >= before:
                return
            del self._lendings[ticket]

    def open_permit(self, now: float) -> Permit | None:
        """Return a permit for one retry, or None if there is too little for it."""
        if self.find_missing(now) > retry_ledger.TOLERANCE:
            return None
        loans: list[Loan] = []
        own = 1.0
        while self._loans and own > retry_ledger.TOLERANCE:
            loan = self._loans.pop()
            loans.append(loan)
            own -= loan.amount
        own = max(0.0, own)
        if not self.ledger.reserve(own, now):
            self.put_back(loans, self.discard_count)
            return None
        return Permit(self, own, loans)

    def put_back(self, loans: list[Loan], discard_count: int) -> None:
        """Add loans that were not used, if none were discarded since."""
        if discard_count == self.discard_count:
            self._loans += loans


class Permit:
    """Permission to send one retry, held while its request waits for a slot.

    Parameters
    ----------
    account : RetryAccount
        Account that pays for the retry.
    own : float
        Part of the retry that is reserved in the account's ledger.
    loans : list of Loan
        Loans that pay for the rest.
    """

    def __init__(self, account: RetryAccount, own: float, loans: list[Loan]) -> None:
        self._account = account
        self._own = own
        self._loans = loans
        self._discard_count = account.discard_count

    def use(self, now: float) -> Spending | None:
        """Count the retry as sent.

        Returns
        -------
        Spending or None
            What this VM has paid for it; None if the retry must not be sent any more,
            because loans or requests have expired while it waited.
        """
        ledger = self._account.ledger
        if self._discard_count != self._account.discard_count:
            self._loans = []
        valid = sum(loan.amount for loan in self._loans if loan.usable_until > now)
        needed = max(0.0, 1.0 - valid)
        ledger.release(self._own)
        self._own = 0.0
        if not ledger.reserve(needed, now) or not ledger.spend(needed, now):
            return None
        self._loans = []
        return Spending(needed, now)

    def close(self) -> None:
        """Return what was not used."""
        self._account.ledger.release(self._own)
        self._own = 0.0
        self._account.put_back(self._loans, self._discard_count)
        self._loans = []
