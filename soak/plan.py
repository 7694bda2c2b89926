"""Draws the faults of a soak from its seed."""

from __future__ import annotations

import dataclasses
import enum
import random

from . import links

FAULT_TIME = 9.0
"""Seconds in which faults begin."""

CALM_TIME = 6.0
"""Seconds of load after the last fault."""

MOST_FOR = 3.0
"""Longest fault, in seconds. A stop or restart takes as long as it takes."""

FAULTS_PER_SECOND = 1.5
"""Faults that begin a second: with their length some three overlap."""


class Kind(enum.StrEnum):
    """Which faults a plan is drawn from."""

    MIXED = "mixed"
    """All sorts."""

    ROLLING = "rolling"
    """Restarts in series, and targets of which the second fails too."""

    SERIES = "series"
    """All sorts and stops in series; callers send ahead of the answers."""

    DRILLS = "drills"
    """All sorts; the store returns from an older copy."""

    LIMITS = "limits"
    """All sorts; targets name how many requests a second they take."""

    RETRIES = "retries"
    """All sorts; whole services turn work away, and VMs are killed meanwhile."""

    CRASHES = "crashes"
    """All sorts; requests that crash whatever runs them, and targets that crash."""


class Act(enum.StrEnum):
    """What a step does."""

    KILL = "kill"
    """SIGKILL to a VM, which starts again."""

    STOP = "stop"
    """SIGTERM to a VM, which starts again once it has ended."""

    PAUSE = "pause"
    """SIGSTOP to a VM, SIGCONT later."""

    RELOAD = "reload"
    """SIGHUP to a VM."""

    STORE = "store"
    """The store misbehaves for all."""

    FORGET = "forget"
    """The store drops its history."""

    STORE_LINK = "store-link"
    """The link of one VM to the store."""

    TARGET = "target"
    """A target misbehaves."""

    TARGET_LINK = "target-link"
    """The link of all VMs to a target."""

    REPLACE = "replace"
    """A target drains and leaves; a new one takes its place."""

    PUBLISH = "publish"
    """A new version leads a route to the other service."""

    ROLL = "roll"
    """SIGTERM to most VMs, one soon after the other."""

    ABSENT = "absent"
    """A target is registered, and nobody listens at its address."""

    DRILL = "drill"
    """The store is away for a moment and returns from a copy some seconds old."""

    LIMIT = "limit"
    """A target in need names a limit, for longer than other faults last."""

    CRASH = "crash"
    """A target crashes by itself; another one takes its place later."""

    CRASHING = "crashing"
    """A request that crashes its targets is sent again and again to any VM."""

    SHED = "shed"
    """All targets of a service turn away what they get."""

    CORNER = "corner"
    """A target takes long at times while the others of its service misbehave."""


MIXED = {
    Act.KILL: 2,
    Act.STOP: 3,
    Act.PAUSE: 2,
    Act.RELOAD: 1,
    Act.STORE: 2,
    Act.FORGET: 1,
    Act.STORE_LINK: 2,
    Act.TARGET: 4,
    Act.TARGET_LINK: 4,
    Act.REPLACE: 3,
    Act.PUBLISH: 3,
}

ROLLING = {
    Act.ROLL: 3,
    Act.STOP: 1,
    Act.RELOAD: 1,
    Act.TARGET: 6,
    Act.CORNER: 6,
    Act.ABSENT: 4,
    Act.REPLACE: 1,
    Act.PUBLISH: 1,
}
"""No VM is killed or paused and no link is in trouble: those excuse an answer lost."""

WEIGHTS = {
    Kind.MIXED: MIXED,
    Kind.ROLLING: ROLLING,
    Kind.SERIES: {**MIXED, Act.ROLL: 2},
    Kind.DRILLS: {**MIXED, Act.DRILL: 4, Act.REPLACE: 6, Act.ROLL: 1},
    Kind.LIMITS: {**MIXED, Act.LIMIT: 8, Act.ROLL: 1},
    Kind.RETRIES: {**MIXED, Act.SHED: 8, Act.KILL: 5, Act.PAUSE: 4, Act.ROLL: 1},
    Kind.CRASHES: {**MIXED, Act.CRASH: 8, Act.CRASHING: 2},
}

ROLLING_FAULTS = ("slow", "uneven", "hang", "shed", "unsigned", "foreign", "error")
"""Variants of a target's fault in a rolling plan."""

CORNER_FAULTS = ("shed", "unsigned", "foreign", "error", "bare")
"""How the other targets fail whatever one that takes long is given up for."""

HOWS: dict[Act, tuple[str, ...]] = {
    Act.STORE: ("busy", "silent", "reset", "lost"),
    Act.STORE_LINK: ("delay", "reset", "mute-back", "mute-forth", "silence"),
    Act.TARGET: ("error", "hang", "shed", "bare", "slow", "unsigned"),
    Act.TARGET_LINK: tuple(
        trouble.value for trouble in links.Trouble if trouble.value != "none"
    ),
}
"""Variants of an act; the others have none."""

ROLLING_HOWS = {**HOWS, Act.TARGET: ROLLING_FAULTS, Act.CORNER: CORNER_FAULTS}
"""The same in a rolling plan."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault."""

    at: float
    """Seconds from the start of the load."""

    act: Act
    """What is done."""

    which: int
    """Number of the VM or target, taken modulo how many there are."""

    for_s: float
    """How long it lasts, where it lasts."""

    how: str = ""
    """Its variant."""


def draw(seed: int, kind: Kind = Kind.MIXED) -> tuple[Step, ...]:
    """Return the faults of a seed, in the order in which they begin."""
    rng = random.Random(seed)
    weights = WEIGHTS[kind]
    hows = ROLLING_HOWS if kind is Kind.ROLLING else HOWS
    acts = list(weights)
    steps: list[Step] = []
    at = rng.uniform(0.2, 0.8)
    while at < FAULT_TIME:
        [act] = rng.choices(acts, [weights[one] for one in acts])
        how = rng.choice(hows.get(act, ("",)))
        steps.append(Step(at, act, rng.randrange(100), rng.uniform(0.3, MOST_FOR), how))
        at += rng.expovariate(FAULTS_PER_SECOND)
    return tuple(steps)
