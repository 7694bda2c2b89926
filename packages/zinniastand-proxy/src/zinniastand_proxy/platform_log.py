"""Client interface of the platform's append-only log, and its HTTP implementation."""

from __future__ import annotations

import dataclasses
import typing

import expression
import httpx

from zinniastand_core import codec

APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0
"""Time that a read may last beyond the time that the log waits for entries."""

NOT_APPENDED_HEADER = "x-not-appended"
"""Set by the log on answers to appends that certainly had no effect."""


class LogRefusedError(Exception):
    """The log certainly did not carry out the request."""


class LogUncertainError(Exception):
    """The log may or may not have appended the entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Consecutive entries that a read returned."""

    offset: int
    """Offset of the first entry; without entries, the offset of the next append."""

    entries: tuple[bytes, ...]
    """Entries in the order of the stream."""


class Log(typing.Protocol):
    """An append-only log; each stream numbers its entries by offset."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append an entry to a stream and return its offset.

        Raises
        ------
        LogRefusedError
            If nothing was appended.
        LogUncertainError
            If the entry may have been appended.
        """
        ...

    async def read(self, stream: str, offset: int, wait: float) -> Page:
        """Return entries from `offset`, waiting up to `wait` seconds for the first.

        The page begins after `offset` if the log no longer retains older entries.

        Raises
        ------
        LogRefusedError
            If nothing could be read.
        """
        ...


class HttpLog:
    """Client of a log that is served over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the log.
    """

    def __init__(self, url: str) -> None:
        self._client = httpx.AsyncClient(base_url=url, timeout=APPEND_TIMEOUT_S)

    async def close(self) -> None:
        """Close all connections to the log."""
        await self._client.aclose()

    async def append(self, stream: str, data: bytes) -> int:
        """Append an entry and return its offset; see `Log.append`."""
        try:
            response = await self._client.post(f"/streams/{stream}", content=data)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise LogRefusedError(str(error)) from error
        except httpx.HTTPError as error:
            raise LogUncertainError(str(error)) from error
        if NOT_APPENDED_HEADER in response.headers:
            raise LogRefusedError(f"status {response.status_code}")
        match codec.decode(response.content):
            case expression.Result(tag="ok", ok=int(offset)) if response.is_success:
                return offset
            case _:
                raise LogUncertainError(f"status {response.status_code}")

    async def read(self, stream: str, offset: int, wait: float) -> Page:
        """Return entries from `offset`; see `Log.read`."""
        query = {"offset": str(offset), "wait_ms": str(round(wait * 1000))}
        try:
            response = await self._client.get(
                f"/streams/{stream}", params=query, timeout=wait + READ_MARGIN_S
            )
        except httpx.HTTPError as error:
            raise LogRefusedError(str(error)) from error
        match codec.decode(response.content):
            case expression.Result(tag="ok", ok=[int(first), list(entries)]) if (
                response.is_success
            ):
                return Page(first, tuple(entries))
            case _:
                raise LogRefusedError(f"status {response.status_code}")
