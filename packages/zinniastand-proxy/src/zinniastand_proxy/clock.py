"""The clock that decisions use: Unix seconds that never go backwards."""

from __future__ import annotations

import time
import typing

import anyio

MAX_SLEW_RATE = 0.01
"""Maximum correction, in seconds per elapsed second."""


class Clock(typing.Protocol):
    """Source of the current time."""

    def now(self) -> float:
        """Return Unix seconds, never less than an earlier call returned."""
        ...


class SystemClock:
    """Unix time that is slewed towards the machine's wall clock, never stepped.

    It is driven by the boot-time clock, which keeps running while the machine is
    suspended. A process that holds a claim and was paused therefore sees at once how
    late it is, and a step of the wall clock, forward or back, changes no deadline.
    """

    def __init__(self) -> None:
        self._base = time.time() - _read_boot_time()
        self._adjusted_at = _read_boot_time()

    def now(self) -> float:
        """Return Unix seconds, never less than an earlier call returned."""
        return self._base + _read_boot_time()

    def adjust_to_wall_clock(self) -> None:
        """Slew towards the machine's wall clock; to be called every few seconds."""
        elapsed = _read_boot_time() - self._adjusted_at
        self._adjusted_at += elapsed
        clock_error = time.time() - self.now()
        max_change = MAX_SLEW_RATE * elapsed
        self._base += max(-max_change, min(max_change, clock_error))


def convert_deadline(deadline: float, now: float) -> float:
    """Convert a deadline from this clock to the clock of the event loop.

    Parameters
    ----------
    deadline : float
        Unix seconds by a `Clock`.
    now : float
        Current Unix seconds by the same `Clock`.

    Returns
    -------
    float
        Seconds by `anyio.current_time`.
    """
    return anyio.current_time() + (deadline - now)


def _read_boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
