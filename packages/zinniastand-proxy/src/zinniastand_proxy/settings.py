"""Settings of the daemon: JSON with comments, validated in full before start."""

from __future__ import annotations

import dataclasses
import ipaddress
import pathlib

import expression

from zinniastand_core import documents, findings, sections, services

from . import settings_document

LOG_LEVELS = ("debug", "info", "warning", "error")
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
MS_PER_S = 1000.0
RETENTION_PER_KEY_WINDOW = 2.0
"""Minimum retention of the log, as a multiple of the key window."""


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of a listener."""

    host: str
    """IPv4 or IPv6 address, not a host name."""

    port: int
    """TCP port; 0 lets the system choose one, as tests do."""

    def __str__(self) -> str:
        return (
            f"[{self.host}]:{self.port}"
            if ":" in self.host
            else (f"{self.host}:{self.port}")
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Files of one TLS identity: certificate, key and trusted authority."""

    certificate: str
    """Path of the certificate chain, PEM."""

    key: str
    """Path of the private key, PEM."""

    authority: str
    """Path of the authority that must have signed the peer's certificate, or empty."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon process."""

    vm: str
    """Name of this VM."""

    data_centre: str
    """Name of the data centre that it runs in."""

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
    """Peer URLs to contact while no other VM is known, such as without a VM list."""

    trusted: services.Operators
    """Operators whose signatures the first bundle needs."""

    callers_tls: Tls | None
    """TLS identity of the callers' listener; None for plain HTTP."""

    peers_tls: Tls | None
    """Identity for mutual TLS between VMs; None for plain websockets."""

    log_level: str
    """Lowest level that is logged, of `LOG_LEVELS`."""

    max_body_bytes: int
    """Largest accepted request or answer body, in bytes."""

    key_window: float
    """Seconds for which a key is valid; at most half of the log's retention."""

    claim_slices: int
    """Number of log streams that claims are spread over; the same on every VM."""

    claim_wait: float
    """Seconds that a claim may wait to be batched with others into one append."""

    connections_per_target: int
    """Maximum number of connections that this VM keeps to one target."""

    stop_limit: float
    """Maximum duration of a graceful stop, in seconds."""


def load(path: pathlib.Path) -> expression.Result[Settings, findings.Findings]:
    """Read a settings file.

    Parameters
    ----------
    path : pathlib.Path
        The file, JSON with comments.

    Returns
    -------
    expression.Result
        The settings, or all findings in the file.
    """
    return settings_document.load(path, _read_settings)


def parse(text: str, location: str) -> expression.Result[Settings, findings.Findings]:
    """Read settings from a text.

    Parameters
    ----------
    text : str
        JSON with comments.
    location : str
        Name of the text, such as a file name, for findings.

    Returns
    -------
    expression.Result
        The settings, or all findings in the text.
    """
    return settings_document.parse(text, location, _read_settings)


def _read_settings(reader: documents.Reader) -> Settings:
    log = reader.read_object("log")
    vm_list = reader.read_object("vm_list", optional=True)
    keys = reader.read_object("keys", optional=True)
    peers = reader.read_object("peers")
    result = Settings(
        vm=reader.read_text("vm"),
        data_centre=reader.read_text("data_centre"),
        callers=_read_address(reader.read_object("callers")),
        admin=_read_address(reader.read_object("admin")),
        peers=_read_address(peers, rejects_unknown=False),
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
            "max_body_bytes", DEFAULT_MAX_BODY_BYTES, 1024, 1 << 30
        ),
        key_window=keys.read_number("window_s", 3600.0, 1, 1e7),
        claim_slices=keys.read_integer("slices", 8, 1, 4096),
        claim_wait=keys.read_number("batch_wait_ms", 2.0, 0, 1000) / MS_PER_S,
        connections_per_target=reader.read_integer("connections_per_target", 8, 1, 300),
        stop_limit=reader.read_number("stop_limit_s", 30.0, 0.1, 3600),
    )
    _check_key_window(result, keys)
    for nested in (log, vm_list, keys, peers):
        nested.refuse_unknown()
    return result


def _check_key_window(result: Settings, keys: documents.Reader) -> None:
    """Add a finding if a key could still be valid after the log dropped its records.

    A retry with such a key would find no claim and run the work a second time.
    """
    if result.key_window * RETENTION_PER_KEY_WINDOW > result.log_retention:
        keys.add(
            "window_s",
            f"a key window of {result.key_window:.0f} s needs a log retention of "
            f"at least {RETENTION_PER_KEY_WINDOW * result.key_window:.0f} s; "
            f"log.retention_s is {result.log_retention:.0f} s",
        )


def _read_address(reader: documents.Reader, rejects_unknown: bool = True) -> Address:
    host = reader.read_text("host")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        if host:
            reader.add("host", f"expected an IP address, got {host!r}")
    port = reader.read_integer("port", None, 0, sections.MAX_PORT)
    if rejects_unknown:
        reader.refuse_unknown()
    return Address(host, port)


def _read_tls(reader: documents.Reader, name: str) -> Tls | None:
    if not reader.has(name):
        return None
    section = reader.read_object(name)
    tls = Tls(
        certificate=section.read_text("certificate"),
        key=section.read_text("key"),
        authority=section.read_text("authority", ""),
    )
    for field, path in (("certificate", tls.certificate), ("key", tls.key)):
        if path and not pathlib.Path(path).is_file():
            section.add(field, f"expected an existing file, got {path!r}")
    section.refuse_unknown()
    return tls
