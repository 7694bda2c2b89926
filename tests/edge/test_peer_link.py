"""The socket between VMs goes on after what it cannot send or take in."""

from __future__ import annotations

import os
import typing

import anyio
import pytest

from zinniastand_proxy.edge import datagrams, log_lines, peer_link, ports

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"


def make_link() -> peer_link.PeerLink:
    _, writer = os.pipe()
    return peer_link.PeerLink(HOST, 0, log_lines.LogLines("vm-1", writer))


@pytest.mark.parametrize(
    ("host", "port"), [(HOST, 70_000), ("x..y", 9), (7, 9), (HOST, "9")]
)
async def test_address_that_is_none_keeps_no_other_from_hearing(
    host: typing.Any, port: typing.Any
) -> None:
    # The record of one VM, as another sent it, has an address that is none. Sending to
    # it raised, so that those behind it in the list were not told, of a VM that leaves
    # for instance.
    link, other = make_link(), make_link()
    heard: list[datagrams.Message] = []
    broken = ports.Member("vm-3", "a", host, port, 1)
    sound = ports.Member("vm-2", "a", HOST, other.port, 1)
    link.send_many(datagrams.Leaving("vm-1", 1), [broken, sound])
    async with anyio.create_task_group() as group:
        group.start_soon(other.run, heard.append)
        with anyio.fail_after(5.0):
            while not heard:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert heard == [datagrams.Leaving("vm-1", 1)]
    assert (link.sent, link.unsent) == (1, 1)


async def test_link_can_be_run_again_after_a_fault() -> None:
    # What a datagram leads to meets a fault. The socket was closed with it, and the VM
    # heard nothing any more and could send nothing.
    link, other = make_link(), make_link()
    heard: list[datagrams.Message] = []

    def fail(_: datagrams.Message) -> None:
        raise RuntimeError("a fault")

    me = ports.Member("vm-1", "a", HOST, link.port, 1)
    other.send(datagrams.Leaving("vm-2", 1), me)
    with anyio.fail_after(5.0):
        with pytest.raises(RuntimeError):
            await link.run(fail)
        other.send(datagrams.Leaving("vm-2", 1), me)
        async with anyio.create_task_group() as group:
            group.start_soon(link.run, heard.append)
            while not heard:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
    assert heard == [datagrams.Leaving("vm-2", 1)]
