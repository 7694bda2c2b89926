"""Two of five workers leave together while six of ten machines are killed.

A sixth finding, beyond the five cases: DRAIN. See REPORT-2.md.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

import standins_2 as standins

DRAIN_S = 2.0
FIRST_IN_RANK = (0, 6, 3, 5, 9, 1)
"""Machines that rank first for reading the store, as their names decide."""


def choose_killed(vms: list[standins.Vm]) -> list[standins.Vm]:
    """Return six machines: those first in rank, or with SEED the first and others."""
    if "SEED" not in os.environ:
        return [vms[number] for number in FIRST_IN_RANK]
    others = [vm for vm in vms if vm is not vms[FIRST_IN_RANK[0]]]
    drawn = random.Random(os.environ["SEED"]).sample(others, 5)
    return [vms[FIRST_IN_RANK[0]], *drawn]


async def play(site: standins.Site) -> int:
    """Kill machines, let workers leave, and record what still reaches these."""
    record = site.record
    for number in range(5):
        worker = standins.Worker(f"w-{number}", "desk", site.store, record, 0.05)
        site.workers.append(worker)
        await worker.start()
    routes = [standins.make_route("filing", "/filing/", "unsafe", "desk")]
    configuration = standins.encode_configuration(12, routes, ["desk"])
    site.store.put("keyed.op", ("config", configuration))
    if not await site.start_vms(10):
        return standins.EXIT_NOT_RUN
    load = standins.Load(site)
    for vm in site.vms:
        load.add_clients(vm, 3, "/filing/a")
    await asyncio.sleep(6.0)
    if standins.has_trouble():
        killed = choose_killed(site.vms)
        for vm in killed:
            vm.send_signal(signal.SIGKILL)
        record.add(f"SIGKILL of {[vm.name for vm in killed]}", is_shown=True)
    leaving = site.workers[:2]
    for worker in leaving:
        worker.stop_beating()
    removals = [(worker.name, b"") for worker in leaving]
    site.store.put("keyed.servers", *removals)
    gone_at = record.now()
    await asyncio.sleep(4.0)
    await load.end()
    late = sorted(
        at - gone_at
        for worker in leaving
        for at, _ in worker.runs
        if at > gone_at + DRAIN_S
    )
    shown = f", the last after {late[-1]:.2f} s" if late else ""
    record.add(
        f"{len(late)} requests reach the workers later than {DRAIN_S} s{shown}",
        is_shown=True,
    )
    return standins.EXIT_BROKEN if late else standins.EXIT_HELD


standins.run_case(__file__, play)
