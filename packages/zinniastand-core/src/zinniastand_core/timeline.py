"""Recent events of one process in causal order, limited in number and in rate."""

from __future__ import annotations

import collections
import dataclasses
import enum

from . import budgets, hybrid_clock

CAPACITY = 4096
"""Number of events kept."""

MAX_EVENTS_PER_S = 50.0
"""Maximum rate of events of one kind."""

MAX_EVENT_BURST = 200.0
"""Number of events of one kind that may exceed the rate in a burst."""


class EventKind(enum.StrEnum):
    """Kinds of events; the values are shown to operators."""

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
    """One entry of the timeline."""

    stamp: hybrid_clock.Stamp
    """Position in the causal order."""

    vm: str
    """Name of the VM on which it happened."""

    kind: EventKind
    """Kind of event."""

    subject: str
    """What the event concerns: a request id, ``service/target``, a VM or a bundle."""

    detail: str
    """Text that says why or how it happened."""


class Timeline:
    """The last `CAPACITY` events of one process.

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
        """Add an event and return it, or return None if it was dropped.

        Events of one kind beyond `MAX_EVENTS_PER_S`, with bursts of up to
        `MAX_EVENT_BURST`, are only counted; the next event that is kept names the
        count in its detail.

        Parameters
        ----------
        kind : EventKind
            Kind of event; each has a rate limit of its own.
        subject : str
            What the event concerns.
        detail : str
            Text that says why or how it happened.
        now : float
            Unix seconds.
        """
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
        """Return the events kept, oldest first."""
        return list(self._events)
