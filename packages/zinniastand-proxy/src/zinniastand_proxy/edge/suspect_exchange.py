"""Exchanges records of requests that are suspected of crashing their targets.

A request that crashes its targets may be repeated at any VM, so that each VM sees only
a crash or two. A VM that sees a crash reports it to a few VMs that count. From the
second crash on, the record spreads to all VMs by gossip: a VM that receives something
new forwards it at once to a few others. Each VM also sends its records to a few others
at regular intervals, so that VMs that start, resume or were cut off receive them.
"""

from __future__ import annotations

import random

import anyio

from zinniastand_core.deployment import targets
from zinniastand_core.quarantine import quarantine, suspect

from . import datagrams, log_lines, members, peer_link, ports

ANNOUNCE_INTERVAL_S = 0.6
"""Seconds between the regular announcements of a VM. Within one interval, each VM gets
an announcement from four others on average."""

FANOUT = 4
"""Number of VMs that an update is sent to. Forwarded once by each receiver, it reaches
nearly all of a fleet; regular announcements reach the rest."""

COUNTING_VMS = 3
"""Number of VMs that count the crashes of a request while only one crash is known."""

COUNTING_TASKS = 64
"""Number of tasks among which requests are divided for counting. The VMs that rank
highest for a task count the crashes of its requests."""

OWN_CRASH_REPEAT_DURATION_S = 2.5
"""Seconds for which a VM repeats a crash that it has seen to the counting VMs, since
these may change and datagrams may be lost."""

MAX_RECORDS_PER_DATAGRAM = 48
"""Limit on the records in a datagram, which keeps it well below the maximum size."""

MAX_OWN_CRASHES = 256
"""Limit on the requests whose crashes, seen by this VM, are repeated at a time."""


class SuspectExchange:
    """Shares one VM's records of suspected requests with all others.

    Parameters
    ----------
    records : quarantine.Quarantine
        Records of this VM.
    fleet : members.Members
        VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    log : log_lines.LogLines
        Log of quarantines, trials and clearings.
    rng : random.Random
        Source of randomness for choosing receivers.
    """

    def __init__(
        self,
        records: quarantine.Quarantine,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        rng: random.Random,
    ) -> None:
        self._quarantine = records
        self._fleet = fleet
        self._link = link
        self._log = log
        self._rng = rng
        self._own_crashes_until: dict[str, float] = {}

    async def run(self) -> None:
        """Announce the records at regular intervals, until cancelled."""
        while True:
            await anyio.sleep(ANNOUNCE_INTERVAL_S)
            now = anyio.current_time()
            self._quarantine.drop_expired(now)
            self._repeat_own_crashes(now)
            self._gossip(self._quarantine.list_shared())

    def find_hold_end(self, fingerprint: str, now: float) -> float | None:
        """Return when the quarantine of a request ends, or None if it is not in one."""
        return self._quarantine.find_hold_end(fingerprint, now)

    def begin_attempt(self, fingerprint: str, now: float) -> None:
        """Record that an attempt of a request starts, which may be a trial."""
        if self._quarantine.begin_trial(fingerprint, now):
            self._log.write("quarantine_trial", fingerprint=fingerprint)
            self._gossip([fingerprint])

    def record_crash(
        self, fingerprint: str, target: targets.Entry, started_at: float
    ) -> None:
        """Record that a target crashed while it held a request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        target : targets.Entry
            Target that crashed.
        started_at : float
            When the attempt was sent, in seconds of the event loop's clock.
        """
        now = anyio.current_time()
        name = f"{target.target_id}:{target.born}"
        crash = suspect.Crash(now, now - started_at, name)
        self._merge(fingerprint, suspect.Suspect((crash,)), now)
        if (
            len(self._own_crashes_until) < MAX_OWN_CRASHES
            or fingerprint in self._own_crashes_until
        ):
            self._own_crashes_until[fingerprint] = now + OWN_CRASH_REPEAT_DURATION_S
        self._send_to_counting_vms(fingerprint, now)

    def record_answer(self, fingerprint: str) -> None:
        """Record that a target answered a request; announce a quarantine's end."""
        if self._quarantine.record_answer(fingerprint, anyio.current_time()):
            self._log.write("quarantine_cleared", fingerprint=fingerprint)
            self._gossip([fingerprint])

    def apply(self, message: datagrams.SuspectRequests) -> None:
        """Merge the records that another VM has sent."""
        now = anyio.current_time()
        for fingerprint, received in message.items:
            self._merge(fingerprint, received, now)

    @property
    def has_shared(self) -> bool:
        """Whether there are records that a VM which has just started lacks."""
        return bool(self._quarantine.list_shared())

    def announce_to(self, member: ports.Member) -> None:
        """Send the shared records to a VM that has just started."""
        self._send(self._quarantine.list_shared(), [member])

    def compensate_suspension(self, seconds: float) -> None:
        """Move all times back by the duration of a suspension, in seconds."""
        self._quarantine.compensate_suspension(seconds)

    def count_quarantined(self) -> int:
        """Return the number of requests that are quarantined now."""
        return self._quarantine.count_quarantined(anyio.current_time())

    def _merge(self, fingerprint: str, received: suspect.Suspect, now: float) -> None:
        was_held = self._quarantine.find_hold_end(fingerprint, now) is not None
        if not self._quarantine.merge(fingerprint, received):
            return
        found = self._quarantine.find(fingerprint)
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
            self._gossip([fingerprint])

    def _repeat_own_crashes(self, now: float) -> None:
        """Repeat the crashes seen here recently to the VMs that count them now."""
        self._own_crashes_until = {
            name: until
            for name, until in self._own_crashes_until.items()
            if until > now
        }
        for fingerprint in self._own_crashes_until:
            self._send_to_counting_vms(fingerprint, now)

    def _send_to_counting_vms(self, fingerprint: str, now: float) -> None:
        found = self._quarantine.find(fingerprint)
        if found is None or quarantine.is_shared(found):
            return
        number = int(fingerprint[:8], 16) % COUNTING_TASKS
        ranked = self._fleet.rank_reachable(f"count crashes {number}", now)
        counting = [self._fleet.find(vm) for vm in ranked[:COUNTING_VMS]]
        own = self._fleet.own.vm
        others = [
            candidate
            for candidate in counting
            if candidate is not None and candidate.vm != own
        ]
        self._send([fingerprint], others)

    def _gossip(self, fingerprints: list[str]) -> None:
        others = self._fleet.list_others()
        receivers = self._rng.sample(others, min(FANOUT, len(others)))
        self._send(fingerprints, receivers)

    def _send(self, fingerprints: list[str], receivers: list[ports.Member]) -> None:
        if not fingerprints or not receivers:
            return
        if len(fingerprints) > MAX_RECORDS_PER_DATAGRAM:
            fingerprints = self._rng.sample(fingerprints, MAX_RECORDS_PER_DATAGRAM)
        items = tuple(
            (name, found)
            for name in fingerprints
            if (found := self._quarantine.find(name)) is not None
        )
        self._link.send_many(datagrams.SuspectRequests(items), receivers)
