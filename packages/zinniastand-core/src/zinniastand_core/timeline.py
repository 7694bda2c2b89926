"""The events of one process: bounded, sampled under flood, in causal order."""

from __future__ import annotations

import collections
import dataclasses
import enum

from . import budgets, hybrid_clock

CAPACITY = 4096
MAX_EVENTS_PER_S = 50.0
MAX_EVENT_BURST = 200.0


class EventKind(enum.StrEnum):
    """What an event is about."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    BUNDLE_ACCEPTED = "bundle-accepted"
    BUNDLE_REFUSED = "bundle-refused"
    LOG_DOWN = "log-down"
    LOG_UP = "log-up"
    PEER_UP = "peer-up"
    PEER_DOWN = "peer-down"
    EJECTION_PROPOSED = "ejection-proposed"
    EJECTED = "ejected"
    EJECTION_REFUSED = "ejection-refused"
    EJECTION_REVOKED = "ejection-revoked"
    READMITTED = "readmitted"
    SUSPECTED = "suspected"
    CLEARED = "cleared"
    SELF_DOUBTED = "self-doubted"
    CONNECTION_SILENT = "connection-silent"
    TARGET_LEAVING = "target-leaving"
    REQUEST_UNKNOWN = "request-unknown"
    REQUEST_NOT_RUN = "request-not-run"
    REQUEST_REPEATED = "request-repeated"
    RECORD_UNREADABLE = "record-unreadable"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened."""

    stamp: hybrid_clock.Stamp
    """Its place in the order."""

    vm: str
    """Where."""

    kind: EventKind
    """What."""

    subject: str
    """About what: a request id, ``service/target``, a VM or a bundle."""

    detail: str
    """The evidence, in words."""


class Timeline:
    """The last events of one process.

    Parameters
    ----------
    vm : str
        Name of the VM.
    """

    def __init__(self, vm: str) -> None:
        self.clock = hybrid_clock.HybridClock()
        self._vm = vm
        self._events: collections.deque[Event] = collections.deque(maxlen=CAPACITY)
        self._budgets: dict[EventKind, budgets.RateBudget] = {}
        self._dropped: collections.Counter[EventKind] = collections.Counter()

    def record(
        self, kind: EventKind, subject: str, detail: str, now: float
    ) -> Event | None:
        """Add an event; None where a flood of its kind made it a mere count."""
        budget = self._budgets.setdefault(
            kind, budgets.RateBudget(MAX_EVENTS_PER_S, MAX_EVENT_BURST, now)
        )
        if not budget.spend(now):
            self._dropped[kind] += 1
            return None
        dropped = self._dropped.pop(kind, 0)
        if dropped:
            detail = f"{detail} (after {dropped} more of this kind)"
        event = Event(self.clock.tick(now), self._vm, kind, subject, detail)
        self._events.append(event)
        return event

    def list_events(self) -> list[Event]:
        """Return the remembered events, oldest first."""
        return list(self._events)
