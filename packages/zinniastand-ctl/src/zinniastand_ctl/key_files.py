"""Key files of operators: Ed25519 private keys in base64."""

from __future__ import annotations

import base64
import os
import pathlib

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from . import output

PRIVATE_FILE_MODE = 0o600
"""Only the owner may read and write a private key."""


def make(path: pathlib.Path) -> str:
    """Write a new private key to `path` and return its public key in base64.

    Ends the command if the file exists or cannot be written.
    """
    key = ed25519.Ed25519PrivateKey.generate()
    raw = key.private_bytes(
        serialization.Encoding.Raw,
        serialization.PrivateFormat.Raw,
        serialization.NoEncryption(),
    )
    try:
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(path, flags, PRIVATE_FILE_MODE), "wb") as file:
            file.write(base64.b64encode(raw) + b"\n")
    except FileExistsError:
        output.fail(f"{path}: exists already; a key is never overwritten")
    except OSError as error:
        output.fail(f"{path}: {error.strerror}")
    return encode_public(key)


def read(path: pathlib.Path) -> ed25519.Ed25519PrivateKey:
    """Return the private key in a file, or end the command with a message."""
    try:
        raw = base64.b64decode(path.read_bytes().strip(), validate=True)
        return ed25519.Ed25519PrivateKey.from_private_bytes(raw)
    except OSError as error:
        output.fail(f"{path}: {error.strerror}")
    except ValueError:
        output.fail(f"{path}: expected a private key of 32 bytes in base64")


def encode_public(key: ed25519.Ed25519PrivateKey) -> str:
    """Return the public key of a private key in base64."""
    raw = key.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )
    return base64.b64encode(raw).decode()
