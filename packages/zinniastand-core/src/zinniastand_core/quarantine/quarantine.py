"""The requests that are suspected of crashing their targets, as one VM knows them."""

from __future__ import annotations

import collections
import math

from . import suspect

MAX_SUSPECTS = 512
"""Requests with a crash that are kept. Where targets crash by themselves, each request
there is one; those with the fewest crashes in turn go first."""

MAX_ANSWERED_REQUESTS = 4096
"""Requests of which the last answer is kept."""

RETENTION_S = 120.0
"""Seconds after its last crash or hold for which a request is kept."""

CLEARED_RETENTION_S = 20.0
"""Seconds after the answer that cleared it for which a request is kept: others have
heard of that by then."""


class Quarantine:
    """Keeps requests that crash their targets from all targets."""

    def __init__(self) -> None:
        self._suspects: dict[str, suspect.Suspect] = {}
        self._answered: collections.OrderedDict[str, float] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def find(self, fingerprint: str) -> suspect.Suspect | None:
        """Return the record of a request, if there is one."""
        return self._suspects.get(fingerprint)

    def find_hold_end(self, fingerprint: str, now: float) -> float | None:
        """Return until when a request is quarantined, or None where it is not."""
        known = self._suspects.get(fingerprint)
        if known is None or not known.is_quarantined(now):
            return None
        return known.find_hold_end()

    def begin_trial(self, fingerprint: str, now: float) -> bool:
        """Let a request run once; return whether that is a trial.

        Others of the same request are held until it is known what becomes of it.
        """
        known = self._suspects.get(fingerprint)
        if known is None or not known.needs_trial:
            return False
        return self.merge(fingerprint, suspect.Suspect(tried_at=now))

    def record_answer(self, fingerprint: str, now: float) -> bool:
        """Take in that a target answered a request; return whether others want to know.

        It also counts against crashes that other VMs have seen and not told yet.
        """
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED_REQUESTS:
            self._answered.popitem(last=False)
        known = self._suspects.get(fingerprint)
        if known is None or not known.crashes:
            return False
        if not is_shared(known):
            del self._suspects[fingerprint]
            return False
        return self.merge(fingerprint, suspect.Suspect(answered_at=now))

    def merge(self, fingerprint: str, heard: suspect.Suspect) -> bool:
        """Take in a record of a request; return whether anything in it is new."""
        known = self._suspects.get(fingerprint, suspect.Suspect())
        merged = self._clear(fingerprint, known.merge(heard))
        if not merged.crashes and not known.crashes and len(heard.crashes) < 2:
            return False  # Nobody else suspects it.
        if fingerprint in self._suspects and not merged.adds_to(known):
            self._suspects[fingerprint] = merged
            return False
        self._suspects[fingerprint] = merged
        if len(self._suspects) > MAX_SUSPECTS:
            self._drop_least()
        return fingerprint in self._suspects

    def _clear(self, fingerprint: str, found: suspect.Suspect) -> suspect.Suspect:
        """Return a record without the crashes that an answer here speaks against."""
        answered_at = self._answered.get(fingerprint, -math.inf)
        cleared = found.merge(suspect.Suspect(answered_at=answered_at))
        return cleared if len(cleared.crashes) < len(found.crashes) else found

    def list_shared(self) -> list[str]:
        """Return the requests of which all VMs should know.

        Those with one crash are many where targets crash by themselves, and say
        nothing; a few VMs count them.
        """
        return [name for name, one in self._suspects.items() if is_shared(one)]

    def count_quarantined(self, now: float) -> int:
        """Return how many requests are quarantined."""
        return sum(one.is_quarantined(now) for one in self._suspects.values())

    def drop_expired(self, now: float) -> None:
        """Forget requests that crashed nothing for long."""
        self._suspects = {
            name: one for name, one in self._suspects.items() if now < _find_end(one)
        }

    def compensate_suspension(self, seconds: float) -> None:
        """Take in that the clock has not counted some time: all is older."""
        self._suspects = {
            name: one.age(seconds) for name, one in self._suspects.items()
        }
        for name in self._answered:
            self._answered[name] -= seconds

    def _drop_least(self) -> None:
        least = min(
            self._suspects,
            key=lambda name: (
                self._suspects[name].count_consecutive(),
                _find_latest(self._suspects[name]),
            ),
        )
        del self._suspects[least]


def is_shared(one: suspect.Suspect) -> bool:
    """Return whether all VMs should know of a request.

    One that an answer has cleared had several crashes: others must hear that as well.
    """
    return len(one.crashes) > 1 or one.answered_at > -math.inf


def _find_latest(one: suspect.Suspect) -> float:
    last = one.crashes[-1].ended_at if one.crashes else one.answered_at
    return max(last, one.find_hold_end())


def _find_end(one: suspect.Suspect) -> float:
    """Return until when a record is kept."""
    return _find_latest(one) + (RETENTION_S if one.crashes else CLEARED_RETENTION_S)
