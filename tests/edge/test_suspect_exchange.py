"""All VMs learn within a time limit which requests crash their targets."""

from __future__ import annotations

import collections.abc
import dataclasses
import os
import random
import typing

import anyio
import anyio.abc
import pytest
import scripted_run

from zinniastand_core.deployment import targets
from zinniastand_core.quarantine import quarantine
from zinniastand_proxy.edge import (
    datagrams,
    log_lines,
    members,
    peer_link,
    ports,
    suspect_exchange,
)

FINGERPRINT = "00112233aabbccdd"
FLEET_SIZE = 36
SPREAD_LIMIT_S = 3.0
"""Seconds within which all VMs must quarantine a request that crashes its targets."""


class Network:
    """Delivers datagrams between the VMs of a test, with random delay and loss."""

    def __init__(self, loss: float, group: anyio.abc.TaskGroup) -> None:
        self.group = group
        self.vms: dict[str, suspect_exchange.SuspectExchange] = {}
        self.cut: set[str] = set()
        self.sent = 0
        self._loss = loss
        self._rng = random.Random(3)

    def send_many(
        self,
        sender: str,
        message: datagrams.SuspectRequests,
        receivers: collections.abc.Sequence[ports.Member],
    ) -> None:
        data = datagrams.encode(message, anyio.current_time())
        for receiver in receivers:
            self.sent += 1
            is_cut = bool({sender, receiver.vm} & self.cut)
            if not is_cut and self._rng.random() >= self._loss:
                self.group.start_soon(self._deliver, data, receiver.vm)

    async def _deliver(self, data: bytes, vm: str) -> None:
        await anyio.sleep(self._rng.uniform(0.001, 0.02))
        message = datagrams.decode(data, anyio.current_time())
        assert isinstance(message, datagrams.SuspectRequests)
        self.vms[vm].apply(message)


@dataclasses.dataclass(frozen=True)
class Link:
    """One VM's side of the network."""

    vm: str
    network: Network

    def send_many(
        self,
        message: datagrams.SuspectRequests,
        receivers: collections.abc.Sequence[ports.Member],
    ) -> None:
        self.network.send_many(self.vm, message, receivers)


def build(loss: float, group: anyio.abc.TaskGroup) -> Network:
    network = Network(loss, group)
    log = log_lines.LogLines("vm", os.open(os.devnull, os.O_WRONLY))
    everybody = [ports.Member(f"vm-{n}", "a", "h", n, 1) for n in range(FLEET_SIZE)]
    for member in everybody:
        fleet = members.Members(member, 0.0)
        for other in everybody:
            fleet.add(other)
            fleet.record_contact(other.vm, 0.0)
        link = typing.cast(peer_link.PeerLink, Link(member.vm, network))
        network.vms[member.vm] = suspect_exchange.SuspectExchange(
            quarantine.Quarantine(), fleet, link, log, random.Random(member.vm)
        )
    return network


def crash(network: Network, vm: str, number: int) -> None:
    phase = targets.Phase.READY
    target = targets.Entry(f"t{number}", "s", "h", 1, "a", 1, phase, 1, 0.0, 1)
    now = anyio.current_time()
    network.vms[vm].record_crash(FINGERPRINT, target, now - 0.1)


def count_quarantining(network: Network) -> int:
    now = anyio.current_time()
    return sum(
        exchange.find_hold_end(FINGERPRINT, now) is not None
        for exchange in network.vms.values()
    )


def play(
    network_loss: float,
    steps: collections.abc.Callable[[Network], collections.abc.Awaitable[None]],
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            network = build(network_loss, group)
            for exchange in network.vms.values():
                group.start_soon(exchange.run)
            await steps(network)
            group.cancel_scope.cancel()

    scripted_run.run_in_virtual_time(main)


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_crashes_at_three_vms_quarantine_the_request_at_all_vms(loss: float) -> None:
    async def steps(network: Network) -> None:
        for number in range(3):
            crash(network, f"vm-{number * 7}", number)
            await anyio.sleep(0.2)
        await anyio.sleep(SPREAD_LIMIT_S)
        assert count_quarantining(network) == FLEET_SIZE

    play(loss, steps)


def test_crashes_are_counted_while_counting_vms_fail() -> None:
    async def steps(network: Network) -> None:
        crash(network, "vm-1", 1)
        network.cut = {f"vm-{n}" for n in range(FLEET_SIZE) if n % 3 == 0}
        await anyio.sleep(0.5)
        for number in (2, 3):
            crash(network, f"vm-{number * 8 - 5}", number)
            await anyio.sleep(0.5)
        await anyio.sleep(SPREAD_LIMIT_S)
        assert count_quarantining(network) >= FLEET_SIZE - len(network.cut)

    play(0.1, steps)


def test_vm_that_was_cut_off_learns_within_the_limit() -> None:
    async def steps(network: Network) -> None:
        network.cut = {"vm-5"}
        for number in range(3):
            crash(network, f"vm-{number}", number)
            await anyio.sleep(0.2)
        await anyio.sleep(10.0)
        assert count_quarantining(network) == FLEET_SIZE - 1
        network.cut = set()
        await anyio.sleep(SPREAD_LIMIT_S)
        assert count_quarantining(network) == FLEET_SIZE

    play(0.1, steps)


def test_vm_that_is_cut_off_counts_the_crashes_that_it_sees() -> None:
    async def steps(network: Network) -> None:
        network.cut = {"vm-5"}
        for number in range(3):
            crash(network, "vm-5", number)
            await anyio.sleep(0.2)
        assert count_quarantining(network) == 1

    play(0.0, steps)


def test_answer_at_one_vm_clears_the_request_at_all_vms() -> None:
    async def steps(network: Network) -> None:
        for number in range(3):
            crash(network, f"vm-{number}", number)
            await anyio.sleep(0.2)
        await anyio.sleep(SPREAD_LIMIT_S)
        network.vms["vm-9"].record_answer(FINGERPRINT)
        await anyio.sleep(SPREAD_LIMIT_S)
        assert count_quarantining(network) == 0

    play(0.1, steps)


def test_forwarding_ends_and_leaves_regular_announcements() -> None:
    # Guards against records that VMs forward to each other without end.
    async def steps(network: Network) -> None:
        for number in range(4):
            crash(network, f"vm-{number}", number)
            await anyio.sleep(0.2)
        await anyio.sleep(SPREAD_LIMIT_S)
        before = network.sent
        await anyio.sleep(6.0)
        regular = (
            FLEET_SIZE
            * suspect_exchange.FANOUT
            * 6.0
            / suspect_exchange.ANNOUNCE_INTERVAL_S
        )
        assert network.sent - before <= 1.1 * regular

    play(0.0, steps)
