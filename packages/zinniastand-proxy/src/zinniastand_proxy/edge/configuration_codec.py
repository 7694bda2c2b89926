"""Encoding of the configuration for transfer between VMs."""

from __future__ import annotations

import zlib

import cbor2

from zinniastand_core import services
from zinniastand_core.deployment import configuration

MAX_DECOMPRESSED_BYTES = 16 << 20
"""Largest size, once decompressed, of a message accepted from a peer."""


def compress_values(value: object) -> bytes:
    """Encode plain values as CBOR and compress them with zlib."""
    return zlib.compress(cbor2.dumps(value))


def decompress_values(data: bytes) -> object:
    """Decompress and decode plain values.

    Raises
    ------
    ValueError
        If the data is truncated or malformed, or once decompressed larger than
        `MAX_DECOMPRESSED_BYTES`.
    """
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(data, MAX_DECOMPRESSED_BYTES)
        if not inflater.eof:
            raise ValueError(
                "not compressed CBOR: truncated, or too large once decompressed"
            )
        return cbor2.loads(inflated)
    except (zlib.error, cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f"not compressed CBOR: {error!r}") from error


def pack_configuration(current: configuration.Configuration) -> list[object]:
    """Convert a configuration to plain values."""
    routes = [_pack_route(route) for route in current.routes]
    service_rows = [
        [settings.name, settings.health_path, settings.max_connections]
        for settings in current.services
    ]
    limits = current.limits
    limit_fields = [
        limits.max_head_bytes,
        limits.max_body_bytes,
        limits.head_timeout,
        limits.idle_timeout,
    ]
    return [current.version, routes, service_rows, limit_fields]


def unpack_configuration(fields: object) -> configuration.Configuration:
    """Convert plain values from `pack_configuration` back to a configuration.

    Raises
    ------
    ValueError
        If the values do not form a configuration.
    """
    try:
        version, routes, service_rows, limits = fields  # type: ignore[misc]
        return configuration.Configuration(
            version,
            tuple(_unpack_route(route) for route in routes),
            tuple(configuration.ServiceSettings(*row) for row in service_rows),
            configuration.Limits(*limits),
        )
    except (ValueError, TypeError, IndexError) as error:
        raise ValueError(f"malformed configuration: {error!r}") from error


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
        [[weighted.service, weighted.weight] for weighted in route.weighted_services],
    ]


def _unpack_route(fields: list) -> configuration.Route:
    name, host, prefix, work, time_limit, objective, attempts, priority, rows = fields
    return configuration.Route(
        name,
        host,
        prefix,
        services.Work(work),
        time_limit,
        objective,
        attempts,
        priority,
        tuple(configuration.WeightedService(*weighted) for weighted in rows),
    )
