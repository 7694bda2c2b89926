"""The chain of accepted bundles, computed by each VM from records in log order.

The head is the last accepted proposal. The first valid proposal based on the head
becomes the next head. The version only increases, so neither a lagging replica of the
log nor a peer with an old head can restore an older bundle.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

import expression

from . import bundles, codec, proposals, services

SNAPSHOT = "snapshot"
"""Type of the record of a snapshot: the first field of its encoding."""

PROPOSAL = "proposal"
"""Type of the record of a proposal: the first field of its encoding."""

MAX_REMEMBERED_PROPOSALS = 256
"""Number of accepted proposals kept for VMs that lag and to recognize copies."""


class Verdict(enum.StrEnum):
    """Result of applying a record."""

    ACCEPTED = "accepted"
    """The record is the new head."""

    KNOWN = "known"
    """The same proposal was accepted before; its record arrived by another path."""

    STALE = "stale"
    """Another proposal was accepted on its base, or it is older than the head."""

    AHEAD = "ahead"
    """It may be valid, but this VM lacks the records before it."""

    INVALID = "invalid"
    """Malformed, without enough valid signatures, or with findings."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ruling:
    """The verdict on one record and the reason for it."""

    verdict: Verdict
    """Result of applying the record."""

    proposal_id: str
    """Identifier of the proposal, or empty if the record could not be read."""

    reason: str
    """For operators: which head superseded it, or what is wrong with it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A head that can be verified without the records before it.

    The verifying VM needs to trust only the operators named in its settings.
    """

    key_changes: tuple[proposals.Proposal, ...]
    """The accepted proposals that changed the operators, oldest first."""

    head: proposals.Proposal
    """The last accepted proposal; its signatures cover the digest of `sections`."""

    values: dict[str, bundles.SectionValue]
    """Source of each section of the head, by key."""


class Chain:
    """The accepted bundles known to one VM.

    Parameters
    ----------
    trusted : services.Operators
        The operators named in the settings; they sign the first bundle.
    """

    def __init__(self, trusted: services.Operators) -> None:
        self._bundle = bundles.build(
            {bundles.OPERATORS_SECTION: _make_operators_section(trusted)}
        )
        self._genesis = self._bundle
        self._version = 0
        self._head: proposals.Proposal | None = None
        self._key_changes: list[proposals.Proposal] = []
        self._accepted: dict[str, int] = {}
        self._recent: list[proposals.Proposal] = []

    @property
    def bundle(self) -> bundles.Bundle:
        """The bundle in force."""
        return self._bundle

    @property
    def version(self) -> int:
        """Version of the bundle in force; 0 before any bundle."""
        return self._version

    @property
    def head(self) -> proposals.Proposal | None:
        """The last accepted proposal, or None before any bundle."""
        return self._head

    def apply(self, data: bytes) -> Ruling:
        """Apply one record from the log or from a peer."""
        if len(data) > proposals.MAX_RECORD_BYTES:
            return Ruling(Verdict.INVALID, "", "record too large")
        match codec.decode(data):
            case expression.Result(tag="ok", ok=[str(kind), body]):
                pass
            case _:
                return Ruling(Verdict.INVALID, "", "not a record")
        if kind == PROPOSAL:
            return self._apply_packed_proposal(body)
        if kind == SNAPSHOT:
            return self._apply_packed_snapshot(body)
        return Ruling(Verdict.INVALID, "", f"unknown record {kind!r:.20}")

    def apply_proposal(self, proposal: proposals.Proposal) -> Ruling:
        """Apply one proposal; it is accepted if it is valid and based on the head."""
        if self._accepted.get(proposal.proposal_id) == proposal.version:
            return Ruling(Verdict.KNOWN, proposal.proposal_id, "accepted before")
        if proposal.version <= self._version:
            return Ruling(
                Verdict.STALE,
                proposal.proposal_id,
                f"version {proposal.version} was taken; the head is "
                f"{self._describe_head()}",
            )
        if proposal.version > self._version + 1:
            return Ruling(
                Verdict.AHEAD, proposal.proposal_id, f"head is {self._version}"
            )
        if proposal.base != self._bundle.digest:
            return Ruling(
                Verdict.STALE,
                proposal.proposal_id,
                f"its base is not the head, which is {self._describe_head()}",
            )
        return self._rule_on_next(proposal)

    def pack_snapshot(self) -> bytes | None:
        """Return a snapshot record of the head, or None before any bundle."""
        if self._head is None:
            return None
        values = {key: part.value for key, part in self._bundle.sections.items()}
        changes = [proposals.pack(change) for change in self._key_changes]
        return codec.encode([SNAPSHOT, [changes, proposals.pack(self._head), values]])

    def list_since(self, version: int) -> list[bytes] | None:
        """Return the records that lead from `version` to the head.

        Returns
        -------
        list of bytes or None
            The records, oldest first, or None if some of them are no longer kept and
            a snapshot is needed instead.
        """
        newer = [p for p in self._recent if p.version > version]
        if len(newer) != self._version - version:
            return None
        return [pack_proposal(proposal) for proposal in newer]

    def _apply_packed_proposal(self, body: typing.Any) -> Ruling:
        match proposals.unpack(body):
            case expression.Result(tag="ok", ok=proposal):
                return self.apply_proposal(proposal)
            case expression.Result(error=reason):
                return Ruling(Verdict.INVALID, "", str(reason))

    def _rule_on_next(self, proposal: proposals.Proposal) -> Ruling:
        operators = self._bundle.operators
        signed = proposals.count_sign_offs(proposal, operators)
        if signed < operators.sign_offs_needed:
            return Ruling(
                Verdict.INVALID,
                proposal.proposal_id,
                f"{signed} of {operators.sign_offs_needed} sign-offs hold",
            )
        match bundles.change(self._bundle, proposal.changes):
            case expression.Result(tag="ok", ok=bundle):
                pass
            case expression.Result(error=errors):
                return Ruling(Verdict.INVALID, proposal.proposal_id, str(errors))
        if bundle.digest != proposal.result:
            return Ruling(
                Verdict.INVALID, proposal.proposal_id, "digest of the result differs"
            )
        self._accept(proposal, bundle)
        return Ruling(Verdict.ACCEPTED, proposal.proposal_id, "")

    def _accept(self, proposal: proposals.Proposal, bundle: bundles.Bundle) -> None:
        self._bundle = bundle
        self._version = proposal.version
        self._head = proposal
        self._accepted[proposal.proposal_id] = proposal.version
        self._recent.append(proposal)
        if bundles.OPERATORS_SECTION in proposal.changes:
            self._key_changes.append(proposal)
        if len(self._recent) > MAX_REMEMBERED_PROPOSALS:
            oldest = self._recent.pop(0)
            self._accepted.pop(oldest.proposal_id, None)

    def _describe_head(self) -> str:
        if self._head is None:
            return "empty"
        return f"version {self._version} ({self._head.proposal_id})"

    def _apply_packed_snapshot(self, body: typing.Any) -> Ruling:
        match _unpack_snapshot(body):
            case expression.Result(tag="ok", ok=snapshot):
                return self._apply_snapshot(snapshot)
            case expression.Result(error=reason):
                return Ruling(Verdict.INVALID, "", str(reason))

    def _apply_snapshot(self, snapshot: Snapshot) -> Ruling:
        head = snapshot.head
        if head.version <= self._version:
            is_known = self._accepted.get(head.proposal_id) == head.version
            verdict = Verdict.KNOWN if is_known else Verdict.STALE
            return Ruling(verdict, head.proposal_id, f"head is {self._version}")
        operators = self._trace_operators(snapshot)
        if operators is None:
            return Ruling(Verdict.INVALID, head.proposal_id, "broken chain of keys")
        if proposals.count_sign_offs(head, operators) < operators.sign_offs_needed:
            return Ruling(Verdict.INVALID, head.proposal_id, "head not signed off")
        match bundles.parse_sections(snapshot.values):
            case expression.Result(tag="ok", ok=bundle):
                pass
            case expression.Result(error=errors):
                return Ruling(Verdict.INVALID, head.proposal_id, str(errors))
        if bundle.digest != head.result:
            return Ruling(Verdict.INVALID, head.proposal_id, "sections do not match")
        self._recent.clear()
        self._accepted.clear()
        self._accept(head, bundle)
        self._key_changes = list(snapshot.key_changes)
        return Ruling(Verdict.ACCEPTED, head.proposal_id, "from a snapshot")

    def _trace_operators(self, snapshot: Snapshot) -> services.Operators | None:
        """Return the operators who may sign the head, after every change of keys.

        Each change must be signed off by the operators before it, starting with those
        named in the settings. So the VM that serves the snapshot cannot add a key.

        Returns
        -------
        services.Operators or None
            The operators, or None if a change is out of order, lacks signatures,
            cannot be applied or does not match the head.
        """
        operators = self._genesis.operators
        version = 0
        for change in snapshot.key_changes:
            if change.version <= version or change.version > snapshot.head.version:
                return None
            signed = proposals.count_sign_offs(change, operators)
            if signed < operators.sign_offs_needed:
                return None
            if change.version == snapshot.head.version:
                return operators if change.result == snapshot.head.result else None
            match bundles.change(
                self._genesis,
                {
                    bundles.OPERATORS_SECTION: change.changes.get(
                        bundles.OPERATORS_SECTION
                    )
                },
            ):
                case expression.Result(tag="ok", ok=bundle):
                    operators = bundle.operators
                case _:
                    return None
            version = change.version
        return operators


def pack_proposal(proposal: proposals.Proposal) -> bytes:
    """Return the proposal as a log record."""
    return codec.encode([PROPOSAL, proposals.pack(proposal)])


def _make_operators_section(trusted: services.Operators) -> bundles.Section:
    members = [[m.name, m.public_key] for m in trusted.members]
    value: bundles.SectionValue = {
        "trusted": members,
        "sign_offs_needed": trusted.sign_offs_needed,
    }
    return bundles.Section(value, codec.digest(value), trusted)


def _unpack_snapshot(body: typing.Any) -> expression.Result[Snapshot, str]:
    if not isinstance(body, list) or len(body) != 3:
        return expression.Error("not a snapshot")
    changes, packed_head, values = body
    if not isinstance(changes, list) or not isinstance(values, dict):
        return expression.Error("a field of the snapshot has the wrong type")
    if not all(isinstance(key, str) for key in values):
        return expression.Error("a section key is not a string")
    unpacked = [proposals.unpack(change) for change in changes]
    head = proposals.unpack(packed_head)
    if head.is_error() or any(item.is_error() for item in unpacked):
        return expression.Error("a proposal in the snapshot is malformed")
    snapshot = Snapshot(tuple(item.ok for item in unpacked), head.ok, values)
    return expression.Ok(snapshot)
