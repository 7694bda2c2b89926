"""Callers: they keep connections, leave early at times, and note all that they see."""

from __future__ import annotations

import collections.abc
import itertools
import random

import anyio
import anyio.abc

from zinniastand_platform import words
from zinniastand_proxy.edge import http_exchange

from . import ledger, links, vms

PATIENCE = 4.0
"""Seconds for which a caller waits for an answer."""

LEAVES = 0.06
"""Share of requests that their caller gives up early."""

LEAVES_AFTER = 0.03
LONG_BODY = 150_000
LONG_SHARE = 0.02
THINK = 0.08
"""Mean seconds between two requests of a caller."""

KEPT_FOR = 25
"""Most requests on one connection."""

HOST = b"desk.example"
PATHS = ("/safe/", "/once/", "/moving/", "/other/")
LOOKUP_PATHS = ("/safe/", "/safe/", "/safe/", "/once/", "/other/")
"""The same where most requests may be tried at a second target."""


class Callers:
    """All callers of a soak.

    Parameters
    ----------
    fleet : sequence of vms.Vm
        The VMs.
    book : ledger.Ledger
        Where they note what they see.
    rng : random.Random
        Source of randomness.
    paths : sequence of str
        Where they send to, drawn from evenly.
    """

    def __init__(
        self,
        fleet: collections.abc.Sequence[vms.Vm],
        book: ledger.Ledger,
        rng: random.Random,
        paths: collections.abc.Sequence[str] = PATHS,
    ) -> None:
        self._paths = paths
        self._fleet = fleet
        self._book = book
        self._rng = rng
        self._numbers = itertools.count()

    async def run_one(self, stop: anyio.Event) -> None:
        """Send requests until `stop`, one after the other."""
        while not stop.is_set():
            ready = [vm for vm in self._fleet if vm.is_ready]
            vm = self._rng.choice(ready or list(self._fleet))
            try:
                stream = await anyio.connect_tcp(links.HOST, vm.callers)
            except OSError:
                await anyio.sleep(THINK)
                continue
            try:
                await self._use(vm, stream, stop)
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    async def _use(
        self, vm: vms.Vm, stream: anyio.abc.SocketStream, stop: anyio.Event
    ) -> None:
        """Send on one connection until it ends."""
        for _ in range(self._rng.randint(1, KEPT_FOR)):
            if stop.is_set() or not await self._send_one(vm, stream):
                return
            await anyio.sleep(self._rng.expovariate(1 / THINK))

    async def _send_one(self, vm: vms.Vm, stream: anyio.abc.SocketStream) -> bool:
        """Send one request; return whether the connection may be used again."""
        rng = self._rng
        path = rng.choice(self._paths) + str(rng.randrange(1000))
        size = LONG_BODY if rng.random() < LONG_SHARE else rng.randrange(400)
        name = f"r{next(self._numbers)}"
        sent = ledger.Sent(
            name,
            vm.number,
            not path.startswith("/safe/"),
            path,
            rng.randbytes(size),
            anyio.current_time(),
        )
        self._book.sent.append(sent)
        leaves = rng.random() < LEAVES
        with anyio.move_on_after(LEAVES_AFTER if leaves else PATIENCE) as scope:
            return await self._exchange(sent, stream)
        if scope.cancelled_caught:
            self._see(sent, 0, False, b"", has_left=leaves)
        return False

    async def _exchange(
        self, sent: ledger.Sent, stream: anyio.abc.SocketStream
    ) -> bool:
        headers = [
            (b"host", HOST),
            (words.HEADERS.request_id, sent.request_id.encode()),
            (words.HEADERS.time_left, b"%d" % int(PATIENCE * words.MILLISECONDS)),
        ]
        request = http_exchange.Request(
            b"POST", sent.path.encode(), headers, sent.body, True
        )
        try:
            answer = await http_exchange.Exchange(stream, request).run()
        except http_exchange.BrokenAnswerError:
            self._see(sent, 0, False, b"")
            return False
        is_signed = answer.find(words.HEADERS.signature) is not None
        self._see(sent, answer.status, is_signed, answer.body)
        return answer.is_reusable

    def _see(
        self,
        sent: ledger.Sent,
        status: int,
        is_signed: bool,
        body: bytes,
        has_left: bool = False,
    ) -> None:
        now = anyio.current_time()
        self._book.seen[sent.request_id] = ledger.Seen(
            sent.request_id, now, status, is_signed, body, has_left
        )
