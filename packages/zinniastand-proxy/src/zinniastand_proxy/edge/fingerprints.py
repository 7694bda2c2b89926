"""Fingerprints, by which a request is recognised when a caller repeats it.

A caller sends each repetition under a new request id, and to any VM. The method, host,
path, credentials and body stay the same.
"""

from __future__ import annotations

import hashlib

from . import header_names, http_exchange

DIGEST_BYTES = 8
"""Bytes of a fingerprint. Among a million requests, two have the same by chance with a
probability of one in ten million."""

SEPARATOR = b"\x00"
"""Byte after each hashed element; no method, path or header contains it."""


def make_fingerprint(
    request: http_exchange.Request,
    host: str,
    platform_headers: header_names.HeaderNames,
) -> str:
    """Return the fingerprint of a request, in hexadecimal digits.

    Credential headers are included, so that the requests of other callers differ.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for element in (request.method, host.encode("latin-1", "replace"), request.path):
        digest.update(element + SEPARATOR)
    for name, value in request.headers:
        if name in platform_headers.credentials:
            digest.update(name + SEPARATOR + value + SEPARATOR)
    digest.update(SEPARATOR)
    for part in request.parts:
        digest.update(part)
    return digest.hexdigest()
