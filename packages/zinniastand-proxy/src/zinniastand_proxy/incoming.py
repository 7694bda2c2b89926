"""Validates callers' requests before any other module reads them."""

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
REPLACED_HEADERS = frozenset(
    {
        b"x-request-deadline-ms",
        b"x-start-deadline-ms",
        b"x-request-id",
        b"forwarded",
        b"expect",
        b"content-length",
    }
)
"""Headers of the caller that are not forwarded; the proxy sets its own if needed."""

SINGLE_HEADERS = (b"host", b"content-length", b"idempotency-key", b"x-account")
"""Headers that a request may contain at most once."""

REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})
KEY_HEADER = b"idempotency-key"
ACCOUNT_HEADER = b"x-account"
TIMEOUT_HEADER = b"x-request-timeout-ms"
REQUEST_ID_HEADER = b"x-request-id"
MAX_TIMEOUT_MS = 600_000
MS_PER_S = 1000.0
FINGERPRINT_BYTES = 8

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete and valid request of a caller."""

    method: str
    """HTTP method, in upper case."""

    path: str
    """Percent-decoded path, used to find the route."""

    target: bytes
    """Path and query as the caller sent them, not decoded."""

    headers: tuple[tuple[bytes, bytes], ...]
    """End-to-end headers, names in lower case."""

    body: bytes
    """The complete body."""

    key: str | None
    """Value of ``Idempotency-Key``, or None without one."""

    account: str
    """Value of ``X-Account``, or empty without one."""

    timeout: float | None
    """Seconds that the caller waits, from ``X-Request-Timeout-Ms``; None without it."""

    client: str
    """IP address of the caller, or empty if unknown."""

    scheme: str
    """Scheme of the caller's connection: ``http`` or ``https``."""

    def fingerprint(self) -> bytes:
        """Return a digest of method, target and body.

        It shows when a key is used again for a different request.
        """
        content = b"\0".join([self.method.encode(), self.target, self.body])
        return hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Why a request is rejected as malformed."""

    status: int
    """HTTP status of the answer."""

    detail: str
    """Explanation for the caller."""


def check_head(
    method: str, target: bytes, headers: Headers
) -> expression.Result[None, Fault]:
    """Reject a request head that two parsers could interpret differently.

    This prevents request smuggling: if the proxy and a target disagree on where a
    request ends, an answer can go to the wrong caller.

    Parameters
    ----------
    method : str
        HTTP method, in upper case.
    target : bytes
        Path and query, not decoded.
    headers : Headers
        All headers, names in lower case.

    Returns
    -------
    expression.Result
        Ok for an unambiguous head, otherwise the fault.
    """
    names = [name for name, _ in headers]
    for header in SINGLE_HEADERS:
        if names.count(header) > 1:
            return _refuse(400, f"{header.decode()} stands more than once")
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
    """Return the request of an ASGI scope.

    Parameters
    ----------
    scope : mapping
        ASGI scope whose head `check_head` has accepted.
    headers : Headers
        All headers, names in lower case.
    body : bytes
        The complete body.

    Returns
    -------
    expression.Result
        The request, or a fault if a header that the proxy reads has an invalid value.
    """
    values_by_name = dict(headers)
    timeout = _read_timeout(values_by_name.get(TIMEOUT_HEADER))
    if timeout is not None and timeout < 0:
        return _refuse(400, "x-request-timeout-ms must be a positive whole number")
    try:
        key = (
            values_by_name[KEY_HEADER].decode("ascii")
            if KEY_HEADER in values_by_name
            else None
        )
        account = values_by_name.get(ACCOUNT_HEADER, b"").decode("ascii")
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
    """Return path and query of an ASGI scope as the caller sent them."""
    raw_path = scope.get("raw_path")
    path = raw_path if isinstance(raw_path, bytes) else str(scope["path"]).encode()
    path = path.partition(b"?")[0]
    query = scope.get("query_string")
    if isinstance(query, bytes) and query:
        return path + b"?" + query
    return path


def keep_end_to_end(headers: Headers) -> tuple[tuple[bytes, bytes], ...]:
    """Return the end-to-end headers.

    Hop-by-hop headers and those that ``Connection`` names are left out.
    """
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            connection_options.update(
                token.strip().lower() for token in value.split(b",")
            )
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in connection_options
    )


def _read_timeout(value: bytes | None) -> float | None:
    """Return the timeout in seconds, None without one, or -1 if it is invalid."""
    if value is None:
        return None
    if not value.isdigit() or not 0 < int(value) <= MAX_TIMEOUT_MS:
        return -1.0
    return int(value) / MS_PER_S


def _refuse(status: int, detail: str) -> expression.Result:
    return expression.Error(Fault(status, detail))
