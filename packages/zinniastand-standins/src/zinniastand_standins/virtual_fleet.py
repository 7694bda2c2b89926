"""Control planes of several VMs in virtual time, with a simulated network and log.

Every message is delivered at once, or dropped if its link is cut. Tests use the fleet,
and so do measurements of the cost of decisions.
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
    """VMs in virtual time whose messages arrive at once, except over cut links.

    Parameters
    ----------
    count : int
        Number of VMs.
    retention : float
        Seconds for which the log keeps its entries.
    """

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
        """Start a VM and give all VMs the new list of VMs."""
        process = self._add(vm, incarnation)
        self._list_all()
        return process

    def _add(self, vm: str, incarnation: int) -> control.Control:
        data_centre = f"dc-{sum(vm.encode()) % 3}"
        own = membership.Member(vm, data_centre, "", incarnation)
        process = control.Control(own, TRUSTED, self.retention, timeline.Timeline(vm))
        self.vms[vm] = process
        return process

    def _list_all(self) -> None:
        listed = [other.members.own for other in self.vms.values()]
        for other in self.vms.values():
            other.members.merge_list(listed, self.now)

    def introduce(self) -> None:
        """Make every VM know the start of every other, without sending messages."""
        sightings = [vm.members.own_sighting for vm in self.vms.values()]
        for process in self.vms.values():
            for sighting in sightings:
                process.members.apply_sighting(sighting, self.now)

    def publish(self, floor: int, by: str = "p") -> None:
        """Append a bundle with this floor to the log."""
        record = self.make_record(floor, f"{by}{len(self.log)}")
        self.log.append(record)
        self.writer.apply(record)

    def make_record(self, floor: int, name: str) -> bytes:
        """Return a signed proposal, as a log record, that follows the newest bundle."""
        document = documents.make_document(KEYS, floor=floor)
        new = bundles.parse_document(document).ok
        head = self.writer
        proposal = proposals.propose(name, head.version + 1, head.bundle, new)
        return chain.pack_proposal(proposals.sign(proposal, "a", KEYS["a"]))

    def run(self, seconds: float) -> None:
        """Advance virtual time by some seconds, in steps of `TICK_S`."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for vm, process in list(self.vms.items()):
                self.read_log(vm, process)
                self.carry_out(vm, process.tick(self.now))
                snapshot = process.find_due_snapshot(self.now)
                if snapshot is not None and vm not in self.vms_without_log:
                    self.log.append(snapshot)

    def read_log(self, vm: str, process: control.Control) -> None:
        """Let a VM read the entries that it lacks, unless it can't reach the log."""
        start = max(process.config.next_offset, self.first_offset)
        entries = self.log[start:]
        if vm not in self.vms_without_log and entries:
            actions = process.apply_log_entries(start, entries, self.now)
            self.carry_out(vm, actions)

    def carry_out(self, vm: str, actions: list[control_actions.Action]) -> None:
        """Deliver the messages of a VM, and all that follow from them, at once."""
        pending = collections.deque((vm, action) for action in actions)
        while pending:
            sender, action = pending.popleft()
            if not isinstance(action, control_actions.SendMessage):
                continue
            self.bytes_sent[sender] += len(peer_messages.encode(action.message))
            receiver = self.vms.get(action.vm)
            if receiver is None or (sender, action.vm) in self.cut_links:
                continue
            caused = receiver.handle_message(sender, action.message, self.now)
            pending.extend((action.vm, item) for item in caused)

    def find_versions(self) -> set[int]:
        """Return the versions of the bundles in force on the VMs."""
        return {process.config.chain.version for process in self.vms.values()}

    def count_alive(self, vm: str) -> int:
        """Return how many other VMs a VM considers alive."""
        return len(self.vms[vm].members.list_alive())
