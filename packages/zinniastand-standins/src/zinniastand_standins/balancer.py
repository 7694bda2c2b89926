"""A stand-in for the platform's balancer: turns over the VMs that say "ready"."""

from __future__ import annotations

import itertools

import anyio
import httpx

from . import site

CHECK_INTERVAL_S = 0.3
CHECK_TIMEOUT_S = 1.0


class Balancer:
    """Picks a VM for each request; its view of readiness lags by a check.

    Parameters
    ----------
    place : site.Site
        The site whose daemons it serves.
    """

    def __init__(self, place: site.Site) -> None:
        self._site = place
        self._ready: dict[str, int] = {}
        self._turn = itertools.count()

    async def run(self) -> None:
        """Check readiness until cancelled."""
        async with httpx.AsyncClient(timeout=CHECK_TIMEOUT_S) as client:
            while True:
                for vm, process in list(self._site.daemons.items()):
                    await self._check(client, vm, process.admin_port)
                for vm in set(self._ready) - set(self._site.daemons):
                    del self._ready[vm]
                await anyio.sleep(CHECK_INTERVAL_S)

    async def wait_ready(self, count: int) -> None:
        """Wait until so many VMs are ready."""
        while len(self._ready) < count:
            await anyio.sleep(CHECK_INTERVAL_S / 4)

    def pick_port(self) -> int | None:
        """Return the callers' port of the next ready VM, or None."""
        ports = [self._ready[vm] for vm in sorted(self._ready)]
        return ports[next(self._turn) % len(ports)] if ports else None

    async def _check(self, client: httpx.AsyncClient, vm: str, port: int) -> None:
        try:
            page = await client.get(f"http://{site.HOST}:{port}/ready")
            is_ready = page.status_code == 200
        except httpx.HTTPError:
            is_ready = False
        process = self._site.daemons.get(vm)
        if is_ready and process is not None:
            self._ready[vm] = process.caller_port
        else:
            self._ready.pop(vm, None)
