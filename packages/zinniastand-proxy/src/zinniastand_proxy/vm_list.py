"""The platform's list of live and leaving VMs, which lags."""

from __future__ import annotations

import dataclasses
import typing

import httpx

from zinniastand_core import documents, membership

TIMEOUT = 2.0


class VmListError(Exception):
    """The list could not be had."""


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """One reading of the list."""

    entry_vms: tuple[membership.Member, ...]
    """Live VMs that run the daemon."""

    leaving_hosts: tuple[str, ...]
    """``host:port`` of targets that are leaving."""


class VmListSource(typing.Protocol):
    """Where the list comes from."""

    async def read(self) -> VmList:
        """Return the list.

        Raises
        ------
        VmListError
            If it cannot be had.
        """
        ...


class HttpVmList:
    """The list behind its HTTP interface.

    Parameters
    ----------
    url : str
        URL of the JSON document.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = httpx.AsyncClient(timeout=TIMEOUT)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def read(self) -> VmList:
        """Return the list; see `VmListSource.read`."""
        try:
            response = await self._client.get(self._url)
            document = response.raise_for_status().json()
        except (httpx.HTTPError, ValueError) as error:
            raise VmListError(str(error)) from error
        return _parse(document)


def _parse(document: object) -> VmList:
    collector = documents.Collector()
    reader = documents.Reader(document, "", collector)
    members: list[membership.Member] = []
    leaving: list[str] = []
    for item in reader.read_objects("vms"):
        state = item.read_choice("state", ("live", "leaving"))
        role = item.read_choice("role", ("entry", "target"))
        if role == "target":
            if state == "leaving":
                leaving.append(item.read_text("address"))
        elif state == "live":
            name, place = item.read_text("name"), item.read_text("data_centre")
            url = item.read_text("peers_url")
            members.append(membership.Member(name, place, url, 0))
    if collector.has_findings:
        raise VmListError(str(collector.collect()))
    return VmList(tuple(members), tuple(leaving))
