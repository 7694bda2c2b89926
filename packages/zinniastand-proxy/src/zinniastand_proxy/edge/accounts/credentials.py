"""The key on a caller's request, and what a target receives in its place."""

from __future__ import annotations

import dataclasses

from .. import calls, header_names, http_exchange

SCHEME = b"bearer"
"""Authentication scheme of keys, in lower case."""

CHALLENGE = (b"www-authenticate", b"Bearer")
"""Header of answers with status 401 (RFC 6750, section 3)."""

MAX_KEY_BYTES = 512
"""Limit on the length of a key."""


def read_key(
    headers: http_exchange.Headers, names: header_names.HeaderNames
) -> bytes | None:
    """Return the key on a request; None if it is absent, malformed or repeated."""
    values = [value for name, value in headers if name == names.authorization]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not 0 < len(key) <= MAX_KEY_BYTES or b" " in key:
        return None
    return key


def replace_credentials(
    incoming: calls.Incoming, names: header_names.HeaderNames, account_name: str
) -> calls.Incoming:
    """Return a request that names its account instead of its key.

    This is the only place where either header is set or removed. A name that the caller
    sent itself is removed, too.

    Parameters
    ----------
    incoming : calls.Incoming
        The request as received.
    names : header_names.HeaderNames
        Names of the platform's headers.
    account_name : str
        Name of the caller's account; empty if it has none.
    """
    removed = (names.authorization, names.account)
    headers = [
        header for header in incoming.request.headers if header[0] not in removed
    ]
    if account_name:
        headers.append((names.account, account_name.encode("ascii")))
    request = dataclasses.replace(incoming.request, headers=headers)
    return dataclasses.replace(incoming, request=request)
