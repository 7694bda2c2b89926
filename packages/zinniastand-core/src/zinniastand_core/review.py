"""Warnings about changes that are valid but risky, for reviewers of a bundle."""

from __future__ import annotations

from . import bundles, documents, findings, services

LARGE_CAPACITY_CHANGE_RATIO = 0.25


def review(old: bundles.Bundle, new: bundles.Bundle) -> findings.Findings:
    """Return warnings about replacing the bundle `old` with `new`."""
    collector = documents.Collector()
    before = {service.name: service for service in old.services}
    after = {service.name: service for service in new.services}
    for name in sorted(set(before) - set(after)):
        collector.add(f"services.{name}", "removed, with all its routes")
    for name, service in after.items():
        _review_service(before.get(name), service, collector)
    needed = new.operators.sign_offs_needed
    if needed < old.operators.sign_offs_needed:
        collector.add("operators.sign_offs_needed", f"lowered to {needed}")
    return collector.collect()


def _review_service(
    old: services.Service | None,
    new: services.Service,
    collector: documents.Collector,
) -> None:
    location = f"services.{new.name}"
    usable_slots = _count_usable_slots(new)
    largest = max((t.slots for t in new.targets if not t.draining), default=0)
    if usable_slots - largest < new.floor_slots:
        collector.add(
            f"{location}.floor_slots",
            f"no target can be ejected: {usable_slots} slots, floor {new.floor_slots}",
        )
    if old is None:
        return
    _review_capacity(old, new, usable_slots, location, collector)
    for target in old.targets:
        if new.find_target(target.name) is None and not target.draining:
            text = "removed without draining first; its work may still be under way"
            collector.add(f"{location}.targets.{target.name}", text)
    for kind in old.kinds:
        _review_kind(kind, new.find_kind(kind.name), location, collector)


def _review_capacity(
    old: services.Service,
    new: services.Service,
    usable_slots: int,
    location: str,
    collector: documents.Collector,
) -> None:
    before = _count_usable_slots(old)
    if before and abs(usable_slots - before) > LARGE_CAPACITY_CHANGE_RATIO * before:
        text = f"capacity goes from {before} to {usable_slots} slots in one step"
        collector.add(f"{location}.targets", text)
    if new.floor_slots < old.floor_slots:
        text = f"lowered from {old.floor_slots} to {new.floor_slots}"
        collector.add(f"{location}.floor_slots", text)


def _review_kind(
    old: services.Kind,
    new: services.Kind | None,
    location: str,
    collector: documents.Collector,
) -> None:
    if new is None:
        collector.add(f"{location}.kinds.{old.name}", "removed")
        return
    repeatable = services.Work.IDEMPOTENT
    if old.work is services.Work.AT_MOST_ONCE and new.work is repeatable:
        text = "was at-most-once; retries may now run it twice"
        collector.add(f"{location}.kinds.{old.name}.work", text)


def _count_usable_slots(service: services.Service) -> int:
    return sum(target.slots for target in service.targets if not target.draining)
