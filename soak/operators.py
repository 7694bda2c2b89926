"""What is written to the store of a soak beside what its targets say."""

from __future__ import annotations

import socket

import anyio

from zinniastand_platform import encoding, wire_names

from . import callers, ledger, links, promises, shared_store, targets

OBJECTIVE_MS = 600


def publish(store: shared_store.SharedStore, book: ledger.Ledger) -> None:
    """Publish the next version, which leads a route to the other service."""
    version = len(book.published) + 1
    moving = ("desk", "register")[version % 2]
    routes = [
        _make_route("/safe/", "safe", "desk"),
        _make_route("/once/", "unsafe", "desk"),
        _make_route("/other/", "unsafe", "register"),
        _make_route("/moving/", "unsafe", moving),
    ]
    value = encoding.encode_configuration(version, routes)
    store.put(wire_names.CONFIGURATION_TOPIC, wire_names.CONFIGURATION_KEY, value)
    book.published.append(ledger.Published(version, moving, anyio.current_time()))


async def announce_absent(
    store: shared_store.SharedStore, name: str, service: str, seconds: float
) -> None:
    """Register a target for a while at an address that refuses connections."""
    with socket.socket() as held:
        held.bind((links.HOST, 0))
        address = f"{links.HOST}:{held.getsockname()[1]}"
        value = encoding.encode_entry(service, address, targets.SLOTS, "ready")
        store.put(wire_names.TARGETS_TOPIC, name, value)
        await anyio.sleep(seconds)
        store.put(wire_names.TARGETS_TOPIC, name, b"")


def _make_route(prefix: str, kind: str, service: str) -> list[object]:
    limit = int(promises.TIME_LIMIT * wire_names.MS_PER_S)
    host = callers.HOST.decode()
    return [prefix, host, prefix, kind, limit, OBJECTIVE_MS, 1, service, 2]
