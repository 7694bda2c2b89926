"""Requests through a complete site over real sockets.

Log, VM list, targets and daemons run in one process and are connected by sockets.
"""

from __future__ import annotations

import contextlib
import uuid

import anyio
import httpx
import pytest
import uuid6

from zinniastand_proxy import daemon
from zinniastand_standins import site, target

pytestmark = pytest.mark.anyio

PLAN = site.ServicePlan(
    name="desk",
    targets=4,
    slots=3,
    work_time=0.005,
    floor_slots=6,
    detection_weight=0.8,
    kinds=(
        {"name": "lookup", "work": "idempotent", "time_limit_ms": 5000},
        {"name": "order", "work": "at-most-once", "time_limit_ms": 5000},
    ),
    routes=(
        {"path_prefix": "/items", "methods": ["GET", "HEAD"], "kind": "lookup"},
        {"path_prefix": "/orders", "methods": ["POST"], "kind": "order"},
    ),
    data_centres=("dc-1", "dc-2"),
)


@contextlib.asynccontextmanager
async def run_site(vms: int):
    """Run a site with `vms` daemons, all ready for requests."""
    async with anyio.create_task_group() as group:
        running_site = site.Site(group)
        await running_site.start_platform()
        await running_site.start_targets([PLAN])
        running_site.publish()
        for number in range(vms):
            await running_site.start_daemon(f"vm-{number + 1}", f"dc-{number % 2 + 1}")
        async with httpx.AsyncClient(timeout=10) as client:
            for proxy_daemon in running_site.daemons.values():
                await wait_ready(client, proxy_daemon)
            yield running_site, client
        for proxy_daemon in running_site.daemons.values():
            proxy_daemon.stop()
        group.cancel_scope.cancel()


async def wait_ready(client: httpx.AsyncClient, proxy_daemon: daemon.Daemon) -> None:
    """Wait until a daemon reports that it is ready."""
    with anyio.fail_after(20):
        while True:
            page = await client.get(f"http://127.0.0.1:{proxy_daemon.admin_port}/ready")
            if page.status_code == 200:
                return
            await anyio.sleep(0.02)


async def wait_members(
    client: httpx.AsyncClient, proxy_daemon: daemon.Daemon, count: int
) -> None:
    """Wait until a daemon knows `count` VMs, itself included."""
    url = f"http://127.0.0.1:{proxy_daemon.admin_port}/fleet"
    with anyio.fail_after(20):
        while len((await client.get(url)).json()["members"]) < count:
            await anyio.sleep(0.02)


def url_of(proxy_daemon: daemon.Daemon, path: str) -> str:
    """Return the URL of a path on a daemon's listener for callers."""
    return f"http://127.0.0.1:{proxy_daemon.caller_port}{path}"


async def send_order(
    client: httpx.AsyncClient, proxy_daemon: daemon.Daemon, key: str, name: str
) -> httpx.Response:
    """Send an at-most-once request under a key."""
    headers = {"idempotency-key": key, "x-work-name": name}
    return await client.post(
        url_of(proxy_daemon, "/orders"), headers=headers, content=b"x"
    )


async def test_idempotent_request_gets_the_complete_answer() -> None:
    async with run_site(1) as (running_site, client):
        proxy_daemon = running_site.daemons["vm-1"]
        headers = {"x-work-name": "a"}
        answer = await client.get(url_of(proxy_daemon, "/items/1?b=2"), headers=headers)
        assert answer.status_code == 200
        assert answer.text == "done:a:"


async def test_key_sent_to_two_vms_runs_once() -> None:
    # Guards against running an at-most-once request twice: a caller repeats it through
    # the balancer and the copy reaches another VM. Both VMs claim the key; only the
    # claim that comes first on the log may be sent. The others get 409, since the work
    # ran or may have run.
    async with run_site(2) as (running_site, client):
        key = str(uuid6.uuid7())
        replies: list[httpx.Response] = []

        async def send(vm: str) -> None:
            replies.append(await send_order(client, running_site.daemons[vm], key, "a"))

        async with anyio.create_task_group() as group:
            for vm in ("vm-1", "vm-2", "vm-1", "vm-2"):
                group.start_soon(send, vm)
        assert running_site.ledger.count("a") == 1
        statuses = sorted(reply.status_code for reply in replies)
        assert statuses == [200, 409, 409, 409]
        outcomes = {r.headers["x-outcome"] for r in replies if r.status_code == 409}
        assert outcomes <= {"unknown", "done"}


async def test_key_without_a_timestamp_is_rejected() -> None:
    async with run_site(1) as (running_site, client):
        proxy_daemon = running_site.daemons["vm-1"]
        reply = await send_order(client, proxy_daemon, str(uuid.uuid4()), "a")
        assert reply.status_code == 400
        assert reply.json()["reason"] == "key-malformed"
        assert reply.headers["x-outcome"] == "not-run"
        assert running_site.ledger.count("a") == 0


async def test_at_most_once_request_is_not_run_while_the_log_is_down() -> None:
    # During an outage of the log no key can be claimed. An at-most-once request has to
    # get "not-run" and a Retry-After at once; idempotent requests need no claim and
    # succeed.
    async with run_site(1) as (running_site, client):
        proxy_daemon = running_site.daemons["vm-1"]
        running_site.log.is_down = True
        reply = await send_order(client, proxy_daemon, str(uuid6.uuid7()), "a")
        assert reply.status_code == 503
        assert reply.headers["x-outcome"] == "not-run"
        assert int(reply.headers["retry-after"]) > 0
        assert running_site.ledger.count("a") == 0
        lookup = await client.get(url_of(proxy_daemon, "/items/1"))
        assert lookup.status_code == 200


async def test_claim_whose_append_answer_is_lost_is_settled_by_reading() -> None:
    # The append succeeds but its answer is lost. The VM has to read the stream, find
    # that its claim is the first for the key, and send the request once.
    async with run_site(1) as (running_site, client):
        running_site.log.loses_answers = True
        reply = await send_order(
            client, running_site.daemons["vm-1"], str(uuid6.uuid7()), "a"
        )
        assert reply.status_code == 200
        assert running_site.ledger.count("a") == 1


async def test_truncated_or_crossed_answer_never_reaches_the_caller() -> None:
    # Every target truncates its answers, or sends the answer to another request. The
    # proxy validates the complete answer before it sends the first byte, so the caller
    # gets 502 instead. For at-most-once work the outcome is "unknown", since it ran.
    async with run_site(1) as (running_site, client):
        proxy_daemon = running_site.daemons["vm-1"]
        for fault in (target.Fault.CUT, target.Fault.CROSSED):
            for stand_in in running_site.targets.values():
                stand_in.behaviour = target.Behaviour(fault)
            name = fault.value
            reply = await send_order(client, proxy_daemon, str(uuid6.uuid7()), name)
            assert reply.status_code == 502
            assert reply.headers["x-outcome"] == "unknown"
            assert running_site.ledger.count(name) == 1
            lookup = await client.get(url_of(proxy_daemon, "/items/1"))
            assert lookup.status_code == 502


@pytest.mark.parametrize("announced_by", ["operator", "list", "target"])
async def test_leaving_target_gets_no_new_requests(announced_by: str) -> None:
    # Only one source announces that a target is leaving. After three seconds no VM may
    # send it a request, and all requests still have to succeed.
    async with run_site(2) as (running_site, client):
        name = "desk-2"
        leaving = running_site.targets[name]
        if announced_by == "operator":
            running_site.document["services"]["desk"]["targets"][1]["draining"] = True
            running_site.publish()
        elif announced_by == "list":
            address = f"127.0.0.1:{running_site.ports[name]}"
            running_site.vm_list.vms.append(
                {"role": "target", "state": "leaving", "address": address}
            )
        else:
            leaving.is_leaving = True
        await send_lookups(running_site, client, 20)
        await anyio.sleep(3.0)
        before = len(leaving.received_at)
        assert await send_lookups(running_site, client, 40) == {200}
        assert len(leaving.received_at) == before


async def test_vms_that_no_leaving_target_answered_send_it_nothing() -> None:
    # Guards against each VM finding out by a request of its own that a target leaves.
    async with run_site(2) as (running_site, client):
        for proxy_daemon in running_site.daemons.values():
            await wait_members(client, proxy_daemon, 2)
        leaving = running_site.targets["desk-2"]
        leaving.is_leaving = True
        url = url_of(running_site.daemons["vm-1"], "/items/1")
        with anyio.fail_after(20):
            while not leaving.received_at:
                assert (await client.get(url)).status_code == 200
        await anyio.sleep(3.0)
        before = len(leaving.received_at)
        assert await send_lookups(running_site, client, 40) == {200}
        assert len(leaving.received_at) == before


async def send_lookups(
    running_site: site.Site, client: httpx.AsyncClient, count: int
) -> set[int]:
    """Send `count` lookups to each VM in turn and return the statuses received."""
    statuses: set[int] = set()
    for _ in range(count):
        for proxy_daemon in running_site.daemons.values():
            reply = await client.get(url_of(proxy_daemon, "/items/1"))
            statuses.add(reply.status_code)
    return statuses


async def test_ambiguous_invalid_or_oversized_request_is_rejected() -> None:
    async with run_site(1) as (running_site, client):
        url = url_of(running_site.daemons["vm-1"], "/items/1")
        doubled = [("x-account", "a"), ("x-account", "b")]
        reply = await client.get(url, headers=doubled)
        assert reply.status_code == 400
        assert reply.headers["x-outcome"] == "not-run"
        reply = await client.get(url, headers={"x-request-timeout-ms": "soon"})
        assert reply.status_code == 400
        reply = await client.request("TRACE", url)
        assert reply.status_code in (400, 501)
        large = b"x" * (2 * 1024 * 1024)
        orders = url_of(running_site.daemons["vm-1"], "/orders")
        reply = await client.post(orders, content=large)
        assert reply.status_code == 413


async def test_hop_by_hop_headers_are_not_forwarded() -> None:
    async with run_site(1) as (running_site, client):
        url = url_of(running_site.daemons["vm-1"], "/items/1")
        seen: list[dict[bytes, bytes]] = []
        stand_in = running_site.targets["desk-1"]
        for other in running_site.targets.values():
            other.is_leaving = other is not stand_in
        stand_in.on_headers = seen.append
        headers = {"connection": "x-secret", "x-secret": "1", "te": "trailers"}
        await client.get(url, headers=headers)
        names = set(seen[-1])
        assert names.isdisjoint({b"x-secret", b"te", b"connection"})
        assert b"for=127.0.0.1" in seen[-1][b"forwarded"]
        assert b"x-request-deadline-ms" in names


async def test_vm_joins_through_a_first_peer_without_vm_list_and_log() -> None:
    # A VM starts while both the log and the platform's VM list are down. It has to get
    # the verified configuration from the peer that its settings name, and serve.
    async with run_site(2) as (running_site, client):
        running_site.log.is_down = True
        proxy_daemon = await running_site.start_daemon(
            "vm-late", list_url="http://127.0.0.1:9", first_peers=["vm-1"]
        )
        await wait_ready(client, proxy_daemon)
        reply = await client.get(url_of(proxy_daemon, "/items/1"))
        assert reply.status_code == 200
