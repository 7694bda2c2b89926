"""Chooses the route of a request, and one of the route's services."""

from __future__ import annotations

import collections
import random

from . import configuration


class RouteTable:
    """Finds routes of one configuration by host and longest path prefix.

    Parameters
    ----------
    routes : tuple of configuration.Route
        Routes of the configuration.
    """

    def __init__(self, routes: tuple[configuration.Route, ...]) -> None:
        self._routes_by_host: dict[str, list[configuration.Route]] = (
            collections.defaultdict(list)
        )
        for route in sorted(routes, key=lambda each: -len(each.path_prefix)):
            self._routes_by_host[route.host].append(route)

    def find(self, host: str, path: str) -> configuration.Route | None:
        """Return the route of a request, or None if no route matches.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; its case and port are ignored.
        path : str
            Path of the request; a query after it is ignored.
        """
        path_only = path.partition("?")[0]
        for route in self._routes_by_host.get(host.partition(":")[0].lower(), ()):
            if path_only.startswith(route.path_prefix):
                return route
        return None


class WeightedRoundRobin:
    """Spreads the requests of a route over its services by their weights.

    Random draws would deviate too far: over 300 requests, the count of a service with
    10% would at times be off by a fifth. Instead, each VM sends the next request to the
    service that is furthest behind its share, and so stays within one request of each
    share. A random start keeps the VMs of a fleet from sending their first requests to
    the same service.

    Parameters
    ----------
    weighted_services : tuple of configuration.WeightedService
        Services of the route.
    rng : random.Random
        Source of the random start.
    """

    def __init__(
        self,
        weighted_services: tuple[configuration.WeightedService, ...],
        rng: random.Random,
    ) -> None:
        total = (
            sum(weighted_service.weight for weighted_service in weighted_services)
            or 1.0
        )
        self._shares = [
            weighted_service.weight / total for weighted_service in weighted_services
        ]
        self._weighted_services = weighted_services
        offset = rng.random()
        self._credits = [share * offset for share in self._shares]

    def choose(self) -> str:
        """Return the name of the service for the next request."""
        if len(self._weighted_services) == 1:
            return self._weighted_services[0].service
        self._credits = [
            credit + share
            for credit, share in zip(self._credits, self._shares, strict=True)
        ]
        index = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[index] -= 1.0
        return self._weighted_services[index].service


class Router:
    """Routes requests by the configuration in force.

    Parameters
    ----------
    rng : random.Random
        Source of the random starts of routes with several services.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._table = RouteTable(())
        self._round_robins: dict[
            tuple[str, tuple[configuration.WeightedService, ...]], WeightedRoundRobin
        ] = {}

    def apply(self, current: configuration.Configuration) -> None:
        """Use the routes of a configuration from now on.

        A route whose services and weights are unchanged continues its round-robin.
        """
        self._table = RouteTable(current.routes)
        current_keys = {
            (route.name, route.weighted_services) for route in current.routes
        }
        self._round_robins = {
            key: kept for key, kept in self._round_robins.items() if key in current_keys
        }

    def find(self, host: str, path: str) -> configuration.Route | None:
        """Return the route of a request, or None if no route matches."""
        return self._table.find(host, path)

    def choose_service(self, route: configuration.Route) -> str:
        """Return the name of the service for the next request of a route."""
        key = (route.name, route.weighted_services)
        round_robin = self._round_robins.get(key)
        if round_robin is None:
            round_robin = self._round_robins[key] = WeightedRoundRobin(
                route.weighted_services, self._rng
            )
        return round_robin.choose()
