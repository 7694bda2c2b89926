"""Tests of the news of leaving targets between VMs, in virtual time."""

from __future__ import annotations

import random

from zinniastand_core import bundles, control, peer_messages, router
from zinniastand_standins import documents, virtual_fleet

SERVICE = bundles.parse_document(
    documents.make_document(virtual_fleet.KEYS)
).ok.services[0]
TARGET = SERVICE.targets[0]


def add_router(process: control.Control, now: float) -> router.Router:
    """Give a VM a router for the service and return it."""
    routing = router.Router(SERVICE, random.Random(1), now)
    process.leaving_targets.use_routers({SERVICE.name: routing})
    return routing


def test_vm_that_joins_hears_of_targets_that_left_before() -> None:
    # Guards against a VM that joins late finding out by a request of its own.
    fleet = virtual_fleet.Fleet(6)
    routers = [add_router(vm, fleet.now) for vm in fleet.vms.values()]
    fleet.run(3)
    routers[0].record_leaving(TARGET.name, fleet.now)
    fleet.run(1)
    assert all(routing.is_leaving(TARGET.name, fleet.now) for routing in routers)
    joined = add_router(fleet.start("vm-new"), fleet.now)
    fleet.run(2)
    assert joined.is_leaving(TARGET.name, fleet.now)


def test_news_of_leaving_targets_ends_at_every_vm() -> None:
    # Guards against VMs that tell each other again what one has forgotten.
    fleet = virtual_fleet.Fleet(6)
    routers = [add_router(vm, fleet.now) for vm in fleet.vms.values()]
    fleet.run(3)
    routers[0].record_leaving(TARGET.name, fleet.now)
    fleet.run(router.LEAVING_DURATION_S - 1.0)
    routers += [add_router(fleet.start("vm-new"), fleet.now)]
    fleet.run(3)
    assert not any(routing.is_leaving(TARGET.name, fleet.now) for routing in routers)


def test_news_of_a_target_at_its_former_address_is_ignored() -> None:
    # Guards against taking a target that has moved for the one that left.
    fleet = virtual_fleet.Fleet(2)
    routers = [add_router(vm, fleet.now) for vm in fleet.vms.values()]
    until = fleet.now + router.LEAVING_DURATION_S
    news = peer_messages.TargetLeaving(SERVICE.name, TARGET.name, "10.0.0.1:1", until)
    assert fleet.vms["vm-1"].handle_message("vm-0", news, fleet.now) == []
    assert not routers[1].is_leaving(TARGET.name, fleet.now)


def test_news_of_a_leaving_target_is_decoded_as_sent() -> None:
    news = peer_messages.TargetLeaving("desk", "desk-1", "10.0.0.1:1", 1000.25)
    assert peer_messages.decode(peer_messages.encode(news)).ok == news
