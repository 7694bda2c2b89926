"""Rate limits that targets announce, as dispatchers apply them."""

from __future__ import annotations

import itertools
import math
import random

import hypothesis
import hypothesis.strategies as st

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import (
    dispatcher,
    failure_estimates,
    messages,
    rate_limit,
    retry_estimate,
    retry_ledger,
    shards,
    target_state,
    work_times,
)

WINDOW_S = 4.0
STEP_S = 0.01
SHARD = shards.Shard("desk")


def make_entry(name: str, slots: int = 4) -> targets.Entry:
    phase = targets.Phase.READY
    return targets.Entry(name, "desk", "h", 80, "a", slots, phase, 1, 0.0, 1)


def send_all(
    limits: list[rate_limit.RateLimit], begin: float, end: float, share: float = 1.0
) -> list[float]:
    """Let each dispatcher send whenever its limit allows; return the times."""
    times: list[float] = []
    for number in range(int(begin / STEP_S), int(end / STEP_S)):
        now = number * STEP_S
        for limit in limits:
            if limit.allows_request(now):
                limit.record_request(share, now)
                times.append(now)
    return times


def find_busiest(times: list[float]) -> int:
    return max(sum(begin <= at < begin + WINDOW_S for at in times) for begin in times)


def find_max_requests(rate: float) -> float:
    return 1.5 * rate * WINDOW_S + 5


@hypothesis.given(st.sampled_from([0.0, 0.1, 0.5, 1.0, 3.8, 20.0]))
def test_busiest_window_stays_within_what_the_target_takes(rate: float) -> None:
    limit = rate_limit.RateLimit(rate, 0.0, 0.0)
    times = send_all([limit], 0.0, 30.0)
    assert find_busiest(times) <= find_max_requests(rate)
    assert len(times) >= 0.9 * rate * 30.0


@hypothesis.given(st.sampled_from([1.0, 3.8, 20.0]), st.integers(2, 4))
def test_dispatchers_that_know_each_other_share_a_rate(rate: float, count: int) -> None:
    limits = [rate_limit.RateLimit(rate, 0.0, 0.0) for _ in range(count)]
    times: list[float] = []
    for second in range(20):
        for limit, other in itertools.permutations(limits, 2):
            limit.record_other_dispatcher(f"vm-{limits.index(other)}", float(second))
        times += send_all(limits, second, second + 1)
    assert find_busiest(times) <= find_max_requests(rate)


def test_vms_that_dispatch_for_themselves_share_a_rate() -> None:
    rng = random.Random(2)
    limits = [
        rate_limit.start_rate_limit(3.8, 0.0, 1 / 36, rng, 0.0) for _ in range(36)
    ]
    times = send_all(limits, 0.0, 60.0, share=1 / 36)
    assert find_busiest(times) <= find_max_requests(3.8)
    assert len(times) >= 0.9 * 3.8 * 60.0


def test_limit_lifts_only_by_an_answer_to_a_later_request() -> None:
    # Answers from two VMs are received in another order than the target gave them.
    state = target_state.TargetState(
        make_entry("t"), failure_estimates.FailureRates(), 0.0
    )
    state.limit = rate_limit.RateLimit(2.0, 1.0, 1.0)
    state.lift_limit(sent_at=0.9)
    assert state.limit is not None
    state.lift_limit(sent_at=1.5)
    assert state.limit is None


def make_dispatcher(names: str) -> dispatcher.Dispatcher:
    ledger = retry_ledger.RetryLedger(0.2, lambda: 10.0, 10.0)
    estimate = retry_estimate.RetryEstimate(ledger)
    assigner = dispatcher.Dispatcher(work_times.KindTimes(), estimate, random.Random(1))
    assigner.update_targets([make_entry(name) for name in names], 0.0)
    return assigner


def serve(
    assigner: dispatcher.Dispatcher,
    limits: dict[str, float],
    rate: float,
    seconds: float,
) -> dict[str, list[float]]:
    """Request slots at a steady rate for work of 0.2 s; return the times at each
    target.
    """
    granted: dict[str, list[float]] = {}
    under_way: list[tuple[float, str, str]] = []
    for number in range(int(seconds / STEP_S)):
        now = number * STEP_S
        decisions = assigner.wake(now)
        if number % max(1, round(1 / (rate * STEP_S))) == 0:
            slot_request = messages.SlotRequest(
                f"k{number}", SHARD, "w", False, 1, now + 0.6, now + 1.2, 1, "a"
            )
            decisions += assigner.request_slot(slot_request, now)
        while under_way and under_way[0][0] <= now:
            _, ticket, name = under_way.pop(0)
            good, announced = messages.Outcome.GOOD, limits.get(name, math.inf)
            report = messages.Report(ticket, SHARD, name, good, 0.2, "vm", announced)
            decisions += assigner.handle_report(report, now)
        for decision in decisions:
            if isinstance(decision, messages.Grant):
                granted.setdefault(decision.target_id, []).append(now)
                under_way.append((now + 0.2, decision.ticket, decision.target_id))
    return granted


def test_work_goes_on_to_targets_without_a_limit() -> None:
    assigner = make_dispatcher("abc")
    granted = serve(assigner, {"a": 1.0}, rate=50.0, seconds=20.0)
    assert find_busiest([at for at in granted["a"] if at > 1.0]) <= find_max_requests(
        1.0
    )
    slots = 8
    assert len(granted["b"]) + len(granted["c"]) >= 0.95 * slots / 0.2 * 20.0


def test_limits_are_fully_used_where_every_target_announces_one() -> None:
    # Capacity is what the limits allow: requests beyond it are refused on arrival, and
    # the rest are served.
    assigner = make_dispatcher("abc")
    limits = dict.fromkeys("abc", 2.0)
    granted = serve(assigner, limits, rate=20.0, seconds=20.0)
    for times in granted.values():
        assert find_busiest([at for at in times if at > 1.0]) <= find_max_requests(2.0)
        assert len(times) >= 1.7 * 20.0
    assert assigner.queue_length <= 6


def test_restarted_target_has_no_limit() -> None:
    assigner = make_dispatcher("a")
    serve(assigner, {"a": 1.0}, rate=5.0, seconds=2.0)
    state = assigner.pool.find("a")
    assert state is not None
    assert state.limit is not None
    restarted = targets.Entry(
        "a", "desk", "h", 80, "a", 4, targets.Phase.READY, 2, 0.0, 2
    )
    assigner.update_targets([restarted], 3.0)
    state = assigner.pool.find("a")
    assert state is not None
    assert state.limit is None
