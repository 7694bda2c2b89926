"""The time that decisions use: unix seconds that never jump back."""

from __future__ import annotations

import time
import typing

import anyio

LARGEST_SLEW = 0.01


class Clock(typing.Protocol):
    """Where the time comes from."""

    def now(self) -> float:
        """Return unix seconds, never less than before."""
        ...


class SystemClock:
    """Unix time that follows the machine's clock by small steps only.

    It is driven by the boot-time clock, which goes on while the machine sleeps. A
    holder that was paused sees at once, on waking, how late it is; a step of the wall
    clock, forward or back, moves no deadline.
    """

    def __init__(self) -> None:
        self._base = time.time() - _read_boot_time()
        self._followed_at = _read_boot_time()

    def now(self) -> float:
        """Return unix seconds, never less than before."""
        return self._base + _read_boot_time()

    def follow(self) -> None:
        """Move a little towards the machine's wall clock; call every few seconds."""
        elapsed = _read_boot_time() - self._followed_at
        self._followed_at += elapsed
        error = time.time() - self.now()
        most = LARGEST_SLEW * elapsed
        self._base += max(-most, min(most, error))


def convert_deadline(deadline: float, now: float) -> float:
    """Return a deadline in the clock of the event loop."""
    return anyio.current_time() + (deadline - now)


def _read_boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
