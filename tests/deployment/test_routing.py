"""Routes are found by host and longest prefix, and split by weight."""

from __future__ import annotations

import collections
import random

import hypothesis
import hypothesis.strategies as st

from zinniastand_core import services
from zinniastand_core.deployment import configuration, routing


def make_route(
    prefix: str, host: str = "a.example", parts: tuple[tuple[str, float], ...] = ()
) -> configuration.Route:
    return configuration.Route(
        name=f"{host}{prefix}",
        host=host,
        path_prefix=prefix,
        work=services.Work.IDEMPOTENT,
        time_limit=1.0,
        objective=0.5,
        max_attempts=2,
        priority=1,
        weighted_services=tuple(
            configuration.WeightedService(*pair) for pair in parts or (("desk", 1.0),)
        ),
    )


def test_longest_matching_prefix_of_the_host_wins() -> None:
    short, long = make_route("/a/"), make_route("/a/b/")
    other = make_route("/a/b/c/", host="b.example")
    table = routing.RouteTable((short, long, other))
    assert table.find("a.example", "/a/b/c/d") is long
    assert table.find("A.Example:8080", "/a/x?q=/a/b/") is short
    assert table.find("b.example", "/a/b/c/") is other


def test_prefix_ends_on_a_segment_and_host_must_match() -> None:
    table = routing.RouteTable((make_route("/a/"),))
    assert table.find("a.example", "/a") is None
    assert table.find("a.example", "/ab/") is None
    assert table.find("c.example", "/a/") is None


@hypothesis.given(
    weights=st.lists(st.integers(1, 99), min_size=2, max_size=4),
    vms=st.integers(1, 40),
    seed=st.integers(0, 10_000),
)
def test_split_keeps_its_weights_over_few_requests_of_many_vms(
    weights: list[int], vms: int, seed: int
) -> None:
    # Each of 36 VMs gets a few requests of a route with several services. Random draws
    # would deviate from the shares; here each VM stays within one request per service.
    rng = random.Random(seed)
    parts = tuple(
        configuration.WeightedService(f"s{n}", float(weight))
        for n, weight in enumerate(weights)
    )
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(vms):
        split = routing.WeightedRoundRobin(parts, rng)
        own: collections.Counter[str] = collections.Counter()
        for _ in range(12):
            own[split.choose()] += 1
        for part in parts:
            due = 12 * part.weight / sum(weights)
            assert abs(own[part.service] - due) <= len(parts)
        counts += own
    assert counts.total() == 12 * vms


def test_fleet_of_vms_keeps_a_split_of_nine_to_one() -> None:
    # 36 VMs, 8 requests each: a service with 10% must get within 3 in 100 of its share.
    rng = random.Random(5)
    parts = (
        configuration.WeightedService("a", 90.0),
        configuration.WeightedService("b", 10.0),
    )
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(36):
        split = routing.WeightedRoundRobin(parts, rng)
        counts.update(split.choose() for _ in range(8))
    assert abs(counts["b"] / counts.total() - 0.1) < 0.03


def test_router_keeps_split_state_when_another_route_changes() -> None:
    split = make_route("/s/", parts=(("a", 1.0), ("b", 1.0)))
    router = routing.Router(random.Random(1))
    limits = configuration.Limits()
    router.apply(configuration.Configuration(1, (split,), (), limits))
    first = router.choose_service(split)
    router.apply(configuration.Configuration(2, (split, make_route("/n/")), (), limits))
    assert router.choose_service(split) != first
