"""Base class of the small ASGI applications."""

from __future__ import annotations

import abc

from . import caller_app


class HttpApp(abc.ABC):
    """An ASGI application that serves HTTP only and needs no start-up step."""

    async def __call__(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Serve one ASGI scope; scopes other than HTTP and lifespan are ignored."""
        if scope["type"] == "lifespan":
            await caller_app.serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self.serve(scope, receive, send)

    @abc.abstractmethod
    async def serve(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Serve one HTTP request."""
