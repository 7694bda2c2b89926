"""Settings of the daemon: JSON with comments, checked whole before anything starts."""

from __future__ import annotations

import dataclasses
import ipaddress
import pathlib

import expression

from zinniastand_core import documents, findings, sections, services

from . import settings_document

LOG_LEVELS = ("debug", "info", "warning", "error")
DEFAULT_BODY_BYTES = 1024 * 1024
MILLISECONDS = 1000.0
WINDOW_MARGIN = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where to listen."""

    host: str
    """IP number."""

    port: int
    """TCP port; 0 lets the system choose, for tests."""

    def __str__(self) -> str:
        return (
            f"[{self.host}]:{self.port}"
            if ":" in self.host
            else (f"{self.host}:{self.port}")
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Files of one TLS identity."""

    certificate: str
    """Path of the certificate chain, PEM."""

    key: str
    """Path of the private key, PEM."""

    authority: str
    """Path of the authority that the other side must be signed by, or empty."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a process is told at start."""

    vm: str
    """Name of this VM."""

    data_centre: str
    """Where it runs."""

    callers: Address
    """Listener for callers."""

    admin: Address
    """Listener for operators and the balancer's readiness check."""

    peers: Address
    """Listener for other VMs."""

    peers_url: str
    """URL under which other VMs reach the peer listener."""

    log_url: str
    """Base URL of the platform's log."""

    log_retention: float
    """Seconds for which the log keeps a record."""

    vm_list_url: str
    """URL of the platform's list of VMs, or empty."""

    first_peers: tuple[str, ...]
    """URLs of peers to call when the list cannot be had."""

    trusted: services.Operators
    """Operators who sign the first bundle."""

    callers_tls: Tls | None
    """TLS towards callers."""

    peers_tls: Tls | None
    """Mutual TLS between VMs."""

    log_level: str
    """Least level that is logged."""

    max_body_bytes: int
    """Largest request or answer body that is taken."""

    key_window: float
    """Seconds for which a key may be used; below the log's retention."""

    claim_slices: int
    """Streams over which claims are spread; the same on every VM."""

    claim_wait: float
    """Seconds that a claim may wait for company in one append."""

    connections_per_target: int
    """Most connections that this VM keeps to one target."""

    stop_limit: float
    """Seconds that a graceful stop may take at most."""


def load(path: pathlib.Path) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a file, or every finding in it."""
    return settings_document.load(path, _read)


def parse(text: str, place: str) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a text; `place` names it in findings."""
    return settings_document.parse(text, place, _read)


def _read(reader: documents.Reader) -> Settings:
    log = reader.read_object("log")
    vm_list = reader.read_object("vm_list", optional=True)
    keys = reader.read_object("keys", optional=True)
    peers = reader.read_object("peers")
    result = Settings(
        vm=reader.read_text("vm"),
        data_centre=reader.read_text("data_centre"),
        callers=_read_address(reader.read_object("callers")),
        admin=_read_address(reader.read_object("admin")),
        peers=_read_address(peers, is_last=False),
        peers_url=peers.read_text("url"),
        first_peers=peers.read_texts("first", []),
        log_url=log.read_text("url"),
        log_retention=log.read_number("retention_s", 86400.0, 10, 1e8),
        vm_list_url=vm_list.read_text("url", ""),
        trusted=sections.read_operators(reader.read_object("trusted_operators")),
        callers_tls=_read_tls(reader, "callers_tls"),
        peers_tls=_read_tls(reader, "peers_tls"),
        log_level=reader.read_choice("log_level", LOG_LEVELS, "info"),
        max_body_bytes=reader.read_integer(
            "max_body_bytes", DEFAULT_BODY_BYTES, 1024, 1 << 30
        ),
        key_window=keys.read_number("window_s", 3600.0, 1, 1e7),
        claim_slices=keys.read_integer("slices", 8, 1, 4096),
        claim_wait=keys.read_number("batch_wait_ms", 2.0, 0, 1000) / MILLISECONDS,
        connections_per_target=reader.read_integer("connections_per_target", 8, 1, 300),
        stop_limit=reader.read_number("stop_limit_s", 30.0, 0.1, 3600),
    )
    _check_window(result, keys)
    for nested in (log, vm_list, keys, peers):
        nested.refuse_unknown()
    return result


def _check_window(result: Settings, keys: documents.Reader) -> None:
    """Refuse a window in which a key could outlive its records on the log."""
    if result.key_window * WINDOW_MARGIN > result.log_retention:
        keys.add(
            "window_s",
            f"{result.key_window:.0f} s needs a log that keeps records for "
            f"{WINDOW_MARGIN * result.key_window:.0f} s; it keeps them for "
            f"{result.log_retention:.0f} s",
        )


def _read_address(reader: documents.Reader, is_last: bool = True) -> Address:
    host = reader.read_text("host")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        if host:
            reader.add("host", f"expected an IP number, got {host!r}")
    port = reader.read_integer("port", None, 0, sections.MAX_PORT)
    if is_last:
        reader.refuse_unknown()
    return Address(host, port)


def _read_tls(reader: documents.Reader, name: str) -> Tls | None:
    if not reader.has(name):
        return None
    inner = reader.read_object(name)
    tls = Tls(
        certificate=inner.read_text("certificate"),
        key=inner.read_text("key"),
        authority=inner.read_text("authority", ""),
    )
    for field, path in (("certificate", tls.certificate), ("key", tls.key)):
        if path and not pathlib.Path(path).is_file():
            inner.add(field, f"no such file: {path}")
    inner.refuse_unknown()
    return tls
