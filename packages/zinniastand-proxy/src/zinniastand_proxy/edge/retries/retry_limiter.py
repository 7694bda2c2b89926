"""Limits the retries that this VM sends.

Every retry of this VM is paid for by its own `retry_ledger` or by loans of other VMs.
Dispatchers refuse no retries: they do not know what others have granted.
"""

from __future__ import annotations

import dataclasses
import math
import random

import anyio

from zinniastand_core.dispatch import messages, retry_account, retry_ledger

from .. import members, peer_link, ports
from . import loan_exchange, retry_budget

PAUSE_AFTER_REFUSAL_S = 0.3
"""Seconds without requests for loans of a service after its lenders had too little."""

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

    requests: int
    """Requests that callers have sent to this VM."""

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


class _Service:
    """The retries of a service at this VM, and how many were refused."""

    def __init__(self, ledger: retry_ledger.RetryLedger) -> None:
        self.account = retry_account.RetryAccount(ledger)
        self.pause_until = -math.inf
        self.requests = 0
        self.sent = 0
        self.refused = 0


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
    budget : retry_budget.RetryBudget
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
        budget: retry_budget.RetryBudget,
        rng: random.Random,
        is_new_fleet: bool = False,
    ) -> None:
        now = anyio.current_time()
        self._slots = slots
        self._fleet = fleet
        self._budget = budget
        self._rng = rng
        self._services: dict[str, _Service] = {}
        self._spendings: dict[str, retry_account.Spending] = {}
        self._has_slack_from = -math.inf
        if not is_new_fleet:
            loans_end_at = now + loan_exchange.LOAN_LIFETIME_S
            self._has_slack_from = loans_end_at + budget.window
        self._starts_until = now + START_DURATION_S if is_new_fleet else -math.inf
        self._first_request_at: float | None = None
        self.loans = loan_exchange.LoanExchange(fleet, link, rng, self._find_account)
        """Lends and borrows retries."""

    def use_budget(self, budget: retry_budget.RetryBudget, now: float) -> None:
        """Replace the budget, also for the ledgers in use."""
        self._budget = budget
        for service in self._services.values():
            service.account.ledger.set_bounds(budget.ratio, budget.window, now)

    @property
    def max_handover_s(self) -> float:
        """Seconds after which the counts of another VM are not added any more."""
        buckets = retry_ledger.MAX_HANDOVER_BUCKETS
        return buckets * self._budget.window / retry_ledger.BUCKETS_PER_WINDOW

    def list_services(self) -> list[str]:
        """Return the services for which this VM has counted anything."""
        return list(self._services)

    def find_ledger(self, service: str) -> retry_ledger.RetryLedger:
        """Return the counts of a service."""
        return self._open(service).account.ledger

    def discard_requests(self) -> None:
        """Discard counts of requests and loans, whose times a suspension has changed.

        The monotonic clock did not count the suspension, so that they are older than
        they seem. Retries count for longer than they should.
        """
        for service in self._services.values():
            service.account.ledger.discard_requests()
            service.account.discard_loans()
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
        service = self._open(name)
        permit = await self._find_permit(name, service)
        if permit is None:
            return self._refuse(slot_request, service)
        try:
            answer = await self._slots.acquire(slot_request)
            if not isinstance(answer, messages.Grant):
                return answer
            spending = permit.use(anyio.current_time())
            if spending is None:
                self._return_slot(slot_request, answer)
                return self._refuse(slot_request, service)
            self._spendings[slot_request.ticket] = spending
            service.sent += 1
            return answer
        finally:
            permit.close()

    def report(self, report: messages.Report) -> None:
        """Release a slot, and correct the count of retries by what was sent."""
        now = anyio.current_time()
        spending = self._spendings.pop(report.ticket, None)
        service = self._open(report.shard.service)
        ledger = service.account.ledger
        if spending is not None and report.outcome in UNSENT_OUTCOMES:
            ledger.refund(spending.amount, spending.at, now)
            service.sent -= 1
        if report.is_resent:
            ledger.charge(now)
            service.sent += 1
        self._slots.report(report)

    def may_resend(self, service: str) -> bool:
        """Return whether a request may be sent once more on a new connection.

        The report counts it afterwards.
        """
        ledger = self._open(service).account.ledger
        return ledger.find_remaining(anyio.current_time()) >= 1.0

    def count_requests(self, service: str) -> int:
        """Return the number of requests of a service that callers sent to this VM."""
        found = self._services.get(service)
        return found.requests if found is not None else 0

    def find_totals(self, now: float) -> dict[str, LedgerTotals]:
        """Return the totals of each service."""
        return {
            name: LedgerTotals(
                service.requests,
                service.sent,
                service.refused,
                round(service.account.borrowed, 2),
                round(service.account.lent, 2),
                round(max(0.0, service.account.ledger.find_remaining(now)), 1),
            )
            for name, service in self._services.items()
        }

    def _record_request(self, service: str, now: float) -> None:
        if self._first_request_at is None:
            self._first_request_at = now
        opened = self._open(service)
        opened.account.ledger.add_request(now)
        opened.requests += 1

    def _open(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            ledger = retry_ledger.RetryLedger(
                self._budget.ratio,
                self._find_slack,
                self._budget.window,
                self._find_fleet_start(),
            )
            service = self._services[name] = _Service(ledger)
        return service

    def _find_account(self, name: str) -> retry_account.RetryAccount | None:
        service = self._services.get(name)
        return service.account if service is not None else None

    def _find_fleet_start(self) -> float:
        """Return when the first request of a new fleet came; minus infinity if the
        fleet is not new.
        """
        first = self._first_request_at
        return first if first is not None and first < self._starts_until else -math.inf

    def _find_slack(self) -> float:
        """Return the part of the slack that this VM may use in a window.

        A VM that has started again does not know what it has sent and lent before. It
        waits until all of that lies outside of the window.
        """
        if anyio.current_time() < self._has_slack_from:
            return 0.0
        return self._budget.used_slack / self._fleet.count()

    async def _find_permit(
        self, name: str, service: _Service
    ) -> retry_account.Permit | None:
        """Return a permit for a retry, if needed with loans; None if there is none."""
        now = anyio.current_time()
        account = service.account
        self.loans.return_loans(name, account.remove_expired_loans(now))
        permit = account.open_permit(now)
        if permit is not None or now < service.pause_until:
            return permit
        permit = await self.loans.borrow_missing(name, account)
        if permit is None:
            service.pause_until = anyio.current_time() + PAUSE_AFTER_REFUSAL_S
        return permit

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
        self, slot_request: messages.SlotRequest, service: _Service
    ) -> messages.Refuse:
        service.refused += 1
        delay = MIN_RETURN_DELAY_S * (1 + self._rng.random())
        return messages.Refuse(
            slot_request.ticket,
            messages.RefusalReason.RETRY_BUDGET,
            anyio.current_time() + delay,
        )
