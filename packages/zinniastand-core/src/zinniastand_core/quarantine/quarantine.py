"""One VM's records of the requests that are suspected of crashing their targets."""

from __future__ import annotations

import collections
import math

from . import suspect

MAX_SUSPECTS = 512
"""Upper limit of suspected requests kept. Where targets crash for reasons of their own,
every request they hold becomes a suspect; those with the fewest consecutive crashes are
evicted first."""

MAX_ANSWERED_REQUESTS = 4096
"""Upper limit of requests whose latest answer time is kept."""

RETENTION_S = 120.0
"""Seconds for which a record is kept after its latest crash or the end of its hold."""

CLEARED_RETENTION_S = 20.0
"""Seconds for which the record of a cleared request is kept after the answer that
cleared it, so that all VMs learn that it is cleared."""


class Quarantine:
    """Records crashes and answers of requests, and decides which are quarantined.

    A quarantined request goes to no target until its hold ends. A request is known by
    its fingerprint, which stays the same when a caller sends it again. All times are
    those of one steady clock, in seconds.
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
        known = self._suspects.get(fingerprint)
        if known is None or not known.is_quarantined(now):
            return None
        return known.find_hold_end()

    def begin_trial(self, fingerprint: str, now: float) -> bool:
        """Record a trial of a request if it needs one; return whether a trial began.

        While a trial is on, other attempts of the same request are held until its
        outcome is known or its time is over.
        """
        known = self._suspects.get(fingerprint)
        if known is None or not known.needs_trial:
            return False
        return self.merge(fingerprint, suspect.Suspect(tried_at=now))

    def record_answer(self, fingerprint: str, now: float) -> bool:
        """Record that a target answered a request; return whether to announce it.

        The answer also clears crashes that other VMs have seen but not announced yet.

        Returns
        -------
        bool
            Whether the answer changed a record that all VMs share.
        """
        self._answer_times[fingerprint] = now
        self._answer_times.move_to_end(fingerprint)
        if len(self._answer_times) > MAX_ANSWERED_REQUESTS:
            self._answer_times.popitem(last=False)
        known = self._suspects.get(fingerprint)
        if known is None or not known.crashes:
            return False
        if not is_shared(known):
            del self._suspects[fingerprint]
            return False
        return self.merge(fingerprint, suspect.Suspect(answered_at=now))

    def merge(self, fingerprint: str, received: suspect.Suspect) -> bool:
        """Merge a received record of a request into the own one.

        Returns
        -------
        bool
            Whether the received record added anything and the result is kept.
        """
        known = self._suspects.get(fingerprint, suspect.Suspect())
        merged = self._drop_cleared_crashes(fingerprint, known.merge(received))
        if not merged.crashes and not known.crashes and len(received.crashes) < 2:
            return False  # No other VM suspects it either.
        if fingerprint in self._suspects and not merged.adds_to(known):
            self._suspects[fingerprint] = merged
            return False
        self._suspects[fingerprint] = merged
        if len(self._suspects) > MAX_SUSPECTS:
            self._evict_least_suspected()
        return fingerprint in self._suspects

    def _drop_cleared_crashes(
        self, fingerprint: str, found: suspect.Suspect
    ) -> suspect.Suspect:
        """Return a record without the crashes that an answer seen by this VM clears."""
        answered_at = self._answer_times.get(fingerprint, -math.inf)
        cleared = found.merge(suspect.Suspect(answered_at=answered_at))
        return cleared if len(cleared.crashes) < len(found.crashes) else found

    def list_shared(self) -> list[str]:
        """Return the fingerprints of the requests that are announced to all VMs.

        Requests with a single crash are left out. There are many where targets crash
        for other reasons, and one crash proves nothing; only a few VMs count those.
        """
        return [name for name, one in self._suspects.items() if is_shared(one)]

    def count_quarantined(self, now: float) -> int:
        """Return the number of requests that are quarantined now."""
        return sum(one.is_quarantined(now) for one in self._suspects.values())

    def drop_expired(self, now: float) -> None:
        """Drop the records whose retention time is over."""
        self._suspects = {
            name: one
            for name, one in self._suspects.items()
            if now < _find_retention_end(one)
        }

    def compensate_suspension(self, seconds: float) -> None:
        """Move all times back by the seconds of a suspension.

        The steady clock stood still meanwhile, so everything is that much older.
        """
        self._suspects = {
            name: one.age(seconds) for name, one in self._suspects.items()
        }
        for name in self._answer_times:
            self._answer_times[name] -= seconds

    def _evict_least_suspected(self) -> None:
        least_suspected = min(
            self._suspects,
            key=lambda name: (
                self._suspects[name].count_consecutive(),
                _find_latest_event(self._suspects[name]),
            ),
        )
        del self._suspects[least_suspected]


def is_shared(one: suspect.Suspect) -> bool:
    """Return whether a record is announced to all VMs.

    A request that was cleared by an answer had several crashes before, so that other
    VMs may still suspect it and must learn of the answer.
    """
    return len(one.crashes) > 1 or one.answered_at > -math.inf


def _find_latest_event(one: suspect.Suspect) -> float:
    last = one.crashes[-1].ended_at if one.crashes else one.answered_at
    return max(last, one.find_hold_end())


def _find_retention_end(one: suspect.Suspect) -> float:
    """Return the time until which a record is kept."""
    return _find_latest_event(one) + (
        RETENTION_S if one.crashes else CLEARED_RETENTION_S
    )
