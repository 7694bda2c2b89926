"""Lookup of a request's service and kind by the longest matching path prefix."""

from __future__ import annotations

import dataclasses

from . import bundles, services


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """The service and kind of work that a route leads to."""

    service: str
    """Name of the service."""

    kind: services.Kind
    """Kind of work."""


class RouteTable:
    """Index of the routes of a bundle.

    The cost of a lookup depends on the number of path segments, not on the number of
    routes. Each service is indexed separately, so a change re-indexes one service.
    """

    def __init__(self) -> None:
        self._matches: dict[tuple[str, str], Match] = {}
        self._by_service: dict[str, tuple[bytes, list[tuple[str, str]]]] = {}

    def index_bundle(self, bundle: bundles.Bundle) -> None:
        """Update the index to `bundle`, re-indexing only services that changed."""
        prefix = bundles.SERVICE_PREFIX
        current = {key for key in bundle.sections if key.startswith(prefix)}
        for key in set(self._by_service) - current:
            self._remove(key)
        for key in current:
            section = bundle.sections[key]
            indexed = self._by_service.get(key)
            if indexed is None or indexed[0] != section.digest:
                self._remove(key)
                self._add(key, section)

    def find(self, method: str, path: str) -> Match | None:
        """Find the route of a request.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the request target, without the query.

        Returns
        -------
        Match | None
            The match with the longest prefix, or None if no route matches.
        """
        prefix = path
        while prefix:
            match = self._matches.get((prefix, method))
            if match is not None:
                return match
            prefix = _shorten(prefix)
        return None

    def _add(self, key: str, section: bundles.Section) -> None:
        service = section.content
        if not isinstance(service, services.Service):
            return
        entries: list[tuple[str, str]] = []
        for route in service.routes:
            kind = service.find_kind(route.kind)
            if kind is None:
                continue
            for method in route.methods:
                entry = (route.path_prefix, method)
                self._matches[entry] = Match(service.name, kind)
                entries.append(entry)
        self._by_service[key] = (section.digest, entries)

    def _remove(self, key: str) -> None:
        _, entries = self._by_service.pop(key, (b"", []))
        for entry in entries:
            self._matches.pop(entry, None)


def _shorten(path: str) -> str:
    """Return the next shorter prefix: ``/a/b`` gives ``/a/``, which gives ``/a``."""
    if path.endswith("/"):
        return path[:-1]
    return path[: path.rfind("/") + 1]
