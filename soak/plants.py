"""Planted bugs that the soak must catch: ``python -m soak.plants``.

A soak that cannot fail proves nothing. Each plant breaks one safeguard in a scratch
copy of the sources, and seeds are played against that copy until a promise breaks.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import pathlib
import shutil
import sys
import tempfile

from . import plan, run, vms

CORE = "packages/zinniastand-core/src/zinniastand_core"
EDGE = "packages/zinniastand-proxy/src/zinniastand_proxy/edge"
SUSPECT = f"{CORE}/quarantine/suspect.py"
LIMIT = "CRASHES_TO_QUARANTINE"
MOST_SEEDS = 20
"""Seeds after which a plant counts as not caught."""

JOBS = 4
FIRST_SEED = 101


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One replacement in a source file."""

    path: str
    """File, from the root of the checkout."""

    old: str
    """Text that stands there once."""

    new: str
    """Text that takes its place."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plant:
    """One bug."""

    name: str
    """What is broken."""

    promise: str
    """The promise that must break."""

    changes: tuple[Change, ...]
    """How it is planted."""

    kind: plan.Kind = plan.Kind.MIXED
    """Which faults show it."""


PLANTS = (
    Plant(
        "work that may run only once is sent again",
        "once",
        (
            Change(
                f"{CORE}/forwarding/plan.py",
                "return self.is_idempotent or not self.may_have_run",
                "return True",
            ),
        ),
    ),
    Plant(
        "an older configuration stays in force",
        "version",
        (
            Change(
                f"{CORE}/deployment/configuration.py",
                "if candidate.version <= self.version:",
                "if self.version and candidate.version % 3 == 0:",
            ),
        ),
    ),
    Plant(
        "a stop does not wait for requests that were read",
        "cut",
        (
            Change(
                f"{EDGE}/stopping.py",
                "while served.has_unfinished_work() and anyio.current_time() < end:",
                "while False:",
            ),
        ),
        plan.Kind.ROLLING,
    ),
    Plant(
        "work is broken off long before its time limit",
        "given-up",
        (
            Change(
                f"{EDGE}/request_run.py",
                "limit = incoming.first_byte_at + min(",
                "limit = incoming.first_byte_at + 0.3 * min(",
            ),
        ),
    ),
    Plant(
        "a draining target gets new work",
        "draining",
        (
            Change(
                f"{CORE}/deployment/targets.py",
                "return entry if entry and entry.phase is Phase.READY else None",
                "return entry",
            ),
            Change(
                f"{CORE}/deployment/targets.py",
                "if entry.service == service and entry.phase is Phase.READY",
                "if entry.service == service",
            ),
        ),
    ),
    Plant(
        "places in the store are compared by offsets alone",
        "draining",
        (
            Change(
                f"{CORE}/deployment/positions.py",
                "return era * OFFSETS_PER_ERA + offset",
                "return offset",
            ),
        ),
        plan.Kind.DRILLS,
    ),
    Plant(
        "a copy of the store brings leaving targets back",
        "draining",
        (
            Change(
                f"{CORE}/deployment/targets.py",
                "return entry.sequence <= known.sequence and not is_repeat",
                "return False",
            ),
        ),
        plan.Kind.DRILLS,
    ),
    Plant(
        "a limit that a target names is not kept",
        "limit",
        (
            Change(
                f"{CORE}/dispatch/rate_limit.py",
                "return now >= self._due_at - BURST_S",
                "return True",
            ),
        ),
        plan.Kind.LIMITS,
    ),
    Plant(
        "a retry is not counted",
        "retries",
        (
            Change(
                f"{CORE}/dispatch/retry_window.py",
                "self._retries[-1] += 1",
                "self._retries[-1] += 0",
            ),
        ),
        plan.Kind.RETRIES,
    ),
    Plant(
        "a request that crashes its targets goes on to many",
        "crashing",
        (Change(SUSPECT, f"{LIMIT} = 3", f"{LIMIT} = 30"),),
        plan.Kind.CRASHES,
    ),
    Plant(
        "a request is kept from targets after one crash, answered or not",
        "denied",
        (
            Change(SUSPECT, f"{LIMIT} = 3", f"{LIMIT} = 1"),
            Change(f"{EDGE}/request_run.py", "elif attempt.is_success:", "elif False:"),
        ),
        plan.Kind.CRASHES,
    ),
)


def copy_sources(plant: Plant, folder: pathlib.Path) -> pathlib.Path:
    """Copy the sources with the bug in them; return the script to start."""
    program = vms.find_default_program()
    root = program.parent.parent
    ignored = shutil.ignore_patterns("__pycache__", "*.egg-info")
    for part in ("packages", "platform"):
        shutil.copytree(root / part, folder / part, ignore=ignored)
    for change in plant.changes:
        path = folder / change.path
        text = path.read_text()
        if text.count(change.old) != 1:
            raise ValueError(f"{change.path}: {change.old!r} does not stand there once")
        path.write_text(text.replace(change.old, change.new))
    return folder / "platform" / "launch.py"


def catch(plant: Plant, folder: pathlib.Path) -> int:
    """Return after how many seeds the plant was caught, or 0."""
    program = copy_sources(plant, folder / "sources")
    shape = run.Shape(plant.kind)
    seeds = list(range(FIRST_SEED, FIRST_SEED + MOST_SEEDS))
    with concurrent.futures.ProcessPoolExecutor(JOBS) as pool:
        for begin in range(0, MOST_SEEDS, JOBS):
            some = seeds[begin : begin + JOBS]
            futures = [
                pool.submit(run.play, seed, folder / str(seed), program, shape)
                for seed in some
            ]
            for number, future in enumerate(futures):
                breaches = future.result().breaches
                if any(one.promise == plant.promise for one in breaches):
                    return begin + number + 1
    return 0


def main() -> int:
    """Print after how many seeds each plant is caught; 1 if one is not."""
    missed = 0
    for plant in PLANTS:
        with tempfile.TemporaryDirectory(prefix="plant-") as folder:
            seeds = catch(plant, pathlib.Path(folder))
        told = f"caught by seed {seeds} of {MOST_SEEDS}" if seeds else "NOT CAUGHT"
        print(f"{plant.name}: {told}", flush=True)
        missed += not seeds
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
