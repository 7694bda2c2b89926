"""Fingerprints of requests, which stay the same when a caller repeats one.

The ID that a caller gives a request changes with each attempt, and any VM may receive
the next one. The method, host, path, credentials and body stay the same.
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
    request: http_exchange.Request, host: str, words: header_names.HeaderNames
) -> str:
    """Return the fingerprint of a request, in hexadecimal digits.

    Credential headers are included, so that the requests of other callers differ.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for element in (request.method, host.encode("latin-1", "replace"), request.path):
        digest.update(element + SEPARATOR)
    for name, value in request.headers:
        if name in words.credentials:
            digest.update(name + SEPARATOR + value + SEPARATOR)
    digest.update(SEPARATOR + request.body)
    return digest.hexdigest()
