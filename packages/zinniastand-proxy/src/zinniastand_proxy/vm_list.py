"""The platform's list of live and leaving VMs, which may be out of date."""

from __future__ import annotations

import dataclasses
import typing

import httpx

from zinniastand_core import documents, membership

READ_TIMEOUT_S = 2.0


class VmListError(Exception):
    """The list could not be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """Contents of the list at one read."""

    entry_vms: tuple[membership.Member, ...]
    """Live VMs that run the daemon (role ``entry``)."""

    leaving_hosts: tuple[str, ...]
    """``host:port`` of targets in the state ``leaving``."""


class VmListSource(typing.Protocol):
    """Source of the VM list."""

    async def read(self) -> VmList:
        """Return the list.

        Raises
        ------
        VmListError
            If the list could not be fetched or is malformed.
        """
        ...


class HttpVmList:
    """Fetches the list over HTTP.

    Parameters
    ----------
    url : str
        URL of the JSON document.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = httpx.AsyncClient(timeout=READ_TIMEOUT_S)

    async def close(self) -> None:
        """Close the HTTP client and its connections."""
        await self._client.aclose()

    async def read(self) -> VmList:
        """Fetch the list; see `VmListSource.read`."""
        try:
            response = await self._client.get(self._url)
            document = response.raise_for_status().json()
        except (httpx.HTTPError, ValueError) as error:
            raise VmListError(str(error)) from error
        return _parse_document(document)


def _parse_document(document: object) -> VmList:
    collector = documents.Collector()
    reader = documents.Reader(document, "", collector)
    members: list[membership.Member] = []
    leaving_targets: list[str] = []
    for item in reader.read_objects("vms"):
        state = item.read_choice("state", ("live", "leaving"))
        role = item.read_choice("role", ("entry", "target"))
        if role == "target":
            if state == "leaving":
                leaving_targets.append(item.read_text("address"))
        elif state == "live":
            name, data_centre = item.read_text("name"), item.read_text("data_centre")
            url = item.read_text("peers_url")
            members.append(membership.Member(name, data_centre, url, 0))
    if collector.has_findings:
        raise VmListError(str(collector.collect()))
    return VmList(tuple(members), tuple(leaving_targets))
