"""Shards of a service: groups of its targets, each with a dispatcher of its own.

Load pattern: a service with hundreds of targets gets more requests a second than one
processor can dispatch. A shard has few enough targets that any VM can dispatch for it,
and enough of them that a third may fail at once.

A large service is divided by data centre first. Requests, answers and the messages to
dispatchers then stay in their data centre, unless targets elsewhere are clearly better.
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
from . import locality

MAX_UNDIVIDED_TARGETS = 40
"""Targets above which a service or data centre is divided. Smaller shards would differ
more in how many of their slots work while targets fail; larger ones would use up the
processor of a small VM."""

MIN_MEAN_TARGETS = 16
"""Mean targets per data centre from which a service is divided by data centre. With
fewer, a few failing targets leave a data centre without a slot that is proven
healthy."""

PRESSURE_DECAY_TIME_S = 2.0
"""Seconds in which the last reported pressure of a shard decays towards the usual one
by a factor of e. A VM that sends a shard one request per second would otherwise act on
a burst that is over."""

USUAL_PRESSURE = 0.5
"""Pressure assumed for a shard that has reported none."""

HIGH_PRESSURE = 0.8
"""Pressure of a local shard above which remote shards are considered. Below it, a
proven healthy slot is nearly always free, and leaving the data centre gains nothing."""

MIN_PRESSURE_GAP = 0.2
"""Amount by which the pressure of a remote shard must be below that of the local
one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """One group of a service's targets."""

    service: str
    """The service."""

    data_centre: str = ""
    """Data centre of its targets; empty where the service is not divided by data
    centre."""

    index: int = 0
    """Index among the shards of the data centre, from 0."""

    count: int = 1
    """Number of shards in the data centre."""

    @property
    def is_undivided(self) -> bool:
        """Whether the service is not divided."""
        return not self.data_centre and self.count == 1

    @property
    def task(self) -> str:
        """Name of the task of dispatching for this shard."""
        if self.is_undivided:
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

    VMs that briefly know different targets may divide a service differently. They then
    run more dispatchers than needed, as they do while they disagree on which VM
    dispatches.
    """
    sizes = collections.Counter(entry.data_centre for entry in entries)
    total = sizes.total()
    if total <= MAX_UNDIVIDED_TARGETS or total < MIN_MEAN_TARGETS * len(sizes):
        return _split(service, "", total)
    return tuple(
        shard
        for data_centre, size in sorted(sizes.items())
        for shard in _split(service, data_centre, size)
    )


def _split(service: str, data_centre: str, size: int) -> tuple[Shard, ...]:
    """Return the shards of the targets of a service or of one data centre.

    Their count is a power of two, so that a few more targets rarely change it.
    """
    count = 1
    if size > MAX_UNDIVIDED_TARGETS:
        count = 1 << math.ceil(math.log2(size / MAX_UNDIVIDED_TARGETS))
    return tuple(Shard(service, data_centre, index, count) for index in range(count))


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A shard to ask for a slot."""

    shard: Shard
    """The shard."""

    has_alternative: bool = False
    """Whether another shard is asked if it refuses."""


class ShardChooser:
    """Chooses the shard in which a request asks for a slot.

    Load pattern: many targets of one shard fail at once by chance, or its requests come
    in a burst, while other shards have free slots. A local shard is chosen unless its
    pressure is high and that of a remote shard clearly lower. Among several local or
    remote shards, the one with the lower pressure of two drawn at random is taken. This
    keeps the pressures of shards close to each other (Mitzenmacher, 2001, "The power of
    two choices in randomized load balancing") and needs no messages of its own, since
    each answer of a dispatcher contains its pressure.

    Parameters
    ----------
    data_centre : str
        Data centre where the requests arrive.
    rng : random.Random
        Draws the shards.
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._pressures: dict[Shard, tuple[float, float]] = {}

    def record_pressure(self, shard: Shard, pressure: float, now: float) -> None:
        """Record the pressure of a shard."""
        self._pressures[shard] = (pressure, now)

    def choose(
        self,
        shards: collections.abc.Sequence[Shard],
        now: float,
        refused: collections.abc.Collection[Shard] = (),
    ) -> Shard | None:
        """Return one of the shards, or None if all of them have refused."""
        candidates = [shard for shard in shards if shard not in refused]
        local = [
            shard for shard in candidates if shard.data_centre == self._data_centre
        ]
        remote = [
            shard for shard in candidates if shard.data_centre != self._data_centre
        ]
        best = self._draw(local, now)
        if best is None:
            return self._draw(remote, now)
        pressure = self._find_pressure(best, now)
        if pressure <= HIGH_PRESSURE:
            return best
        other = self._draw(remote, now)
        if (
            other is not None
            and self._find_pressure(other, now) < pressure - MIN_PRESSURE_GAP
        ):
            return other
        return best

    def choose_local_first(
        self,
        shards: collections.abc.Sequence[Shard],
        now: float,
        refused: collections.abc.Sequence[Choice],
        max_pressure: float,
    ) -> Choice | None:
        """Return the shard to ask next, or None if none is left.

        A local shard is asked first, then remote ones that may have free slots. The
        dispatchers decide, since they know their slots and queues. If all refuse, the
        request waits like any other, in a remote shard only if its pressure is low
        enough that its own work stays on time.

        Parameters
        ----------
        shards : sequence of Shard
            Shards of the service, divided by data centre.
        now : float
            Seconds of a monotonic clock.
        refused : sequence of Choice
            Shards that have refused the request, in the order asked.
        max_pressure : float
            Pressure of a remote shard up to which the request may wait there.
        """
        if any(not choice.has_alternative for choice in refused):
            return None
        asked = [choice.shard for choice in refused]
        local = [shard for shard in shards if shard.data_centre == self._data_centre]
        remote = [shard for shard in shards if shard not in local]
        unasked = [
            shard
            for shard in remote
            if shard not in asked and not self._is_full(shard, now)
        ]
        waiting = [
            shard for shard in remote if self._find_pressure(shard, now) <= max_pressure
        ]
        if not asked:
            first = self._draw(local, now)
            return self._make_choice(first, bool(unasked or waiting))
        if unasked:
            return self._make_choice(self._draw(unasked, now), True)
        best = self._draw(local, now)
        if best is not None:
            pressure = self._find_pressure(best, now) - MIN_PRESSURE_GAP
            waiting = [s for s in waiting if self._find_pressure(s, now) < pressure]
        return self._make_choice(self._draw(waiting, now) or best, False)

    def _make_choice(self, shard: Shard | None, has_alternative: bool) -> Choice | None:
        return Choice(shard, has_alternative) if shard is not None else None

    def _is_full(self, shard: Shard, now: float) -> bool:
        """Return whether a shard has just reported that it has no free slots."""
        pressure, at = self._pressures.get(shard, (USUAL_PRESSURE, now))
        return pressure > locality.FULL_PRESSURE and now - at < locality.FULL_FOR_S

    def has_local(self, shards: collections.abc.Sequence[Shard]) -> bool:
        """Return whether a service is divided by data centre, and this one has a
        shard.
        """
        return any(shard.data_centre == self._data_centre for shard in shards)

    def _draw(self, shards: list[Shard], now: float) -> Shard | None:
        """Return the shard with the lower pressure of two drawn at random.

        None if there are no shards.
        """
        if len(shards) < 2:
            return shards[0] if shards else None
        drawn = self._rng.sample(shards, 2)
        return min(drawn, key=lambda shard: self._find_pressure(shard, now))

    def _find_pressure(self, shard: Shard, now: float) -> float:
        pressure, at = self._pressures.get(shard, (USUAL_PRESSURE, now))
        decay = math.exp(-max(0.0, now - at) / PRESSURE_DECAY_TIME_S)
        return USUAL_PRESSURE + (pressure - USUAL_PRESSURE) * decay
