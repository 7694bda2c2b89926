"""A rolling restart while an account sends many times its quota; who counts it?"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins_2 as standins

RATE_PER_S = 100
BURST = 100
WINDOW_S = 5
OVERSHOOT = 0.1
SLACK = 20
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
CLIENTS_PER_VM = 8
RESTART_DELAY_S = 0.3
GAP_S = 1.0
BUCKETS_PER_S = 10
KEY = "x42q492cqf75rjvz48wu"
TENANT = "huka270"


async def restart(site: standins.Site, vms: list[standins.Vm]) -> None:
    """Stop machines with SIGTERM, and start them again once they have ended."""
    names = ", ".join(vm.name for vm in vms)
    site.record.add(f"SIGTERM of {names}", is_shown=True)
    for vm in vms:
        vm.send_signal(signal.SIGTERM)
    for vm in vms:
        if vm.process is not None:
            await vm.process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    for vm in vms:
        await vm.start()
    for vm in vms:
        await vm.wait_until_ready()
    site.record.add(f"ready again: {names}", is_shown=True)


def find_most(runs: list[tuple[float, float]]) -> tuple[int, float]:
    """Return the most requests sent and run in a window, and where it begins.

    Windows that begin at each tenth of a second are counted: as many as there are.
    """
    most, most_from = 0, 0.0
    last = max((at for at, _ in runs), default=0.0)
    for number in range(int(last * BUCKETS_PER_S) + 1):
        begin = number / BUCKETS_PER_S
        end = begin + WINDOW_S
        count = sum(1 for at, sent_at in runs if sent_at >= begin and at <= end)
        if count > most:
            most, most_from = count, begin
    return most, most_from


async def play(site: standins.Site) -> int:
    """Restart four machines, two at a time, and count what runs for the account."""
    record = site.record
    for number in range(6):
        worker = standins.Worker(f"w-{number}", "desk", site.store, record, 0.02)
        worker.slots = 30
        site.workers.append(worker)
        await worker.start()
    routes = [standins.make_route("filing", "/filing/", "unsafe", "desk")]
    tenants = [[TENANT, [KEY], 1, RATE_PER_S, BURST]]
    configuration = standins.encode_configuration(12, routes, ["desk"], tenants)
    site.store.put("keyed.op", ("config", configuration))
    site.add_vms(4)
    for vm in site.vms:
        vm.contracts = [*standins.CONTRACTS, "tenants", "quota"]
        vm.accounts = {
            "revocation_limit_ms": 5000,
            "quota_window_s": WINDOW_S,
            "quota_overshoot": OVERSHOOT,
            "quota_slack": SLACK,
        }
    if not await site.start_vms():
        return standins.EXIT_NOT_RUN
    load = standins.Load(site)
    for vm in site.vms:
        load.add_clients(vm, CLIENTS_PER_VM, "/filing/a", 0.05, 2000, KEY)
    await asyncio.sleep(8.0)
    if standins.has_trouble():
        # The account is counted by vm-0, as its name decides.
        await restart(site, [site.vms[3], site.vms[2]])
        await asyncio.sleep(GAP_S)
        await restart(site, [site.vms[1], site.vms[0]])
    await asyncio.sleep(8.0)
    await load.end()
    runs = [
        (at, load.sent_at[identity])
        for worker in site.workers
        for at, identity in worker.runs
    ]
    by_second = collections.Counter(int(at) for at, _ in runs)
    record.add(f"runs in each second: {sorted(by_second.items())}", is_shown=True)
    most, most_from = find_most(runs)
    record.add(
        f"{len(load.sent_at)} requests sent, {len(runs)} run; most in {WINDOW_S} s: "
        f"{most}, from {most_from:.1f} s; bound {BOUND:.0f}",
        is_shown=True,
    )
    return standins.EXIT_BROKEN if most > BOUND else standins.EXIT_HELD


standins.run_case(__file__, play)
