"""Routes, routers and account rate limits of the bundle in force."""

from __future__ import annotations

import random

from zinniastand_core import budgets, bundles, route_table, router

MIN_BURST_REQUESTS = 2.0
"""Smallest burst of an account on one VM, in requests."""


class ServiceTable:
    """Keeps routes, routers and account limits in step with the bundle in force.

    Parameters
    ----------
    generator : random.Random
        Source of randomness for the routers.
    """

    def __init__(self, generator: random.Random) -> None:
        self.routers: dict[str, router.Router] = {}
        self.routes = route_table.RouteTable()
        self._generator = generator
        self._bundle: bundles.Bundle | None = None
        self._accounts: dict[str, budgets.RateBudget] = {}
        self._vm_count = 1

    def apply_bundle(self, bundle: bundles.Bundle, now: float) -> None:
        """Apply a new bundle without interrupting requests in flight.

        Routers of services that remain are kept, with their statistics on targets.
        Account budgets are reset.

        Parameters
        ----------
        bundle : bundles.Bundle
            The accepted configuration.
        now : float
            Unix seconds.
        """
        self._bundle = bundle
        self.routes.index_bundle(bundle)
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
        """Set how many VMs share each account's rate.

        Parameters
        ----------
        vm_count : int
            Number of VMs that are up, this one included.
        now : float
            Unix seconds.
        """
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
        """Return the budget for this VM's share of an account's rate.

        Returns
        -------
        budgets.RateBudget or None
            None if the account has no rate limit.
        """
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
        account_rules = self._bundle.find_account(account)
        return account_rules.requests_per_second if account_rules else None

    def _share(self, rate: float) -> tuple[float, float]:
        """Return this VM's rate in requests per second, and its burst in requests.

        The balancer spreads a caller's requests evenly only on average. The burst, the
        requests of two seconds, lets a VM briefly accept more than its share.
        """
        share = rate / self._vm_count
        return share, max(MIN_BURST_REQUESTS, 2.0 * share)
