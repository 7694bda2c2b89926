"""A worker asks for a rest of 95 s; a finding beyond the five cases (BUDGET)."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

import standins_2 as standins

REST_S = 95.0
SLACK_S = 0.5
MAX_ARRIVALS = 2


class RestingWorker(standins.Worker):
    """Turns one request away with 503 and `Retry-After`, and counts what follows."""

    told_at: float | None = None
    early = 0

    async def handle(
        self, request: standins.Message, writer: asyncio.StreamWriter, number: int
    ) -> None:
        """Turn the first request after 4 s away, and run all others."""
        now = self._record.now()
        identity = request.headers.get("x-request-id", "")
        if self.told_at is None and now > 4.0 and standins.has_trouble():
            self.told_at = now
            self._record.add(f"worker {self.name} wants {REST_S} s of rest", True)
            headers = {
                "X-Request-Id": identity,
                "X-Not-Executed": "1",
                "Retry-After": f"{REST_S:.0f}",
            }
            writer.write(standins.encode_answer(503, headers))
            return
        if self.told_at is not None:
            self.early += self.told_at + SLACK_S < now < self.told_at + REST_S
        await super().handle(request, writer, number)


async def play(site: standins.Site) -> int:
    """Send requests for 78 s, and count those that reach the resting worker."""
    resting = RestingWorker("w-0", "desk", site.store, site.record, 0.1)
    other = standins.Worker("w-1", "desk", site.store, site.record, 0.1)
    site.workers += [resting, other]
    for worker in site.workers:
        await worker.start()
    routes = [standins.make_route("filing", "/filing/", "unsafe", "desk")]
    configuration = standins.encode_configuration(12, routes, ["desk"])
    site.store.put("keyed.op", ("config", configuration))
    if not await site.start_vms(1):
        return standins.EXIT_NOT_RUN
    load = standins.Load(site)
    load.add_clients(site.vms[0], 6, "/filing/a")
    await asyncio.sleep(78.0)
    await load.end()
    site.record.add(f"{resting.early} requests reach it while it rests", is_shown=True)
    is_broken = resting.early > MAX_ARRIVALS
    return standins.EXIT_BROKEN if is_broken else standins.EXIT_HELD


standins.run_case(__file__, play)
