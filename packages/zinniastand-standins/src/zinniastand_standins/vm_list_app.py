"""A stand-in for the platform's VM list."""

from __future__ import annotations

import json

from zinniastand_proxy import caller_app, http_app

from . import asgi


class VmListApp(http_app.HttpApp):
    """Serves the VM list as last set in `vms`; entries never expire."""

    def __init__(self) -> None:
        self.vms: list[dict[str, str]] = []

    async def serve(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Answer any request with the list as JSON."""
        await asgi.answer(send, 200, json.dumps({"vms": self.vms}).encode())
