"""A planned stop gives each request that was read, or is being read, its answer."""

from __future__ import annotations

import dataclasses

import anyio
import anyio.abc
import edge_site
import pytest

from zinniastand_core.deployment import configuration
from zinniastand_platform import encoding

pytestmark = pytest.mark.anyio

REQUEST = (
    b"POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: id-1\r\n"
    b"X-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nhello"
)


async def start_vm(site: edge_site.Site) -> edge_site.Vm:
    site.publish([edge_site.make_route(timeout_ms=8000)])
    await site.start_target(edge_site.Target("t1"))
    vm = await site.start_vm("vm-1")
    await edge_site.wait_ready(vm)
    return vm


def allow_slow_callers(vm: edge_site.Vm) -> None:
    """Let callers take long over a request, so that a busy machine does not matter."""
    routes = [edge_site.make_route(timeout_ms=8000)]
    current = edge_site.store.decoding.decode_configuration(
        encoding.encode_configuration(1_000_000, routes)
    )
    limits = configuration.Limits(head_timeout=20.0, idle_timeout=20.0)
    vm.daemon.use_configuration(dataclasses.replace(current, limits=limits))


async def connect(vm: edge_site.Vm) -> anyio.abc.SocketStream:
    address = vm.settings.callers
    return await anyio.connect_tcp(address.host, address.port)


def list_events(vm: edge_site.Vm, event: str) -> list[dict[str, object]]:
    return [line for line in vm.read_log() if line["event"] == event]


async def receive_answer(stream: anyio.abc.SocketStream) -> bytes:
    with anyio.fail_after(8.0):
        return await stream.receive()


@pytest.mark.parametrize("sent", [30, len(REQUEST) - 2], ids=["head", "body"])
async def test_request_that_is_being_read_at_a_stop_is_answered(sent: int) -> None:
    # A caller has sent half of a request when the VM is stopped, and sends the rest
    # later, as over a slow line. No whole request was in flight, so that the
    # process ended, and the caller saw a closed connection.
    async with edge_site.run_site() as site:
        vm = await start_vm(site)
        allow_slow_callers(vm)
        async with await connect(vm) as stream:
            await stream.send(REQUEST[:sent])
            await anyio.sleep(0.1)
            vm.daemon.stop()
            await anyio.sleep(1.0)
            await stream.send(REQUEST[sent:])
            assert (await receive_answer(stream)).startswith(b"HTTP/1.1 200 ")
