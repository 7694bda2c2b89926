"""Hands the configuration in force from one VM to another.

A configuration with many routes does not fit a datagram, so a VM that lacks one fetches
it over a connection. Notices travel with the news of the targets.
"""

from __future__ import annotations

import collections.abc

import anyio
import anyio.abc
import cbor2

from zinniastand_core import services
from zinniastand_core.deployment import configuration

FETCH_TIMEOUT = 1.0
"""Seconds for one fetch: a megabyte over the slowest links of the fleet."""

MOST_BYTES = 16 << 20
"""Largest configuration taken from a peer."""


async def serve(
    host: str,
    port: int,
    read_current: collections.abc.Callable[[], configuration.Configuration | None],
) -> None:
    """Serve the configuration in force until cancelled."""

    async def _answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with anyio.move_on_after(FETCH_TIMEOUT):
                current = read_current()
                try:
                    await stream.send(encode(current) if current else b"")
                except anyio.BrokenResourceError:
                    return  # The peer gave up; it will ask somebody else.

    async with await anyio.create_tcp_listener(
        local_host=host, local_port=port
    ) as listener:
        await listener.serve(_answer)


async def fetch(host: str, port: int) -> configuration.Configuration | None:
    """Return a peer's configuration, or None where it gives none in time."""
    data = b""
    try:
        with anyio.fail_after(FETCH_TIMEOUT):
            async with await anyio.connect_tcp(host, port) as stream:
                async for part in stream:
                    data += part
                    if len(data) > MOST_BYTES:
                        return None
        return decode(data) if data else None
    except (OSError, TimeoutError, anyio.BrokenResourceError, ValueError):
        return None


def encode(current: configuration.Configuration) -> bytes:
    """Return a configuration as CBOR."""
    routes = [_pack_route(route) for route in current.routes]
    known = [
        [one.name, one.health_path, one.max_connections] for one in current.services
    ]
    limits = current.limits
    return cbor2.dumps(
        [
            current.version,
            routes,
            known,
            [
                limits.max_head_bytes,
                limits.max_body_bytes,
                limits.head_timeout,
                limits.idle_timeout,
            ],
        ]
    )


def decode(data: bytes) -> configuration.Configuration:
    """Return the configuration in CBOR.

    Raises
    ------
    ValueError
        If there is none.
    """
    try:
        version, routes, known, limits = cbor2.loads(data)
        return configuration.Configuration(
            version,
            tuple(_unpack_route(route) for route in routes),
            tuple(configuration.ServiceSettings(*one) for one in known),
            configuration.Limits(*limits),
        )
    except (cbor2.CBORDecodeError, TypeError, IndexError) as error:
        raise ValueError(f"no configuration: {error!r}") from error


def _pack_route(route: configuration.Route) -> list[object]:
    return [
        route.name,
        route.host,
        route.path_prefix,
        route.work.value,
        route.time_limit,
        route.objective,
        route.max_attempts,
        route.priority,
        [[part.service, part.weight] for part in route.parts],
    ]


def _unpack_route(fields: list) -> configuration.Route:
    name, host, prefix, work, time_limit, objective, attempts, priority, parts = fields
    return configuration.Route(
        name,
        host,
        prefix,
        services.Work(work),
        time_limit,
        objective,
        attempts,
        priority,
        tuple(configuration.Part(*part) for part in parts),
    )
