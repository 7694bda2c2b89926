"""Requests of callers: their shape is checked before anything else looks at them."""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib

import expression

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
OWN_HEADERS = frozenset(
    {
        b"x-request-deadline-ms",
        b"x-start-deadline-ms",
        b"x-request-id",
        b"forwarded",
        b"expect",
        b"content-length",
    }
)
SINGLE_HEADERS = (b"host", b"content-length", b"idempotency-key", b"x-account")
REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})
KEY_HEADER = b"idempotency-key"
ACCOUNT_HEADER = b"x-account"
TIMEOUT_HEADER = b"x-request-timeout-ms"
REQUEST_ID_HEADER = b"x-request-id"
MOST_TIMEOUT_MS = 600_000
MILLISECONDS = 1000.0
FINGERPRINT_BYTES = 8

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, whole and well formed."""

    method: str
    """In upper case."""

    path: str
    """Decoded path, for the route."""

    target: bytes
    """Path and query as the caller sent them."""

    headers: tuple[tuple[bytes, bytes], ...]
    """End-to-end headers, names in lower case."""

    body: bytes
    """The whole body."""

    key: str | None
    """``Idempotency-Key``."""

    account: str
    """``X-Account``, or empty."""

    timeout: float | None
    """Seconds that the caller will wait, from ``X-Request-Timeout-Ms``."""

    client: str
    """IP number of the caller."""

    scheme: str
    """``http`` or ``https``."""

    def fingerprint(self) -> bytes:
        """Return a digest that tells two requests apart."""
        content = b"\0".join([self.method.encode(), self.target, self.body])
        return hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Why a request is not taken."""

    status: int
    """HTTP status."""

    detail: str
    """What is wrong with it."""


def check_head(
    method: str, target: bytes, headers: Headers
) -> expression.Result[None, Fault]:
    """Return a fault where the head could mean different things to two readers.

    Whoever forwards such a request can be made to see another request border than the
    target does, and an answer then goes to the wrong caller.
    """
    names = [name for name, _ in headers]
    for single in SINGLE_HEADERS:
        if names.count(single) > 1:
            return _refuse(400, f"{single.decode()} stands more than once")
    if b"transfer-encoding" in names and b"content-length" in names:
        return _refuse(400, "both transfer-encoding and content-length")
    if method in REFUSED_METHODS:
        return _refuse(501, f"method {method} is not served")
    if not target.startswith(b"/"):
        return _refuse(400, "the request target must be a path")
    if any(byte <= 0x20 or byte == 0x7F for byte in target):
        return _refuse(400, "control characters in the request target")
    return expression.Ok(None)


def build(
    scope: collections.abc.Mapping[str, object], headers: Headers, body: bytes
) -> expression.Result[Request, Fault]:
    """Return the request of an ASGI scope with a checked head."""
    found = dict(headers)
    timeout = _read_timeout(found.get(TIMEOUT_HEADER))
    if timeout is not None and timeout < 0:
        return _refuse(400, "x-request-timeout-ms must be a positive whole number")
    try:
        key = found[KEY_HEADER].decode("ascii") if KEY_HEADER in found else None
        account = found.get(ACCOUNT_HEADER, b"").decode("ascii")
    except UnicodeDecodeError:
        return _refuse(400, "idempotency-key and x-account must be ASCII")
    client = scope.get("client")
    request = Request(
        method=str(scope["method"]),
        path=str(scope["path"]),
        target=find_target(scope),
        headers=keep_end_to_end(headers),
        body=body,
        key=key,
        account=account,
        timeout=timeout,
        client=str(client[0]) if isinstance(client, list | tuple) else "",
        scheme=str(scope.get("scheme", "http")),
    )
    return expression.Ok(request)


def find_target(scope: collections.abc.Mapping[str, object]) -> bytes:
    """Return path and query as the caller sent them."""
    raw = scope.get("raw_path")
    path = raw if isinstance(raw, bytes) else str(scope["path"]).encode()
    path = path.partition(b"?")[0]
    query = scope.get("query_string")
    if isinstance(query, bytes) and query:
        return path + b"?" + query
    return path


def keep_end_to_end(headers: Headers) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers that concern the other end, not this connection."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named
    )


def _read_timeout(value: bytes | None) -> float | None:
    if value is None:
        return None
    if not value.isdigit() or not 0 < int(value) <= MOST_TIMEOUT_MS:
        return -1.0
    return int(value) / MILLISECONDS


def _refuse(status: int, detail: str) -> expression.Result:
    return expression.Error(Fault(status, detail))
