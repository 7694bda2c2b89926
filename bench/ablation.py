"""What each part of the dispatcher's policy is worth: the model with one switched off.

Run as ``python -m bench.ablation``; prints shares served and served in time, and what
both lose without each part, over loads of several deployments and their seeds.
"""

from __future__ import annotations

import collections.abc
import concurrent.futures
import dataclasses
import statistics

from zinniastand_core.dispatch import mechanisms

from . import load_model, loads

SEEDS = range(1, 4)
JOBS = 2
Kind = loads.Kind

SHORT_READ = Kind("read", 1.0, 0.32, 2, 2, 1.0, 2.0)
LONG_READ = Kind("read", 1.0, 0.97, 2, 2, 2.5, 4.0)
WRITE = Kind("write", 1.0, 0.24, 1, 1, 1.0, 2.5)


def make_load(
    kinds: tuple[Kind, ...], rate: float, count: int, failing_error_share: float = 0.9
) -> loads.Load:
    """Return a load whose targets stay good for 21 s and failing for 9 s."""
    return loads.Load(
        rate=rate,
        seconds=20.0,
        target_count=count,
        onset_per_s=1 / 21,
        recovery_per_s=1 / 9,
        failing_error_share=failing_error_share,
        kinds=kinds,
        vms=48,
    )


LOADS = {
    "short reads": make_load((SHORT_READ,), 28.0, 7),
    "long reads": make_load((LONG_READ,), 11.0, 8),
    "writes": make_load((WRITE,), 60.0, 11),
    "reads and writes": make_load(loads.KINDS, 123.0, 22, 0.75),
    "two thirds of what works": make_load(loads.KINDS, 170.0, 22, 0.75),
    "overload": make_load(loads.KINDS, 330.0, 22, 0.75),
    "half as many targets": make_load((SHORT_READ,), 14.0, 4),
    "twice as many targets": make_load((SHORT_READ,), 56.0, 14),
}
"""Loads like those of the deployments, and of others that nothing was chosen for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Worth:
    """How one load went, as means over the seeds."""

    served: float
    """Share of requests that were served."""

    in_time: float
    """Share that was served in time."""

    opened_connections: float
    """New connections for each request."""

    spread: float
    """Standard deviation of the share served over the seeds."""


def list_variants() -> dict[str, mechanisms.Mechanisms]:
    """Return the whole policy, and it without each of its parts."""
    names = [field.name for field in dataclasses.fields(mechanisms.Mechanisms)]
    without = {
        f"without {name}": dataclasses.replace(mechanisms.ALL, **{name: False})
        for name in names
    }
    return {"all": mechanisms.ALL, **without}


def play(name: str, enabled: mechanisms.Mechanisms) -> Worth:
    """Play one load with all seeds."""
    results = [
        load_model.play_dispatcher(LOADS[name], seed, enabled=enabled) for seed in SEEDS
    ]
    served = [one.served_share for one in results]
    return Worth(
        statistics.fmean(served),
        statistics.fmean(one.in_time_share for one in results),
        statistics.fmean(
            one.opened_connections / max(1, one.request_count) for one in results
        ),
        statistics.stdev(served),
    )


def show(variant: str, worths: collections.abc.Iterable[Worth]) -> str:
    """Return a row of the table."""
    cells = [
        f"{one.served:.3f} {one.in_time:.3f} {one.opened_connections:.2f}"
        f" ±{one.spread:.3f}"
        for one in worths
    ]
    return f"| {variant} | " + " | ".join(cells) + " |"


def main() -> None:
    """Print the table."""
    print("| served, in time, connections, spread | " + " | ".join(LOADS) + " |")
    print("|---" * (len(LOADS) + 1) + "|")
    with concurrent.futures.ProcessPoolExecutor(JOBS) as pool:
        for variant, parts in list_variants().items():
            played = pool.map(play, LOADS, [parts] * len(LOADS))
            print(show(variant, played), flush=True)


if __name__ == "__main__":
    main()
