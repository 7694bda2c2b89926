"""Time from the append of a bundle until it is in force on the last of 36 daemons.

All daemons run in this process over real sockets and share one core, so the times are
upper bounds; half or all of them can be cut off from the log.
"""

from __future__ import annotations

import time

import anyio
import anyio.abc

from zinniastand_proxy import listeners, platform_log
from zinniastand_standins import site

from . import tables

VMS = 36
ROUNDS = 5
PLAN = site.ServicePlan(
    name="desk",
    targets=2,
    slots=3,
    work_time=0.01,
    floor_slots=1,
    detection_weight=0.5,
    kinds=({"name": "lookup", "work": "idempotent", "time_limit_ms": 1000},),
    routes=({"path_prefix": "/items", "methods": ["GET"], "kind": "lookup"},),
    data_centres=("dc-1",),
)


class CutLog:
    """The way to the log of one VM, which can be cut."""

    def __init__(self, log: platform_log.Log) -> None:
        self._log = log
        self.is_cut = False

    async def append(self, stream: str, data: bytes) -> int:
        """Append, unless cut; see `platform_log.Log.append`."""
        if self.is_cut:
            raise platform_log.LogRefusedError("cut")
        return await self._log.append(stream, data)

    async def read(self, stream: str, offset: int, wait: float) -> platform_log.Page:
        """Read, unless cut; see `platform_log.Log.read`."""
        if not self.is_cut:
            page = await self._log.read(stream, offset, wait)
            if not self.is_cut:
                return page
        raise platform_log.LogRefusedError("cut")


async def _measure(group: anyio.abc.TaskGroup) -> str:
    place = site.Site(group)
    await place.start_platform()
    await place.start_targets([PLAN])
    place.publish()
    ways = [CutLog(place.log) for _ in range(VMS)]
    for number, way in enumerate(ways):
        await place.start_daemon(f"vm-{number}", f"dc-{number % 3}", way)
    await _wait_version(place, 1)
    await anyio.sleep(6)
    rows = []
    for name, cut in (
        ("every VM reads the log", 0),
        ("half are cut off", VMS // 2),
        ("all but one are cut off", VMS - 1),
    ):
        for way in ways[:cut]:
            way.is_cut = True
        took = sorted([await _publish(place) for _ in range(ROUNDS)])
        cells = [f"{1000 * took[len(took) // 2]:.0f} ms", f"{1000 * took[-1]:.0f} ms"]
        rows.append([name, *cells])
        for way in ways:
            way.is_cut = False
    return tables.format_table(
        ("log", "last VM, median of rounds", "last VM, worst"), rows
    )


async def _publish(place: site.Site) -> float:
    service = place.document["services"]["desk"]
    service["floor_slots"] = 3 - service["floor_slots"]
    version = place.read_chain().version + 1
    place.publish()
    started = time.perf_counter()
    await _wait_version(place, version)
    took = time.perf_counter() - started
    await anyio.sleep(1)
    return took


async def _wait_version(place: site.Site, version: int) -> None:
    while any(d.read_version() < version for d in place.daemons.values()):
        await anyio.sleep(0.002)


def format_report() -> str:
    """Return the table."""
    found: list[str] = []

    async def run() -> None:
        listeners.log_loop_errors()
        async with anyio.create_task_group() as group:
            found.append(await _measure(group))
            group.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})
    return found[0]


if __name__ == "__main__":
    print(format_report())
