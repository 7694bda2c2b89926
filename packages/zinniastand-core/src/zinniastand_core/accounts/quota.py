"""Counts the requests of client accounts against their quotas.

The VM that ranks highest for an account grants each of its requests from a token
bucket, whichever VM received the request. A VM that reaches no other VM grants requests
from a small bucket of its own.

Load pattern: an account sends several times its usual load, through all VMs at once. In
any window of length W its quota allows ``rate * W + burst`` requests, plus a tolerance
that covers what the VMs cannot know of each other. The bucket of the highest-ranking VM
grants these, and `BURST_SHARE` of the tolerance. Its successor, which does not know
what was granted before, begins with `START_SHARE` of the tolerance. All VMs that are
cut off together use at most `ISOLATED_SHARE` of it.

As much of the burst as a second of the rate is granted continuously instead of at once.
An account whose load is a little above its rate then gets all that a window allows.
"""

from __future__ import annotations

import dataclasses
import random

from . import account

BURST_SHARE = 0.4
"""Share of the tolerance that is granted on top of the burst. The requests of a small
account come in clumps, and would be refused although a whole window is within its
quota."""

START_SHARE = 0.2
"""Share of the tolerance with which a bucket begins, or goes on after an interruption.
Two changes of the counting VM within a window stay within the tolerance."""

ISOLATED_SHARE = 0.2
"""Share of the tolerance that all VMs without contact to others may use together."""

MAX_RETURN_DELAY_S = 5.0
"""Maximum seconds that a refused caller is asked to stay away."""

TICKET_RETENTION_S = 3.0
"""Seconds for which a grant may be repeated or refunded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """How far the requests of an account may exceed its quota."""

    window: float
    """Length in seconds of the window in which requests are counted."""

    overshoot: float
    """Share of the quota by which requests may exceed it in a window."""

    slack: float
    """Requests by which they may exceed it in addition."""

    def find_excess(self, quota: account.Quota) -> float:
        """Return how many requests beyond a quota a window may contain."""
        return self.overshoot * (quota.rate * self.window + quota.burst) + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request is within the quota of its account."""

    is_granted: bool
    """Whether the request may run."""

    retry_at: float
    """When a refused caller should come back, in seconds of the monotonic clock."""


class Bucket:
    """A token bucket; all times are seconds of a monotonic clock.

    Parameters
    ----------
    level : float
        Tokens at the beginning.
    now : float
        Time of the beginning.

    Attributes
    ----------
    level : float
        Tokens that can be taken.
    outstanding : float
        Tokens that were lent and may still be used.
    rate : float
        Tokens per second that accrued until the last refill.
    size : float
        Bound on `level` and `outstanding` together at the last refill.
    """

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.outstanding = 0.0
        self.rate = 0.0
        self.size = level
        self.updated_at = now
        self.is_interrupted = False
        self.next_return_at = now

    def refill(self, rate: float, size: float, now: float) -> None:
        """Add the tokens that have accrued, up to a size less what is lent."""
        accrued = rate * max(0.0, now - self.updated_at)
        self.level = min(max(0.0, size - self.outstanding), self.level + accrued)
        self.rate = rate
        self.size = size
        self.updated_at = now

    def lend(self, amount: int) -> None:
        """Turn tokens into tokens that are lent."""
        self.level -= amount
        self.outstanding += amount

    def release(self, amount: int, at: float) -> None:
        """Count lent tokens as used from a time on.

        What accrued until then is added first: it was bounded by the lent tokens. After
        an interruption nothing is added, since another VM may have counted.
        """
        rate = 0.0 if self.is_interrupted else self.rate
        self.refill(rate, self.size, max(at, self.updated_at))
        self.outstanding -= amount

    def restore(self, amount: int) -> None:
        """Add tokens whose requests have not run, as far as there is room."""
        room = max(0.0, self.size - self.outstanding)
        self.level = max(self.level, min(room, self.level + amount))

    def take(self, rate: float, now: float) -> Decision:
        """Take a token, or return when one is there for this caller.

        Refused callers get successive times, so that no more of them return at once
        than the quota allows.
        """
        if self.level >= 1.0:
            self.level -= 1.0
            return Decision(True, now)
        first_at = now + (1.0 - self.level) / rate if rate > 0 else now
        self.next_return_at = max(self.next_return_at + 1.0 / rate, first_at)
        self.next_return_at = min(self.next_return_at, now + MAX_RETURN_DELAY_S)
        return Decision(False, self.next_return_at)


class QuotaLedger:
    """Token buckets that this VM keeps.

    Parameters
    ----------
    tolerance : Tolerance
        How far requests may exceed the quotas.
    rng : random.Random
        Decides which VMs without contact to others begin with a token, where there
        are fewer tokens than VMs.
    """

    def __init__(self, tolerance: Tolerance, rng: random.Random) -> None:
        self.tolerance = tolerance
        self._rng = rng
        self._buckets: dict[str, Bucket] = {}
        self._isolated_buckets: dict[str, Bucket] = {}
        self._granted: dict[str, tuple[Bucket, float]] = {}
        self._next_removal_at = 0.0

    def request(
        self,
        holder: account.Account,
        ticket: str,
        now: float,
        isolated_vms: int = 0,
        may_have_rival: bool = False,
    ) -> Decision:
        """Decide on a request; the same ticket again gets the same grant.

        Parameters
        ----------
        holder : account.Account
            Account of the caller.
        ticket : str
            Names the request uniquely in the fleet.
        now : float
            Seconds of a monotonic clock.
        isolated_vms : int, optional
            Number of VMs of the fleet if this VM has no contact to the others; 0 if it
            decides for all VMs.
        may_have_rival : bool, optional
            Whether another VM may be counting the account at the same time.
        """
        if holder.quota is None or ticket in self._granted:
            return Decision(True, now)
        self._remove_old(now)
        if isolated_vms:
            bucket, rate = self._open_isolated(holder, holder.quota, now, isolated_vms)
        else:
            bucket, rate = self._open(holder, holder.quota, now, may_have_rival)
        decision = bucket.take(rate, now)
        if decision.is_granted:
            self._granted[ticket] = (bucket, now + TICKET_RETENTION_S)
        return decision

    def open_bucket(
        self, holder: account.Account, now: float, may_have_rival: bool = False
    ) -> tuple[Bucket, float]:
        """Return the refilled bucket from which tokens are lent to all VMs.

        Returns
        -------
        Bucket
            The bucket.
        float
            Tokens per second that accrue in it while no other VM counts.

        Raises
        ------
        ValueError
            If the account has no quota.
        """
        if holder.quota is None:
            raise ValueError(f"account {holder.name!r} has no quota")
        return self._open(holder, holder.quota, now, may_have_rival)

    def refund(self, ticket: str) -> None:
        """Return the token of a request that has not run; later calls do nothing."""
        bucket, _ = self._granted.pop(ticket, (None, 0.0))
        if bucket is not None:
            bucket.level += 1.0

    def list_counted(self) -> list[str]:
        """Return the names of the accounts that have a bucket for all VMs."""
        return list(self._buckets)

    def mark_interrupted(self, name: str) -> None:
        """Record that another VM may be counting an account meanwhile."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.is_interrupted = True

    def reset(self) -> None:
        """Discard all buckets, as after a process start."""
        self._buckets.clear()
        self._isolated_buckets.clear()
        self._granted.clear()

    def _open(
        self,
        holder: account.Account,
        quota: account.Quota,
        now: float,
        may_have_rival: bool,
    ) -> tuple[Bucket, float]:
        """Return the bucket for requests of all VMs, and its rate.

        While another VM may be counting too, tokens accrue at the pace at which a
        window of the tolerance covers them.
        """
        excess = self.tolerance.find_excess(quota)
        spread = min(quota.burst, quota.rate)
        rate = quota.rate + spread / self.tolerance.window
        size = max(1.0, quota.burst - spread + BURST_SHARE * excess)
        start = min(size, max(1.0, START_SHARE * excess))
        bucket = self._buckets.get(holder.name)
        if bucket is None:
            bucket = self._buckets[holder.name] = Bucket(start, now)
        if bucket.is_interrupted or may_have_rival:
            slow_rate = min(rate, start / self.tolerance.window)
            bucket.refill(slow_rate, start, now)
        else:
            bucket.refill(rate, size, now)
        bucket.is_interrupted = False
        return bucket, rate

    def _open_isolated(
        self, holder: account.Account, quota: account.Quota, now: float, vms: int
    ) -> tuple[Bucket, float]:
        """Return the bucket from which this VM grants its own requests, and its rate.

        Its size is this VM's part of the tolerance. Where that is less than a token,
        only some VMs begin with one.
        """
        excess = ISOLATED_SHARE * self.tolerance.find_excess(quota)
        size, rate = excess / vms, excess / (vms * self.tolerance.window)
        if vms == 1:
            size, rate = quota.burst, quota.rate
        bucket = self._isolated_buckets.get(holder.name)
        if bucket is None:
            start = size if size >= 1.0 else size + self._rng.random()
            bucket = self._isolated_buckets[holder.name] = Bucket(start, now)
        bucket.refill(rate, max(1.0, size, bucket.level), now)
        return bucket, rate

    def _remove_old(self, now: float) -> None:
        """Forget grants that are neither repeated nor refunded any more."""
        if now < self._next_removal_at:
            return
        self._next_removal_at = now + TICKET_RETENTION_S
        self._granted = {
            ticket: grant for ticket, grant in self._granted.items() if grant[1] > now
        }
