"""Builds slot requests for dispatchers and HTTP requests for targets."""

from __future__ import annotations

import dataclasses

from zinniastand_core.deployment import configuration, targets
from zinniastand_core.dispatch import messages, shards
from zinniastand_core.forwarding import plan

from . import calls, datagrams, header_names, http_exchange, run_dependencies

MAX_CONNECTED_TARGETS = 16
"""Maximum number of connected targets listed in a slot request; each name takes about
a dozen bytes."""

MS_PER_S = 1000.0

DEFAULT_STREAM_LIMIT_S = 300.0
"""Limit in seconds on an answer that is passed on while it arrives, for callers that
state no deadline. Slow peers are ended earlier."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimes:
    """Time limits of a request, in seconds of the VM's monotonic clock."""

    deadline_at: float
    """Time by which an answer must begin."""

    stream_until: float
    """Time by which an answer that is passed on while it arrives must end."""


def find_times(
    incoming: calls.Incoming,
    names: header_names.HeaderNames,
    route: configuration.Route,
) -> RequestTimes:
    """Return the time limits that follow from the route and from the caller's own."""
    default = max(DEFAULT_STREAM_LIMIT_S, route.time_limit)
    time_left = read_time_left(incoming, names, default)
    return RequestTimes(
        incoming.first_byte_at + min(route.time_limit, time_left),
        incoming.first_byte_at + time_left,
    )


def make_slot_request(
    dependencies: run_dependencies.RunDependencies,
    request_plan: plan.Plan,
    route: configuration.Route,
    service: str,
    now: float,
    account: str = "",
) -> messages.SlotRequest:
    """Return the slot request of a caller's account for a target of a service."""
    # Those of the request come first, since the list is limited.
    excluded = dict.fromkeys(
        (
            *request_plan.excluded,
            *dependencies.notices.list_excluded(now),
            *dependencies.unreachable.list_current(now),
        )
    )
    return messages.SlotRequest(
        ticket=dependencies.make_ticket(),
        shard=shards.Shard(service),
        kind=route.name,
        may_retry=request_plan.may_retry_next,
        priority=route.priority,
        objective_at=request_plan.deadlines.objective_at,
        deadline_at=request_plan.deadlines.deadline_at,
        attempt=request_plan.committed + 1,
        data_centre=dependencies.data_centre,
        excluded=tuple(excluded)[: datagrams.MAX_LISTED_TARGETS],
        connected_targets=tuple(
            _list_connected_targets(dependencies, route, service, now)
        ),
        is_first=request_plan.attempts == 0,
        account=account,
    )


def _list_connected_targets(
    dependencies: run_dependencies.RunDependencies,
    route: configuration.Route,
    service: str,
    now: float,
) -> list[str]:
    """Return the targets of the service to which this VM has an idle connection."""
    connected = [
        target_id
        for target_id in dependencies.client.list_connected_targets(route.work, now)
        if (entry := dependencies.registry.find(target_id)) is not None
        and entry.service == service
    ]
    return connected[-MAX_CONNECTED_TARGETS:]


def make_request(
    original: http_exchange.Request,
    names: header_names.HeaderNames,
    target: targets.Entry,
    remaining: float,
) -> http_exchange.Request:
    """Return the request to send to a target, which has `remaining` seconds for it."""
    replaced = (names.time_left, names.expected_target)
    headers = [header for header in original.headers if header[0] not in replaced]
    # Rounded down: the target must not get more time than remains.
    headers.append((names.time_left, b"%d" % max(1, int(remaining * MS_PER_S))))
    headers.append((names.expected_target, target.target_id.encode("latin-1")))
    return dataclasses.replace(original, headers=headers)


def read_time_left(
    incoming: calls.Incoming, names: header_names.HeaderNames, default: float
) -> float:
    """Return the time limit of the caller in seconds; `default` if it sent none."""
    value = http_exchange.find_header(incoming.request.headers, names.time_left)
    if value is None or not value.isdigit():
        return default
    return int(value) / MS_PER_S


def read_request_id(incoming: calls.Incoming, names: header_names.HeaderNames) -> str:
    """Return the request id that the caller sent; empty if it sent none."""
    value = http_exchange.find_header(incoming.request.headers, names.request_id)
    return (value or b"").decode("latin-1")
