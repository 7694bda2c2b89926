"""What this VM runs by: the bundle in force, its routes, and a router per service."""

from __future__ import annotations

import random

from zinniastand_core import budgets, bundles, route_table, router

LEAST_BURST = 2.0


class ServiceTable:
    """Routers and limits that follow the bundle.

    Parameters
    ----------
    generator : random.Random
        Source of randomness.
    """

    def __init__(self, generator: random.Random) -> None:
        self.routers: dict[str, router.Router] = {}
        self.routes = route_table.RouteTable()
        self._generator = generator
        self._bundle: bundles.Bundle | None = None
        self._accounts: dict[str, budgets.RateBudget] = {}
        self._vm_count = 1

    def apply_bundle(self, bundle: bundles.Bundle, now: float) -> None:
        """Bring everything up to a new bundle; work under way goes on."""
        self._bundle = bundle
        self.routes.follow(bundle)
        current = {service.name: service for service in bundle.services}
        for name in set(self.routers) - set(current):
            del self.routers[name]
        for name, service in current.items():
            routing = self.routers.get(name)
            if routing is None:
                self.routers[name] = router.Router(service, self._generator, now)
            elif routing.service is not service:
                routing.replace_service(service, now)
        self._accounts.clear()

    def set_vm_count(self, vm_count: int, now: float) -> None:
        """Take in how many VMs share each account's rate."""
        if vm_count == self._vm_count:
            return
        self._vm_count = vm_count
        for name, budget in self._accounts.items():
            rate = self._find_rate(name)
            if rate is not None:
                budget.set_rate(*self._share(rate), now)

    def find_account_budget(
        self, account: str, now: float
    ) -> budgets.RateBudget | None:
        """Return this VM's share of an account's rate, or None without a limit."""
        budget = self._accounts.get(account)
        if budget is None:
            rate = self._find_rate(account)
            if rate is None:
                return None
            budget = budgets.RateBudget(*self._share(rate), now)
            self._accounts[account] = budget
        return budget

    def _find_rate(self, account: str) -> float | None:
        if self._bundle is None:
            return None
        found = self._bundle.find_account(account)
        return found.requests_per_second if found else None

    def _share(self, rate: float) -> tuple[float, float]:
        """Return this VM's rate and burst.

        The balancer spreads a caller's requests evenly only on average; the burst
        lets a VM take more than its share for a moment.
        """
        share = rate / self._vm_count
        return share, max(LEAST_BURST, 2.0 * share)
