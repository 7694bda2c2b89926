"""Checks whether a target that broke off an answer has crashed or still runs."""

from __future__ import annotations

import collections.abc

import anyio

from zinniastand_core.deployment import targets

from . import target_connector

CONNECT_TIMEOUT_S = 0.25
"""Seconds to wait for a connection. The host of a crashed process refuses it at once,
which a busy VM sees some hundredths of a second later. A missing reply proves nothing,
since the network may be cut."""

BREAK_TOLERANCE_S = 0.05
"""Seconds by which a check may have started before an answer broke off and still count
for it, since all connections of a crashing target break at the same moment."""

RESULT_RETENTION_S = 0.5
"""Seconds for which the result of a check is kept, from the start of the check."""


CanConnectElsewhere = collections.abc.Callable[
    [targets.Entry], collections.abc.Awaitable[bool]
]
"""Returns whether this VM reaches another target than the given one."""


async def assume_links(_: targets.Entry) -> bool:
    """Return True: nothing can be said about the links of this VM."""
    return True


class CrashCheck:
    """Checks whether targets refuse connections; concurrent callers share a check.

    Parameters
    ----------
    can_connect_elsewhere : CanConnectElsewhere, optional
        Tells a crashed target from a VM whose connections all are reset and refused.
    """

    def __init__(
        self, can_connect_elsewhere: CanConnectElsewhere = assume_links
    ) -> None:
        self._can_connect_elsewhere = can_connect_elsewhere
        self._results: dict[str, tuple[bool, float]] = {}
        self._checks_in_flight: dict[str, anyio.Event] = {}

    async def is_down(self, target: targets.Entry, broke_at: float) -> bool:
        """Return whether a target has refused connections since an answer broke off.

        Parameters
        ----------
        target : targets.Entry
            Target that broke off the answer.
        broke_at : float
            When the answer broke off, in seconds of the event loop's clock.
        """
        name = target.target_id
        while name in self._checks_in_flight:
            await self._checks_in_flight[name].wait()
        stored = self._results.get(name)
        if stored is not None and stored[1] >= broke_at - BREAK_TOLERANCE_S:
            return stored[0]
        started_at = anyio.current_time()
        done = self._checks_in_flight[name] = anyio.Event()
        try:
            is_down = await _refuses_connections(
                target
            ) and await self._can_connect_elsewhere(target)
        finally:
            del self._checks_in_flight[name]
            done.set()
        self._store_result(name, is_down, started_at)
        return is_down

    def _store_result(self, name: str, is_down: bool, started_at: float) -> None:
        now = anyio.current_time()
        self._results = {
            target_name: result
            for target_name, result in self._results.items()
            if now < result[1] + RESULT_RETENTION_S
        }
        self._results[name] = (is_down, started_at)


async def _refuses_connections(target: targets.Entry) -> bool:
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(target.host, target.port)
    except TimeoutError:
        return False
    except OSError as error:
        return target_connector.is_refusal(error)
    await anyio.aclose_forcefully(stream)
    return False
