"""Rolling replacement of every VM under load: what callers notice."""

from __future__ import annotations

import random

import anyio
import anyio.abc

from zinniastand_proxy import listeners
from zinniastand_standins import balancer, callers, site, users

from . import tables

VMS = 6
RATE = 20.0
UNREADY_FOR = 1.0
PAUSE = 0.5


async def _measure(group: anyio.abc.TaskGroup) -> str:
    user = users.AUTHORITY
    place = site.Site(group)
    await place.start_platform()
    await place.start_targets(user.plans)
    place.publish()
    for number in range(VMS):
        await _start(place, number)
    door = balancer.Balancer(place)
    group.start_soon(door.run)
    await door.wait_ready(VMS)
    load = callers.Callers(door, user, random.Random(1))
    async with anyio.create_task_group() as inner:
        inner.start_soon(load.run, RATE, VMS * (UNREADY_FOR + 2 * PAUSE) + 2)
        for number in range(VMS):
            await _replace(place, number)
    return _format(place, load.calls)


async def _start(place: site.Site, number: int) -> None:
    where = users.AUTHORITY_DATA_CENTRES[number % len(users.AUTHORITY_DATA_CENTRES)]
    await place.start_daemon(f"vm-{number}", where, unready_for=UNREADY_FOR)


async def _replace(place: site.Site, number: int) -> None:
    await _start(place, VMS + number)
    place.daemons[f"vm-{number}"].stop()
    await anyio.sleep(UNREADY_FOR + PAUSE)
    place.forget_daemon(f"vm-{number}")
    await anyio.sleep(PAUSE)


def _format(place: site.Site, calls: list[callers.Call]) -> str:
    keyed = {call.name for call in calls if call.work.is_keyed}
    told = [answer for call in calls for answer in call.answers]
    rows = [
        ("VMs replaced", VMS),
        ("requests", len(calls)),
        ("answered whole", sum(call.is_answered for call in calls)),
        (
            "cut off without an answer",
            sum(not a.status and not a.outcome for a in told),
        ),
        ("told unknown", sum(a.outcome == "unknown" for a in told)),
        ("doubled", len(keyed.intersection(place.ledger.list_repeated()))),
    ]
    return tables.format_table(("rolling replacement", "count"), rows)


def format_report() -> str:
    """Return the table."""
    found: list[str] = []

    async def _run() -> None:
        listeners.log_loop_errors()
        async with anyio.create_task_group() as group:
            found.append(await _measure(group))
            group.cancel_scope.cancel()

    anyio.run(_run, backend_options={"use_uvloop": True})
    return found[0]


if __name__ == "__main__":
    print(format_report())
