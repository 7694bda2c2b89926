"""The limit on the retries of a service."""

from __future__ import annotations

import dataclasses

USED_SLACK_SHARE = 0.9
"""Share of the retry slack that all VMs together use. The rest covers retries that take
long to arrive at their target, and VMs that know of different numbers of VMs."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Limit on the retries of a service."""

    ratio: float
    """Retries allowed per request."""

    slack: float
    """Additional retries allowed in each window."""

    window: float
    """Length in seconds of the window over which both are counted."""

    @property
    def used_slack(self) -> float:
        """Additional retries that all VMs together send in each window."""
        return USED_SLACK_SHARE * self.slack
