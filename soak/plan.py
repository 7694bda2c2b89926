"""Draws the faults of a soak from its seed."""

from __future__ import annotations

import dataclasses
import enum
import random

from . import links, targets

FAULT_TIME = 9.0
"""Seconds in which faults begin."""

CALM_TIME = 6.0
"""Seconds of load after the last fault."""

MOST_FOR = 3.0
"""Longest fault, in seconds. A stop or restart takes as long as it takes."""

FAULTS_PER_SECOND = 1.5
"""Faults that begin a second: with their length some three overlap."""


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


WEIGHTS = {
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

HOWS: dict[Act, tuple[str, ...]] = {
    Act.STORE: ("busy", "silent", "reset", "lost"),
    Act.STORE_LINK: ("delay", "reset", "mute-back", "mute-forth", "silence"),
    Act.TARGET: tuple(fault.value for fault in targets.Fault if fault.value != "none"),
    Act.TARGET_LINK: tuple(
        trouble.value for trouble in links.Trouble if trouble.value != "none"
    ),
}
"""Variants of an act; the others have none."""


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


def draw(seed: int) -> tuple[Step, ...]:
    """Return the faults of a seed, in the order in which they begin."""
    rng = random.Random(seed)
    acts = list(WEIGHTS)
    steps: list[Step] = []
    at = rng.uniform(0.2, 0.8)
    while at < FAULT_TIME:
        [act] = rng.choices(acts, [WEIGHTS[one] for one in acts])
        how = rng.choice(HOWS.get(act, ("",)))
        steps.append(Step(at, act, rng.randrange(100), rng.uniform(0.3, MOST_FOR), how))
        at += rng.expovariate(FAULTS_PER_SECOND)
    return tuple(steps)
