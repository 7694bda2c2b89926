"""Client accounts of a configuration, found by the digests of their keys.

Only digests are kept. The keys themselves can therefore not reach a log line, an error
message or another VM.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib

DIGEST_BYTES = 16
"""Bytes of a key's digest."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Limit on the requests of an account, over all VMs together."""

    rate: float
    """Requests per second."""

    burst: float
    """Requests allowed beyond the rate at any time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """One client account."""

    name: str
    """Unique within a configuration."""

    key_digests: tuple[bytes, ...]
    """Digest of each of its keys; see `digest_key`."""

    priority: int | None = None
    """Priority of its requests, which replaces that of their route; None if it has
    none."""

    quota: Quota | None = None
    """Limit on its requests; None for no limit."""


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is known."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


class AccountDirectory:
    """Finds the accounts of one configuration by key and by name.

    Parameters
    ----------
    accounts : iterable of Account
        The accounts; no key belongs to two of them.
    """

    def __init__(self, accounts: collections.abc.Iterable[Account] = ()) -> None:
        self._by_name = {account.name: account for account in accounts}
        self._by_digest = {
            digest: account
            for account in self._by_name.values()
            for digest in account.key_digests
        }

    def find_holder(self, key: bytes) -> Account | None:
        """Return the account that holds a key, or None if no account does."""
        return self._by_digest.get(digest_key(key))

    def find(self, name: str) -> Account | None:
        """Return the account with a name, or None if there is none."""
        return self._by_name.get(name)
