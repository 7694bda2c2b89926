"""Planted bugs that the soak must catch: ``python -m soak.plants``.

They show that the soak is able to fail. Each plant removes one safeguard from a
temporary copy of the sources, and seeds are played against the copy until they break
the promise that the plant names.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import pathlib
import shutil
import sys
import tempfile

from . import plan, run, vms

CORE_PATH = "packages/zinniastand-core/src/zinniastand_core"
EDGE_PATH = "packages/zinniastand-proxy/src/zinniastand_proxy/edge"
SUSPECT_PATH = f"{CORE_PATH}/quarantine/suspect.py"
CRASH_LIMIT_NAME = "CRASHES_TO_QUARANTINE"
"""Constant in the file at `SUSPECT_PATH` that limits the crashes by a request."""

MAX_SEEDS = 20
"""Seeds after which a plant counts as not caught."""

JOBS = 4
"""Number of seeds that are played at the same time."""

FIRST_SEED = 101


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """A replacement in a source file."""

    path: str
    """Path of the file from the root of the checkout."""

    old: str
    """Text to replace, which occurs once in the file."""

    new: str
    """Text that replaces it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plant:
    """A planted bug."""

    name: str
    """Description of the bug, which is printed."""

    promise: str
    """Name of the promise that the bug must break."""

    replacements: tuple[Replacement, ...]
    """Replacements that plant the bug."""

    kind: plan.Kind = plan.Kind.MIXED
    """Kind of the plans that reveal the bug."""


PLANTS = (
    Plant(
        "work that may run only once is sent again",
        "once",
        (
            Replacement(
                f"{CORE_PATH}/forwarding/plan.py",
                "return self.is_idempotent or not self.may_have_run",
                "return True",
            ),
        ),
    ),
    Plant(
        "an older configuration stays in force",
        "version",
        (
            Replacement(
                f"{CORE_PATH}/deployment/configuration.py",
                "if candidate.version <= self.version:",
                "if self.version and candidate.version % 3 == 0:",
            ),
        ),
    ),
    Plant(
        "a stop does not wait for requests that were read",
        "cut",
        (
            Replacement(
                f"{EDGE_PATH}/stopping.py",
                "callers.has_unfinished_work() or vm.count_relayed()",
                "False",
            ),
        ),
        plan.Kind.ROLLING,
    ),
    Plant(
        "work is broken off long before its time limit",
        "given-up",
        (
            Replacement(
                f"{EDGE_PATH}/run_messages.py",
                "incoming.first_byte_at + min(",
                "incoming.first_byte_at + 0.3 * min(",
            ),
        ),
    ),
    Plant(
        "a stop accepts late work whatever its time limit",
        "given-up",
        (
            Replacement(
                f"{CORE_PATH}/forwarding/planned_end.py",
                "return deadline_at <= self.answer_by or now < self.noticed_at",
                "return now < self.answer_by - 1.0",
            ),
        ),
        plan.Kind.STOPS,
    ),
    Plant(
        "a draining target gets new work",
        "draining",
        (
            Replacement(
                f"{CORE_PATH}/deployment/targets.py",
                "return entry if entry and entry.phase is Phase.READY else None",
                "return entry",
            ),
            Replacement(
                f"{CORE_PATH}/deployment/targets.py",
                "if entry.service == service and entry.phase is Phase.READY",
                "if entry.service == service",
            ),
        ),
    ),
    Plant(
        "places in the store are compared by offsets alone",
        "draining",
        (
            Replacement(
                f"{CORE_PATH}/deployment/positions.py",
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
            Replacement(
                f"{CORE_PATH}/deployment/targets.py",
                "return entry.sequence <= latest.sequence and not is_repeat",
                "return False",
            ),
        ),
        plan.Kind.DRILLS,
    ),
    Plant(
        "a limit that a target names is not kept",
        "limit",
        (
            Replacement(
                f"{CORE_PATH}/dispatch/rate_limit.py",
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
            Replacement(
                f"{CORE_PATH}/dispatch/retry_ledger.py",
                "self._retries[index] += amount",
                "self._retries[index] += 0.0",
            ),
        ),
        plan.Kind.RETRIES,
    ),
    Plant(
        "a request that crashes its targets goes on to many",
        "crashing",
        (
            Replacement(
                SUSPECT_PATH, f"{CRASH_LIMIT_NAME} = 3", f"{CRASH_LIMIT_NAME} = 30"
            ),
        ),
        plan.Kind.CRASHES,
    ),
    Plant(
        "a VM without links does not use the links of others",
        "partitions",
        (
            Replacement(
                f"{EDGE_PATH}/relaying_connector.py",
                "return await self._connect_relayed(target, time_left)",
                "return await self._direct.connect(target, time_left)",
            ),
        ),
        plan.Kind.PARTITIONS,
    ),
    Plant(
        "a request is kept from targets after one crash, answered or not",
        "denied",
        (
            Replacement(
                SUSPECT_PATH, f"{CRASH_LIMIT_NAME} = 3", f"{CRASH_LIMIT_NAME} = 1"
            ),
            Replacement(
                f"{EDGE_PATH}/request_run.py", "if attempt.is_success:", "if False:"
            ),
        ),
        plan.Kind.CRASHES,
    ),
)


def copy_sources(plant: Plant, folder: pathlib.Path) -> pathlib.Path:
    """Copy the sources to a folder and plant a bug in them.

    Returns the script of the copy that starts a daemon.

    Raises
    ------
    ValueError
        If a text to replace does not occur exactly once in its file.
    """
    program = vms.find_default_program()
    root = program.parent.parent
    ignored = shutil.ignore_patterns("__pycache__", "*.egg-info")
    for part in ("packages", "platform"):
        shutil.copytree(root / part, folder / part, ignore=ignored)
    for replacement in plant.replacements:
        path = folder / replacement.path
        text = path.read_text()
        if text.count(replacement.old) != 1:
            raise ValueError(
                f"{replacement.path}: {replacement.old!r} does not occur exactly once"
            )
        path.write_text(text.replace(replacement.old, replacement.new))
    return folder / "platform" / "launch.py"


def count_seeds_to_catch(plant: Plant, folder: pathlib.Path) -> int:
    """Return the number of seeds until the plant was caught, 0 if it was not."""
    program = copy_sources(plant, folder / "sources")
    scenario = run.Scenario(plant.kind)
    seeds = list(range(FIRST_SEED, FIRST_SEED + MAX_SEEDS))
    with concurrent.futures.ProcessPoolExecutor(JOBS) as pool:
        for batch_start in range(0, MAX_SEEDS, JOBS):
            batch = seeds[batch_start : batch_start + JOBS]
            futures = [
                pool.submit(run.play_seed, seed, folder / str(seed), program, scenario)
                for seed in batch
            ]
            for index, future in enumerate(futures):
                breaches = future.result().breaches
                if any(breach.promise == plant.promise for breach in breaches):
                    return batch_start + index + 1
    return 0


def main() -> int:
    """Print by which seed each plant was caught; return the exit code.

    The code is 1 if a plant was not caught, else 0.
    """
    missed_count = 0
    for plant in PLANTS:
        with tempfile.TemporaryDirectory(prefix="plant-") as folder:
            seed_count = count_seeds_to_catch(plant, pathlib.Path(folder))
        verdict = (
            f"caught by seed {seed_count} of {MAX_SEEDS}"
            if seed_count
            else "NOT CAUGHT"
        )
        print(f"{plant.name}: {verdict}", flush=True)
        missed_count += not seed_count
    return 1 if missed_count else 0


if __name__ == "__main__":
    sys.exit(main())
