"""Names what a request asks for, so that the same request is known when it returns.

The id that a caller gives a request is new with each attempt, and any VM may get the
next one. What stays is whom it asks, for what, and as whom.
"""

from __future__ import annotations

import hashlib

from . import header_names, http_exchange

DIGEST_BYTES = 8
"""Bytes of a fingerprint: among a million requests two are alike by chance with a
probability of one in ten million."""

SEPARATOR = b"\x00"
"""Stands between two parts; no method, path or header holds it."""


def make_fingerprint(
    request: http_exchange.Request, host: str, words: header_names.HeaderNames
) -> str:
    """Return the fingerprint of a request, in hexadecimal digits."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method, host.encode("latin-1", "replace"), request.path):
        digest.update(part + SEPARATOR)
    for name, value in request.headers:
        if name in words.credentials:
            digest.update(name + SEPARATOR + value + SEPARATOR)
    digest.update(SEPARATOR + request.body)
    return digest.hexdigest()
