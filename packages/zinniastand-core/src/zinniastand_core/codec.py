"""Canonical CBOR and digests, and a decoder that never raises."""

from __future__ import annotations

import hashlib
import io
import typing

import cbor2
import expression

DIGEST_BYTES = 16
MAX_DEPTH = 64


def encode(value: object) -> bytes:
    """Return canonical CBOR, the same bytes for equal values."""
    return cbor2.dumps(value, canonical=True)


def decode(data: bytes) -> expression.Result[typing.Any, str]:
    """Return the one value in `data`, or why it is not exactly one value."""
    stream = io.BytesIO(data)
    try:
        value = cbor2.CBORDecoder(stream).decode()
    # A hostile record can make the decoder raise nearly anything (recursion,
    # overflow, bad tags); a reader of the log or of peers must survive all of it.
    except Exception as error:
        return expression.Error(f"not CBOR: {type(error).__name__}")
    if stream.tell() != len(data):
        return expression.Error("bytes after the value")
    return expression.Ok(value)


def digest(value: object) -> bytes:
    """Return the digest of a value's canonical CBOR, 16 bytes."""
    return hashlib.blake2b(encode(value), digest_size=DIGEST_BYTES).digest()
