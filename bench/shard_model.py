"""A large service in shards against the same service under one dispatcher.

The load of `load_model` on a service of 96 targets. Each VM sees a small part of the
requests and knows of a shard only what came with the last answer from there.
"""

from __future__ import annotations

import dataclasses
import random

from zinniastand_core.dispatch import (
    dispatcher,
    messages,
    retry_window,
    shards,
    work_times,
)

from . import load_model, loads

VMS = 120
TARGETS = 96
SLACK = 80.0
"""Retries of the service beyond its ratio, shared by its shards."""

MOST_SHARDS = 2
"""Shards that a request asks, as in the product's placement."""


class Sharded:
    """Dispatchers of all shards, and the VMs that choose between them."""

    def __init__(self, model: load_model.Model, count: int, seed: int) -> None:
        self._rng = random.Random(seed)
        times = work_times.KindTimes()
        self._dispatchers: dict[shards.Shard, dispatcher.Dispatcher] = {}
        entries = model.make_entries()
        for index in range(count):
            shard = shards.Shard(load_model.SERVICE, "a", index, count)
            window = retry_window.RetryWindow(0.2, lambda: SLACK / count, 10.0)
            one = dispatcher.Dispatcher(times, window, self._rng)
            one.update_targets([entry for entry in entries if shard.covers(entry)], 0.0)
            self._dispatchers[shard] = one
        self._choosers = [shards.ShardChooser("a", self._rng) for _ in range(VMS)]
        self._shard_of: dict[str, shards.Shard] = {}

    def request_slot(
        self, slot_request: messages.SlotRequest, now: float
    ) -> list[messages.Decision]:
        """Ask in one shard, and in another where the first refuses."""
        chooser = self._rng.choice(self._choosers)
        refused: list[shards.Shard] = []
        others: list[messages.Decision] = []
        own: list[messages.Decision] = []
        while len(refused) < MOST_SHARDS:
            shard = chooser.choose(list(self._dispatchers), now, refused)
            if shard is None:
                break
            placed = dataclasses.replace(slot_request, shard=shard)
            decisions = self._dispatchers[shard].request_slot(placed, now)
            others += [one for one in decisions if one.ticket != slot_request.ticket]
            own = [one for one in decisions if one.ticket == slot_request.ticket]
            self._shard_of[slot_request.ticket] = shard
            for one in own:
                if not isinstance(one, messages.Wait):
                    chooser.record_pressure(shard, one.pressure, now)
            if not any(isinstance(one, messages.Refuse) for one in own):
                break
            refused.append(shard)
        return [*own, *others]

    def handle_report(
        self, report: messages.Report, now: float
    ) -> list[messages.Decision]:
        """Tell the shard that gave the slot."""
        shard = self._shard_of.pop(report.ticket)
        told = dataclasses.replace(report, shard=shard)
        return self._dispatchers[shard].handle_report(told, now)

    def wake(self, now: float) -> list[messages.Decision]:
        """Act on the time."""
        decisions: list[messages.Decision] = []
        for one in self._dispatchers.values():
            decisions += one.wake(now)
        return decisions


def make_load(share: float, seconds: float = 6.0) -> loads.Load:
    """Return a share of what all targets could serve if none failed."""
    load = loads.Load(rate=1.0, seconds=seconds, target_count=TARGETS)
    return dataclasses.replace(load, rate=share * load.capacity)


def play(load: loads.Load, count: int, seed: int) -> loads.Result:
    """Play a load against a service in so many shards."""
    model = load_model.Model(load, seed)
    return model.run(Sharded(model, count, seed))


def main() -> None:
    """Print how shards serve against one dispatcher."""
    print(f"{'':28} {'served':>7} {'in time':>7} {'failed':>7} {'refused':>7} wasted")
    for share in (0.35, 0.5, 0.65):
        for count in (1, 4):
            result = play(make_load(share), count, 1)
            name = f"load {share:.0%}, {count} shards"
            print(load_model.show_result(name, result), flush=True)


if __name__ == "__main__":
    main()
