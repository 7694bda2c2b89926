"""The service that the model of arrivals plays."""

from __future__ import annotations

from zinniastand_core import services

from . import shapes

SERVICE = "service"
"""Its name."""

PATIENCE_FACTOR = 20.0
"""Time limit of a request, in times of its work."""


def make_service(shape: shapes.Shape) -> services.Service:
    """Return a service of the size and load of a shape."""
    limit = shape.work_time * PATIENCE_FACTOR
    kinds = (
        services.Kind("lookup", services.Work.IDEMPOTENT, limit, 1.0),
        services.Kind("order", services.Work.IDEMPOTENT, limit, 5.0),
    )
    targets = tuple(
        services.Target(
            str(number),
            "127.0.0.1",
            1000 + number,
            f"dc-{number % shape.vm_places}",
            shape.slots,
            False,
        )
        for number in range(shape.targets)
    )
    total = shape.targets * shape.slots
    return services.Service(
        name=SERVICE,
        floor_slots=int(shape.floor_share * total),
        detection_weight=shape.detection_weight,
        max_in_flight=total,
        max_queue=64,
        echo_header="",
        probe_path="/health",
        not_started=services.NotStartedRule(503, "x-not-started"),
        kinds=kinds,
        routes=(),
        targets=targets,
    )
