"""The platform's append-only log, as the daemon sees it."""

from __future__ import annotations

import dataclasses
import typing

import expression
import httpx

from zinniastand_core import codec

APPEND_TIMEOUT = 2.0
READ_MARGIN = 2.0
NOT_APPENDED_HEADER = "x-not-appended"


class LogRefusedError(Exception):
    """The log certainly did nothing."""


class LogUncertainError(Exception):
    """The log may or may not have done what it was asked."""


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Consecutive entries of a stream."""

    offset: int
    """Offset of the first entry, or the next one to be written if there is none."""

    entries: tuple[bytes, ...]
    """The entries."""


class Log(typing.Protocol):
    """An append-only log of streams with offsets."""

    async def append(self, stream: str, data: bytes) -> int:
        """Return the offset of the new entry.

        Raises
        ------
        LogRefusedError
            If nothing was appended.
        LogUncertainError
            If the entry may have been appended.
        """
        ...

    async def read(self, stream: str, offset: int, wait: float) -> Page:
        """Return entries from `offset`, waiting up to `wait` seconds for one.

        The page begins later than `offset` where the log no longer keeps that far
        back.

        Raises
        ------
        LogRefusedError
            If nothing could be read.
        """
        ...


class HttpLog:
    """The log behind its HTTP interface.

    Parameters
    ----------
    url : str
        Base URL.
    """

    def __init__(self, url: str) -> None:
        self._client = httpx.AsyncClient(base_url=url, timeout=APPEND_TIMEOUT)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def append(self, stream: str, data: bytes) -> int:
        """Return the offset of the new entry; see `Log.append`."""
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
                f"/streams/{stream}", params=query, timeout=wait + READ_MARGIN
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
