"""A stand-in for the platform's list of VMs."""

from __future__ import annotations

import json

from zinniastand_proxy import caller_app

from . import asgi


class VmListApp:
    """Serves the list as it was last set, however long ago that was."""

    def __init__(self) -> None:
        self.vms: list[dict[str, str]] = []

    async def __call__(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await caller_app.serve_lifespan(receive, send)
            return
        await asgi.answer(send, 200, json.dumps({"vms": self.vms}).encode())
