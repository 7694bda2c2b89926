"""Histories of a fleet drawn at random, for the limit on retries.

Each history combines kills with quick restarts, groups of VMs that cannot hear each
other, changes of targets and routes, late and lost datagrams, and targets that turn
work away or fail. The retries are audited as targets see them, so that it does not
matter how the VMs count them.

Run as ``python -m bench.retry_histories FIRST COUNT``; prints a line for each seed and
exits with 1 if the limit was exceeded in any of them.
"""

from __future__ import annotations

import concurrent.futures
import os
import random
import sys

from zinniastand_standins import retry_audit

from . import retry_fleet, retry_loads

SECONDS = 18.0
"""Seconds for which callers send: long enough for the window of the limit to begin
before the first fault and to end after the last one."""

FIRST_FAULT_S = 4.0
LAST_FAULT_S = 13.0


def draw(seed: int) -> retry_loads.Load:
    """Return the load and the faults of a history."""
    rng = random.Random(f"history {seed}")
    vms = rng.choice((24, 36, 48))
    rate = vms * rng.uniform(3.0, 8.0)
    shed_from = rng.uniform(2.0, 11.0)
    return retry_loads.Load(
        vms=vms,
        data_centres=rng.choice((3, 5)),
        target_count=round(vms * rng.choice((0.65, 1.4, 4.0))),
        rate=rate,
        seconds=SECONDS,
        rate_swing=rng.choice((0.0, 0.15, 0.3)),
        idempotent_share=rng.choice((0.25, 1.0)),
        surge=retry_loads.TimedShare(
            shed_from, shed_from + 3.0, rng.choice((0.0, 0.7))
        ),
        shed=retry_loads.TimedShare(
            shed_from, shed_from + rng.uniform(3.0, 8.0), rng.uniform(0.4, 0.7)
        ),
        failing=retry_loads.TimedShare(0.0, SECONDS, rng.choice((0.0, 0.1))),
        kills=_draw_kills(rng),
        cuts=_draw_cuts(rng),
        target_changes=_draw_target_changes(rng, vms),
        route_changes=_draw_route_changes(rng),
        late_datagrams=retry_loads.TimedShare(
            _draw_fault_time(rng), SECONDS, rng.choice((0.0, 0.1, 0.3))
        ),
        mean_late_delay_s=rng.choice((0.12, 0.5)),
        lost_datagram_share=rng.choice((0.001, 0.05)),
        bound=retry_audit.Bound(
            retry_loads.BOUND.ratio, 1.6 * vms, retry_loads.BOUND.span
        ),
    )


def _draw_fault_time(rng: random.Random) -> float:
    return rng.uniform(FIRST_FAULT_S, LAST_FAULT_S)


def _draw_kills(rng: random.Random) -> tuple[retry_loads.Kill, ...]:
    return tuple(
        retry_loads.Kill(
            _draw_fault_time(rng),
            rng.choice((0.1, 0.2, 0.5, 1.0)),
            rng.choice((0.05, 0.6, 1.0)),
            has_successor=rng.random() < 0.5,
        )
        for _ in range(rng.choice((0, 1, 2, 4)))
    )


def _draw_cuts(rng: random.Random) -> tuple[retry_loads.Cut, ...]:
    if rng.random() < 0.6:
        return ()
    begin = _draw_fault_time(rng)
    share = rng.choice((0.1, 0.3, 0.5))
    return (retry_loads.Cut(begin, begin + rng.uniform(2.0, 8.0), share),)


def _draw_target_changes(
    rng: random.Random, vms: int
) -> tuple[retry_loads.TargetChange, ...]:
    return tuple(
        retry_loads.TargetChange(
            _draw_fault_time(rng), round(vms * rng.choice((0.65, 1.4, 4.0, 12.0)))
        )
        for _ in range(rng.choice((0, 0, 1, 2)))
    )


def _draw_route_changes(rng: random.Random) -> tuple[float, ...]:
    if rng.random() < 0.6:
        return ()
    first = _draw_fault_time(rng)
    return (first, first + rng.uniform(1.0, 5.0))


def play(seed: int) -> retry_loads.Result:
    """Simulate the history of a seed."""
    return retry_fleet.Fleet(draw(seed), seed).play()


def main() -> None:
    """Play a series of seeds, several at a time."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    workers = max(1, (os.cpu_count() or 2) // 2)
    exceeded = 0
    with concurrent.futures.ProcessPoolExecutor(workers) as executor:
        seeds = range(first, first + count)
        for seed, result in zip(seeds, executor.map(play, seeds), strict=True):
            worst = result.worst
            exceeded += worst.excess > 0
            print(
                f"{seed:5} {worst.retries:5} of {worst.allowed:7.1f}"
                f" {'EXCEEDED' if worst.excess > 0 else 'kept':8}"
                f" served {result.served_share:.3f} retries {result.retries:5}"
                f" refused for the budget {result.refused['retry-budget']:5}",
                flush=True,
            )
    print(f"{exceeded} of {count} exceeded the limit")
    sys.exit(exceeded > 0)


if __name__ == "__main__":
    main()
