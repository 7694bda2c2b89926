"""Canonical CBOR, digests of values, and a decoder that never raises."""

from __future__ import annotations

import hashlib
import io
import typing

import cbor2
import expression

DIGEST_BYTES = 16
MAX_DEPTH = 64


def encode(value: object) -> bytes:
    """Return a value's canonical CBOR, which is the same for equal values."""
    return cbor2.dumps(value, canonical=True)


def decode(data: bytes) -> expression.Result[typing.Any, str]:
    """Decode exactly one CBOR value.

    Parameters
    ----------
    data : bytes
        Untrusted input.

    Returns
    -------
    expression.Result[typing.Any, str]
        The value, or why `data` is not exactly one value.
    """
    stream = io.BytesIO(data)
    try:
        value = cbor2.CBORDecoder(stream).decode()
    # Hostile input can make the decoder raise almost any exception (recursion,
    # overflow, bad tags), and must not stop a reader of the log or of peer messages.
    except Exception as error:
        return expression.Error(f"not CBOR: {type(error).__name__}")
    if stream.tell() != len(data):
        return expression.Error("bytes after the value")
    return expression.Ok(value)


def digest(value: object) -> bytes:
    """Return the 16-byte digest of a value's canonical CBOR."""
    return hashlib.blake2b(encode(value), digest_size=DIGEST_BYTES).digest()
