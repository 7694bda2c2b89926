"""The client of the platform's store, tested against the stand-in and its faults."""

from __future__ import annotations

import collections.abc
import contextlib
import os

import anyio
import edge_site
import pytest

from zinniastand_core.deployment import configuration, targets
from zinniastand_platform import encoding, store, wire_names
from zinniastand_proxy.edge import edge_settings, http_server, log_lines, ports
from zinniastand_standins import topic_store, topic_store_app

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on the event loop that the proxy uses."""
    return "asyncio"


@contextlib.asynccontextmanager
async def run_store() -> collections.abc.AsyncIterator[
    tuple[topic_store.TopicStore, store.PlatformStore]
]:
    topics = topic_store.TopicStore()
    app = topic_store_app.TopicStoreApp(topics)
    server = http_server.Server(app, configuration.Limits, edge_site.fail_on_error)
    _, writer = os.pipe()
    async with anyio.create_task_group() as group:
        port = await group.start(server.serve, "127.0.0.1", 0)
        address = edge_settings.Address("127.0.0.1", port)
        client = store.PlatformStore(address, log_lines.LogLines("vm", writer))
        yield topics, client
        await client.close()
        group.cancel_scope.cancel()


def put_target(topics: topic_store.TopicStore, name: str) -> None:
    target = edge_site.Target(name)
    target.port = 1
    site = edge_site.Site.__new__(edge_site.Site)
    site.store = topics
    site.register(target)


async def test_changes_of_targets_are_read_from_the_end_of_the_listing() -> None:
    async with run_store() as (topics, client):
        put_target(topics, "t1")
        page = await client.read_targets()
        [entry] = page.changes
        assert isinstance(entry, targets.Entry)
        topics.put(wire_names.TARGETS_TOPIC, "t1", b"")
        put_target(topics, "t2")
        found = await client.read_target_changes(page.position, 0.0)
        assert found.changes[0] == targets.Removal("t1", 1)
        assert found.changes[1].target_id == "t2"
        assert found.position == 3


async def test_targets_are_read_from_all_pages_of_a_listing() -> None:
    async with run_store() as (topics, client):
        for n in range(topic_store_app.KEYS_PER_PAGE + 20):
            put_target(topics, f"t{n:04}")
        assert (
            len((await client.read_targets()).changes)
            == topic_store_app.KEYS_PER_PAGE + 20
        )


async def test_new_configuration_ends_the_wait_for_one() -> None:
    async with run_store() as (topics, client):
        page = await client.read_configuration()
        assert page.newest is None

        async def publish() -> None:
            await anyio.sleep(0.1)
            data = encoding.encode_configuration(7, [edge_site.make_route()])
            topics.put(
                wire_names.CONFIGURATION_TOPIC, wire_names.CONFIGURATION_KEY, data
            )

        async with anyio.create_task_group() as group:
            group.start_soon(publish)
            found = await client.wait_configuration(page.position, 5.0)
            assert found.newest is not None
            assert found.newest.version == 7


async def test_malformed_records_and_unknown_keys_are_ignored() -> None:
    async with run_store() as (topics, client):
        data = encoding.encode_configuration(7, [edge_site.make_route()])
        topics.put(wire_names.CONFIGURATION_TOPIC, wire_names.CONFIGURATION_KEY, data)
        page = await client.read_configuration()
        topics.put(
            wire_names.CONFIGURATION_TOPIC, wire_names.CONFIGURATION_KEY, b"{broken"
        )
        topics.put(wire_names.CONFIGURATION_TOPIC, "other", data)
        found = await client.wait_configuration(page.position, 0.5)
        assert found.newest is None
        topics.put(wire_names.TARGETS_TOPIC, "t1", b"{}")
        assert (await client.read_targets()).changes == ()


async def test_read_from_a_dropped_offset_raises_history_lost() -> None:
    async with run_store() as (topics, client):
        put_target(topics, "t1")
        topics.forget(wire_names.TARGETS_TOPIC)
        with pytest.raises(ports.HistoryLostError):
            await client.read_target_changes(0, 0.0)
        assert len((await client.read_targets()).changes) == 1


@pytest.mark.parametrize(
    "fault",
    [
        topic_store.Fault.BUSY,
        topic_store.Fault.SILENT,
        topic_store.Fault.RESET,
        topic_store.Fault.LOST,
    ],
)
async def test_every_fault_raises_store_unavailable_in_time(
    fault: topic_store.Fault,
) -> None:
    async with run_store() as (topics, client):
        topics.fault = fault
        with anyio.fail_after(store.CALL_TIMEOUT_S + 1.0):
            with pytest.raises(ports.StoreUnavailableError):
                await client.read_targets()


async def test_vm_may_announce_itself_again_after_a_lost_answer() -> None:
    async with run_store() as (topics, client):
        member = ports.Member("vm-1", "a", "10.0.0.1", 7660, 99)
        topics.fault = topic_store.Fault.LOST
        with pytest.raises(ports.StoreUnavailableError):
            await client.announce(member)
        topics.fault = topic_store.Fault.NONE
        await client.announce(member)
        assert await client.read_members() == (member,)
