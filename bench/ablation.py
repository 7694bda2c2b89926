"""Simulates loads with each part of the dispatcher's policy switched off in turn.

Run as ``python -m bench.ablation``. For each load it prints the shares of requests
served and served in time, the new connections per request and the deviation of the
share served, with the complete policy and without each of its parts.
"""

from __future__ import annotations

import collections.abc
import concurrent.futures
import dataclasses
import statistics

from zinniastand_core.dispatch import mechanisms

from . import load_model, loads

SEEDS = range(1, 4)
PROCESS_COUNT = 2
Kind = loads.Kind

SHORT_READ = Kind("read", 1.0, 0.32, 2, 2, 1.0, 2.0)
LONG_READ = Kind("read", 1.0, 0.97, 2, 2, 2.5, 4.0)
WRITE = Kind("write", 1.0, 0.24, 1, 1, 1.0, 2.5)


def make_load(
    kinds: tuple[Kind, ...], rate: float, count: int, failure_share: float = 0.9
) -> loads.Load:
    """Return a load whose targets are healthy for 21 s and fail for 9 s, on average."""
    return loads.Load(
        rate=rate,
        seconds=20.0,
        target_count=count,
        onset_per_s=1 / 21,
        recovery_per_s=1 / 9,
        failure_share=failure_share,
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
"""Loads like those of deployments, and others that no constant of the policy was
chosen for."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadScore:
    """Results of a load, as means over the seeds."""

    served: float
    """Share of requests that were served."""

    in_time: float
    """Share of requests that were served within their objective."""

    opened_connections: float
    """Number of new connections per request."""

    served_deviation: float
    """Standard deviation of the share served over the seeds."""


def list_variants() -> dict[str, mechanisms.Mechanisms]:
    """Return the complete policy, and the policy without each of its parts, by name."""
    part_names = [field.name for field in dataclasses.fields(mechanisms.Mechanisms)]
    without = {
        f"without {name}": dataclasses.replace(mechanisms.ALL, **{name: False})
        for name in part_names
    }
    return {"all": mechanisms.ALL, **without}


def play(name: str, enabled: mechanisms.Mechanisms) -> LoadScore:
    """Simulate a load with all seeds."""
    results = [
        load_model.play_dispatcher(LOADS[name], seed, enabled=enabled) for seed in SEEDS
    ]
    served = [each.served_share for each in results]
    return LoadScore(
        statistics.fmean(served),
        statistics.fmean(each.in_time_share for each in results),
        statistics.fmean(
            each.opened_connections / max(1, each.request_count) for each in results
        ),
        statistics.stdev(served),
    )


def format_row(variant: str, scores: collections.abc.Iterable[LoadScore]) -> str:
    """Return the row of a variant of the policy."""
    cells = [
        f"{each.served:.3f} {each.in_time:.3f} {each.opened_connections:.2f}"
        f" ±{each.served_deviation:.3f}"
        for each in scores
    ]
    return f"| {variant} | " + " | ".join(cells) + " |"


def main() -> None:
    """Print the table."""
    print("| served, in time, connections, spread | " + " | ".join(LOADS) + " |")
    print("|---" * (len(LOADS) + 1) + "|")
    with concurrent.futures.ProcessPoolExecutor(PROCESS_COUNT) as pool:
        for variant, enabled in list_variants().items():
            scores_of_loads = pool.map(play, LOADS, [enabled] * len(LOADS))
            print(format_row(variant, scores_of_loads), flush=True)


if __name__ == "__main__":
    main()
