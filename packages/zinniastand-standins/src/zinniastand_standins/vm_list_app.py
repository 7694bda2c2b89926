"""A stand-in for the platform's list of VMs."""

from __future__ import annotations

import json

from zinniastand_proxy import caller_app, http_app

from . import asgi


class VmListApp(http_app.HttpApp):
    """Serves the list as it was last set, however long ago that was."""

    def __init__(self) -> None:
        self.vms: list[dict[str, str]] = []

    async def serve(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Serve one request."""
        await asgi.answer(send, 200, json.dumps({"vms": self.vms}).encode())
