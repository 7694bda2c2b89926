"""Pooled evidence: whom it accuses, and whom it must not."""

from __future__ import annotations

from zinniastand_core import baselines, evidence, evidence_pool

THRESHOLD = evidence.find_threshold(0.8)
WATCH = evidence_pool.ObserverCounts(36, 3)
PLACES = {f"t{number}": f"dc-{number % 3}" for number in range(9)}
GOOD = evidence.Tally(good=3)
BAD = evidence.Tally(error=3)


def feed(
    pool: evidence_pool.EvidencePool,
    bad: dict[str, set[int]],
    seconds: float = 4.0,
) -> float:
    """Let 12 VMs report twice a second; `bad` names who sees which target fail."""
    now = 0.0
    while now < seconds:
        now += 0.5
        for vm in range(12):
            observer = evidence_pool.Observer(f"vm-{vm}", f"dc-{vm % 3}")
            for target in PLACES:
                tally = BAD if vm in bad.get(target, set()) else GOOD
                subject = baselines.Subject(target, "lookup")
                pool.add(observer, evidence_pool.Report(subject, tally), now)
        pool.list_ejectable(PLACES, WATCH, now)
    return now


def condemn(bad: dict[str, set[int]]) -> list[str]:
    """Return whom the pool condemns after four seconds."""
    pool = evidence_pool.EvidencePool(THRESHOLD)
    now = feed(pool, bad)
    return [level.target for level in pool.list_ejectable(PLACES, WATCH, now)]


EVERYBODY = set(range(12))


def test_condemns_a_target_that_fails_for_everybody() -> None:
    assert condemn({"t1": EVERYBODY}) == ["t1"]


def test_one_observer_cannot_condemn() -> None:
    # The link from one VM to one target is cut. The VM sees nothing but failures,
    # the others see a healthy target.
    assert condemn({"t1": {0}}) == []


def test_one_data_centre_cannot_condemn_but_steers_away() -> None:
    # All VMs of one data centre lose a target. They must leave it, the others must
    # not, and it stays in service.
    pool = evidence_pool.EvidencePool(THRESHOLD)
    now = feed(pool, {"t1": {0, 3, 6, 9}})
    assert pool.list_ejectable(PLACES, WATCH, now) == []
    (level,) = [v for v in pool.list_levels(WATCH, now) if v.target == "t1"]
    assert level.find_for("dc-0") >= THRESHOLD
    assert level.find_for("dc-1") < 0.3 * THRESHOLD


def test_a_link_to_a_data_centre_condemns_nobody_in_it() -> None:
    # Two data centres lose the third. Its targets are fine, and its own VMs say so.
    far = {vm for vm in EVERYBODY if vm % 3 != 1}
    bad = {target: far for target, place in PLACES.items() if place == "dc-1"}
    assert condemn(bad) == []


def test_a_fault_of_everything_condemns_nobody() -> None:
    assert condemn(dict.fromkeys(PLACES, EVERYBODY)) == []


def test_two_sick_targets_of_nine_are_both_condemned() -> None:
    assert set(condemn({"t1": EVERYBODY, "t5": EVERYBODY})) == {"t1", "t5"}
