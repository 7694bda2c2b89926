"""The service of the model of arrivals."""

from __future__ import annotations

from zinniastand_core import services

from . import shapes

SERVICE = "service"
"""Name of the service."""

TIME_LIMIT_FACTOR = 20.0
"""Time limit of a request, as a multiple of its median work time."""


def make_service(shape: shapes.Shape) -> services.Service:
    """Return a service with the size that a shape gives."""
    time_limit = shape.work_time * TIME_LIMIT_FACTOR
    kinds = (
        services.Kind("lookup", services.Work.IDEMPOTENT, time_limit, 1.0),
        services.Kind("order", services.Work.IDEMPOTENT, time_limit, 5.0),
    )
    targets = tuple(
        services.Target(
            str(number),
            "127.0.0.1",
            1000 + number,
            f"dc-{number % shape.data_centres}",
            shape.slots,
            False,
        )
        for number in range(shape.targets)
    )
    slot_count = shape.targets * shape.slots
    return services.Service(
        name=SERVICE,
        floor_slots=int(shape.floor_share * slot_count),
        detection_weight=shape.detection_weight,
        max_in_flight=slot_count,
        max_queue=64,
        echo_header="",
        probe_path="/health",
        not_started=services.NotStartedRule(503, "x-not-started"),
        kinds=kinds,
        routes=(),
        targets=targets,
    )
