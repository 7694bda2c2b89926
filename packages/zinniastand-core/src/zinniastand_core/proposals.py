"""Proposals of a new bundle and the operators' signatures on them.

The signatures cover the base, the version and the digest of the resulting bundle. So a
signed proposal authenticates that whole bundle, wherever its sections come from.
"""

from __future__ import annotations

import base64
import collections.abc
import dataclasses
import typing

import cryptography.exceptions
import expression
from cryptography.hazmat.primitives.asymmetric import ed25519

from . import bundles, codec, services

FORMAT = 1
"""Number of the encoding; proposals with another number are refused."""

MAX_RECORD_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class SignOff:
    """One operator's signature."""

    operator: str
    """Name of the operator."""

    signature: bytes
    """Ed25519 signature over `Proposal.signed_bytes`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change from one bundle to the next."""

    proposal_id: str
    """Chosen by the proposer.

    It identifies the proposal on the log if the answer to its append is lost.
    """

    version: int
    """Version of the resulting bundle, one above that of its base."""

    base: bytes
    """Digest of the bundle that it changes."""

    result: bytes
    """Digest of the resulting bundle."""

    changes: collections.abc.Mapping[str, bundles.SectionValue | None]
    """New sources by section key; None removes the section."""

    sign_offs: tuple[SignOff, ...] = ()
    """Signatures collected so far."""

    def signed_bytes(self) -> bytes:
        """Return the bytes that operators sign."""
        changed = codec.digest(dict(self.changes))
        fields = [
            "zinniastand-proposal",
            FORMAT,
            self.proposal_id,
            self.version,
            self.base,
            self.result,
            changed,
        ]
        return codec.encode(fields)


def propose(
    proposal_id: str, version: int, base: bundles.Bundle, new: bundles.Bundle
) -> Proposal:
    """Return an unsigned proposal to replace `base` with `new`."""
    changes = bundles.compare(base, new)
    return Proposal(proposal_id, version, base.digest, new.digest, changes)


def sign(proposal: Proposal, operator: str, key: ed25519.Ed25519PrivateKey) -> Proposal:
    """Return the proposal signed by `operator`, replacing an earlier signature."""
    signature = key.sign(proposal.signed_bytes())
    others = tuple(s for s in proposal.sign_offs if s.operator != operator)
    return dataclasses.replace(
        proposal, sign_offs=(*others, SignOff(operator, signature))
    )


def count_sign_offs(proposal: Proposal, operators: services.Operators) -> int:
    """Return how many distinct operators have signed the proposal validly."""
    content = proposal.signed_bytes()
    valid = {
        sign_off.operator
        for sign_off in proposal.sign_offs
        if _verify(sign_off, content, operators)
    }
    return len(valid)


def _verify(sign_off: SignOff, content: bytes, operators: services.Operators) -> bool:
    key = operators.find_key(sign_off.operator)
    if key is None:
        return False
    try:
        public = ed25519.Ed25519PublicKey.from_public_bytes(key)
        public.verify(sign_off.signature, content)
    except (cryptography.exceptions.InvalidSignature, ValueError):
        return False
    return True


def pack(proposal: Proposal) -> list[object]:
    """Return the proposal as a list that can be encoded as CBOR."""
    return [
        FORMAT,
        proposal.proposal_id,
        proposal.version,
        proposal.base,
        proposal.result,
        dict(proposal.changes),
        [[s.operator, s.signature] for s in proposal.sign_offs],
    ]


def unpack(value: typing.Any) -> expression.Result[Proposal, str]:
    """Return the proposal in a decoded value, or the reason why it is malformed."""
    if not isinstance(value, list) or len(value) != 7 or value[0] != FORMAT:
        return expression.Error("not a proposal of this format")
    _, proposal_id, version, base, result, changes, signatures = value
    well_typed = (
        isinstance(proposal_id, str)
        and isinstance(version, int)
        and isinstance(base, bytes)
        and isinstance(result, bytes)
        and isinstance(changes, dict)
        and all(isinstance(key, str) for key in changes)
        and all(v is None or isinstance(v, dict) for v in changes.values())
        and isinstance(signatures, list)
        and all(_is_sign_off(item) for item in signatures)
    )
    if not well_typed:
        return expression.Error("a field of the proposal has the wrong type")
    sign_offs = tuple(SignOff(name, signature) for name, signature in signatures)
    return expression.Ok(
        Proposal(proposal_id, version, base, result, changes, sign_offs)
    )


def _is_sign_off(item: object) -> bool:
    if not isinstance(item, list) or len(item) != 2:
        return False
    return isinstance(item[0], str) and isinstance(item[1], bytes)


def decode_private_key(text: str) -> ed25519.Ed25519PrivateKey:
    """Decode a private key from base64 text.

    Raises
    ------
    ValueError
        If the text is not 32 bytes in base64.
    """
    return ed25519.Ed25519PrivateKey.from_private_bytes(base64.b64decode(text))
