"""State machine test of ejections on VMs that read the log at different speeds.

Tests `config_log.ConfigLog` with its ledger of ejections. Bundles (drains, changed
floors) and ejections race on one log; clocks differ by as much as is allowed; VMs lag,
start empty, or load a peer's state.
"""

from __future__ import annotations

import copy
import typing

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st
from cryptography.hazmat.primitives.asymmetric import ed25519

from zinniastand_core import (
    bundles,
    chain,
    config_log,
    ejections,
    proposals,
    services,
)
from zinniastand_standins import documents

VM_COUNT = 3
KEY = ed25519.Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
TRUSTED = documents.make_operators({"a": KEY})
CLOCK_SKEWS_S = (-ejections.MAX_CLOCK_ERROR_S / 2, 0.0, ejections.MAX_CLOCK_ERROR_S / 2)


class FloorMachine(hypothesis.stateful.RuleBasedStateMachine):
    """One service of five targets, and three VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.log: list[bytes] = []
        self.vms = [config_log.ConfigLog(TRUSTED) for _ in range(VM_COUNT)]
        self.writer = config_log.ConfigLog(TRUSTED)
        self.count = 0
        self.publish(documents.make_document({"a": KEY}, targets=5, floor=8))

    def publish(self, document: dict[str, typing.Any]) -> None:
        """Sign a bundle based on the head and append it, if its document is valid."""
        parsed = bundles.parse_document(document)
        if parsed.is_error():
            return
        self.count += 1
        head = self.writer.chain
        proposal = proposals.propose(
            f"p{self.count}", head.version + 1, head.bundle, parsed.ok
        )
        signed = proposals.sign(proposal, "a", KEY)
        self.append(chain.pack_proposal(signed))
        self.document = document

    def append(self, data: bytes) -> None:
        """Append to the log; the writer reads the entry at once."""
        self.log.append(data)
        self.writer.apply_entry(len(self.log) - 1, data, self.now)

    @hypothesis.stateful.rule(
        number=st.integers(0, 4),
        skew=st.sampled_from(CLOCK_SKEWS_S),
        lease=st.sampled_from([5.0, 5.0, 20.0]),
    )
    def eject(self, number: int, skew: float, lease: float) -> None:
        """Propose an ejection without knowledge of the others."""
        at = round(self.now + skew, 3)
        ejection = ejections.Ejection(
            "desk", f"t{number}", "vm", at, round(at + lease, 3), 9.0
        )
        self.append(ejections.pack(ejection))

    @hypothesis.stateful.rule(
        number=st.integers(0, 4), early=st.sampled_from([0.2, 0.6])
    )
    def eject_as_a_lease_ends(self, number: int, early: float) -> None:
        """Propose an ejection while clocks differ about the end of the latest one."""
        granted = self.writer.ejections.list_granted()
        if not granted:
            return
        self.now = max(self.now, granted[-1].deadline - early)
        at = round(self.now, 3)
        ejection = ejections.Ejection("desk", f"t{number}", "vm", at, at + 5, 9.0)
        self.append(ejections.pack(ejection))
        for config in self.vms:
            for offset in range(config.next_offset, len(self.log)):
                config.apply_entry(offset, self.log[offset], self.now)

    @hypothesis.stateful.rule(number=st.integers(0, 4), draining=st.booleans())
    def drain(self, number: int, draining: bool) -> None:
        """Let an operator drain a target, or return it to service."""
        document = copy.deepcopy(self.document)
        document["services"]["desk"]["targets"][number]["draining"] = draining
        self.publish(document)

    @hypothesis.stateful.rule(floor=st.integers(6, 9))
    def set_floor(self, floor: int) -> None:
        """Let an operator change the floor."""
        document = copy.deepcopy(self.document)
        document["services"]["desk"]["floor_slots"] = floor
        self.publish(document)

    @hypothesis.stateful.rule(vm=st.integers(0, VM_COUNT - 1), limit=st.integers(1, 6))
    def read(self, vm: int, limit: int) -> None:
        """Let a VM read up to `limit` entries."""
        config = self.vms[vm]
        start = config.next_offset
        for offset in range(start, min(len(self.log), start + limit)):
            config.apply_entry(offset, self.log[offset], self.now)

    @hypothesis.stateful.rule(
        vm=st.integers(0, VM_COUNT - 1), peer=st.integers(0, VM_COUNT - 1)
    )
    def start_from_peer_state(self, vm: int, peer: int) -> None:
        """Restart a VM empty and load a peer's state into it."""
        source = self.vms[peer]
        snapshot = source.chain.pack_snapshot()
        if vm == peer or snapshot is None:
            return
        granted = [ejections.pack(e) for e in source.ejections.list_granted()]
        restarted = config_log.ConfigLog(TRUSTED)
        restarted.apply_state(source.next_offset, snapshot, granted, self.now)
        self.vms[vm] = restarted

    @hypothesis.stateful.rule(step=st.sampled_from([0.5, 0.5, 4.0, 20.0]))
    def advance(self, step: float) -> None:
        """Advance the time by `step` seconds."""
        self.now += step

    @hypothesis.stateful.invariant()
    def every_view_keeps_the_floor(self) -> None:
        """On each VM the ejections leave at least the floor of its bundle."""
        for config in self.vms:
            service = find_service(config)
            if service is not None:
                ejected = config.ejections.list_ejected(service, self.now)
                assert count_slots(service, ejected) >= service.floor_slots

    @hypothesis.stateful.invariant()
    def all_views_together_keep_the_floor(self) -> None:
        """With a target lost once any VM ejects it, at least the floor is left.

        VMs are compared with those on the same version of the bundle.
        """
        by_version: dict[int, set[str]] = {}
        services_by_version: dict[int, services.Service] = {}
        for index, config in enumerate(self.vms):
            service = find_service(config)
            if service is None:
                continue
            clock = self.now + CLOCK_SKEWS_S[index % len(CLOCK_SKEWS_S)]
            version = config.chain.version
            services_by_version[version] = service
            ejected = config.ejections.list_ejected(service, clock)
            by_version.setdefault(version, set()).update(ejected)
        for version, ejected in by_version.items():
            service = services_by_version[version]
            assert count_slots(service, ejected) >= service.floor_slots


def find_service(config: config_log.ConfigLog) -> services.Service | None:
    """Return the service in the bundle of a VM, or None if it has none."""
    return config.chain.bundle.find_service("desk")


def count_slots(service: services.Service, ejected: set[str]) -> int:
    """Return the number of slots neither draining nor ejected."""
    return sum(
        target.slots
        for target in service.targets
        if not target.draining and target.name not in ejected
    )
