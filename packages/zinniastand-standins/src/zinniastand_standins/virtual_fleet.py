"""Control planes of several VMs, joined by a network and a log made of lists.

Time is virtual and every message is delivered at once, or not at all where a link is
cut. It is for tests and for measuring what the decisions cost.
"""

from __future__ import annotations

import collections

from zinniastand_core import (
    bundles,
    chain,
    control,
    control_actions,
    membership,
    peer_messages,
    proposals,
    timeline,
)

from . import documents

KEYS = {"a": documents.make_key(1)}
TRUSTED = documents.make_operators(KEYS)
TICK_S = 0.5


class Fleet:
    """VMs that hear each other at once, save where a link is cut."""

    def __init__(self, count: int, retention: float = 1000.0) -> None:
        self.now = 1000.0
        self.retention = retention
        self.log: list[bytes] = []
        self.first_offset = 0
        self.cut_links: set[tuple[str, str]] = set()
        self.vms_without_log: set[str] = set()
        self.vms: dict[str, control.Control] = {}
        self.writer = chain.Chain(TRUSTED)
        self.bytes_sent: collections.Counter[str] = collections.Counter()
        for number in range(count):
            self._add(f"vm-{number}", 1)
        self._list_all()

    def start(self, vm: str, incarnation: int = 1) -> control.Control:
        """Start a VM that knows the names of all, as from the platform's list."""
        process = self._add(vm, incarnation)
        self._list_all()
        return process

    def _add(self, vm: str, incarnation: int) -> control.Control:
        place = f"dc-{sum(vm.encode()) % 3}"
        own = membership.Member(vm, place, "", incarnation)
        process = control.Control(own, TRUSTED, self.retention, timeline.Timeline(vm))
        self.vms[vm] = process
        return process

    def _list_all(self) -> None:
        listed = [other.members.own for other in self.vms.values()]
        for other in self.vms.values():
            other.members.take_list(listed, self.now)

    def introduce(self) -> None:
        """Let every VM know every other, without the news of a common start."""
        sightings = [vm.members.own_sighting for vm in self.vms.values()]
        for process in self.vms.values():
            for sighting in sightings:
                process.members.take_sighting(sighting, self.now)

    def publish(self, floor: int, by: str = "p") -> None:
        """Append a bundle with another floor."""
        record = self.make_record(floor, f"{by}{len(self.log)}")
        self.log.append(record)
        self.writer.apply(record)

    def make_record(self, floor: int, name: str) -> bytes:
        """Return the signed record of a bundle on the head."""
        document = documents.make_document(KEYS, floor=floor)
        new = bundles.parse_document(document).ok
        head = self.writer
        proposal = proposals.propose(name, head.version + 1, head.bundle, new)
        return chain.pack_proposal(proposals.sign(proposal, "a", KEYS["a"]))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for vm, process in list(self.vms.items()):
                self.read_log(vm, process)
                self.carry_out(vm, process.tick(self.now))
                snapshot = process.find_due_snapshot(self.now)
                if snapshot is not None and vm not in self.vms_without_log:
                    self.log.append(snapshot)

    def read_log(self, vm: str, process: control.Control) -> None:
        """Let a VM read what it lacks, if it reaches the log."""
        start = max(process.config.next_offset, self.first_offset)
        entries = self.log[start:]
        if vm not in self.vms_without_log and entries:
            actions = process.take_log_entries(start, entries, self.now)
            self.carry_out(vm, actions)

    def carry_out(self, vm: str, actions: list[control_actions.Action]) -> None:
        """Deliver messages, and what they cause, at once."""
        pending = collections.deque((vm, action) for action in actions)
        while pending:
            sender, action = pending.popleft()
            if not isinstance(action, control_actions.Tell):
                continue
            self.bytes_sent[sender] += len(peer_messages.encode(action.message))
            receiver = self.vms.get(action.vm)
            if receiver is None or (sender, action.vm) in self.cut_links:
                continue
            caused = receiver.take_message(sender, action.message, self.now)
            pending.extend((action.vm, item) for item in caused)

    def find_versions(self) -> set[int]:
        """Return the versions in force over all VMs."""
        return {process.config.chain.version for process in self.vms.values()}

    def count_alive(self, vm: str) -> int:
        """Return how many other VMs a VM holds for alive."""
        return len(self.vms[vm].members.list_alive())
