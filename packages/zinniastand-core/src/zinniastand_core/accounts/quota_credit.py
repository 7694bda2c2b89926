"""Lends the tokens of an account's quota to the VMs that receive its requests.

The VM that counts an account lends tokens of its bucket in batches. A borrower grants
requests from them until their deadline, and refuses the others until its next turn.
Only tokens that have accrued are lent, and the tokens in the bucket and those lent and
not yet expired or settled never exceed the bucket's size.

Load pattern: an account sends several times its quota, up to thousands of requests per
second, through all VMs at once. The counting VM gets no more questions than tokens
accrue, instead of one for each request.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math

from . import account, quota

MIN_LIFETIME_S = 0.1
"""Shortest time for which credit is lent: two sendings of a question and a reply."""

RELAYED_LIFETIME_S = 0.2
"""Shortest time for which credit is lent through another VM, whose answer takes as long
as it waits for the VM that ranks first."""

MAX_LIFETIME_S = 1.0
"""Longest time for which credit is lent."""

LATE_SHARE = 0.2
"""Share of the tolerance that accrues within a lifetime, at most, except for the
shortest lifetimes. If another VM begins to count, credit that was lent before may be
used besides what accrues there within this time."""

SETTLEMENT_SHARE = 0.25
"""Share of a bucket above which outstanding credit is to be settled as soon as it is
used. Otherwise no tokens would accrue until it expires, and settling takes a datagram
for each loan."""

MAX_LOAN_SHARE = 0.25
"""Share of a bucket that one borrower gets at most at a time."""

MAX_DOUBTFUL_DELAY_S = 0.5
"""Maximum seconds until a turn that is named while another VM may be counting, too.
Tokens accrue slowly then, but not for long."""

PROMISED_SHARE = 0.1
"""Share of a bucket that is kept for borrowers whose turn has been named. More tokens
than that are left over by borrowers that come late, and anyone may ask for them."""

CLOCK_TOLERANCE = 0.05
"""Share by which the clocks of two VMs may differ in speed."""

RETURN_ALLOWANCE_S = 0.03
"""Seconds for which credit is kept as outstanding after its deadline, in which the
borrower returns what it has not used."""

RATE_PERIOD_S = 1.0
"""Time constant of estimated rates."""

MAX_WANTED = 10_000
"""Maximum number of tokens in a question."""


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A VM asks for credit of an account; it holds none of earlier loans any more."""

    borrower: str
    """Names the VM and its start."""

    number: int
    """Number of the question; later questions of the same borrower have higher ones."""

    wanted: int
    """Tokens that it can use within a lifetime, at least 1."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a borrower gets for a question."""

    amount: int
    """Tokens lent."""

    lifetime: float
    """Seconds from the question after which the borrower must not use them."""

    retry_at: float
    """The borrower's next turn, before which it does not ask again, in seconds of the
    monotonic clock."""

    is_settled_early: bool = False
    """Whether the borrower should tell as soon as it has used all tokens."""


@dataclasses.dataclass(slots=True)
class CreditCounts:
    """Totals since the start of the process."""

    questions_sent: int = 0
    """Questions sent to other VMs."""

    questions_received: int = 0
    """Questions of other VMs."""

    lent: int = 0
    """Tokens lent, to this VM too."""

    settled: int = 0
    """Lent tokens whose use became known before they expired."""

    taken_back: int = 0
    """Lent tokens that came back."""

    expired: int = 0
    """Lent tokens that count as used because nothing was heard of them in time."""

    borrowed: int = 0
    """Tokens borrowed."""

    returned: int = 0
    """Borrowed tokens that were not used, or whose requests have not run."""

    local_refusals: int = 0
    """Requests refused without a question."""


class RateEstimate:
    """Estimates a rate from events, with exponentially decreasing weights."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = -math.inf

    def add(self, amount: float, now: float) -> None:
        """Record events at a time."""
        self._count = self._decay(now) + amount
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return the events per second."""
        return self._decay(now) / RATE_PERIOD_S

    def _decay(self, now: float) -> float:
        return self._count * math.exp((self._updated_at - now) / RATE_PERIOD_S)


class _Loan:
    """Tokens lent with one answer."""

    def __init__(self, bucket: quota.Bucket, amount: int) -> None:
        self.bucket = bucket
        self.amount = amount
        self.outstanding = amount
        self.unused = 0
        self.refunded = 0


class _LentAccount:
    """What the lender knows of an account besides its bucket."""

    def __init__(self, bucket: quota.Bucket, now: float) -> None:
        self.bucket = bucket
        self.next_turn_at = now

    def choose_turn(self, wanted: int, rate: float, now: float) -> float:
        """Return when a borrower may ask again.

        It may at once while tokens are left that are not promised to others. Otherwise
        turns advance at the pace at which tokens accrue, so that questions arrive no
        faster than these.

        Parameters
        ----------
        wanted : int
            Tokens that the borrower wants at its turn.
        rate : float
            Tokens per second that accrue while no other VM counts.
        now : float
            Seconds of the monotonic clock.
        """
        bucket = self.bucket
        promised = PROMISED_SHARE * bucket.size if self.next_turn_at > now else 0.0
        if bucket.level >= max(1.0, promised):
            return now
        is_in_doubt = bucket.rate < rate
        latest = now + (
            MAX_DOUBTFUL_DELAY_S if is_in_doubt else quota.MAX_RETURN_DELAY_S
        )
        if bucket.rate <= 0:
            return latest
        free_at = max(self.next_turn_at, now - bucket.level / bucket.rate)
        self.next_turn_at = min(latest, free_at + wanted / bucket.rate)
        return self.next_turn_at


class CreditLender:
    """Lends tokens of the accounts that this VM counts.

    Parameters
    ----------
    ledger : quota.QuotaLedger
        Holds the buckets.
    counts : CreditCounts
        Totals to which this adds.
    """

    def __init__(self, ledger: quota.QuotaLedger, counts: CreditCounts) -> None:
        self._ledger = ledger
        self._counts = counts
        self._accounts: dict[str, _LentAccount] = {}
        self._answers: dict[tuple[str, int], tuple[Answer, _Loan, float]] = {}
        self._last: dict[tuple[str, str], tuple[int, _Loan, float]] = {}
        self._expiries: list[tuple[float, int, _Loan]] = []
        self._sequence = itertools.count()
        self._next_removal_at = -math.inf

    def lend(
        self,
        question: Question,
        holder: account.Account,
        now: float,
        may_have_rival: bool = False,
        is_relayed: bool = False,
    ) -> Answer:
        """Answer a question; the same one again gets the same answer.

        Parameters
        ----------
        question : Question
            The question.
        holder : account.Account
            Account whose tokens are wanted; it has a quota.
        now : float
            Seconds of the monotonic clock.
        may_have_rival : bool, optional
            Whether another VM may be counting the account at the same time.
        is_relayed : bool, optional
            Whether the question, or its answer, passes through another VM.
        """
        key = question.borrower, question.number
        if key in self._answers:
            return self._answers[key][0]
        self.expire(now)
        self._remove_old(now)
        if not self._settle_earlier(question, holder.name, now):
            return Answer(0, 0.0, now)
        bucket, rate = self._ledger.open_bucket(holder, now, may_have_rival)
        lifetime = self._choose_lifetime(holder, rate, is_relayed)
        answer = self._lend_from(bucket, rate, question.wanted, lifetime, holder, now)
        self._record(question, holder.name, answer, bucket, now)
        return answer

    def take_back(
        self, borrower: str, number: int, unused: int, refunded: int, now: float
    ) -> None:
        """Take back tokens of a loan.

        Tokens that were not used are taken back while they are outstanding. Later they
        count as used: a bucket that has become full meanwhile would hold them twice.

        Parameters
        ----------
        borrower, number : str, int
            Name the loan.
        unused : int
            Tokens of the loan that were not used, since it was lent.
        refunded : int
            Tokens of the loan whose requests have not run, since it was lent.
        now : float
            Seconds of the monotonic clock.
        """
        self.expire(now)
        _, loan, _ = self._answers.get((borrower, number), (None, None, 0.0))
        if loan is None:
            return
        left = loan.amount - loan.unused - loan.refunded
        new_unused = min(left, max(0, unused - loan.unused))
        new_refunded = min(left - new_unused, max(0, refunded - loan.refunded))
        loan.unused += new_unused
        loan.refunded += new_refunded
        released = min(loan.outstanding, new_unused + new_refunded)
        restored = min(loan.outstanding, new_unused) + new_refunded
        loan.outstanding -= released
        loan.bucket.release(released, now)
        loan.bucket.restore(restored)
        self._counts.taken_back += restored

    def settle(self, borrower: str, number: int, now: float) -> None:
        """Record that a borrower has used all tokens of a loan."""
        self.expire(now)
        _, loan, _ = self._answers.get((borrower, number), (None, None, 0.0))
        if loan is not None:
            self._counts.settled += loan.outstanding
            self._release(loan, now)

    def expire(self, now: float) -> None:
        """Count tokens as used whose deadline has passed at their borrowers."""
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, _, loan = heapq.heappop(self._expiries)
            self._counts.expired += loan.outstanding
            self._release(loan, expires_at)

    def read_outstanding(self) -> int:
        """Return the tokens that are lent and neither expired nor settled."""
        return sum(loan.outstanding for _, _, loan in self._expiries)

    def reset(self) -> None:
        """Forget all loans, as after a process start."""
        self._accounts.clear()
        self._answers.clear()
        self._last.clear()
        self._expiries.clear()

    def _choose_lifetime(
        self, holder: account.Account, rate: float, is_relayed: bool
    ) -> float:
        """Return a lifetime within which a part of the tolerance accrues."""
        shortest = RELAYED_LIFETIME_S if is_relayed else MIN_LIFETIME_S
        if holder.quota is None or rate <= 0:
            return shortest
        excess = self._ledger.tolerance.find_excess(holder.quota)
        return min(MAX_LIFETIME_S, max(shortest, LATE_SHARE * excess / rate))

    def _lend_from(
        self,
        bucket: quota.Bucket,
        rate: float,
        wanted: int,
        lifetime: float,
        holder: account.Account,
        now: float,
    ) -> Answer:
        """Lend tokens of a bucket, and return the answer to the question for them."""
        lent = self._accounts.get(holder.name)
        if lent is None or lent.bucket is not bucket:
            lent = self._accounts[holder.name] = _LentAccount(bucket, now)
        most = max(1, int(MAX_LOAN_SHARE * bucket.size))
        wanted = min(max(1, wanted), most)
        amount = min(wanted, int(bucket.level))
        bucket.lend(amount)
        is_settled_early = bucket.outstanding > SETTLEMENT_SHARE * bucket.size
        retry_at = lent.choose_turn(wanted, rate, now)
        return Answer(amount, lifetime, retry_at, is_settled_early)

    def _settle_earlier(self, question: Question, name: str, now: float) -> bool:
        """Settle the borrower's earlier loan of an account.

        Returns
        -------
        bool
            Whether this is the borrower's latest question; an earlier one is late, and
            its answer would not be used.
        """
        number, loan, _ = self._last.get((question.borrower, name), (-1, None, 0.0))
        if question.number <= number:
            return False
        if loan is not None:
            self._counts.settled += loan.outstanding
            self._release(loan, now)
        return True

    def _release(self, loan: _Loan, at: float) -> None:
        if loan.outstanding:
            loan.bucket.release(loan.outstanding, at)
            loan.outstanding = 0

    def _record(
        self,
        question: Question,
        name: str,
        answer: Answer,
        bucket: quota.Bucket,
        now: float,
    ) -> None:
        loan = _Loan(bucket, answer.amount)
        expires_at = now + answer.lifetime * (1 + CLOCK_TOLERANCE) + RETURN_ALLOWANCE_S
        removed_at = expires_at + quota.TICKET_RETENTION_S
        self._answers[question.borrower, question.number] = answer, loan, removed_at
        self._last[question.borrower, name] = question.number, loan, removed_at
        if answer.amount:
            heapq.heappush(self._expiries, (expires_at, next(self._sequence), loan))
        self._counts.lent += answer.amount

    def _remove_old(self, now: float) -> None:
        """Forget answers that are not asked for again, and whose loans have ended."""
        if now < self._next_removal_at:
            return
        self._next_removal_at = now + quota.TICKET_RETENTION_S
        self._answers = {key: row for key, row in self._answers.items() if row[2] > now}
        self._last = {key: row for key, row in self._last.items() if row[2] > now}


@dataclasses.dataclass(slots=True)
class BorrowedLoan:
    """Tokens that this VM has borrowed with one question."""

    lender: str
    """VM that lent them."""

    number: int
    """Number of the question."""

    left: int
    """Tokens that have not been used."""

    deadline: float
    """Time from which they must not be used, in seconds of the monotonic clock."""

    is_settled_early: bool = False
    """Whether the lender is told as soon as all tokens have been used."""

    is_settled: bool = False
    """Whether the lender has been told so; tokens can only be returned then."""

    unused: int = 0
    """Tokens returned because they were not used."""

    refunded: int = 0
    """Tokens returned because their requests have not run."""


class CreditAccount:
    """The credit that this VM has of one account."""

    def __init__(self) -> None:
        self._demand = RateEstimate()
        self._lifetime = MIN_LIFETIME_S
        self._loan: BorrowedLoan | None = None
        self._quota: account.Quota | None = None
        self._retry_at = -math.inf
        self._asked_vm = ""

    @property
    def deadline(self) -> float:
        """When the credit ends, in seconds of the monotonic clock; infinite without."""
        if self._loan is None or not self._loan.left:
            return math.inf
        return self._loan.deadline

    def record_request(self, now: float) -> None:
        """Record a request, from which the demand is estimated."""
        self._demand.add(1.0, now)

    def use(self, now: float) -> BorrowedLoan | None:
        """Use a token, and return its loan; None if there is no token."""
        loan = self._loan
        if loan is None or not loan.left or now >= loan.deadline:
            return None
        loan.left -= 1
        return loan

    def is_used_up(self) -> bool:
        """Return whether the lender must be told that its tokens are used, once."""
        loan = self._loan
        if loan is None or loan.left or loan.is_settled or not loan.is_settled_early:
            return False
        loan.is_settled = True
        return True

    def find_turn(self, counting_vm: str, now: float) -> float | None:
        """Return the next turn of this VM, before which requests are refused.

        Returns
        -------
        float or None
            Seconds of the monotonic clock; None if this VM may ask, also because
            another VM than the one that named the turn counts now.
        """
        if now >= self._retry_at or counting_vm != self._asked_vm:
            return None
        return self._retry_at

    def begin_question(self, waiting: int, now: float) -> int:
        """Give up the earlier loan, and return for how many tokens to ask.

        Parameters
        ----------
        waiting : int
            Requests that wait for the answer.
        now : float
            Seconds of the monotonic clock.
        """
        self._loan = None
        expected = int(self._demand.read(now) * self._lifetime)
        return min(MAX_WANTED, max(1, waiting) + expected)

    def apply(
        self,
        answer: Answer,
        loan: BorrowedLoan,
        asked_vm: str,
        current_quota: account.Quota | None,
    ) -> None:
        """Use the answer to the latest question."""
        self._loan = loan
        self._quota = current_quota
        self._lifetime = answer.lifetime
        self._retry_at = answer.retry_at
        self._asked_vm = asked_vm

    def refund(self, loan: BorrowedLoan, now: float) -> bool:
        """Keep a token whose request has not run.

        Returns
        -------
        bool
            Whether it can be used here; otherwise it must be returned to the lender.
        """
        if loan is not self._loan or now >= loan.deadline or loan.is_settled:
            loan.refunded += 1
            return False
        loan.left += 1
        return True

    def remove_unused(
        self, current_quota: account.Quota | None, now: float
    ) -> BorrowedLoan | None:
        """Remove credit that must not be used any more.

        A change of the quota ends the credit and the turn under the former one.

        Returns
        -------
        BorrowedLoan or None
            The loan whose tokens must be returned; None if none is left.
        """
        if current_quota != self._quota:
            self._retry_at = -math.inf
        elif self._loan is None or now < self._loan.deadline:
            return None
        loan, self._loan = self._loan, None
        if loan is None or not loan.left:
            return None
        loan.unused += loan.left
        loan.left = 0
        return loan
