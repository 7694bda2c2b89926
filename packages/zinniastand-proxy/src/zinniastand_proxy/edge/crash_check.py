"""Tells a target that crashed from one that broke off an answer and lives on."""

from __future__ import annotations

import errno

import anyio
import anyio.abc

from zinniastand_core.deployment import targets

CONNECT_TIMEOUT_S = 0.25
"""Seconds for a connection. A crashed process refuses it at once, which a busy VM
notices some hundredths of a second later; silence says nothing, since the link may be
cut."""

BREAK_TOLERANCE_S = 0.05
"""Seconds by which a check may have begun before an answer broke off: whatever a target
held when it crashed breaks in the same moment."""

RESULT_RETENTION_S = 0.5
"""Seconds for which the result of a check is kept."""


class CrashCheck:
    """Finds out whether targets take connections."""

    def __init__(self) -> None:
        self._is_down: dict[str, tuple[bool, float]] = {}
        self._under_way: dict[str, anyio.Event] = {}

    async def is_down(self, target: targets.Entry, broke_at: float) -> bool:
        """Return whether a target refuses connections since an answer broke off."""
        name = target.target_id
        while name in self._under_way:
            await self._under_way[name].wait()
        known = self._is_down.get(name)
        if known is not None and known[1] >= broke_at - BREAK_TOLERANCE_S:
            return known[0]
        began = anyio.current_time()
        done = self._under_way[name] = anyio.Event()
        try:
            is_down = await _refuses(target)
        finally:
            del self._under_way[name]
            done.set()
        self._keep(name, is_down, began)
        return is_down

    def _keep(self, name: str, is_down: bool, began: float) -> None:
        now = anyio.current_time()
        self._is_down = {
            known: result
            for known, result in self._is_down.items()
            if now < result[1] + RESULT_RETENTION_S
        }
        self._is_down[name] = (is_down, began)


async def _refuses(target: targets.Entry) -> bool:
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(target.host, target.port)
    except TimeoutError:
        return False
    except OSError as error:
        return _is_refusal(error)
    await anyio.aclose_forcefully(stream)
    return False


def _is_refusal(error: OSError) -> bool:
    """Return whether a failure to connect says that nobody listens there."""
    found: BaseException | None = error
    while found is not None:
        if getattr(found, "errno", None) == errno.ECONNREFUSED:
            return True
        found = found.__cause__
    return False
