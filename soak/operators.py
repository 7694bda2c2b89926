"""What operators write to the store of a soak."""

from __future__ import annotations

import socket

import anyio

from zinniastand_platform import encoding, wire_names

from . import callers, ledger, links, promises, shared_store, targets

OBJECTIVE_MS = 600
"""Latency objective of all routes, in milliseconds."""


def publish_configuration(
    store: shared_store.SharedStore, entries: ledger.Ledger
) -> None:
    """Publish the next version, which sends ``/moving/`` to the other service."""
    version = len(entries.published_versions) + 1
    moving_service = ("desk", "register")[version % 2]
    routes = [
        _make_route("/safe/", "safe", "desk"),
        _make_route("/once/", "unsafe", "desk"),
        _make_route("/other/", "unsafe", "register"),
        _make_route("/moving/", "unsafe", moving_service),
        _make_route("/long/", "unsafe", "register"),
        _make_route("/long-safe/", "safe", "desk"),
    ]
    value = encoding.encode_configuration(version, routes)
    store.put(wire_names.CONFIGURATION_TOPIC, wire_names.CONFIGURATION_KEY, value)
    entries.published_versions.append(
        ledger.PublishedVersion(version, moving_service, anyio.current_time())
    )


async def register_absent_target(
    store: shared_store.SharedStore, name: str, service: str, duration_s: float
) -> None:
    """Register a target for some seconds at an address that refuses connections."""
    with socket.socket() as bound_socket:
        bound_socket.bind((links.HOST, 0))
        address = f"{links.HOST}:{bound_socket.getsockname()[1]}"
        value = encoding.encode_entry(service, address, targets.SLOTS, "ready")
        store.put(wire_names.TARGETS_TOPIC, name, value)
        await anyio.sleep(duration_s)
        store.put(wire_names.TARGETS_TOPIC, name, b"")


def _make_route(prefix: str, kind: str, service: str) -> list[object]:
    limit = promises.TIME_LIMIT_S
    if prefix in promises.LONG_PREFIXES:
        limit = promises.LONG_TIME_LIMIT_S
    time_limit_ms = int(limit * wire_names.MS_PER_S)
    host = callers.SERVICE_HOST.decode()
    return [prefix, host, prefix, kind, time_limit_ms, OBJECTIVE_MS, 1, service, 2]
