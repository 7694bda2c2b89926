"""Retries and rate limits that a VM's dispatchers grant, with those of other VMs."""

from __future__ import annotations

import dataclasses
import math
import random

import anyio
import pytest

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import messages, retry_window, shards
from zinniastand_proxy.edge import (
    datagrams,
    local_dispatchers,
    members,
    peer_link,
    ports,
    retry_counts,
)

pytestmark = pytest.mark.anyio

SLOT_REQUEST = messages.SlotRequest(
    "t", shards.Shard("desk"), "r", True, 1, 0.0, 0.0, 2, "a", is_first=False
)


def make_dispatchers(
    vms: int, count: int = 1, is_new_fleet: bool = False
) -> tuple[local_dispatchers.LocalDispatchers, list[messages.Decision]]:
    now = anyio.current_time()
    fleet = members.Members(ports.Member("own", "a", "127.0.0.1", 1, 1), now)
    for n in range(vms - 1):
        fleet.add(ports.Member(f"vm-{n}", "a", "127.0.0.1", 1, 1))
    registry = targets.Registry()
    entry = targets.Entry(
        "t1", "desk", "127.0.0.1", 1, "a", 1000, targets.Phase.READY, 1, 0.0, 1
    )
    entries = [
        dataclasses.replace(entry, target_id=f"t{n}", position=n)
        for n in range(1, count + 1)
    ]
    registry.apply(entries, now)
    decisions: list[messages.Decision] = []
    dispatchers = local_dispatchers.LocalDispatchers(
        fleet,
        registry,
        retry_counts.RetryBudget(0.2, 50.0, 10.0),
        random.Random(1),
        lambda _, decision: decisions.append(decision),
        is_new_fleet,
    )
    return dispatchers, decisions


def count_granted_retries(
    dispatchers: local_dispatchers.LocalDispatchers,
    decisions: list[messages.Decision],
    vm: str,
) -> int:
    now = anyio.current_time()
    before = len(decisions)
    for n in range(100):
        sent_request = dataclasses.replace(
            SLOT_REQUEST, ticket=f"{vm}{n}", objective_at=now + 1, deadline_at=now + 2
        )
        dispatchers.request_slot(vm, sent_request, now)
    return sum(isinstance(answer, messages.Grant) for answer in decisions[before:])


async def test_vms_that_decide_alone_share_the_retry_slack() -> None:
    # All VMs lose contact with each other, and each decides for its own requests. If
    # each used the whole slack while targets fail, a fleet of 36 VMs would grant 36
    # times as many retries.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    assert count_granted_retries(vm_dispatchers, decisions, "own") <= 50 / 20


async def test_dispatcher_of_the_fleet_grants_at_most_half_of_the_slack() -> None:
    # Two VMs may each act as the dispatcher of a service at the same time.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    assert 10 < count_granted_retries(vm_dispatchers, decisions, "vm-1") <= 25


async def test_new_dispatcher_refuses_no_retry_that_a_vm_may_send() -> None:
    # Guards against a second limit beside that of the VMs: a dispatcher that has just
    # taken over knows few requests, and refuses retries that the bound allows.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    assert count_granted_retries(vm_dispatchers, decisions, "vm-1") == 100


async def test_new_dispatcher_applies_rate_limits_received_from_others() -> None:
    # Guards against each new dispatcher filling all slots of an overloaded target.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    now = anyio.current_time()
    estimate = datagrams.TargetEstimate("t1", 0.1, 1.0, 1.0, 0.8)
    estimates = datagrams.TargetEstimates(shards.Shard("desk"), (estimate,), (), "vm-3")
    vm_dispatchers.apply_estimates(estimates, now)
    assert count_granted_retries(vm_dispatchers, decisions, "vm-1") == 0


async def test_outdated_estimate_does_not_restore_a_removed_rate_limit() -> None:
    # A dispatcher with little work may take long to learn that the limit was removed,
    # and continues to send it.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    now = anyio.current_time()
    first = dataclasses.replace(
        SLOT_REQUEST, attempt=1, deadline_at=now + 9, objective_at=now
    )
    vm_dispatchers.request_slot("vm-1", dataclasses.replace(first, ticket="k1"), now)
    good = messages.Outcome.GOOD
    whole = shards.Shard("desk")
    vm_dispatchers.report(
        messages.Report("k1", whole, "t1", good, 0.1, "vm-1", math.inf), now
    )
    estimate = datagrams.TargetEstimate("t1", 0.1, 1.0, 1.0, 0.8, rate_limit_age=2.0)
    vm_dispatchers.apply_estimates(
        datagrams.TargetEstimates(whole, (estimate,), (), "vm-3"), now
    )
    vm_dispatchers.request_slot("vm-1", dataclasses.replace(first, ticket="k2"), now)
    assert sum(isinstance(answer, messages.Grant) for answer in decisions) == 2


async def test_dispatcher_for_other_vms_uses_the_whole_rate_limit() -> None:
    # The first slot request comes from its own VM, so that the dispatcher first assumes
    # that it decides for this VM alone.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    now = anyio.current_time()
    first = dataclasses.replace(
        SLOT_REQUEST, attempt=1, deadline_at=now + 9, objective_at=now
    )
    vm_dispatchers.record_rate_limit("t1", 2.0, now)
    vm_dispatchers.request_slot("own", dataclasses.replace(first, ticket="k1"), now)
    vm_dispatchers.request_slot("vm-1", dataclasses.replace(first, ticket="k2"), now)
    vm_dispatchers.wake(now + 1.1)
    assert any(isinstance(answer, messages.Grant) for answer in decisions)


async def test_vm_that_decides_alone_uses_a_share_of_a_rate_limit() -> None:
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    now = anyio.current_time()
    first = dataclasses.replace(
        SLOT_REQUEST, attempt=1, deadline_at=now + 9, objective_at=now
    )
    vm_dispatchers.record_rate_limit("t1", 2.0, now)
    for number in range(50):
        vm_dispatchers.request_slot(
            "own", dataclasses.replace(first, ticket=f"k{number}"), now
        )
        vm_dispatchers.wake(now + number / 10)
    assert sum(isinstance(answer, messages.Grant) for answer in decisions) == 1


def test_dispatcher_and_its_successor_stay_within_the_slack() -> None:
    # Guards against two successive dispatchers each granting the whole slack.
    assert retry_counts.SLACK_SHARE + retry_counts.INITIAL_SLACK_SHARE < 1.0


async def test_dispatcher_grants_more_once_it_has_counted_for_a_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    assert (
        count_granted_retries(vm_dispatchers, decisions, "vm-1")
        <= 50 * retry_counts.INITIAL_SLACK_SHARE
    )
    begin = later = anyio.current_time()
    monkeypatch.setattr(anyio, "current_time", lambda: later)
    for second in range(1, 11):
        later = begin + second * 1.01
        sent_request = dataclasses.replace(SLOT_REQUEST, ticket=f"{second}", attempt=1)
        vm_dispatchers.request_slot(
            "vm-1", dataclasses.replace(sent_request, deadline_at=later + 1), later
        )
    max_granted = 50 * retry_counts.SLACK_SHARE
    assert 25 < count_granted_retries(vm_dispatchers, decisions, "vm-2") <= max_granted


async def test_shards_share_the_slack_of_their_service() -> None:
    # A service in four shards has four vm_dispatchers. If each used the slack of the
    # whole service, there would be four times as many retries as allowed.
    vm_dispatchers, decisions = make_dispatchers(vms=20, count=100)
    now = anyio.current_time()
    vm_dispatchers.update_targets(now)
    divided = vm_dispatchers.list_shards("desk")
    assert len(divided) == 4
    for shard in divided:
        for n in range(100):
            sent_request = dataclasses.replace(
                SLOT_REQUEST,
                ticket=f"{shard.index}/{n}",
                shard=shard,
                objective_at=now + 1,
                deadline_at=now + 2,
            )
            vm_dispatchers.request_slot("vm-1", sent_request, now)
    granted = sum(isinstance(answer, messages.Grant) for answer in decisions)
    assert 10 < granted <= 25


async def test_new_dispatcher_starts_with_estimates_of_others() -> None:
    # A dispatcher is lost. Guards against its successor regarding all targets as equal
    # and sending at-most-once work to those that were failing a moment ago.
    vm_dispatchers, _ = make_dispatchers(vms=3)
    now = anyio.current_time()
    estimate = datagrams.TargetEstimate("t1", 0.9, 3.0)
    vm_dispatchers.apply_estimates(
        datagrams.TargetEstimates(shards.Shard("desk"), (estimate,), ()), now
    )
    sent_request = dataclasses.replace(
        SLOT_REQUEST, objective_at=now + 1, deadline_at=now + 2
    )
    vm_dispatchers.request_slot("vm-1", sent_request, now)
    [item] = vm_dispatchers.summarize_estimates(shards.Shard("desk"), now).items
    assert item.failure_probability > 0.8
    assert item.slowness > 2.5


async def test_new_dispatcher_counts_retries_granted_by_others() -> None:
    # Guards against granting the same retries again after a change of dispatcher.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    now = anyio.current_time()
    vm_dispatchers.update_targets(now)
    parts = (retry_window.Bucket(7, 1.0, 100, 50),)
    counts = (("vm-9:1:0", parts),)
    vm_dispatchers.apply_retry_counts(
        datagrams.RetryUsage("desk", counts, is_complete=True), now
    )
    assert count_granted_retries(vm_dispatchers, decisions, "vm-1") == 2
    counted = vm_dispatchers.retries.find_totals("desk", now)
    assert (counted.requests, counted.spent) == (0, 2)
    assert counted.left < 1.0


async def test_counts_of_unknown_services_are_not_kept() -> None:
    vm_dispatchers, _ = make_dispatchers(vms=20)
    now = anyio.current_time()
    vm_dispatchers.update_targets(now)
    parts = (retry_window.Bucket(7, 1.0, 100, 50),)
    for service in ("desk", "other"):
        vm_dispatchers.apply_retry_counts(
            datagrams.RetryUsage(service, (("vm-9:1:0", parts),)), now
        )
    assert vm_dispatchers.retries.make_updates("desk", now, is_whole=True)
    assert not vm_dispatchers.retries.make_updates("other", now, is_whole=True)


async def test_many_granted_retries_are_announced_at_once() -> None:
    # Guards against granted retries that the next dispatcher learns of too late.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    announced: list[str] = []
    vm_dispatchers.retries.use_announcer(announced.append)
    assert count_granted_retries(vm_dispatchers, decisions, "vm-1") >= 10
    assert announced


async def test_dispatcher_counts_under_a_new_name_after_a_reset() -> None:
    # Guards against counts that are added to those from before a suspension.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    now = anyio.current_time()
    count_granted_retries(vm_dispatchers, decisions, "vm-1")
    [update] = vm_dispatchers.retries.make_updates("desk", now, is_whole=True)
    [(before, _)] = update.counts
    vm_dispatchers.reset()
    count_granted_retries(vm_dispatchers, decisions, "vm-2")
    [update] = vm_dispatchers.retries.make_updates("desk", now, is_whole=True)
    [(after, _)] = update.counts
    assert before != after


async def test_counts_of_many_vms_fit_into_datagrams() -> None:
    # Guards against counts that cannot be sent because all VMs decided alone.
    vm_dispatchers, _ = make_dispatchers(vms=20)
    now = anyio.current_time()
    vm_dispatchers.update_targets(now)
    parts = tuple(retry_window.Bucket(n, 10.0 - n / 10, 9, 9) for n in range(100))
    names = [f"a-vm-of-a-long-name-{n}:1791131941936:0" for n in range(291)]
    for name in names:
        vm_dispatchers.apply_retry_counts(
            datagrams.RetryUsage("desk", ((name, parts),)), now
        )
    updates = vm_dispatchers.retries.make_updates("desk", now, is_whole=True)
    sizes = [len(datagrams.encode(message, now)) for message in updates]
    assert max(sizes) <= peer_link.MAX_DATAGRAM_BYTES
    assert {name for message in updates for name, _ in message.counts} == set(names)


async def test_service_briefly_without_targets_keeps_its_counts() -> None:
    # Guards against a second slack for a service that is missing in the store for a
    # second.
    vm_dispatchers, decisions = make_dispatchers(vms=20)
    count_granted_retries(vm_dispatchers, decisions, "vm-1")
    now = anyio.current_time()
    before = vm_dispatchers.retries.find_totals("desk", now).spent
    assert before
    vm_dispatchers.retries.remove_gone_services(set(), now + 1.0)
    assert vm_dispatchers.retries.find_totals("desk", now + 1.0).spent == before
    vm_dispatchers.retries.remove_gone_services(set(), now + 31.0)
    assert not vm_dispatchers.retries.count_requests("desk")


async def test_vm_of_a_new_fleet_knows_that_no_retry_was_granted() -> None:
    # Guards against a fleet without retries in the first seconds of its traffic, and
    # against mistaking a later change of dispatcher for the start of the fleet.
    for since, slack_share in ((0.5, retry_counts.SLACK_SHARE), (5.0, 0.25)):
        vm_dispatchers, decisions = make_dispatchers(vms=20, is_new_fleet=True)
        now = anyio.current_time()
        vm_dispatchers.retries.record_request("desk", now - since)
        granted = count_granted_retries(vm_dispatchers, decisions, "vm-1")
        assert 0.8 * slack_share * 50 < granted <= slack_share * 50


async def test_vm_does_not_rely_on_complete_counts_received_long_ago() -> None:
    # Guards against missing the retries granted by others since the last update.
    now = anyio.current_time()
    parts = (retry_window.Bucket(7, 1.0, 1000, 0),)
    complete_counts = datagrams.RetryUsage(
        "desk", (("vm-9:1:0", parts),), is_complete=True
    )
    granted: list[int] = []
    for age_s in (1.0, 5.0):
        vm_dispatchers, decisions = make_dispatchers(vms=20)
        vm_dispatchers.update_targets(now)
        vm_dispatchers.apply_retry_counts(complete_counts, now - age_s)
        granted.append(count_granted_retries(vm_dispatchers, decisions, "vm-1"))
    assert granted[0] == 100
    assert granted[1] <= 50 * retry_counts.INITIAL_SLACK_SHARE
