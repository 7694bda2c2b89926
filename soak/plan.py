"""Draws the faults of a soak from its seed."""

from __future__ import annotations

import dataclasses
import enum
import random

from zinniastand_standins import partition

from . import links

FAULT_PHASE_S = 9.0
"""Seconds in which actions begin."""

CALM_PHASE_S = 6.0
"""Seconds for which callers go on sending after the last action."""

MAX_FAULT_S = 3.0
"""Longest duration of a fault, in seconds. Stops and restarts are not cut short."""

FAULTS_PER_SECOND = 1.5
"""Mean number of actions that begin in a second. At their mean duration, about three
overlap."""


class Kind(enum.StrEnum):
    """Kind of plan, which determines the faults that are drawn."""

    MIXED = "mixed"
    """Faults of VMs, links, targets and the store."""

    ROLLING = "rolling"
    """Rolling restarts, and requests of which the second target fails as well."""

    SERIES = "series"
    """Mixed faults and rolling restarts, while callers send requests in series."""

    DRILLS = "drills"
    """Mixed faults, and a store that is restored from an older snapshot."""

    LIMITS = "limits"
    """Mixed faults, and targets that name a rate limit."""

    RETRIES = "retries"
    """Mixed faults, and services that refuse all requests while VMs are killed."""

    PARTITIONS = "partitions"
    """Mixed faults, and groups of VMs that are partitioned from all targets."""

    STOPS = "stops"
    """Rolling restarts, while requests take long and also come to VMs that stop."""

    CRASHES = "crashes"
    """Mixed faults, targets that crash, and requests that crash targets."""


class Action(enum.StrEnum):
    """What a step does."""

    KILL = "kill"
    """Sends SIGKILL to a VM, which starts again."""

    STOP = "stop"
    """Sends SIGTERM to a VM, which starts again once it has ended."""

    PAUSE = "pause"
    """Sends SIGSTOP to a VM, and SIGCONT later."""

    RELOAD = "reload"
    """Sends SIGHUP to a VM."""

    STORE = "store"
    """Injects a fault into the store, for all VMs."""

    FORGET = "forget"
    """Drops the history of the store."""

    STORE_LINK = "store-link"
    """Injects a fault into the link between one VM and the store."""

    TARGET = "target"
    """Injects a fault into a target."""

    TARGET_LINK = "target-link"
    """Injects a fault into the link between all VMs and a target."""

    REPLACE = "replace"
    """Drains and removes a target after a new one has taken its place."""

    PUBLISH = "publish"
    """Publishes a configuration that sends one route to the other service."""

    ROLL = "roll"
    """Sends SIGTERM to all VMs but one, at short intervals."""

    ABSENT = "absent"
    """Registers a target at an address where nothing listens."""

    DRILL = "drill"
    """Takes the store down for a moment, and restores an older snapshot."""

    LIMIT = "limit"
    """Lets a target name a rate limit, for longer than other faults last."""

    CRASH = "crash"
    """Crashes a target; another one takes its place later."""

    CRASHING = "crashing"
    """Sends a request that crashes targets again and again, to any VM."""

    SHED = "shed"
    """Lets all targets of a service refuse all requests."""

    PARTITION = "partition"
    """Partitions a group of VMs from all targets."""

    CORNER = "corner"
    """Lets one target be slow at times while all others of its service fail."""


MIXED_WEIGHTS = {
    Action.KILL: 2,
    Action.STOP: 3,
    Action.PAUSE: 2,
    Action.RELOAD: 1,
    Action.STORE: 2,
    Action.FORGET: 1,
    Action.STORE_LINK: 2,
    Action.TARGET: 4,
    Action.TARGET_LINK: 4,
    Action.REPLACE: 3,
    Action.PUBLISH: 3,
}

ROLLING_WEIGHTS = {
    Action.ROLL: 3,
    Action.STOP: 1,
    Action.RELOAD: 1,
    Action.TARGET: 6,
    Action.CORNER: 6,
    Action.ABSENT: 4,
    Action.REPLACE: 1,
    Action.PUBLISH: 1,
}
"""Actions that don't kill or pause VMs and spare the links, since these faults excuse a
lost answer."""

WEIGHTS_BY_KIND = {
    Kind.MIXED: MIXED_WEIGHTS,
    Kind.ROLLING: ROLLING_WEIGHTS,
    Kind.SERIES: {**MIXED_WEIGHTS, Action.ROLL: 2},
    Kind.DRILLS: {**MIXED_WEIGHTS, Action.DRILL: 4, Action.REPLACE: 6, Action.ROLL: 1},
    Kind.LIMITS: {**MIXED_WEIGHTS, Action.LIMIT: 8, Action.ROLL: 1},
    Kind.RETRIES: {
        **MIXED_WEIGHTS,
        Action.SHED: 8,
        Action.KILL: 5,
        Action.PAUSE: 4,
        Action.ROLL: 1,
    },
    Kind.PARTITIONS: {
        **MIXED_WEIGHTS,
        Action.PARTITION: 8,
        Action.KILL: 3,
        Action.ROLL: 1,
    },
    Kind.STOPS: {
        Action.ROLL: 2,
        Action.STOP: 6,
        Action.RELOAD: 3,
        Action.REPLACE: 1,
        Action.PUBLISH: 2,
    },
    Kind.CRASHES: {**MIXED_WEIGHTS, Action.CRASH: 8, Action.CRASHING: 2},
}

ROLLING_TARGET_FAULTS = (
    "slow",
    "uneven",
    "hang",
    "shed",
    "unsigned",
    "foreign",
    "error",
)
"""Variants of `Action.TARGET` in a rolling plan."""

CORNER_TARGET_FAULTS = ("shed", "unsigned", "foreign", "error", "bare")
"""Variants of `Action.CORNER`: how the targets fail to which the proxy turns when it
gives up the slow one."""

VARIANTS: dict[Action, tuple[str, ...]] = {
    Action.STORE: ("busy", "silent", "reset", "lost"),
    Action.STORE_LINK: ("delay", "reset", "mute-back", "mute-forth", "silence"),
    Action.PARTITION: tuple(cut.value for cut in partition.Cut),
    Action.TARGET: ("error", "hang", "shed", "bare", "slow", "unsigned"),
    Action.TARGET_LINK: tuple(
        fault.value for fault in links.LinkFault if fault.value != "none"
    ),
}
"""Variants of actions, from which one is drawn; the other actions have none."""

ROLLING_VARIANTS = {
    **VARIANTS,
    Action.TARGET: ROLLING_TARGET_FAULTS,
    Action.CORNER: CORNER_TARGET_FAULTS,
}
"""Variants of actions in a rolling plan."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """An action of a plan and its time."""

    start_s: float
    """Seconds from the first request of the callers."""

    action: Action
    """The action."""

    index: int
    """Selects the VM or target: its index, modulo the number of VMs or targets."""

    duration_s: float
    """Duration of the fault in seconds; ignored by actions without one."""

    variant: str = ""
    """Variant of the action; empty if it has none."""


def draw_steps(seed: int, kind: Kind = Kind.MIXED) -> tuple[Step, ...]:
    """Return the steps drawn from a seed, in ascending order of their start."""
    rng = random.Random(seed)
    weights = WEIGHTS_BY_KIND[kind]
    variants = ROLLING_VARIANTS if kind is Kind.ROLLING else VARIANTS
    actions = list(weights)
    steps: list[Step] = []
    start_s = rng.uniform(0.2, 0.8)
    while start_s < FAULT_PHASE_S:
        [action] = rng.choices(actions, [weights[candidate] for candidate in actions])
        variant = rng.choice(variants.get(action, ("",)))
        steps.append(
            Step(
                start_s,
                action,
                rng.randrange(100),
                rng.uniform(0.3, MAX_FAULT_S),
                variant,
            )
        )
        start_s += rng.expovariate(FAULTS_PER_SECOND)
    return tuple(steps)
