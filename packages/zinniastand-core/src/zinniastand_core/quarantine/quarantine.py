"""One VM's records of the requests that are suspected of crashing their targets."""

from __future__ import annotations

import collections
import math

from . import suspect

MAX_SUSPECTS = 512
"""Upper limit of suspected requests kept. If targets crash for another reason, every
request that they hold becomes a suspect; those with the fewest consecutive crashes are
evicted first."""

MAX_ANSWERED_REQUESTS = 4096
"""Upper limit of requests whose latest answer time is kept; the oldest is evicted."""

RETENTION_S = 120.0
"""Seconds for which a record is kept after its latest crash or the end of its hold."""

CLEARED_RETENTION_S = 20.0
"""Seconds for which the record of a cleared request is kept after the answer that
cleared it, so that all VMs learn that it is cleared."""


class Quarantine:
    """Records crashes and answers of requests, and decides which are quarantined.

    A quarantined request is sent to no target until its hold ends. Requests are
    identified by a fingerprint, which stays the same when a caller sends one again. All
    times are in seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, suspect.Suspect] = {}
        self._answer_times: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._suspects)

    def find(self, fingerprint: str) -> suspect.Suspect | None:
        """Return the record of a request, or None if there is none."""
        return self._suspects.get(fingerprint)

    def find_hold_end(self, fingerprint: str, now: float) -> float | None:
        """Return when the quarantine of a request ends, or None if it is not in one."""
        own = self._suspects.get(fingerprint)
        if own is None or not own.is_quarantined(now):
            return None
        return own.find_hold_end()

    def begin_trial(self, fingerprint: str, now: float) -> bool:
        """Record a trial of a request if it needs one; return whether a trial began.

        During a trial, other attempts at the same request are held until the outcome of
        the trial is known or its time is over.
        """
        own = self._suspects.get(fingerprint)
        if own is None or not own.needs_trial:
            return False
        return self.merge(fingerprint, suspect.Suspect(tried_at=now))

    def record_answer(self, fingerprint: str, now: float) -> bool:
        """Record that a target answered a request.

        The time is kept also for a request without a record: it clears crashes that
        other VMs announce later.

        Returns
        -------
        bool
            Whether the answer changed a shared record, so that it must be announced.
        """
        self._answer_times[fingerprint] = now
        self._answer_times.move_to_end(fingerprint)
        if len(self._answer_times) > MAX_ANSWERED_REQUESTS:
            self._answer_times.popitem(last=False)
        own = self._suspects.get(fingerprint)
        if own is None or not own.crashes:
            return False
        if not is_shared(own):
            del self._suspects[fingerprint]
            return False
        return self.merge(fingerprint, suspect.Suspect(answered_at=now))

    def merge(self, fingerprint: str, received: suspect.Suspect) -> bool:
        """Merge a received record of a request into this VM's own.

        Returns
        -------
        bool
            Whether the received record added facts and the result is kept.
        """
        own = self._suspects.get(fingerprint, suspect.Suspect())
        merged = self._drop_cleared_crashes(fingerprint, own.merge(received))
        if not merged.crashes and not own.crashes and len(received.crashes) < 2:
            return False  # No other VM suspects it either.
        if fingerprint in self._suspects and not merged.adds_to(own):
            self._suspects[fingerprint] = merged
            return False
        self._suspects[fingerprint] = merged
        if len(self._suspects) > MAX_SUSPECTS:
            self._evict_least_suspected()
        return fingerprint in self._suspects

    def _drop_cleared_crashes(
        self, fingerprint: str, uncleared: suspect.Suspect
    ) -> suspect.Suspect:
        """Return a record without the crashes that an answer at this VM clears."""
        answered_at = self._answer_times.get(fingerprint, -math.inf)
        cleared = uncleared.merge(suspect.Suspect(answered_at=answered_at))
        return cleared if len(cleared.crashes) < len(uncleared.crashes) else uncleared

    def list_shared(self) -> list[str]:
        """Return the fingerprints of the requests that are announced to all VMs.

        Requests with a single crash are left out: they are many if targets crash for
        other reasons, and one crash proves nothing. Only a few VMs count those.
        """
        return [
            identifier
            for identifier, record in self._suspects.items()
            if is_shared(record)
        ]

    def count_quarantined(self, now: float) -> int:
        """Return the number of requests that are quarantined now."""
        return sum(record.is_quarantined(now) for record in self._suspects.values())

    def drop_expired(self, now: float) -> None:
        """Drop the records whose retention time is over."""
        self._suspects = {
            identifier: record
            for identifier, record in self._suspects.items()
            if now < _find_retention_end(record)
        }

    def compensate_suspension(self, seconds: float) -> None:
        """Move all times back by the duration of a suspension in seconds.

        The clock stood still during the suspension, so all events are that much older.
        """
        self._suspects = {
            identifier: record.age(seconds)
            for identifier, record in self._suspects.items()
        }
        for identifier in self._answer_times:
            self._answer_times[identifier] -= seconds

    def _evict_least_suspected(self) -> None:
        least_suspected = min(
            self._suspects,
            key=lambda identifier: (
                self._suspects[identifier].count_consecutive(),
                _find_latest_event(self._suspects[identifier]),
            ),
        )
        del self._suspects[least_suspected]


def is_shared(record: suspect.Suspect) -> bool:
    """Return whether a record is announced to all VMs.

    A record with an answer had several crashes before, so that other VMs may still
    suspect the request and must learn of the answer.
    """
    return len(record.crashes) > 1 or record.answered_at > -math.inf


def _find_latest_event(record: suspect.Suspect) -> float:
    latest = record.crashes[-1].ended_at if record.crashes else record.answered_at
    return max(latest, record.find_hold_end())


def _find_retention_end(record: suspect.Suspect) -> float:
    """Return the time until which a record is kept."""
    return _find_latest_event(record) + (
        RETENTION_S if record.crashes else CLEARED_RETENTION_S
    )
