"""The configuration as VMs hand it to each other."""

from __future__ import annotations

import zlib

import cbor2

from zinniastand_core import services
from zinniastand_core.deployment import configuration

MOST_BYTES = 16 << 20
"""Largest configuration taken from a peer."""


def pack(value: object) -> bytes:
    """Return plain values as compressed CBOR."""
    return zlib.compress(cbor2.dumps(value))


def unpack(data: bytes) -> object:
    """Return the values in compressed CBOR.

    Raises
    ------
    ValueError
        If there are none, or too many.
    """
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(data, MOST_BYTES)
        if not inflater.eof:
            raise ValueError("not packed: cut short, or too long")
        return cbor2.loads(inflated)
    except (zlib.error, cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f"not packed: {error!r}") from error


def encode(current: configuration.Configuration) -> list[object]:
    """Return a configuration as plain values."""
    routes = [_pack_route(route) for route in current.routes]
    known = [
        [one.name, one.health_path, one.max_connections] for one in current.services
    ]
    limits = current.limits
    bounds = [
        limits.max_head_bytes,
        limits.max_body_bytes,
        limits.head_timeout,
        limits.idle_timeout,
    ]
    return [current.version, routes, known, bounds]


def decode(fields: object) -> configuration.Configuration:
    """Return the configuration in plain values.

    Raises
    ------
    ValueError
        If there is none.
    """
    try:
        version, routes, known, limits = fields  # type: ignore[misc]
        return configuration.Configuration(
            version,
            tuple(_unpack_route(route) for route in routes),
            tuple(configuration.ServiceSettings(*one) for one in known),
            configuration.Limits(*limits),
        )
    except (ValueError, TypeError, IndexError) as error:
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
        [[part.service, part.weight] for part in route.weighted_services],
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
        tuple(configuration.WeightedService(*part) for part in parts),
    )
