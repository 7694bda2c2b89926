"""Shards of a service: its targets in groups, each placed by a dispatcher of its own.

Load pattern: a service of hundreds of targets and more requests a second than one
processor decides. A shard has few enough targets that any VM can place its requests,
and enough of them that a third may fail at once.

A large service is divided by data centre first. Requests, answers and what dispatchers
are told then stay where they are, unless targets elsewhere are clearly better off.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import functools
import hashlib
import math
import random

from ..deployment import targets

MOST_TARGETS = 40
"""Targets of a service from which it is divided. Smaller shards differ more in how many
of their slots work while targets fail, larger ones cost a small VM its processor."""

LEAST_TARGETS = 16
"""Mean targets of a data centre from which a service is divided by data centre. With
fewer, a few failing ones leave a data centre without a proven slot."""

FADE = 2.0
"""Seconds in which the known pressure of a shard fades by a factor of e: a VM that
sees a request a second and shard would otherwise act on a burst that is over."""

USUAL_PRESSURE = 0.5
"""Pressure of a shard of which nothing is known."""

HIGH_PRESSURE = 0.8
"""Pressure of the shards nearby from which others are considered: below it, a proven
slot is free nearly always, and leaving the data centre gains nothing."""

GAP = 0.2
"""Pressure by which a shard elsewhere must be lower than the one nearby."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """One group of a service's targets."""

    service: str
    """The service."""

    data_centre: str = ""
    """Where its targets are; empty for a service that is not divided by place."""

    index: int = 0
    """Which of the shards there, from 0."""

    count: int = 1
    """How many shards there are there."""

    @property
    def is_whole(self) -> bool:
        """Whether the service is not divided."""
        return not self.data_centre and self.count == 1

    @property
    def task(self) -> str:
        """Name of the task of dispatching this shard."""
        if self.is_whole:
            return self.service
        return f"{self.service}@{self.data_centre}#{self.index}/{self.count}"

    def covers(self, entry: targets.Entry) -> bool:
        """Return whether a target belongs to this shard."""
        if entry.service != self.service:
            return False
        if self.data_centre and entry.data_centre != self.data_centre:
            return False
        return self.count == 1 or _digest(entry.target_id) % self.count == self.index


@functools.lru_cache(maxsize=16_384)
def _digest(target_id: str) -> int:
    digest = hashlib.blake2b(target_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def divide(
    service: str, entries: collections.abc.Iterable[targets.Entry]
) -> tuple[Shard, ...]:
    """Return the shards of a service with these targets.

    VMs that know of other targets for a moment run more dispatchers than needed, as
    they do while they disagree on who dispatches.
    """
    sizes = collections.Counter(entry.data_centre for entry in entries)
    total = sizes.total()
    if total <= MOST_TARGETS or total < LEAST_TARGETS * len(sizes):
        return _split(service, "", total)
    return tuple(
        shard
        for data_centre, size in sorted(sizes.items())
        for shard in _split(service, data_centre, size)
    )


def _split(service: str, data_centre: str, size: int) -> tuple[Shard, ...]:
    """Return a power of two of shards, so that a few targets more change nothing."""
    count = 1
    if size > MOST_TARGETS:
        count = 1 << math.ceil(math.log2(size / MOST_TARGETS))
    return tuple(Shard(service, data_centre, index, count) for index in range(count))


class ShardChooser:
    """Chooses the shard that a request is placed in.

    Load pattern: targets of one shard fail together by chance, or its requests come
    in a clump, while others have slots to spare. A shard nearby is taken unless it is
    pressed and one drawn from the others is clearly less so; among several nearby the
    less pressed of two drawn at random. Without any message of its own this keeps
    shards close to each other (Mitzenmacher, 2001, "The power of two choices in
    randomized load balancing"). The pressure comes with each answer of a dispatcher.

    Parameters
    ----------
    data_centre : str
        Where the requests come from.
    rng : random.Random
        Draws the shards.
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._pressures: dict[Shard, tuple[float, float]] = {}

    def record_pressure(self, shard: Shard, pressure: float, now: float) -> None:
        """Take in how pressed a shard is."""
        self._pressures[shard] = (pressure, now)

    def choose(
        self,
        shards: collections.abc.Sequence[Shard],
        now: float,
        refused: collections.abc.Collection[Shard] = (),
    ) -> Shard | None:
        """Return one of the shards, or None where all of them have refused."""
        left = [shard for shard in shards if shard not in refused]
        near = [shard for shard in left if shard.data_centre == self._data_centre]
        others = [shard for shard in left if shard.data_centre != self._data_centre]
        best = self._draw(near, now)
        if best is None:
            return self._draw(others, now)
        pressure = self._find_pressure(best, now)
        if pressure <= HIGH_PRESSURE:
            return best
        other = self._draw(others, now)
        if other is not None and self._find_pressure(other, now) < pressure - GAP:
            return other
        return best

    def _draw(self, shards: list[Shard], now: float) -> Shard | None:
        """Return the less pressed of two shards drawn at random."""
        if len(shards) < 2:
            return shards[0] if shards else None
        drawn = self._rng.sample(shards, 2)
        return min(drawn, key=lambda shard: self._find_pressure(shard, now))

    def _find_pressure(self, shard: Shard, now: float) -> float:
        pressure, at = self._pressures.get(shard, (USUAL_PRESSURE, now))
        fade = math.exp(-max(0.0, now - at) / FADE)
        return USUAL_PRESSURE + (pressure - USUAL_PRESSURE) * fade
