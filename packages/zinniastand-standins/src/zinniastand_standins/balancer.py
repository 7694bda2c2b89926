"""A stand-in for the platform's load balancer: round robin over the ready VMs."""

from __future__ import annotations

import itertools

import anyio
import httpx

from . import site

CHECK_INTERVAL_S = 0.3
CHECK_TIMEOUT_S = 1.0


class Balancer:
    """Picks a VM for each request from those that passed their last readiness check.

    A VM that stops being ready still gets requests until its next check.

    Parameters
    ----------
    place : site.Site
        The site to whose daemons requests are distributed.
    """

    def __init__(self, place: site.Site) -> None:
        self._site = place
        self._ready: dict[str, int] = {}
        self._next_index = itertools.count()

    async def run(self) -> None:
        """Check the readiness of all daemons at intervals until cancelled."""
        async with httpx.AsyncClient(timeout=CHECK_TIMEOUT_S) as client:
            while True:
                for vm, process in list(self._site.daemons.items()):
                    await self._check(client, vm, process.admin_port)
                for vm in set(self._ready) - set(self._site.daemons):
                    del self._ready[vm]
                await anyio.sleep(CHECK_INTERVAL_S)

    async def wait_ready(self, count: int) -> None:
        """Wait until at least `count` VMs are ready."""
        while len(self._ready) < count:
            await anyio.sleep(CHECK_INTERVAL_S / 4)

    def pick_port(self) -> int | None:
        """Return the callers' port of the next ready VM, or None if no VM is ready."""
        ports = [self._ready[vm] for vm in sorted(self._ready)]
        return ports[next(self._next_index) % len(ports)] if ports else None

    async def _check(self, client: httpx.AsyncClient, vm: str, port: int) -> None:
        try:
            response = await client.get(f"http://{site.HOST}:{port}/ready")
            is_ready = response.status_code == 200
        except httpx.HTTPError:
            is_ready = False
        process = self._site.daemons.get(vm)
        if is_ready and process is not None:
            self._ready[vm] = process.caller_port
        else:
            self._ready.pop(vm, None)
