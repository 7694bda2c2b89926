"""The limit on the retries of a service, counted at its targets in virtual time."""

from __future__ import annotations

import dataclasses

import pytest

from bench import retry_fleet, retry_loads
from zinniastand_standins import retry_audit

EARLY_SHED = retry_loads.TimedShare(2.0, 8.0, 0.55)
SHED = retry_loads.TimedShare(8.0, 15.0, 0.55)
SMALL = retry_loads.Load(seconds=16.0, shed=SHED)
LARGE = retry_loads.Load(
    vms=45,
    target_count=60,
    rate=300.0,
    slots=3,
    seconds=13.0,
    shed=SHED,
    bound=retry_audit.Bound(0.2, 110.0, 10.0),
)
MANY_SHARDS = retry_loads.Load(
    vms=48,
    target_count=500,
    rate=200.0,
    slots=3,
    seconds=13.0,
    shed=SHED,
    bound=retry_audit.Bound(0.2, 80.0, 10.0),
)
"""Many shards, each with a dispatcher."""


def play(load: retry_loads.Load, seed: int = 1) -> retry_loads.Result:
    return retry_fleet.Fleet(load, seed).play()


@pytest.mark.parametrize("kills", [(9.5,), (9.5, 11.5)])
def test_next_dispatcher_does_not_grant_the_retries_of_its_predecessor_again(
    kills: tuple[float, ...],
) -> None:
    # Guards against losing the counts with the VM that dispatched.
    planned_kills = tuple(retry_loads.Kill(at, 0.2) for at in kills)
    result = play(dataclasses.replace(SMALL, kills=planned_kills))
    assert result.worst.excess <= 0, result


@pytest.mark.parametrize(
    "kills",
    [
        (retry_loads.Kill(9.5, 1.0, 0.8),),
        (retry_loads.Kill(9.5, 0.5, 0.8), retry_loads.Kill(12.0, 0.5, 0.8)),
    ],
    ids=["all", "half, twice"],
)
def test_dispatcher_without_counts_of_others_grants_few_retries(
    kills: tuple[retry_loads.Kill, ...],
) -> None:
    # Guards against losing the counts because all VMs that had them are killed at once.
    for seed in (1, 2, 3):
        result = play(dataclasses.replace(SMALL, kills=kills), seed)
        assert result.worst.excess <= 0, result


def test_dispatchers_wrongly_taken_for_lost_grant_no_retries_twice() -> None:
    # Guards against two dispatchers that both count a request and both use the slack.
    late = retry_loads.TimedShare(0.0, 20.0, 0.3)
    result = play(
        dataclasses.replace(SMALL, late_datagrams=late, mean_late_delay_s=0.15)
    )
    assert result.worst.excess <= 0, result


def test_retries_of_a_burst_are_not_all_granted_after_it() -> None:
    # Guards against a window of retries that begins when the burst is half over.
    surge = retry_loads.TimedShare(0.0, 8.0, 0.7)
    result = play(dataclasses.replace(SMALL, surge=surge))
    assert result.worst.excess <= 0, result


def test_shards_with_alternating_loads_keep_the_limit_of_the_service() -> None:
    # Guards against using the busiest window of each shard: their sum exceeds that of
    # the busiest window of the service.
    result = play(dataclasses.replace(LARGE, rate_swing=0.3))
    assert result.worst.excess <= 0, result


def test_fleet_within_the_limit_gets_all_retries() -> None:
    # Guards against keeping the limit by refusing retries that it allows.
    failing = retry_loads.TimedShare(0.0, 20.0, 0.1)
    load = dataclasses.replace(SMALL, shed=retry_loads.NEVER, failing=failing)
    result = play(dataclasses.replace(load, idempotent_share=1.0))
    assert result.refused["retry-budget"] == 0
    assert result.served_share > 0.97


def test_loans_that_a_vm_asks_for_do_not_grow_with_the_fleet() -> None:
    # Guards against VMs that ask more of the others the more there are: what they send
    # then takes the time and the links of requests.
    sent = {
        vms: play(retry_loads.make_load(vms, seconds=9.0, shed=EARLY_SHED))
        for vms in (24, 72)
    }
    small, large = (result.loan_bytes / vms for vms, result in sent.items())
    assert 0.0 < large < 1.5 * small, (small, large)


def test_loans_that_a_vm_asks_for_do_not_grow_with_the_shards() -> None:
    # Guards against VMs that ask for loans of each shard of a service.
    sent = {
        vms: play(
            retry_loads.make_load(
                vms, seconds=9.0, shed=EARLY_SHED, target_count=10 * vms
            )
        )
        for vms in (24, 72)
    }
    small, large = (result.loan_bytes / vms for vms, result in sent.items())
    assert 0.0 < large < 1.5 * small, (small, large)


@pytest.mark.parametrize("kills", [(), (9.5,), (9.5, 11.5)])
@pytest.mark.parametrize("seed", [1, 2])
def test_dispatchers_of_many_shards_keep_the_limit_together(
    kills: tuple[float, ...], seed: int
) -> None:
    # Guards against retries that are granted or refused by counts that are lost with
    # the VMs that made them.
    planned_kills = tuple(retry_loads.Kill(at, 0.2, has_successor=True) for at in kills)
    result = play(dataclasses.replace(MANY_SHARDS, kills=planned_kills), seed)
    assert result.worst.excess <= 0, result
    assert result.retries > 0.8 * result.worst.allowed, result


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_groups_that_do_not_hear_each_other_keep_the_limit_together(seed: int) -> None:
    # Guards against each group granting what the requests of both groups allow.
    cut = retry_loads.Cut(7.0, 13.0, 0.5)
    result = play(dataclasses.replace(LARGE, cuts=(cut,)), seed)
    assert result.worst.excess <= 0, result
