"""Division of a large service into shards, and the choice between them."""

from __future__ import annotations

import collections
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import shards


def make_entries(**sizes: int) -> list[targets.Entry]:
    """Return the targets of a service, with the given number in each data centre."""
    return [
        targets.Entry(
            target_id=f"{name}{number}",
            service="desk",
            host="127.0.0.1",
            port=80,
            data_centre=name,
            slots=3,
            phase=targets.Phase.READY,
            born=1,
            cold_until=0.0,
            position=1,
        )
        for name, size in sizes.items()
        for number in range(size)
    ]


def make_shards(*data_centres: str) -> list[shards.Shard]:
    return [shards.Shard("desk", name) for name in data_centres]


def count_chosen(
    chooser: shards.ShardChooser, among: list[shards.Shard], now: float
) -> collections.Counter[str]:
    chosen: collections.Counter[str] = collections.Counter()
    for _ in range(1000):
        shard = chooser.choose(among, now)
        assert shard is not None
        chosen[shard.data_centre] += 1
    return chosen


@hypothesis.given(
    st.dictionaries(st.sampled_from("abcd"), st.integers(1, 130), min_size=1)
)
def test_each_target_belongs_to_one_shard(sizes: dict[str, int]) -> None:
    entries = make_entries(**sizes)
    divided = shards.divide("desk", entries)
    assert len({shard.task for shard in divided}) == len(divided)
    for entry in entries:
        assert [shard.covers(entry) for shard in divided].count(True) == 1


@pytest.mark.parametrize(
    ("sizes", "expected"),
    [
        ({"a": 10, "b": 10, "c": 10}, [("", 1)]),
        ({"a": 41}, [("a", 2)]),
        ({"a": 15, "b": 15, "c": 15}, [("", 2)]),
        ({"a": 32, "b": 35, "c": 29}, [("a", 1), ("b", 1), ("c", 1)]),
        ({"a": 90, "b": 20}, [("a", 4), ("b", 1)]),
    ],
)
def test_large_service_is_divided_by_data_centre_first(
    sizes: dict[str, int], expected: list[tuple[str, int]]
) -> None:
    divided = shards.divide("desk", make_entries(**sizes))
    found = {(shard.data_centre, shard.count) for shard in divided}
    assert sorted(found) == expected


def test_undivided_service_keeps_its_name_as_task() -> None:
    assert shards.divide("desk", []) == (shards.Shard("desk"),)
    assert shards.Shard("desk").task == "desk"


def test_requests_stay_in_their_data_centre() -> None:
    # No target fails. Placing requests elsewhere would send each of them, and its
    # answer, between data centres for nothing.
    chooser = shards.ShardChooser("b", random.Random(1))
    assert count_chosen(chooser, make_shards("a", "b", "c"), 0.0) == {"b": 1000}


def test_requests_leave_a_shard_with_high_pressure() -> None:
    # Most targets of one data centre fail, or its callers come in a burst. Requests
    # would wait there while slots are free elsewhere.
    chooser = shards.ShardChooser("b", random.Random(1))
    a, b, c = make_shards("a", "b", "c")
    chooser.record_pressure(b, 1.5, 0.0)
    chooser.record_pressure(c, 1.4, 0.0)
    chosen = count_chosen(chooser, [a, b, c], 0.0)
    assert chosen["a"] > 900
    assert chosen["b"] == 0


def test_requests_stay_local_when_all_shards_have_high_pressure() -> None:
    # A burst in all data centres: moving requests between them would help nobody.
    chooser = shards.ShardChooser("b", random.Random(1))
    a, b, c = make_shards("a", "b", "c")
    for shard in (a, b, c):
        chooser.record_pressure(shard, 2.0, 0.0)
    assert count_chosen(chooser, [a, b, c], 0.0) == {"b": 1000}


def test_old_pressure_decays() -> None:
    # A burst is over, but the shard has had no request since: it must get work again.
    chooser = shards.ShardChooser("b", random.Random(1))
    a, b = make_shards("a", "b")
    chooser.record_pressure(b, 3.0, 0.0)
    assert count_chosen(chooser, [a, b], 0.0)["b"] == 0
    assert count_chosen(chooser, [a, b], 10.0) == {"b": 1000}


def test_shard_that_refused_is_not_asked_again() -> None:
    chooser = shards.ShardChooser("a", random.Random(1))
    a, b = make_shards("a", "b")
    assert chooser.choose([a, b], 0.0, [a]) == b
    assert chooser.choose([a, b], 0.0, [a, b]) is None
