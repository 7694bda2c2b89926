"""Encoding of the configuration for transfer between VMs."""

from __future__ import annotations

import operator
import zlib

import cbor2

from zinniastand_core import services
from zinniastand_core.accounts import account
from zinniastand_core.deployment import configuration

MAX_DECOMPRESSED_BYTES = 4 << 20
"""Largest size, once decompressed, of a message accepted from a peer: some 40,000
targets. The decoded values take some ten times as many bytes, empty lists 70 times."""


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
    accounts = current.accounts
    account_rows = (
        None if accounts is None else [_pack_account(each) for each in accounts]
    )
    return [current.version, routes, service_rows, limit_fields, account_rows]


def unpack_configuration(fields: object) -> configuration.Configuration:
    """Convert plain values from `pack_configuration` back to a configuration.

    Raises
    ------
    ValueError
        If the values do not form a configuration.
    """
    try:
        version, routes, service_rows, limits, accounts = fields  # type: ignore[misc]
        return configuration.Configuration(
            version,
            tuple(_unpack_route(route) for route in routes),
            tuple(configuration.ServiceSettings(*row) for row in service_rows),
            configuration.Limits(*limits),
            None
            if accounts is None
            else tuple(_unpack_account(row) for row in accounts),
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
        route.is_public,
        route.has_large_answers,
    ]


def _unpack_route(fields: list) -> configuration.Route:
    name, host, prefix, work, time_limit, objective, attempts, priority = fields[:8]
    rows, is_public, *later_fields = fields[8:]
    # VMs of an earlier version send no flag for large answers.
    has_large_answers = bool(later_fields) and later_fields[0] is True
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
        is_public is True,
        has_large_answers,
    )


def _pack_account(client_account: account.Account) -> list[object]:
    quota = client_account.quota
    return [
        client_account.name,
        b"".join(client_account.key_digests),
        client_account.priority,
        None if quota is None else [quota.rate, quota.burst],
    ]


def _unpack_account(fields: list) -> account.Account:
    name, digests, priority, quota = fields
    size = account.DIGEST_BYTES
    if not isinstance(name, str) or not isinstance(digests, bytes):
        raise ValueError("expected a name and digests of keys")
    if len(digests) % size:
        raise ValueError("expected whole digests of keys")
    return account.Account(
        name,
        tuple(digests[at : at + size] for at in range(0, len(digests), size)),
        None if priority is None else operator.index(priority),
        None if quota is None else account.Quota(float(quota[0]), float(quota[1])),
    )
