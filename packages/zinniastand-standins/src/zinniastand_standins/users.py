"""Scaled-down sites of two users: services, kinds of work, weights and load."""

from __future__ import annotations

import dataclasses

from . import site


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """A user's site and the load on it."""

    name: str
    """Name of the user."""

    plans: tuple[site.ServicePlan, ...]
    """Services of the site."""

    data_centres: tuple[str, ...]
    """Data centres over which the site's VMs are spread."""

    work: tuple[Work, ...]
    """Mix of requests that callers send."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A kind of request and its share of the load."""

    kind: str
    """Name of the kind, as in the bundle."""

    method: str
    """HTTP method."""

    path: str
    """Path of the request."""

    is_keyed: bool
    """Whether requests carry an idempotency key, since they must run at most once."""

    share: float
    """Share of all requests (0 to 1)."""


def _describe_kind(
    name: str, at_most_once: bool, limit_ms: int, weight: float
) -> dict[str, object]:
    work = "at-most-once" if at_most_once else "idempotent"
    return {"name": name, "work": work, "time_limit_ms": limit_ms, "weight": weight}


def _describe_route(path: str, method: str, kind: str) -> dict[str, object]:
    return {"path_prefix": path, "methods": [method], "kind": kind}


AUTHORITY_DATA_CENTRES = ("bagmati-1", "bagmati-2", "bagmati-3")
FRANCHISE_DATA_CENTRES = ("uppsala", "vasteras", "orebro", "gavle")

AUTHORITY = User(
    name="Authority",
    plans=(
        site.ServicePlan(
            name="certificate-desk",
            targets=9,
            slots=3,
            work_time=0.03,
            floor_slots=15,
            detection_weight=0.8,
            kinds=(
                _describe_kind("certificate-lookup", False, 1500, 1),
                _describe_kind("sample-lodgement", True, 3000, 5),
            ),
            routes=(
                _describe_route("/certificates", "GET", "certificate-lookup"),
                _describe_route("/lodgements", "POST", "sample-lodgement"),
            ),
            data_centres=AUTHORITY_DATA_CENTRES,
        ),
        site.ServicePlan(
            name="hallmark-register",
            targets=6,
            slots=3,
            work_time=0.03,
            floor_slots=12,
            detection_weight=0.8,
            kinds=(
                _describe_kind("hallmark-issue", True, 3000, 8),
                _describe_kind("fee-receipt", True, 3000, 4),
            ),
            routes=(
                _describe_route("/hallmarks", "POST", "hallmark-issue"),
                _describe_route("/receipts", "POST", "fee-receipt"),
            ),
            data_centres=AUTHORITY_DATA_CENTRES,
        ),
    ),
    data_centres=AUTHORITY_DATA_CENTRES,
    work=(
        Work("certificate-lookup", "GET", "/certificates/7", False, 0.7),
        Work("sample-lodgement", "POST", "/lodgements", True, 0.15),
        Work("hallmark-issue", "POST", "/hallmarks", True, 0.1),
        Work("fee-receipt", "POST", "/receipts", True, 0.05),
    ),
)

FRANCHISE = User(
    name="Franchise",
    plans=(
        site.ServicePlan(
            name="extension-desk",
            targets=8,
            slots=4,
            work_time=0.03,
            floor_slots=20,
            detection_weight=0.3,
            kinds=(
                _describe_kind("extension-status", False, 1500, 1),
                _describe_kind("extension-filing", True, 3000, 5),
            ),
            routes=(
                _describe_route("/extensions", "GET", "extension-status"),
                _describe_route("/filings", "POST", "extension-filing"),
            ),
            data_centres=FRANCHISE_DATA_CENTRES,
        ),
        site.ServicePlan(
            name="payroll-bridge",
            targets=8,
            slots=4,
            work_time=0.03,
            floor_slots=24,
            detection_weight=0.2,
            kinds=(_describe_kind("salary-amendment", True, 3000, 6),),
            routes=(_describe_route("/amendments", "POST", "salary-amendment"),),
            data_centres=FRANCHISE_DATA_CENTRES,
        ),
    ),
    data_centres=FRANCHISE_DATA_CENTRES,
    work=(
        Work("extension-status", "GET", "/extensions/9", False, 0.7),
        Work("extension-filing", "POST", "/filings", True, 0.2),
        Work("salary-amendment", "POST", "/amendments", True, 0.1),
    ),
)
