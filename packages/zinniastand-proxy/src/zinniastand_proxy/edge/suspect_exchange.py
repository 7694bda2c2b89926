"""Tells the fleet which requests are suspected of crashing their targets.

A request that crashes its targets returns at any VM, and each sees a crash or two. A VM
that sees a crash tells a few others, which count. From the second crash on everybody is
told: whoever learns something new passes it on at once, and tells what it knows to
some others from time to time, so that VMs that start, wake or were cut off hear it.
"""

from __future__ import annotations

import random

import anyio

from zinniastand_core.deployment import targets
from zinniastand_core.quarantine import quarantine, suspect

from . import datagrams, log_lines, members, peer_link, ports

ANNOUNCE_INTERVAL_S = 0.6
"""Seconds between two tellings. A VM that has heard nothing hears of it from four
others meanwhile, on average."""

FANOUT = 4
"""VMs that are told at a time. News that each receiver passes on once reach nearly all
of a fleet so; regular tellings reach the rest."""

COUNTERS = 3
"""VMs that count the crashes of one request while only one is known."""

COUNTING_TASKS = 64
"""Tasks into which requests are divided for counting."""

TELL_OWN_FOR = 2.5
"""Seconds for which a VM tells the crashes that it has seen to those that count: their
number may change, and datagrams may be lost."""

MOST_TOLD = 48
"""Requests in one datagram, so that it stays well below the largest one."""

MOST_OWN = 256
"""Crashes seen here that are told again."""


class SuspectExchange:
    """Shares what one VM knows of such requests with all others.

    Parameters
    ----------
    known : quarantine.Quarantine
        What this VM knows.
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Datagrams to them.
    log : log_lines.LogLines
        Requests that are quarantined and cleared.
    rng : random.Random
        Draws whom to tell.
    """

    def __init__(
        self,
        known: quarantine.Quarantine,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        rng: random.Random,
    ) -> None:
        self._known = known
        self._fleet = fleet
        self._link = link
        self._log = log
        self._rng = rng
        self._own: dict[str, float] = {}

    async def run(self) -> None:
        """Tell what is known from time to time, until cancelled."""
        while True:
            await anyio.sleep(ANNOUNCE_INTERVAL_S)
            now = anyio.current_time()
            self._known.drop_expired(now)
            self._tell_counters(now)
            self._tell_some(self._known.list_shared())

    def find_hold_end(self, fingerprint: str, now: float) -> float | None:
        """Return until when a request is kept from targets; None where it is not."""
        return self._known.find_hold_end(fingerprint, now)

    def begin_attempt(self, fingerprint: str, now: float) -> None:
        """Take in that a request is about to be sent."""
        if self._known.begin_trial(fingerprint, now):
            self._log.write("quarantine_trial", fingerprint=fingerprint)
            self._tell_some([fingerprint])

    def record_crash(
        self, fingerprint: str, target: targets.Entry, started_at: float
    ) -> None:
        """Take in that a target crashed while it held a request."""
        now = anyio.current_time()
        name = f"{target.target_id}:{target.born}"
        crash = suspect.Crash(now, now - started_at, name)
        self._take(fingerprint, suspect.Suspect((crash,)), now)
        if len(self._own) < MOST_OWN or fingerprint in self._own:
            self._own[fingerprint] = now + TELL_OWN_FOR
        self._tell_counters_of(fingerprint, now)

    def record_answer(self, fingerprint: str) -> None:
        """Take in that a target answered a request."""
        if self._known.record_answer(fingerprint, anyio.current_time()):
            self._log.write("quarantine_cleared", fingerprint=fingerprint)
            self._tell_some([fingerprint])

    def apply(self, message: datagrams.SuspectRequests) -> None:
        """Take in what another VM knows."""
        now = anyio.current_time()
        for fingerprint, heard in message.items:
            self._take(fingerprint, heard, now)

    def announce_to(self, member: ports.Member) -> None:
        """Tell a VM that knows nothing yet."""
        self._send(self._known.list_shared(), [member])

    def compensate_suspension(self, seconds: float) -> None:
        """Take in that the clock has not counted some time."""
        self._known.compensate_suspension(seconds)

    def count_quarantined(self) -> int:
        """Return how many requests are quarantined."""
        return self._known.count_quarantined(anyio.current_time())

    def _take(self, fingerprint: str, heard: suspect.Suspect, now: float) -> None:
        was_held = self._known.find_hold_end(fingerprint, now) is not None
        if not self._known.merge(fingerprint, heard):
            return
        found = self._known.find(fingerprint)
        if found is None:
            return
        if found.is_quarantined(now) and not was_held:
            self._log.write(
                "quarantined",
                fingerprint=fingerprint,
                crashes=found.count_consecutive(),
                seconds=round(found.find_hold_end() - now, 1),
            )
        if quarantine.is_shared(found):
            self._tell_some([fingerprint])

    def _tell_counters(self, now: float) -> None:
        """Tell again what was seen here lately to those who count it now."""
        self._own = {name: until for name, until in self._own.items() if until > now}
        for fingerprint in self._own:
            self._tell_counters_of(fingerprint, now)

    def _tell_counters_of(self, fingerprint: str, now: float) -> None:
        found = self._known.find(fingerprint)
        if found is None or quarantine.is_shared(found):
            return
        number = int(fingerprint[:8], 16) % COUNTING_TASKS
        ranked = self._fleet.rank_reachable(f"count crashes {number}", now)
        counting = [self._fleet.find(vm) for vm in ranked[:COUNTERS]]
        own = self._fleet.own.vm
        others = [one for one in counting if one is not None and one.vm != own]
        self._send([fingerprint], others)

    def _tell_some(self, fingerprints: list[str]) -> None:
        others = self._fleet.list_others()
        told = self._rng.sample(others, min(FANOUT, len(others)))
        self._send(fingerprints, told)

    def _send(self, fingerprints: list[str], told: list[ports.Member]) -> None:
        if not fingerprints or not told:
            return
        if len(fingerprints) > MOST_TOLD:
            fingerprints = self._rng.sample(fingerprints, MOST_TOLD)
        items = tuple(
            (name, found)
            for name in fingerprints
            if (found := self._known.find(name)) is not None
        )
        self._link.send_many(datagrams.SuspectRequests(items), told)
