"""Pages about its own state that a VM serves over HTTP."""

from __future__ import annotations

import collections.abc

from . import calls


class Page:
    """A handler that answers every request with one page.

    Parameters
    ----------
    make_reply : callable
        Returns the current page.
    """

    def __init__(self, make_reply: collections.abc.Callable[[], calls.Reply]) -> None:
        self._make_reply = make_reply

    async def handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Return the current page."""
        return self._make_reply()
