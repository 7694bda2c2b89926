"""The configuration stream as one VM has read it: bundles and ejections, in order."""

from __future__ import annotations

import collections.abc
import dataclasses

import expression

from . import chain, codec, ejections, services


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """What one record of the stream did."""

    ruling: chain.Ruling | None = None
    """The verdict on a bundle record."""

    decision: ejections.Decision | None = None
    """The verdict on an ejection record."""

    revoked: tuple[ejections.Ejection, ...] = ()
    """Ejections that a new bundle left no room for."""


class ConfigLog:
    """Bundles and ejections, decided in the order of the log.

    Parameters
    ----------
    trusted : services.Operators
        The operators whom the settings name.
    """

    def __init__(self, trusted: services.Operators) -> None:
        self.chain = chain.Chain(trusted)
        self.ejections = ejections.EjectionLedger()
        self._next_offset = 0
        self._head_offset: int | None = None

    @property
    def next_offset(self) -> int:
        """First offset not read yet."""
        return self._next_offset

    @property
    def head_offset(self) -> int | None:
        """Offset of the last record that carries the whole head, if any was read."""
        return self._head_offset

    def apply_entry(self, offset: int, data: bytes, now: float) -> ApplyResult:
        """Take in the entry at `offset`; one that was read before does nothing."""
        if offset < self._next_offset:
            return ApplyResult()
        self._next_offset = offset + 1
        match codec.decode(data):
            case expression.Result(tag="ok", ok=[ejections.EJECTION, body]):
                return self._apply_ejection(body)
            case expression.Result(tag="ok", ok=[chain.SNAPSHOT, _]):
                self._head_offset = offset
            case _:
                pass
        return self.apply_record(data, now)

    def apply_record(self, data: bytes, now: float) -> ApplyResult:
        """Take in a bundle record, from the log or from a peer."""
        ruling = self.chain.apply(data)
        revoked: list[ejections.Ejection] = []
        if ruling.verdict is chain.Verdict.ACCEPTED:
            revoked = self.ejections.revoke_for(self.chain.bundle)
        return ApplyResult(ruling=ruling, revoked=tuple(revoked))

    def apply_state(
        self,
        next_offset: int,
        snapshot: bytes,
        granted: collections.abc.Sequence[bytes],
        now: float,
    ) -> ApplyResult:
        """Take over the state of a peer that no longer keeps the entries before.

        The grants come along: a VM that lacked them would later grant ejections that
        the others refuse, and the fleet together could go below a floor.
        """
        ruling = self.chain.apply(snapshot)
        taken = (chain.Verdict.ACCEPTED, chain.Verdict.KNOWN)
        if ruling.verdict in taken and next_offset >= self._next_offset:
            self._next_offset = next_offset
            for data in granted:
                match codec.decode(data):
                    case expression.Result(tag="ok", ok=[ejections.EJECTION, body]):
                        self._apply_ejection(body)
                    case _:
                        pass
        return ApplyResult(ruling=ruling)

    def skip_to(self, offset: int) -> None:
        """Go on at `offset`, because the log no longer keeps what is before it."""
        self._next_offset = max(self._next_offset, offset)

    def _apply_ejection(self, body: object) -> ApplyResult:
        ejection = ejections.unpack(body)
        if ejection is None:
            reason = "malformed ejection"
            return ApplyResult(ruling=chain.Ruling(chain.Verdict.INVALID, "", reason))
        decision = self.ejections.apply(ejection, self.chain.bundle)
        return ApplyResult(decision=decision)
