"""Limits on the bodies of targets' answers, by route and by the memory of this VM."""

from __future__ import annotations

import dataclasses

from zinniastand_core.deployment import configuration

from .. import edge_settings
from . import answer_meter

MAX_LARGE_BODY_BYTES = 64 << 20
"""Limit on the body of an answer on a route with large answers."""

MEMORY_SHARE = 1 / 8
"""Part of a VM's memory that the body of one answer may take. An answer of unknown
length that is relayed whole is held twice for a moment, beside those of others."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBounds:
    """Limits on the bodies of answers, in bytes."""

    max_bytes: int = answer_meter.MAX_BODY_BYTES
    """Limit for most routes."""

    max_large_bytes: int = MAX_LARGE_BODY_BYTES
    """Limit for routes with large answers."""

    def find(self, route: configuration.Route) -> int:
        """Return the limit for a route."""
        return self.max_large_bytes if route.has_large_answers else self.max_bytes


DEFAULT = AnswerBounds()
"""Limits for a VM whose memory is not known."""


def make_bounds(resources: edge_settings.ResourceSettings | None) -> AnswerBounds:
    """Return the limits for a VM; `resources` are None if they are not known."""
    if resources is None:
        return DEFAULT
    share = int(resources.memory_bytes * MEMORY_SHARE)
    return AnswerBounds(
        min(DEFAULT.max_bytes, share), min(DEFAULT.max_large_bytes, share)
    )
