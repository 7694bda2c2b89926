"""The socket between VMs keeps working after datagrams that fail."""

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
async def test_invalid_address_of_one_vm_does_not_prevent_sending_to_others(
    host: typing.Any, port: typing.Any
) -> None:
    # The entry of one VM, as another sent it, has an invalid address. If sending to it
    # raised, the VMs after it in the list would not receive the message, for example
    # that a VM is leaving.
    link, other = make_link(), make_link()
    received: list[datagrams.Message] = []
    invalid_member = ports.Member("vm-3", "a", host, port, 1)
    valid_member = ports.Member("vm-2", "a", HOST, other.port, 1)
    link.send_many(datagrams.Leaving("vm-1", 1), [invalid_member, valid_member])
    async with anyio.create_task_group() as group:
        group.start_soon(other.run, received.append)
        with anyio.fail_after(5.0):
            while not received:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert received == [datagrams.Leaving("vm-1", 1)]
    assert (link.sent, link.unsent) == (1, 1)


async def test_link_can_be_run_again_after_an_error() -> None:
    # Handling a datagram raises an error. If that closed the socket, the VM could
    # neither receive nor send any more.
    link, other = make_link(), make_link()
    received: list[datagrams.Message] = []

    def fail(_: datagrams.Message) -> None:
        raise RuntimeError("a fault")

    own_member = ports.Member("vm-1", "a", HOST, link.port, 1)
    other.send(datagrams.Leaving("vm-2", 1), own_member)
    with anyio.fail_after(5.0):
        with pytest.raises(RuntimeError):
            await link.run(fail)
        other.send(datagrams.Leaving("vm-2", 1), own_member)
        async with anyio.create_task_group() as group:
            group.start_soon(link.run, received.append)
            while not received:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
    assert received == [datagrams.Leaving("vm-2", 1)]
