"""Slopes behind docs/CAPACITY.md: each cost at three sizes or more."""

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
WAITS_MS = (0.0, 2.0, 10.0, 50.0)
KEYED_RATE = 400.0
APPEND_SECONDS = 0.005
NOW = 1000.0


def make_large_document(services: int, accounts: int) -> dict[str, object]:
    """Return a document with services and accounts of the usual size."""
    document = documents.make_document(KEYS, targets=TARGETS_PER_SERVICE)
    pattern = document["services"].pop("desk")
    for number in range(services):
        service = copy.deepcopy(pattern)
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
    """Return the bytes that what `build` returns keeps."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def _build_bundle(services: int, accounts: int) -> object:
    document = make_large_document(services, accounts)
    bundle = bundles.parse_document(document).ok
    del document
    table = route_table.RouteTable()
    table.index_bundle(bundle)
    return bundle, table


def report_bundles() -> str:
    """Return memory and cost of a change by the size of the bundle."""
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
    head = ("services", "routes", "KiB a service", "bytes a change", "CPU ms a change")
    text = tables.format_table(head, rows)
    accounts = [
        [count, f"{(measure_memory(lambda: _build_bundle(1, count))) / count:.0f}"]  # noqa: B023
        for count in ACCOUNT_SIZES
    ]
    return text + "\n\n" + tables.format_table(("accounts", "bytes each"), accounts)


def _measure_change(services: int) -> tuple[int, float]:
    trusted = documents.make_operators(KEYS)
    head = chain.Chain(trusted)
    document = make_large_document(services, 0)
    _publish(head, bundles.parse_document(document).ok)
    section = copy.deepcopy(head.bundle.sections["service/service-0"].value)
    spent, size, rounds = 0.0, 0, 10
    for number in range(rounds):
        section = copy.deepcopy(section)
        section["floor_slots"] = number
        key = "service/service-0"
        new = bundles.change(head.bundle, {key: section}).ok
        record = _make_record(head, new)
        size = len(record)
        started = time.process_time()
        head.apply(record)
        spent += time.process_time() - started
    return size, spent / rounds


def _make_record(head: chain.Chain, new: bundles.Bundle) -> bytes:
    proposal = proposals.propose(f"p{head.version}", head.version + 1, head.bundle, new)
    return chain.pack_proposal(proposals.sign(proposal, "a", KEYS["a"]))


def _publish(head: chain.Chain, new: bundles.Bundle) -> None:
    head.apply(_make_record(head, new))


def report_fleet() -> str:
    """Return what a steady VM sends and spends, by the size of the fleet."""
    rows = []
    for count in FLEET_SIZES:
        fleet = virtual_fleet.Fleet(count)
        fleet.introduce()
        fleet.run(3)
        fleet.bytes_sent.clear()
        started = time.process_time()
        fleet.run(10)
        spent = time.process_time() - started
        sent = sorted(fleet.bytes_sent.values())
        rows.append(
            [
                count,
                f"{sent[len(sent) // 2] / 10:.0f}",
                f"{sent[-1] / 10:.0f}",
                f"{100 * spent / 10 / count:.2f}%",
                _measure_news(fleet),
            ]
        )
    head = ("VMs", "B/s median", "B/s highest", "of a core a VM", "B a VM per VM lost")
    return tables.format_table(head, rows)


def _measure_news(fleet: virtual_fleet.Fleet) -> str:
    """Return the bytes that each VM sends because one is lost and replaced."""
    count = len(fleet.vms)
    fleet.bytes_sent.clear()
    fleet.run(10)
    usual = sum(fleet.bytes_sent.values())
    fleet.bytes_sent.clear()
    del fleet.vms["vm-3"]
    fleet.run(10)
    return f"{max(0, sum(fleet.bytes_sent.values()) - usual) / count:.0f}"


def report_claims() -> str:
    """Return appends against batch wait, and the cost of a ledger by its size."""
    rows = []
    for wait in WAITS_MS:
        appends, size, latency = _run_claims(wait / 1000)
        rows.append([wait, f"{appends:.0f}", f"{size:.0f}", f"{1000 * latency:.1f}"])
    head = (
        "batch wait ms",
        "appends a 1,000 keyed requests",
        "bytes a request",
        "median ms added",
    )
    text = tables.format_table(head, rows)
    sizes = []
    for count in LEDGER_SIZES:
        records = [_make_claim(number) for number in range(count)]
        size = measure_memory(lambda: _fill(records))  # noqa: B023
        entries = [claim_records.pack(records[i : i + 50]) for i in range(0, count, 50)]
        started = time.process_time()
        _rebuild(entries)
        spent = time.process_time() - started
        sizes.append([count, f"{size / count:.0f}", f"{1e6 * spent / count:.0f}"])
    head = ("keys in a slice", "bytes a key", "µs a key to rebuild")
    return text + "\n\n" + tables.format_table(head, sizes)


def _make_claim(number: int) -> claim_records.Claim:
    digest = number.to_bytes(16, "big")
    return claim_records.Claim(digest, digest[4:], "vm-1", 1, NOW + 5, NOW, b"12345678")


def _fill(records: list[claim_records.Claim]) -> claim_ledger.ClaimLedger:
    ledger = claim_ledger.ClaimLedger(3600.0)
    for record in records:
        ledger.apply(record, NOW)
    return ledger


def _rebuild(entries: list[bytes]) -> None:
    seeker = claimer.Claimer(claim_ledger.ClaimLedger(3600.0))
    for offset, data in enumerate(entries):
        seeker.apply_entry(offset, data, NOW)


def _run_claims(wait: float) -> tuple[float, float, float]:
    """Run one slice's appender at a steady rate in virtual time."""
    generator = random.Random(1)
    seeker = claimer.Claimer(claim_ledger.ClaimLedger(3600.0), batch_wait=wait)
    now, count, offset, size = NOW, 0, 0, 0
    due: list[tuple[float, int]] = []
    asked: dict[bytes, float] = {}
    took: list[float] = []
    next_at = now
    while len(took) < 2000:
        flush_at = seeker.find_deadline() or float("inf")
        ends_at = due[0][0] if due else float("inf")
        now = min(next_at, ends_at, flush_at)
        if now == ends_at:
            _, batch = due.pop(0)
            actions = seeker.handle_appended(batch, offset, now)
            offset += 1
        elif now == next_at:
            count += 1
            next_at += generator.expovariate(KEYED_RATE)
            asked[_make_claim(count).claim_id] = now
            actions = seeker.seek(_make_claim_at(count, now), now)
        else:
            actions = seeker.process_due(now)
        for action in actions:
            if isinstance(action, claimer.Append):
                size += len(action.data)
                due.append((now + APPEND_SECONDS, action.batch))
            elif isinstance(action, claimer.Granted):
                took.append(now - asked[action.claim.claim_id])
                done = claim_records.Done(
                    action.claim.key_digest, action.claim.claim_id, 200
                )
                more = seeker.settle(done, now)
                for extra in more:
                    if isinstance(extra, claimer.Append):
                        size += len(extra.data)
                        due.append((now + APPEND_SECONDS, extra.batch))
    return 1000 * offset / count, size / count, sorted(took)[len(took) // 2]


def _make_claim_at(number: int, now: float) -> claim_records.Claim:
    digest = number.to_bytes(16, "big")
    return claim_records.Claim(
        digest, digest[4:], "vm-1", 1, round(now + 5, 3), NOW, b"12345678"
    )


def report_routing() -> str:
    """Return the CPU of one choice by the number of targets of a service."""
    rows = []
    for targets in (6, 25, 100):
        document = documents.make_document(KEYS, targets=targets)
        service = bundles.parse_document(document).ok.services[0]
        routing = router.Router(service, random.Random(1), 0.0)
        rounds = 2000
        started = time.process_time()
        for number in range(rounds):
            routing.choose(service.kinds[0], set(), number * 0.005)
        spent = time.process_time() - started
        rows.append([targets, f"{1e6 * spent / rounds:.0f}"])
    return tables.format_table(("targets", "µs a choice at 200 a second"), rows)


def main() -> None:
    """Print all slopes."""
    for title, report in (
        ("Bundles", report_bundles),
        ("Fleet", report_fleet),
        ("Claims", report_claims),
        ("Routing", report_routing),
    ):
        print(f"## {title}\n\n{report()}\n", flush=True)


if __name__ == "__main__":
    main()
