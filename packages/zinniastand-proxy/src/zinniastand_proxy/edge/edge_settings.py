"""Settings of the edge: JSON with comments, checked whole before anything starts."""

from __future__ import annotations

import dataclasses
import pathlib

import expression

from zinniastand_core import documents, findings

from .. import settings_document
from . import retry_counts

MOST_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where to listen or to connect."""

    host: str
    """IP number."""

    port: int
    """TCP or UDP port."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a process of the edge is told at start."""

    vm: str
    """Name of this VM."""

    data_centre: str
    """Where it runs."""

    callers: Address
    """Listener for callers."""

    readiness: Address
    """Listener for the balancer's question whether this VM takes traffic."""

    metrics: Address
    """Listener for whoever collects metrics."""

    peers: Address
    """Listener for other VMs, datagrams and connections."""

    store: Address
    """The platform's store."""

    stop_limit: float
    """Seconds from the signal to stop until the process is killed."""

    unready_after: float
    """Seconds that the balancer may take to notice that this VM is not ready."""

    retries: retry_counts.RetryBudget
    """Retries that a service may get."""

    is_new_fleet: bool = False
    """Whether this VM starts together with the whole fleet."""


class SettingsFile:
    """A settings file that may change while its process runs.

    Parameters
    ----------
    path : pathlib.Path
        Where it is.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._seen = self._look()

    def has_changed(self) -> bool:
        """Return whether the file is another one than at the last look.

        Parsing it every second would cost more than forwarding does on a calm day.
        """
        before, self._seen = self._seen, self._look()
        return self._seen != before

    def load(self) -> expression.Result[Settings, findings.Findings]:
        """Return the settings in it, or every finding."""
        return load(self._path)

    def _look(self) -> tuple[int, int, int]:
        try:
            status = self._path.stat()
        except OSError:
            return (0, 0, 0)  # It is being replaced; the next look finds it.
        return (status.st_mtime_ns, status.st_size, status.st_ino)


def load(path: pathlib.Path) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a file, or every finding in it."""
    return settings_document.load(path, _read)


def parse(text: str, place: str) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a text; `place` names it in findings."""
    return settings_document.parse(text, place, _read)


def _read(reader: documents.Reader) -> Settings:
    retries = reader.read_object("retries", optional=True)
    result = Settings(
        vm=reader.read_text("vm"),
        data_centre=reader.read_text("data_centre"),
        callers=_read_address(reader, "callers"),
        readiness=_read_address(reader, "readiness"),
        metrics=_read_address(reader, "metrics"),
        peers=_read_address(reader, "peers"),
        store=_read_address(reader, "store"),
        stop_limit=reader.read_number("stop_limit_s", 6.0, 0.1, 3600),
        unready_after=reader.read_number("unready_after_s", 2.5, 0, 60),
        retries=retry_counts.RetryBudget(
            ratio=retries.read_number("ratio", 0.2, 0, 10),
            slack=retries.read_number("slack", 10.0, 0, 1e6),
            window=retries.read_number("window_s", 10.0, 0.1, 3600),
        ),
        is_new_fleet=reader.read_flag("is_new_fleet", False),
    )
    retries.refuse_unknown()
    return result


def _read_address(reader: documents.Reader, name: str) -> Address:
    """Return an address written as ``IP:PORT``."""
    text = reader.read_text(name)
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MOST_PORT:
        if text:
            reader.add(name, f"expected IP:PORT, got {text!r}")
        return Address("", 0)
    return Address(host, int(port))
