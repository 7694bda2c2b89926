"""Decides whether a request may run on behalf of a client account."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import typing

import anyio

from zinniastand_core.accounts import account, quota
from zinniastand_core.deployment import configuration

from .. import calls, header_names
from . import credentials

UNPROVEN_RETRY_AFTER_S = 0.5
"""Retry-After delay in seconds while the configuration is not proven recent."""

MAX_PROOF_AGE_SHARE = 0.95
"""Share of the revocation limit for which a proof is used. The rest covers clocks that
run at different speeds."""

READY_PROOF_AGE_SHARE = 0.6
"""Share of the revocation limit from which this VM reports that it is not ready. The
load balancer takes about the rest of the limit to notice."""


class Reason(enum.StrEnum):
    """Why a request may not run."""

    UNAUTHENTICATED = "unauthenticated"
    """It has no key, or one that no account holds."""

    UNPROVEN = "configuration-unproven"
    """The key may have been revoked without this VM knowing."""

    OVER_QUOTA = "over-quota"
    """Its account has sent more requests than it may."""


STATUSES = {
    Reason.UNAUTHENTICATED: 401,
    Reason.UNPROVEN: 503,
    Reason.OVER_QUOTA: 429,
}
"""Status of the answer for each reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that may not run."""

    reason: Reason
    """Why."""

    retry_after: float | None = None
    """Seconds after which the caller may retry; None if that would not help."""

    account: str = ""
    """Name of the account whose quota the request exceeds, for the log."""

    proof_age: float | None = None
    """Age in seconds of a proof that is too old, for the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may run."""

    incoming: calls.Incoming
    """The request, which names its account instead of its key."""

    holder: account.Account | None
    """Account of the caller; None if the request needs none."""

    ticket: str = ""
    """Names the request in the quota of its account; empty if it is not counted."""


class Quotas(typing.Protocol):
    """Decides on requests of accounts that have a quota."""

    async def request(self, holder: account.Account, ticket: str) -> quota.Decision:
        """Return whether a request is within the quota of its account."""
        ...

    def settle(self, ticket: str, has_run: bool) -> None:
        """Record the end of a granted request; one that has not run does not count."""
        ...


class Admission:
    """Checks the keys, the age of the configuration and the quotas.

    Parameters
    ----------
    state : configuration.ConfigurationState
        The configuration in force, and when it was proven to be the newest.
    names : header_names.HeaderNames
        Names of the platform's headers.
    quotas : Quotas
        Decides on requests of accounts that have a quota.
    make_ticket : callable
        Returns a ticket that is unique in the fleet.
    revocation_limit : float, optional
        Seconds after its revocation from which no VM may accept a key, whether or not
        it knows of the revocation; None if only VMs that know must reject it.
    """

    def __init__(
        self,
        state: configuration.ConfigurationState,
        names: header_names.HeaderNames,
        quotas: Quotas,
        make_ticket: collections.abc.Callable[[], str],
        revocation_limit: float | None = None,
    ) -> None:
        self._state = state
        self._names = names
        self._quotas = quotas
        self._make_ticket = make_ticket
        self._revocation_limit = revocation_limit

    @property
    def needs_proof(self) -> bool:
        """Whether keys are accepted only while the configuration is proven recent."""
        current = self._state.current
        if self._revocation_limit is None or current is None:
            return False
        return current.accounts is not None

    def is_ready(self, now: float) -> bool:
        """Return whether this VM should get connections of callers with keys."""
        return self._is_proven_for(READY_PROOF_AGE_SHARE, now)

    async def admit(
        self, incoming: calls.Incoming, route: configuration.Route
    ) -> Admitted | Refusal:
        """Return a request that may run, or why it may not."""
        current = self._state.current
        if current is None or current.accounts is None:
            return Admitted(incoming, None)
        now = anyio.current_time()
        key = credentials.read_key(incoming.request.headers, self._names)
        is_proven = self._is_proven_for(MAX_PROOF_AGE_SHARE, now)
        holder = self._state.directory.find_holder(key) if key else None
        if route.is_public:
            return self._make_admitted(incoming, holder if is_proven else None)
        if key is not None and not is_proven:
            proof_age = now - self._state.proven_at
            return Refusal(Reason.UNPROVEN, UNPROVEN_RETRY_AFTER_S, proof_age=proof_age)
        if holder is None:
            return Refusal(Reason.UNAUTHENTICATED)
        if holder.quota is None:
            return self._make_admitted(incoming, holder)
        ticket = self._make_ticket()
        decision = await self._quotas.request(holder, ticket)
        if not decision.is_granted:
            retry_after = max(0.0, decision.retry_at - anyio.current_time())
            return Refusal(Reason.OVER_QUOTA, retry_after, holder.name)
        return self._make_admitted(incoming, holder, ticket)

    def settle(self, admitted: Admitted, has_run: bool) -> None:
        """Record the end of a request; one that has not run does not count."""
        if admitted.ticket:
            self._quotas.settle(admitted.ticket, has_run)

    def _is_proven_for(self, share: float, now: float) -> bool:
        if self._revocation_limit is None or not self.needs_proof:
            return True
        return now < self._state.proven_at + share * self._revocation_limit

    def _make_admitted(
        self, incoming: calls.Incoming, holder: account.Account | None, ticket: str = ""
    ) -> Admitted:
        name = holder.name if holder is not None else ""
        replaced = credentials.replace_credentials(incoming, self._names, name)
        return Admitted(replaced, holder, ticket)
