"""Pages that a VM serves about itself."""

from __future__ import annotations

import collections.abc

from . import http_server


class Page:
    """A handler with one answer.

    Parameters
    ----------
    answer : callable
        Returns the answer as it is now.
    """

    def __init__(self, answer: collections.abc.Callable[[], http_server.Reply]) -> None:
        self._answer = answer

    async def handle(self, incoming: http_server.Incoming) -> http_server.Reply:
        """Return the answer."""
        return self._answer()
