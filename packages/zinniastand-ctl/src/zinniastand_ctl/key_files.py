"""Operators' keys in files."""

from __future__ import annotations

import base64
import os
import pathlib

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from . import output

PRIVATE_MODE = 0o600


def make(path: pathlib.Path) -> str:
    """Write a new private key to `path` and return the public one in base64."""
    key = ed25519.Ed25519PrivateKey.generate()
    raw = key.private_bytes(
        serialization.Encoding.Raw,
        serialization.PrivateFormat.Raw,
        serialization.NoEncryption(),
    )
    try:
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(path, flags, PRIVATE_MODE), "wb") as file:
            file.write(base64.b64encode(raw) + b"\n")
    except FileExistsError:
        output.fail(f"{path}: exists already; a key is never overwritten")
    except OSError as error:
        output.fail(f"{path}: {error.strerror}")
    return encode_public(key)


def read(path: pathlib.Path) -> ed25519.Ed25519PrivateKey:
    """Return the private key in a file, or end with a clear message."""
    try:
        raw = base64.b64decode(path.read_bytes().strip(), validate=True)
        return ed25519.Ed25519PrivateKey.from_private_bytes(raw)
    except OSError as error:
        output.fail(f"{path}: {error.strerror}")
    except ValueError:
        output.fail(f"{path}: expected a private key of 32 bytes in base64")


def encode_public(key: ed25519.Ed25519PrivateKey) -> str:
    """Return the public half of a key in base64."""
    raw = key.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )
    return base64.b64encode(raw).decode()
