"""Keys, operators and small bundle documents for tests."""

from __future__ import annotations

import base64
import collections.abc
import typing

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from zinniastand_core import services

Keys = collections.abc.Mapping[str, ed25519.Ed25519PrivateKey]


def make_key(number: int) -> ed25519.Ed25519PrivateKey:
    """Return a private key that depends only on the number (0 to 255)."""
    return ed25519.Ed25519PrivateKey.from_private_bytes(bytes([number]) * 32)


def read_public(key: ed25519.Ed25519PrivateKey) -> bytes:
    """Return the raw bytes of the public key."""
    return key.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )


def make_operators(keys: Keys, needed: int = 1) -> services.Operators:
    """Return operators of whom `needed` must sign a proposal."""
    members = tuple(
        services.Operator(name, read_public(key)) for name, key in keys.items()
    )
    return services.Operators(members, needed)


def make_document(
    keys: Keys, targets: int = 3, floor: int = 2, needed: int = 1
) -> dict[str, typing.Any]:
    """Return a bundle document with one service, whose targets have two slots each.

    Parameters
    ----------
    keys : mapping of str to Ed25519PrivateKey
        Key of each operator, by name.
    targets : int
        Number of targets.
    floor : int
        Slots that must stay in service.
    needed : int
        Operators who must sign a proposal.
    """
    members = [
        {"name": name, "public_key": base64.b64encode(read_public(key)).decode()}
        for name, key in keys.items()
    ]
    return {
        "operators": {"members": members, "sign_offs_needed": needed},
        "services": {
            "desk": {
                "floor_slots": floor,
                "kinds": [
                    {"name": "lookup", "work": "idempotent", "time_limit_ms": 1000},
                    {"name": "order", "work": "at-most-once", "time_limit_ms": 2000},
                ],
                "routes": [
                    {"path_prefix": "/items", "methods": ["GET"], "kind": "lookup"},
                    {"path_prefix": "/orders", "methods": ["POST"], "kind": "order"},
                ],
                "targets": [
                    {
                        "name": f"t{number}",
                        "host": "127.0.0.1",
                        "port": 9000 + number,
                        "data_centre": f"dc-{number % 2}",
                        "slots": 2,
                    }
                    for number in range(targets)
                ],
            }
        },
    }
