"""Callers: they keep connections, leave early at times, and note all that they see."""

from __future__ import annotations

import collections.abc
import itertools
import random

import anyio
import anyio.abc

from zinniastand_platform import wire_names
from zinniastand_proxy.edge import http_exchange

from . import ledger, links, vms

PATIENCE = 4.0
"""Seconds for which a caller waits for an answer."""

LEAVES = 0.06
"""Share of requests that their caller gives up early."""

LEAVES_AFTER = 0.03
LONG_BODY = 150_000
LONG_SHARE = 0.02
PIPELINES = 0.05
"""Share of requests that further lookups follow before the answer."""

SERIES = 0.5
"""The same where callers send ahead as a habit."""

LONGEST_SERIES = 4
LOOKUP = "/safe/"

THINK = 0.08
"""Mean seconds between two requests of a caller."""

REPEAT_PAUSE = 0.2
"""Mean seconds until a request that crashes its targets is sent again."""

KEPT_FOR = 25
"""Most requests on one connection."""

HOST = b"desk.example"
PATHS = ("/safe/", "/once/", "/moving/", "/other/")
LOOKUP_PATHS = (LOOKUP, LOOKUP, LOOKUP, "/once/", "/other/")
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
    pipelines : float
        Share of requests that further lookups follow on the connection at once.
    """

    def __init__(
        self,
        fleet: collections.abc.Sequence[vms.Vm],
        book: ledger.Ledger,
        rng: random.Random,
        paths: collections.abc.Sequence[str] = PATHS,
        pipelines: float = 0.0,
    ) -> None:
        self._paths = paths
        self._pipelines = pipelines
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

    async def repeat(self, path: str, stop: anyio.Event) -> None:
        """Send one request again and again, to any VM, until `stop`."""
        while not stop.is_set():
            ready = [vm for vm in self._fleet if vm.is_ready]
            vm = self._rng.choice(ready or list(self._fleet))
            try:
                stream = await anyio.connect_tcp(links.HOST, vm.callers)
            except OSError:
                await anyio.sleep(THINK)
                continue
            sent = self._make_sent(vm, path, 0)
            self._book.sent.append(sent)
            try:
                with anyio.move_on_after(PATIENCE) as scope:
                    await self._exchange(sent, stream)
                if scope.cancelled_caught:
                    self._see(sent, 0, False, b"")
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)
            await anyio.sleep(self._rng.expovariate(1 / REPEAT_PAUSE))

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
        sent = self._make_sent(vm, path, size)
        self._book.sent.append(sent)
        if rng.random() < self._pipelines:
            count = rng.randrange(1, LONGEST_SERIES)
            behind = [self._make_sent(vm, f"{LOOKUP}{n}", 0) for n in range(count)]
            self._book.sent.extend(behind)
            await self._exchange_series([sent, *behind], stream)
            return False
        leaves = rng.random() < LEAVES
        with anyio.move_on_after(LEAVES_AFTER if leaves else PATIENCE) as scope:
            return await self._exchange(sent, stream)
        if scope.cancelled_caught:
            self._see(sent, 0, False, b"", has_left=leaves)
        return False

    def _make_sent(self, vm: vms.Vm, path: str, size: int) -> ledger.Sent:
        name = f"r{next(self._numbers)}"
        is_unsafe = not path.startswith("/safe/")
        body, now = self._rng.randbytes(size), anyio.current_time()
        return ledger.Sent(name, vm.number, is_unsafe, path, body, now)

    async def _exchange(
        self, sent: ledger.Sent, stream: anyio.abc.SocketStream
    ) -> bool:
        try:
            answer = await http_exchange.Exchange(stream, _make_request(sent)).run()
        except http_exchange.BrokenAnswerError:
            self._see(sent, 0, False, b"")
            return False
        self._see_answer(sent, answer)
        return answer.is_reusable

    async def _exchange_series(
        self, series: list[ledger.Sent], stream: anyio.abc.SocketStream
    ) -> None:
        """Send requests at once, and read their answers."""
        requests = [_make_request(one) for one in series]
        data = b"".join(http_exchange.encode_request(one)[1] for one in requests)
        trailing: bytes | None = b""
        try:
            await stream.send(data)
        except anyio.BrokenResourceError:
            trailing = None
        for one in series:
            if trailing is None:
                self._see(one, 0, False, b"")
            else:
                trailing = await self._read_one(one, stream, trailing)

    async def _read_one(
        self, sent: ledger.Sent, stream: anyio.abc.SocketStream, had: bytes
    ) -> bytes | None:
        """Read an answer; return what came after it, or None where there is none."""
        exchange = http_exchange.Exchange(_SentBefore(stream, had), _make_request(sent))
        try:
            with anyio.fail_after(PATIENCE):
                answer = await exchange.run()
        except (
            http_exchange.BrokenAnswerError,
            anyio.BrokenResourceError,
            anyio.EndOfStream,
            TimeoutError,
        ):
            self._see(sent, 0, False, b"")
            return None
        self._see_answer(sent, answer)
        return answer.trailing

    def _see_answer(self, sent: ledger.Sent, answer: http_exchange.Answer) -> None:
        is_signed = answer.find(wire_names.HEADERS.signature) is not None
        self._see(sent, answer.status, is_signed, answer.body)

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


class _SentBefore(anyio.abc.ByteStream):
    """A connection on which the request was sent, and some bytes were read, before."""

    def __init__(self, stream: anyio.abc.SocketStream, had: bytes) -> None:
        self._stream = stream
        self._had = had

    async def send(self, item: bytes) -> None:
        """Send nothing more."""

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return what was read before, then what comes."""
        if self._had:
            had, self._had = self._had, b""
            return had
        return await self._stream.receive(max_bytes)

    async def send_eof(self) -> None:
        """Leave the end of sending to the connection itself."""

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


def _make_request(sent: ledger.Sent) -> http_exchange.Request:
    headers = [
        (b"host", HOST),
        (wire_names.HEADERS.request_id, sent.request_id.encode()),
        (wire_names.HEADERS.time_left, b"%d" % int(PATIENCE * wire_names.MS_PER_S)),
    ]
    return http_exchange.Request(b"POST", sent.path.encode(), headers, sent.body, True)
