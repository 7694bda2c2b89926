"""Tests of which targets pooled evidence makes ejectable, and which it must not."""

from __future__ import annotations

from zinniastand_core import baselines, evidence, evidence_pool

THRESHOLD = evidence.find_threshold(0.8)
OBSERVER_COUNTS = evidence_pool.ObserverCounts(36, 3)
TARGET_DATA_CENTRES = {f"t{number}": f"dc-{number % 3}" for number in range(9)}
GOOD = evidence.Tally(good=3)
BAD = evidence.Tally(error=3)


def feed(
    pool: evidence_pool.EvidencePool,
    bad: dict[str, set[int]],
    seconds: float = 4.0,
) -> float:
    """Let 12 VMs report twice a second; return the time of the last reports.

    `bad` maps each failing target to the numbers of the VMs that see it fail.
    """
    now = 0.0
    while now < seconds:
        now += 0.5
        for vm in range(12):
            observer = evidence_pool.Observer(f"vm-{vm}", f"dc-{vm % 3}")
            for target in TARGET_DATA_CENTRES:
                tally = BAD if vm in bad.get(target, set()) else GOOD
                subject = baselines.Subject(target, "lookup")
                pool.add(observer, evidence_pool.Report(subject, tally), now)
        pool.list_ejectable(TARGET_DATA_CENTRES, OBSERVER_COUNTS, now)
    return now


def find_ejectable(bad: dict[str, set[int]]) -> list[str]:
    """Return the targets that the pool finds ejectable after four seconds."""
    pool = evidence_pool.EvidencePool(THRESHOLD)
    now = feed(pool, bad)
    return [
        level.target
        for level in pool.list_ejectable(TARGET_DATA_CENTRES, OBSERVER_COUNTS, now)
    ]


ALL_VMS = set(range(12))


def test_a_target_that_fails_for_all_vms_is_ejectable() -> None:
    assert find_ejectable({"t1": ALL_VMS}) == ["t1"]


def test_one_observer_cannot_make_a_target_ejectable() -> None:
    # The link from one VM to one target is broken. The VM sees only failures, the
    # others see a healthy target.
    assert find_ejectable({"t1": {0}}) == []


def test_one_data_centre_only_steers_its_own_vms_away() -> None:
    # All VMs of one data centre lose the link to a target. They must avoid it, the
    # others must not, and it stays in service.
    pool = evidence_pool.EvidencePool(THRESHOLD)
    now = feed(pool, {"t1": {0, 3, 6, 9}})
    assert pool.list_ejectable(TARGET_DATA_CENTRES, OBSERVER_COUNTS, now) == []
    (level,) = [v for v in pool.list_levels(OBSERVER_COUNTS, now) if v.target == "t1"]
    assert level.find_for("dc-0") >= THRESHOLD
    assert level.find_for("dc-1") < 0.3 * THRESHOLD


def test_a_broken_link_to_a_data_centre_ejects_none_of_its_targets() -> None:
    # Two data centres lose the link to the third. Its targets are healthy, as its own
    # VMs report.
    remote_vms = {vm for vm in ALL_VMS if vm % 3 != 1}
    bad = {
        target: remote_vms
        for target, data_centre in TARGET_DATA_CENTRES.items()
        if data_centre == "dc-1"
    }
    assert find_ejectable(bad) == []


def test_a_fault_of_all_targets_ejects_none() -> None:
    assert find_ejectable(dict.fromkeys(TARGET_DATA_CENTRES, ALL_VMS)) == []


def test_two_failing_targets_of_nine_are_both_ejectable() -> None:
    assert set(find_ejectable({"t1": ALL_VMS, "t5": ALL_VMS})) == {"t1", "t5"}
