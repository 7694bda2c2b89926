"""The two users' sites, scaled down: their services, kinds and weights."""

from __future__ import annotations

import dataclasses

from . import site


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """One user's site."""

    name: str
    """Name of the user."""

    plans: tuple[site.ServicePlan, ...]
    """Services."""

    data_centres: tuple[str, ...]
    """Data centres."""

    work: tuple[Work, ...]
    """What callers send."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One kind of request that callers send."""

    kind: str
    """Name of the kind."""

    method: str
    """HTTP method."""

    path: str
    """HTTP path."""

    is_keyed: bool
    """Whether it must run at most once."""

    share: float
    """Share of all requests."""


def _kind(name: str, keyed: bool, limit_ms: int, weight: float) -> dict[str, object]:
    work = "at-most-once" if keyed else "idempotent"
    return {"name": name, "work": work, "time_limit_ms": limit_ms, "weight": weight}


def _route(path: str, method: str, kind: str) -> dict[str, object]:
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
                _kind("certificate-lookup", False, 1500, 1),
                _kind("sample-lodgement", True, 3000, 5),
            ),
            routes=(
                _route("/certificates", "GET", "certificate-lookup"),
                _route("/lodgements", "POST", "sample-lodgement"),
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
                _kind("hallmark-issue", True, 3000, 8),
                _kind("fee-receipt", True, 3000, 4),
            ),
            routes=(
                _route("/hallmarks", "POST", "hallmark-issue"),
                _route("/receipts", "POST", "fee-receipt"),
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
                _kind("extension-status", False, 1500, 1),
                _kind("extension-filing", True, 3000, 5),
            ),
            routes=(
                _route("/extensions", "GET", "extension-status"),
                _route("/filings", "POST", "extension-filing"),
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
            kinds=(_kind("salary-amendment", True, 3000, 6),),
            routes=(_route("/amendments", "POST", "salary-amendment"),),
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
