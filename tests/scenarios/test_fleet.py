"""Steps of fleet.feature, run on control planes in virtual time."""

from __future__ import annotations

import pytest
import pytest_bdd
from pytest_bdd import parsers

from zinniastand_core import timeline
from zinniastand_standins import virtual_fleet

pytest_bdd.scenarios("fleet.feature")


@pytest_bdd.given(
    parsers.parse("a fleet of {count:d} VMs with a bundle in force"),
    target_fixture="fleet",
)
def _fleet(count: int) -> virtual_fleet.Fleet:
    fleet = virtual_fleet.Fleet(count)
    fleet.publish(floor=1)
    fleet.run(4)
    assert fleet.find_versions() == {1}
    return fleet


@pytest.fixture
def loser() -> list[str]:
    """Return a list to collect the ids of the proposals that must be refused."""
    return []


@pytest_bdd.when("every second VM loses the log")
def _lose_half(fleet: virtual_fleet.Fleet) -> None:
    fleet.vms_without_log = set(list(fleet.vms)[::2])


@pytest_bdd.when("every VM loses the log")
def _lose_all(fleet: virtual_fleet.Fleet) -> None:
    fleet.vms_without_log = {*fleet.vms, "vm-new"}


@pytest_bdd.when("a VM starts with nothing")
def _start(fleet: virtual_fleet.Fleet) -> None:
    fleet.start("vm-new")


@pytest_bdd.when("an operator publishes a bundle")
def _publish(fleet: virtual_fleet.Fleet) -> None:
    fleet.publish(floor=2)


@pytest_bdd.when("two operators publish different bundles on the same base")
def _publish_two(fleet: virtual_fleet.Fleet, loser: list[str]) -> None:
    late = fleet.make_record(floor=3, name="late")
    fleet.publish(floor=2)
    fleet.log.append(late)
    loser.append("late")


@pytest_bdd.when(parsers.parse("VM {vm:d} is cut off from everything"))
def _cut(fleet: virtual_fleet.Fleet, vm: int) -> None:
    name = f"vm-{vm}"
    others = [other for other in fleet.vms if other != name]
    fleet.cut_links = {(o, name) for o in others} | {(name, o) for o in others}
    fleet.vms_without_log = {name}


@pytest_bdd.when(parsers.parse("VM {vm:d} no longer hears the first VM that it calls"))
def _cut_one_direction(fleet: virtual_fleet.Fleet, vm: int) -> None:
    name = f"vm-{vm}"
    callee = fleet.vms[name].list_neighbours(fleet.now)[0]
    fleet.cut_links = {(callee, name)}


@pytest_bdd.when("the fleet is split in two")
def _split(fleet: virtual_fleet.Fleet) -> None:
    half = set(list(fleet.vms)[: len(fleet.vms) // 2])
    pairs = [(a, b) for a in fleet.vms for b in fleet.vms]
    fleet.cut_links = {(a, b) for a, b in pairs if (a in half) != (b in half)}


@pytest_bdd.when("all links work again")
def _heal(fleet: virtual_fleet.Fleet) -> None:
    fleet.cut_links.clear()
    fleet.vms_without_log.clear()


@pytest_bdd.when(parsers.re(r"(?P<seconds>\d+) seconds? pass(es)?"))
def _pass(fleet: virtual_fleet.Fleet, seconds: str) -> None:
    fleet.run(int(seconds))


@pytest_bdd.then("the new bundle is in force on every VM")
@pytest_bdd.then("the first of them is in force on every VM")
def _in_force(fleet: virtual_fleet.Fleet) -> None:
    assert fleet.find_versions() == {fleet.writer.version}
    digests = {vm.config.chain.bundle.digest for vm in fleet.vms.values()}
    assert digests == {fleet.writer.bundle.digest}


@pytest_bdd.then(parsers.parse("VM {vm:d} still has the old bundle"))
def _old_bundle_in_force(fleet: virtual_fleet.Fleet, vm: int) -> None:
    assert fleet.vms[f"vm-{vm}"].config.chain.version == fleet.writer.version - 1


@pytest_bdd.then("the loser is told which bundle won")
def _refusal_names_winner(fleet: virtual_fleet.Fleet, loser: list[str]) -> None:
    winner = fleet.writer.head
    assert winner is not None
    for process in fleet.vms.values():
        details = [
            event.detail
            for event in process.events.list_events()
            if event.kind is timeline.EventKind.BUNDLE_REFUSED
            and event.subject == loser[0]
        ]
        assert any(winner.proposal_id in detail for detail in details)


@pytest_bdd.then(parsers.parse("no VM but VM {vm:d} holds another for lost"))
def _others_alive(fleet: virtual_fleet.Fleet, vm: int) -> None:
    for name in fleet.vms:
        if name != f"vm-{vm}":
            assert fleet.count_alive(name) == len(fleet.vms) - 1


@pytest_bdd.then("every VM holds every other for alive")
def _all_alive(fleet: virtual_fleet.Fleet) -> None:
    assert {fleet.count_alive(vm) for vm in fleet.vms} == {len(fleet.vms) - 1}
