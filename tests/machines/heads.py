"""A state machine of racing operators and VMs that receive bundles in every way.

The code under test is `chain.Chain`. Records come from the log in order, from lagging
replicas and from peers; some are repeated, forged or truncated. The oracle is a list
with the digest of the first valid proposal on each head.
"""

from __future__ import annotations

import dataclasses

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from zinniastand_core import bundles, chain, proposals
from zinniastand_standins import documents

VM_COUNT = 3
KEYS = {name: documents.make_key(number) for number, name in enumerate("abc", 1)}
UNTRUSTED_KEY = documents.make_key(99)
TRUSTED = documents.make_operators(KEYS, needed=2)


class ChainMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Three VMs and three operators, two of whom must sign off each proposal."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[bytes] = []
        self.chains = [chain.Chain(TRUSTED) for _ in range(VM_COUNT)]
        self.next_offsets = [0] * VM_COUNT
        self.highest_versions = [0] * VM_COUNT
        self.expected_digests = [chain.Chain(TRUSTED).bundle.digest]
        self.expected_operators = set(KEYS)
        self.operators_by_digest: dict[bytes, set[str]] = {}
        self.drafts: list[proposals.Proposal] = []
        self.draft_count = 0

    @hypothesis.stateful.rule(
        vm=st.integers(0, VM_COUNT - 1), floor=st.integers(0, 5), rotate=st.booleans()
    )
    def draft(self, vm: int, floor: int, rotate: bool) -> None:
        """An operator drafts a bundle on the head of some VM."""
        self.draft_on(vm, floor, {"a": KEYS["a"], "b": KEYS["b"]} if rotate else KEYS)

    def draft_on(self, vm: int, floor: int, keys: documents.Keys) -> None:
        """Draft a bundle on the head of a VM, unless it would not change anything."""
        head = self.chains[vm]
        document = documents.make_document(keys, floor=floor, needed=2)
        new = bundles.parse_document(document).ok
        if new.digest == head.bundle.digest:
            return
        self.draft_count += 1
        self.operators_by_digest[new.digest] = set(keys)
        name = f"p{self.draft_count}"
        self.drafts.append(proposals.propose(name, head.version + 1, head.bundle, new))

    @hypothesis.stateful.rule(
        data=st.data(),
        signers=st.sampled_from(["ab", "ab", "abc", "ac", "bc", "a", "aa", "x", "ax"]),
    )
    def publish(self, data: st.DataObject, signers: str) -> None:
        """A draft is signed and appended; several drafts may race on one base."""
        if not self.drafts:
            return
        proposal = data.draw(st.sampled_from(self.drafts))
        for name in signers:
            key = KEYS.get(name, UNTRUSTED_KEY)
            proposal = proposals.sign(proposal, name if name in KEYS else "c", key)
        self.log.append(chain.pack_proposal(proposal))
        self.record_expected(proposal, signers)

    @hypothesis.stateful.rule(vm=st.integers(0, VM_COUNT - 1), floor=st.integers(0, 5))
    def publish_at_once(self, vm: int, floor: int) -> None:
        """A draft on a VM's head is signed by two operators and appended."""
        self.draft_on(vm, floor, KEYS)
        if self.drafts:
            proposal = proposals.sign(self.drafts[-1], "a", KEYS["a"])
            proposal = proposals.sign(proposal, "b", KEYS["b"])
            self.log.append(chain.pack_proposal(proposal))
            self.record_expected(proposal, "ab")

    def record_expected(self, proposal: proposals.Proposal, signers: str) -> None:
        """Record the proposal in the oracle if it is the first valid one on the head.

        The signer "x" holds an untrusted key and signs as "c", which replaces a valid
        signature of "c".
        """
        valid = set(signers) - {"x"}
        if "x" in signers:
            valid.discard("c")
        on_head = proposal.base == self.expected_digests[-1]
        in_turn = proposal.version == len(self.expected_digests)
        if on_head and in_turn and len(valid & self.expected_operators) >= 2:
            self.expected_digests.append(proposal.result)
            self.expected_operators = self.operators_by_digest[proposal.result]

    @hypothesis.stateful.rule(data=st.data(), kind=st.integers(0, 3))
    def publish_damaged(self, data: st.DataObject, kind: int) -> None:
        """A record is truncated, malformed, changed after signing, or repeated."""
        if not self.log:
            return
        record = data.draw(st.sampled_from(self.log))
        if kind == 0:
            record = record[: len(record) // 2]
        elif kind == 1:
            record = b"\xff" + record
        elif kind == 2 and self.drafts:
            draft = proposals.sign(self.drafts[-1], "a", KEYS["a"])
            draft = proposals.sign(draft, "b", KEYS["b"])
            forged = dataclasses.replace(draft, changes={"operators": None})
            record = chain.pack_proposal(forged)
        self.log.append(record)

    @hypothesis.stateful.rule(vm=st.integers(0, VM_COUNT - 1))
    def append_snapshot(self, vm: int) -> None:
        """A VM appends its head again, even if the head is outdated."""
        record = self.chains[vm].pack_snapshot()
        if record is not None:
            self.log.append(record)

    @hypothesis.stateful.rule(
        vm=st.integers(0, VM_COUNT - 1), max_records=st.integers(1, 5)
    )
    def read(self, vm: int, max_records: int) -> None:
        """A VM reads the next records of the log."""
        for _ in range(max_records):
            if self.next_offsets[vm] < len(self.log):
                self.chains[vm].apply(self.log[self.next_offsets[vm]])
                self.next_offsets[vm] += 1

    @hypothesis.stateful.rule(vm=st.integers(0, VM_COUNT - 1), count=st.integers(1, 8))
    def read_again(self, vm: int, count: int) -> None:
        """A VM reads old records again, from a lagging replica."""
        start = max(0, self.next_offsets[vm] - count)
        for record in self.log[start : self.next_offsets[vm]]:
            self.chains[vm].apply(record)

    @hypothesis.stateful.rule(
        vm=st.integers(0, VM_COUNT - 1), peer=st.integers(0, VM_COUNT - 1)
    )
    def fetch_from_peer(self, vm: int, peer: int) -> None:
        """A VM fetches the missing records, or a snapshot, from another VM."""
        records = self.chains[peer].list_since(self.chains[vm].version)
        snapshot = self.chains[peer].pack_snapshot()
        if records is None and snapshot is not None:
            records = [snapshot]
        for record in records or []:
            self.chains[vm].apply(record)

    @hypothesis.stateful.rule(vm=st.integers(0, VM_COUNT - 1))
    def replace_vm(self, vm: int) -> None:
        """A VM is lost and replaced by an empty one."""
        self.chains[vm] = chain.Chain(TRUSTED)
        self.next_offsets[vm] = 0
        self.highest_versions[vm] = 0

    @hypothesis.stateful.invariant()
    def never_goes_back(self) -> None:
        """The version of a VM never decreases."""
        for number, vm in enumerate(self.chains):
            assert vm.version >= self.highest_versions[number]
            self.highest_versions[number] = vm.version

    @hypothesis.stateful.invariant()
    def agrees_with_the_log(self) -> None:
        """Each version is the same bundle on all VMs: the first valid on its base."""
        for vm in self.chains:
            assert vm.version < len(self.expected_digests)
            assert self.expected_digests[vm.version] == vm.bundle.digest
