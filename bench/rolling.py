"""Measures what callers observe while every VM is replaced in turn under load.

Run as ``python -m bench.rolling``.
"""

from __future__ import annotations

import random

import anyio
import anyio.abc

from zinniastand_proxy import listeners
from zinniastand_standins import balancer, callers, site, users

from . import tables

VM_COUNT = 6
RATE_PER_S = 20.0
UNREADY_S = 1.0
"""Time from the stop of a VM, when it stops being ready, until it closes its
listeners."""

PAUSE_S = 0.5


async def _measure(group: anyio.abc.TaskGroup) -> str:
    user = users.AUTHORITY
    local_site = site.Site(group)
    await local_site.start_platform()
    await local_site.start_targets(user.plans)
    local_site.publish()
    for number in range(VM_COUNT):
        await _start(local_site, number)
    load_balancer = balancer.Balancer(local_site)
    group.start_soon(load_balancer.run)
    await load_balancer.wait_ready(VM_COUNT)
    load = callers.Callers(load_balancer, user, random.Random(1))
    async with anyio.create_task_group() as load_group:
        load_group.start_soon(
            load.run, RATE_PER_S, VM_COUNT * (UNREADY_S + 2 * PAUSE_S) + 2
        )
        for number in range(VM_COUNT):
            await _replace(local_site, number)
    return _format(local_site, load.calls)


async def _start(local_site: site.Site, number: int) -> None:
    data_centre = users.AUTHORITY_DATA_CENTRES[
        number % len(users.AUTHORITY_DATA_CENTRES)
    ]
    await local_site.start_daemon(f"vm-{number}", data_centre, unready_for=UNREADY_S)


async def _replace(local_site: site.Site, number: int) -> None:
    await _start(local_site, VM_COUNT + number)
    local_site.daemons[f"vm-{number}"].stop()
    await anyio.sleep(UNREADY_S + PAUSE_S)
    local_site.forget_daemon(f"vm-{number}")
    await anyio.sleep(PAUSE_S)


def _format(local_site: site.Site, calls: list[callers.Call]) -> str:
    keyed = {call.name for call in calls if call.work.is_keyed}
    all_answers = [answer for call in calls for answer in call.answers]
    rows = [
        ("VMs replaced", VM_COUNT),
        ("requests", len(calls)),
        ("answered whole", sum(call.is_answered for call in calls)),
        (
            "cut off without an answer",
            sum(not a.status and not a.outcome for a in all_answers),
        ),
        ("told unknown", sum(a.outcome == "unknown" for a in all_answers)),
        ("doubled", len(keyed.intersection(local_site.ledger.list_repeated()))),
    ]
    return tables.format_table(("rolling replacement", "count"), rows)


def format_report() -> str:
    """Run the measurement; return the table as Markdown."""
    reports: list[str] = []

    async def _run() -> None:
        listeners.log_loop_errors()
        async with anyio.create_task_group() as group:
            reports.append(await _measure(group))
            group.cancel_scope.cancel()

    anyio.run(_run, backend_options={"use_uvloop": True})
    return reports[0]


if __name__ == "__main__":
    print(format_report())
