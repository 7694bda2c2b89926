"""What a run asks its dispatcher, and what it sends to a target."""

from __future__ import annotations

import dataclasses

from zinniastand_core.deployment import configuration, targets
from zinniastand_core.dispatch import messages, shards
from zinniastand_core.forwarding import plan

from . import (
    calls,
    header_names,
    http_exchange,
    run_dependencies,
)

MAX_OPEN_TARGETS = 16
"""Targets with an idle connection that an ask names at most; a name takes a dozen
bytes."""

MILLISECONDS = 1000.0


def make_slot_request(
    parts: run_dependencies.RunDependencies,
    request_plan: plan.Plan,
    route: configuration.Route,
    service: str,
    now: float,
) -> messages.SlotRequest:
    """Return the ask for a target of a service."""
    unreachable = parts.unreachable.list_current(now)
    return messages.SlotRequest(
        ticket=parts.make_ticket(),
        shard=shards.Shard(service),
        kind=route.name,
        may_retry=request_plan.may_retry_next,
        priority=route.priority,
        objective_at=request_plan.deadlines.objective_at,
        deadline_at=request_plan.deadlines.deadline_at,
        attempt=request_plan.committed + 1,
        data_centre=parts.data_centre,
        excluded=tuple(sorted({*request_plan.excluded, *unreachable})),
        connected_targets=tuple(_list_open_targets(parts, route, service, now)),
        is_first=request_plan.attempts == 0,
    )


def _list_open_targets(
    parts: run_dependencies.RunDependencies,
    route: configuration.Route,
    service: str,
    now: float,
) -> list[str]:
    """Return targets of the service that an idle connection leads to."""
    found = [
        target_id
        for target_id in parts.exchange.list_connected_targets(route.work, now)
        if (entry := parts.registry.find(target_id)) is not None
        and entry.service == service
    ]
    return found[-MAX_OPEN_TARGETS:]


def make_request(
    original: http_exchange.Request,
    words: header_names.HeaderNames,
    target: targets.Entry,
    remaining: float,
) -> http_exchange.Request:
    """Return a request as it goes to a target, with the seconds that are left."""
    replaced = (words.time_left, words.expected_target)
    headers = [one for one in original.headers if one[0] not in replaced]
    # Rounded down: a target must never be told more time than is left.
    headers.append((words.time_left, b"%d" % max(1, int(remaining * MILLISECONDS))))
    headers.append((words.expected_target, target.target_id.encode("latin-1")))
    return dataclasses.replace(original, headers=headers)


def read_time_left(
    incoming: calls.Incoming, words: header_names.HeaderNames, default: float
) -> float:
    """Return the seconds that the caller waits; `default` where it does not say."""
    value = http_exchange.find_header(incoming.request.headers, words.time_left)
    if value is None or not value.isdigit():
        return default
    return int(value) / MILLISECONDS


def read_request_id(incoming: calls.Incoming, words: header_names.HeaderNames) -> str:
    """Return the name that the caller gave the request, empty where it gave none."""
    value = http_exchange.find_header(incoming.request.headers, words.request_id)
    return (value or b"").decode("latin-1")
