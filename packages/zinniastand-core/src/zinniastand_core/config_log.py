"""The configuration stream as read by one VM: bundles and ejections in log order."""

from __future__ import annotations

import collections.abc
import dataclasses

import expression

from . import chain, codec, ejections, services


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """The effect of one record of the stream."""

    ruling: chain.Ruling | None = None
    """The verdict on a bundle record."""

    decision: ejections.Decision | None = None
    """The verdict on an ejection record."""

    revoked: tuple[ejections.Ejection, ...] = ()
    """Ejections revoked because a new bundle leaves no room for them."""


class ConfigLog:
    """Applies bundles and ejections in the order of the log.

    Parameters
    ----------
    trusted : services.Operators
        The operators named in the settings.
    """

    def __init__(self, trusted: services.Operators) -> None:
        self.chain = chain.Chain(trusted)
        self.ejections = ejections.EjectionLedger()
        self._next_offset = 0
        self._head_offset: int | None = None

    @property
    def next_offset(self) -> int:
        """First offset that has not been read yet."""
        return self._next_offset

    @property
    def head_offset(self) -> int | None:
        """Offset of the last snapshot record that was read, or None."""
        return self._head_offset

    def apply_entry(self, offset: int, data: bytes, now: float) -> ApplyResult:
        """Apply the entry at `offset`; entries that were read before are ignored."""
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
        """Apply a bundle record from the log or from a peer."""
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
        """Adopt the state of a peer that has dropped the earlier entries.

        The granted ejections are adopted too. A VM without them would later grant
        ejections that the other VMs refuse, and the fleet as a whole could eject more
        slots than the floor of a service allows.

        Parameters
        ----------
        next_offset : int
            First offset that the peer has not read.
        snapshot : bytes
            The peer's bundle, as a snapshot record.
        granted : Sequence of bytes
            The peer's granted ejections as records, oldest first.
        now : float
            Current time, in seconds.

        Returns
        -------
        ApplyResult
            The verdict on the snapshot; the offset and the ejections are adopted only
            if the snapshot is accepted or known already, and the peer is not behind.
        """
        ruling = self.chain.apply(snapshot)
        valid_verdicts = (chain.Verdict.ACCEPTED, chain.Verdict.KNOWN)
        if ruling.verdict in valid_verdicts and next_offset >= self._next_offset:
            self._next_offset = next_offset
            for data in granted:
                match codec.decode(data):
                    case expression.Result(tag="ok", ok=[ejections.EJECTION, body]):
                        self._apply_ejection(body)
                    case _:
                        pass
        return ApplyResult(ruling=ruling)

    def skip_to(self, offset: int) -> None:
        """Continue at `offset`, because the log has dropped the entries before it."""
        self._next_offset = max(self._next_offset, offset)

    def _apply_ejection(self, body: object) -> ApplyResult:
        ejection = ejections.unpack(body)
        if ejection is None:
            reason = "malformed ejection"
            return ApplyResult(ruling=chain.Ruling(chain.Verdict.INVALID, "", reason))
        decision = self.ejections.apply(ejection, self.chain.bundle)
        return ApplyResult(decision=decision)
