"""Measures each cost of docs/CAPACITY.md at three sizes or more.

Run as ``python -m bench.capacity``.
"""

from __future__ import annotations

import collections.abc
import copy
import random
import time
import tracemalloc

from zinniastand_core import (
    bundles,
    chain,
    claim_ledger,
    claim_records,
    claimer,
    proposals,
    route_table,
    router,
)
from zinniastand_standins import documents, virtual_fleet

from . import tables

KEYS = {"a": documents.make_key(1)}
ROUTES_PER_SERVICE = 38
TARGETS_PER_SERVICE = 25
SERVICE_SIZES = (100, 300, 900)
ACCOUNT_SIZES = (5_000, 15_000, 45_000)
FLEET_SIZES = (36, 100, 300)
LEDGER_SIZES = (5_000, 15_000, 45_000)
BATCH_WAITS_MS = (0.0, 2.0, 10.0, 50.0)
KEYED_REQUESTS_PER_S = 400.0
APPEND_DURATION_S = 0.005
START_TIME_S = 1000.0


def make_large_document(services: int, accounts: int) -> dict[str, object]:
    """Return the document of a bundle with a number of services and accounts.

    Each service has a usual number of routes and targets.
    """
    document = documents.make_document(KEYS, targets=TARGETS_PER_SERVICE)
    template = document["services"].pop("desk")
    for number in range(services):
        service = copy.deepcopy(template)
        service["routes"] = [
            {
                "path_prefix": f"/s{number}/r{index}",
                "methods": ["GET"],
                "kind": "lookup",
            }
            for index in range(ROUTES_PER_SERVICE)
        ]
        document["services"][f"service-{number}"] = service
    document["accounts"] = {f"account-{n}": 10 for n in range(accounts)}
    return document


def measure_memory(build: collections.abc.Callable[[], object]) -> int:
    """Return the memory in bytes that the object returned by `build` keeps."""
    tracemalloc.start()
    retained = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return size


def _build_bundle(services: int, accounts: int) -> object:
    document = make_large_document(services, accounts)
    bundle = bundles.parse_document(document).ok
    del document
    table = route_table.RouteTable()
    table.index_bundle(bundle)
    return bundle, table


def report_bundles() -> str:
    """Return the tables of memory and cost of a change, by the size of the bundle."""
    rows = []
    for services in SERVICE_SIZES:
        size = measure_memory(lambda: _build_bundle(services, 0))  # noqa: B023
        change_bytes, seconds = _measure_change(services)
        rows.append(
            [
                services,
                services * ROUTES_PER_SERVICE,
                f"{size / services / 1024:.1f}",
                change_bytes,
                f"{1000 * seconds:.2f}",
            ]
        )
    columns = (
        "services",
        "routes",
        "KiB a service",
        "bytes a change",
        "CPU ms a change",
    )
    text = tables.format_table(columns, rows)
    accounts = [
        [count, f"{(measure_memory(lambda: _build_bundle(1, count))) / count:.0f}"]  # noqa: B023
        for count in ACCOUNT_SIZES
    ]
    return text + "\n\n" + tables.format_table(("accounts", "bytes each"), accounts)


def _measure_change(services: int) -> tuple[int, float]:
    trusted = documents.make_operators(KEYS)
    current_chain = chain.Chain(trusted)
    document = make_large_document(services, 0)
    _publish(current_chain, bundles.parse_document(document).ok)
    section = copy.deepcopy(current_chain.bundle.sections["service/service-0"].value)
    cpu_time_s, size, rounds = 0.0, 0, 10
    for number in range(rounds):
        section = copy.deepcopy(section)
        section["floor_slots"] = number
        key = "service/service-0"
        new = bundles.change(current_chain.bundle, {key: section}).ok
        record = _make_record(current_chain, new)
        size = len(record)
        started = time.process_time()
        current_chain.apply(record)
        cpu_time_s += time.process_time() - started
    return size, cpu_time_s / rounds


def _make_record(current_chain: chain.Chain, new: bundles.Bundle) -> bytes:
    proposal = proposals.propose(
        f"p{current_chain.version}",
        current_chain.version + 1,
        current_chain.bundle,
        new,
    )
    return chain.pack_proposal(proposals.sign(proposal, "a", KEYS["a"]))


def _publish(current_chain: chain.Chain, new: bundles.Bundle) -> None:
    current_chain.apply(_make_record(current_chain, new))


def report_fleet() -> str:
    """Return the table of traffic and processor time of a VM, by size of the fleet."""
    rows = []
    for count in FLEET_SIZES:
        fleet = virtual_fleet.Fleet(count)
        fleet.introduce()
        fleet.run(3)
        fleet.bytes_sent.clear()
        started = time.process_time()
        fleet.run(10)
        cpu_time_s = time.process_time() - started
        sent_bytes = sorted(fleet.bytes_sent.values())
        rows.append(
            [
                count,
                f"{sent_bytes[len(sent_bytes) // 2] / 10:.0f}",
                f"{sent_bytes[-1] / 10:.0f}",
                f"{100 * cpu_time_s / 10 / count:.2f}%",
                _measure_loss_bytes(fleet),
            ]
        )
    columns = (
        "VMs",
        "B/s median",
        "B/s highest",
        "of a core a VM",
        "B a VM per VM lost",
    )
    return tables.format_table(columns, rows)


def _measure_loss_bytes(fleet: virtual_fleet.Fleet) -> str:
    """Return the additional bytes that each VM sends because one VM is lost."""
    count = len(fleet.vms)
    fleet.bytes_sent.clear()
    fleet.run(10)
    usual_bytes = sum(fleet.bytes_sent.values())
    fleet.bytes_sent.clear()
    del fleet.vms["vm-3"]
    fleet.run(10)
    return f"{max(0, sum(fleet.bytes_sent.values()) - usual_bytes) / count:.0f}"


def report_claims() -> str:
    """Return the tables of appends by batch wait, and of ledger costs by its size."""
    rows = []
    for wait in BATCH_WAITS_MS:
        appends, size, latency = _simulate_claims(wait / 1000)
        rows.append([wait, f"{appends:.0f}", f"{size:.0f}", f"{1000 * latency:.1f}"])
    columns = (
        "batch wait ms",
        "appends a 1,000 keyed requests",
        "bytes a request",
        "median ms added",
    )
    text = tables.format_table(columns, rows)
    sizes = []
    for count in LEDGER_SIZES:
        records = [_make_claim(number) for number in range(count)]
        size = measure_memory(lambda: _make_ledger(records))  # noqa: B023
        entries = [claim_records.pack(records[i : i + 50]) for i in range(0, count, 50)]
        started = time.process_time()
        _replay_entries(entries)
        cpu_time_s = time.process_time() - started
        sizes.append([count, f"{size / count:.0f}", f"{1e6 * cpu_time_s / count:.0f}"])
    columns = ("keys in a slice", "bytes a key", "µs a key to rebuild")
    return text + "\n\n" + tables.format_table(columns, sizes)


def _make_claim(number: int) -> claim_records.Claim:
    digest = number.to_bytes(16, "big")
    return claim_records.Claim(
        digest, digest[4:], "vm-1", 1, START_TIME_S + 5, START_TIME_S, b"12345678"
    )


def _make_ledger(records: list[claim_records.Claim]) -> claim_ledger.ClaimLedger:
    ledger = claim_ledger.ClaimLedger(3600.0)
    for record in records:
        ledger.apply(record, START_TIME_S)
    return ledger


def _replay_entries(entries: list[bytes]) -> None:
    slice_claimer = claimer.Claimer(claim_ledger.ClaimLedger(3600.0))
    for offset, data in enumerate(entries):
        slice_claimer.apply_entry(offset, data, START_TIME_S)


def _simulate_claims(wait: float) -> tuple[float, float, float]:
    """Simulate the claims of a slice at a constant mean rate.

    Parameters
    ----------
    wait : float
        Seconds for which claims are collected into a batch.

    Returns
    -------
    tuple of float
        Appends per 1,000 requests, bytes per request, and the median of the seconds
        that a request waits for its claim.
    """
    rng = random.Random(1)
    slice_claimer = claimer.Claimer(claim_ledger.ClaimLedger(3600.0), batch_wait=wait)
    now, count, offset, size = START_TIME_S, 0, 0, 0
    pending_appends: list[tuple[float, int]] = []
    sought_at: dict[bytes, float] = {}
    waits_s: list[float] = []
    next_at = now
    while len(waits_s) < 2000:
        flush_at = slice_claimer.find_deadline() or float("inf")
        ends_at = pending_appends[0][0] if pending_appends else float("inf")
        now = min(next_at, ends_at, flush_at)
        if now == ends_at:
            _, batch = pending_appends.pop(0)
            actions = slice_claimer.handle_appended(batch, offset, now)
            offset += 1
        elif now == next_at:
            count += 1
            next_at += rng.expovariate(KEYED_REQUESTS_PER_S)
            sought_at[_make_claim(count).claim_id] = now
            actions = slice_claimer.seek(_make_claim_at(count, now), now)
        else:
            actions = slice_claimer.process_due(now)
        for action in actions:
            if isinstance(action, claimer.Append):
                size += len(action.data)
                pending_appends.append((now + APPEND_DURATION_S, action.batch))
            elif isinstance(action, claimer.Granted):
                waits_s.append(now - sought_at[action.claim.claim_id])
                done_record = claim_records.Done(
                    action.claim.key_digest, action.claim.claim_id, 200
                )
                follow_ups = slice_claimer.settle(done_record, now)
                for follow_up in follow_ups:
                    if isinstance(follow_up, claimer.Append):
                        size += len(follow_up.data)
                        pending_appends.append(
                            (now + APPEND_DURATION_S, follow_up.batch)
                        )
    return 1000 * offset / count, size / count, sorted(waits_s)[len(waits_s) // 2]


def _make_claim_at(number: int, now: float) -> claim_records.Claim:
    digest = number.to_bytes(16, "big")
    return claim_records.Claim(
        digest, digest[4:], "vm-1", 1, round(now + 5, 3), START_TIME_S, b"12345678"
    )


def report_routing() -> str:
    """Return the table of processor time of a choice, by the number of targets."""
    rows = []
    for targets in (6, 25, 100):
        document = documents.make_document(KEYS, targets=targets)
        service = bundles.parse_document(document).ok.services[0]
        routing = router.Router(service, random.Random(1), 0.0)
        rounds = 2000
        started = time.process_time()
        for number in range(rounds):
            routing.choose(service.kinds[0], set(), number * 0.005)
        cpu_time_s = time.process_time() - started
        rows.append([targets, f"{1e6 * cpu_time_s / rounds:.0f}"])
    return tables.format_table(("targets", "µs a choice at 200 a second"), rows)


def main() -> None:
    """Print all tables."""
    for title, report in (
        ("Bundles", report_bundles),
        ("Fleet", report_fleet),
        ("Claims", report_claims),
        ("Routing", report_routing),
    ):
        print(f"## {title}\n\n{report()}\n", flush=True)


if __name__ == "__main__":
    main()
