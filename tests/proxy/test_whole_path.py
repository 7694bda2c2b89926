"""The whole path over real sockets: log, bundle, daemons, targets, callers."""

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
    """Run a site with a number of ready daemons."""
    async with anyio.create_task_group() as group:
        place = site.Site(group)
        await place.start_platform()
        await place.start_targets([PLAN])
        place.publish()
        for number in range(vms):
            await place.start_daemon(f"vm-{number + 1}", f"dc-{number % 2 + 1}")
        async with httpx.AsyncClient(timeout=10) as client:
            for process in place.daemons.values():
                await wait_ready(client, process)
            yield place, client
        for process in place.daemons.values():
            process.stop()
        group.cancel_scope.cancel()


async def wait_ready(client: httpx.AsyncClient, process: daemon.Daemon) -> None:
    """Wait until a daemon takes requests."""
    with anyio.fail_after(20):
        while True:
            page = await client.get(f"http://127.0.0.1:{process.admin_port}/ready")
            if page.status_code == 200:
                return
            await anyio.sleep(0.02)


def url_of(process: daemon.Daemon, path: str) -> str:
    """Return the callers' URL of a daemon."""
    return f"http://127.0.0.1:{process.caller_port}{path}"


async def order(
    client: httpx.AsyncClient, process: daemon.Daemon, key: str, name: str
) -> httpx.Response:
    """Send at-most-once work."""
    headers = {"idempotency-key": key, "x-work-name": name}
    return await client.post(url_of(process, "/orders"), headers=headers, content=b"x")


async def test_answers_idempotent_work_whole() -> None:
    async with run_site(1) as (place, client):
        process = place.daemons["vm-1"]
        headers = {"x-work-name": "a"}
        answer = await client.get(url_of(process, "/items/1?b=2"), headers=headers)
        assert answer.status_code == 200
        assert answer.text == "done:a:"


async def test_runs_a_key_once_though_sent_to_two_vms() -> None:
    # A caller repeats an order through the balancer, and the copy reaches another
    # VM. Both VMs claim the key on the log; the log's order lets one of them send.
    # The other caller is told that the work ran, or may have.
    async with run_site(2) as (place, client):
        key = str(uuid6.uuid7())
        replies: list[httpx.Response] = []

        async def send(vm: str) -> None:
            replies.append(await order(client, place.daemons[vm], key, "a"))

        async with anyio.create_task_group() as group:
            for vm in ("vm-1", "vm-2", "vm-1", "vm-2"):
                group.start_soon(send, vm)
        assert place.ledger.count("a") == 1
        statuses = sorted(reply.status_code for reply in replies)
        assert statuses == [200, 409, 409, 409]
        outcomes = {r.headers["x-outcome"] for r in replies if r.status_code == 409}
        assert outcomes <= {"unknown", "done"}


async def test_refuses_keys_without_an_age() -> None:
    async with run_site(1) as (place, client):
        process = place.daemons["vm-1"]
        reply = await order(client, process, str(uuid.uuid4()), "a")
        assert reply.status_code == 400
        assert reply.json()["reason"] == "key-malformed"
        assert reply.headers["x-outcome"] == "not-run"
        assert place.ledger.count("a") == 0


async def test_says_not_run_while_the_log_is_down() -> None:
    # The log refuses appends for hours. An order cannot be claimed, so it is refused
    # at once, truthfully, with a time to come back; lookups go on as before.
    async with run_site(1) as (place, client):
        process = place.daemons["vm-1"]
        place.log.is_down = True
        reply = await order(client, process, str(uuid6.uuid7()), "a")
        assert reply.status_code == 503
        assert reply.headers["x-outcome"] == "not-run"
        assert int(reply.headers["retry-after"]) > 0
        assert place.ledger.count("a") == 0
        lookup = await client.get(url_of(process, "/items/1"))
        assert lookup.status_code == 200


async def test_settles_a_lost_append_answer_by_reading() -> None:
    # The append takes effect and its answer is lost. The VM reads the stream, finds
    # its claim first, and sends the work once.
    async with run_site(1) as (place, client):
        place.log.loses_answers = True
        reply = await order(client, place.daemons["vm-1"], str(uuid6.uuid7()), "a")
        assert reply.status_code == 200
        assert place.ledger.count("a") == 1


async def test_never_passes_a_cut_or_crossed_answer() -> None:
    # Every target cuts its answers short, or answers somebody else's request. The
    # proxy checks the whole answer before its first byte, so the caller never sees
    # one; for an order it says "unknown", for the work did run.
    async with run_site(1) as (place, client):
        process = place.daemons["vm-1"]
        for fault in (target.Fault.CUT, target.Fault.CROSSED):
            for worker in place.targets.values():
                worker.mood = target.Mood(fault)
            name = fault.value
            reply = await order(client, process, str(uuid6.uuid7()), name)
            assert reply.status_code == 502
            assert reply.headers["x-outcome"] == "unknown"
            assert place.ledger.count(name) == 1
            lookup = await client.get(url_of(process, "/items/1"))
            assert lookup.status_code == 502


@pytest.mark.parametrize("announced_by", ["operator", "list", "target"])
async def test_a_leaving_target_gets_nothing_new(announced_by: str) -> None:
    # A target is going to leave, and only one source says so. Three seconds later no
    # VM sends it anything, and every request is still answered.
    async with run_site(2) as (place, client):
        name = "desk-2"
        leaving = place.targets[name]
        if announced_by == "operator":
            place.document["services"]["desk"]["targets"][1]["draining"] = True
            place.publish()
        elif announced_by == "list":
            address = f"127.0.0.1:{place.ports[name]}"
            place.listing.vms.append(
                {"role": "target", "state": "leaving", "address": address}
            )
        else:
            leaving.is_leaving = True
        await send_lookups(place, client, 20)
        await anyio.sleep(3.0)
        before = len(leaving.received_at)
        assert await send_lookups(place, client, 40) == {200}
        assert len(leaving.received_at) == before


async def send_lookups(
    place: site.Site, client: httpx.AsyncClient, count: int
) -> set[int]:
    """Send lookups to all VMs in turn; return the statuses that came back."""
    statuses: set[int] = set()
    for _ in range(count):
        for process in place.daemons.values():
            reply = await client.get(url_of(process, "/items/1"))
            statuses.add(reply.status_code)
    return statuses


async def test_refuses_requests_that_could_be_read_in_two_ways() -> None:
    async with run_site(1) as (place, client):
        url = url_of(place.daemons["vm-1"], "/items/1")
        doubled = [("x-account", "a"), ("x-account", "b")]
        reply = await client.get(url, headers=doubled)
        assert reply.status_code == 400
        assert reply.headers["x-outcome"] == "not-run"
        reply = await client.get(url, headers={"x-request-timeout-ms": "soon"})
        assert reply.status_code == 400
        reply = await client.request("TRACE", url)
        assert reply.status_code in (400, 501)
        large = b"x" * (2 * 1024 * 1024)
        orders = url_of(place.daemons["vm-1"], "/orders")
        reply = await client.post(orders, content=large)
        assert reply.status_code == 413


async def test_strips_what_concerns_one_connection_only() -> None:
    async with run_site(1) as (place, client):
        url = url_of(place.daemons["vm-1"], "/items/1")
        seen: list[dict[bytes, bytes]] = []
        worker = place.targets["desk-1"]
        for other in place.targets.values():
            other.is_leaving = other is not worker
        worker.on_headers = seen.append
        headers = {"connection": "x-secret", "x-secret": "1", "te": "trailers"}
        await client.get(url, headers=headers)
        names = set(seen[-1])
        assert names.isdisjoint({b"x-secret", b"te", b"connection"})
        assert b"for=127.0.0.1" in seen[-1][b"forwarded"]
        assert b"x-request-deadline-ms" in names


async def test_a_vm_joins_through_a_first_peer_without_list_and_log() -> None:
    # A VM starts while both the log and the platform's list are down. It calls the
    # peer that its settings name, gets the proven head, and serves.
    async with run_site(2) as (place, client):
        place.log.is_down = True
        process = await place.start_daemon(
            "vm-late", list_url="http://127.0.0.1:9", first_peers=["vm-1"]
        )
        await wait_ready(client, process)
        reply = await client.get(url_of(process, "/items/1"))
        assert reply.status_code == 200
