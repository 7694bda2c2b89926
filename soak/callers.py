"""Callers that reuse connections, leave early at times and record each outcome."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import random

import anyio
import anyio.abc

from zinniastand_platform import wire_names
from zinniastand_proxy.edge import http_exchange

from . import ledger, links, promises, vms

ANSWER_TIMEOUT_S = 4.0
"""Seconds for which a caller waits for an answer."""

EARLY_LEAVE_SHARE = 0.06
"""Share of requests whose caller closes the connection without waiting."""

EARLY_LEAVE_DELAY_S = 0.03
"""Seconds after which such a caller closes the connection."""

LONG_BODY_BYTES = 150_000
LONG_BODY_SHARE = 0.02
"""Share of requests with a long body."""

SERIES_SHARE = 0.05
"""Share of requests that begin a series of lookups."""

HIGH_SERIES_SHARE = 0.5
"""The same for callers that mostly send series."""

MAX_SERIES_REQUESTS = 4
LOOKUP_PREFIX = "/safe/"
"""Prefix of the paths of lookups, which may run more than once."""

MEAN_PAUSE_S = 0.08
"""Mean seconds between two requests of a caller."""

MEAN_REPEAT_PAUSE_S = 0.2
"""Mean seconds until a request that crashes targets is sent again."""

MAX_REQUESTS_PER_CONNECTION = 25
SERVICE_HOST = b"desk.example"
PATH_PREFIXES = ("/safe/", "/once/", "/moving/", "/other/")
LONG_PATH_PREFIXES = ("/safe/", "/once/", "/moving/", "/long/", "/long-safe/")
"""Prefixes for callers some of whose requests take long."""

MAX_LONG_WORK_MS = 3_300
MAX_QUICK_PATHS = 1_000
LOOKUP_PATH_PREFIXES = (
    LOOKUP_PREFIX,
    LOOKUP_PREFIX,
    LOOKUP_PREFIX,
    "/once/",
    "/other/",
)
"""Prefixes for callers most of whose requests may be sent to a second target."""


class Callers:
    """All callers of a soak.

    Parameters
    ----------
    fleet : sequence of vms.Vm
        The VMs.
    entries : ledger.Ledger
        Ledger to which requests and outcomes are added.
    rng : random.Random
        Source of randomness.
    path_prefixes : sequence of str
        Prefixes of the paths, from which each request draws with equal chances.
    series_share : float
        Share of requests that begin a series.
    unready_share : float
        Share of connections that are opened to any VM, ready or not.
    """

    def __init__(
        self,
        fleet: collections.abc.Sequence[vms.Vm],
        entries: ledger.Ledger,
        rng: random.Random,
        path_prefixes: collections.abc.Sequence[str] = PATH_PREFIXES,
        series_share: float = 0.0,
        unready_share: float = 0.0,
    ) -> None:
        self._unready_share = unready_share
        self._path_prefixes = path_prefixes
        self._series_share = series_share
        self._fleet = fleet
        self._entries = entries
        self._rng = rng
        self._request_numbers = itertools.count()

    async def run_caller(self, stop: anyio.Event) -> None:
        """Send one request after another, over connections to any VM, until `stop`."""
        while not stop.is_set():
            ready_vms = [vm for vm in self._fleet if vm.is_ready]
            # Drawn only where it matters, so that other seeds play as before.
            if self._unready_share and self._rng.random() < self._unready_share:
                ready_vms = []
            vm = self._rng.choice(ready_vms or list(self._fleet))
            try:
                stream = await anyio.connect_tcp(links.HOST, vm.callers_port)
            except OSError:
                await anyio.sleep(MEAN_PAUSE_S)
                continue
            try:
                await self._use_connection(vm, stream, stop)
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    async def repeat_request(self, path: str, stop: anyio.Event) -> None:
        """Send requests for a path at intervals, each to any VM, until `stop`."""
        while not stop.is_set():
            ready_vms = [vm for vm in self._fleet if vm.is_ready]
            vm = self._rng.choice(ready_vms or list(self._fleet))
            try:
                stream = await anyio.connect_tcp(links.HOST, vm.callers_port)
            except OSError:
                await anyio.sleep(MEAN_PAUSE_S)
                continue
            request = self._draw_request(vm, path, 0)
            self._entries.sent_requests.append(request)
            try:
                with anyio.move_on_after(ANSWER_TIMEOUT_S) as scope:
                    await self._exchange(request, stream)
                if scope.cancelled_caught:
                    self._record_outcome(request, 0, False, b"")
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)
            await anyio.sleep(self._rng.expovariate(1 / MEAN_REPEAT_PAUSE_S))

    async def _use_connection(
        self, vm: vms.Vm, stream: anyio.abc.SocketStream, stop: anyio.Event
    ) -> None:
        """Send requests on a connection until it closes, up to a random number."""
        for _ in range(self._rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
            if stop.is_set() or not await self._send_request(vm, stream):
                return
            await anyio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))

    async def _send_request(self, vm: vms.Vm, stream: anyio.abc.SocketStream) -> bool:
        """Send a request or a series; return whether the connection may be reused."""
        rng = self._rng
        prefix = rng.choice(self._path_prefixes)
        is_long = prefix in promises.LONG_PREFIXES
        count = MAX_LONG_WORK_MS if is_long else MAX_QUICK_PATHS
        path = prefix + str(rng.randrange(count))
        size = LONG_BODY_BYTES if rng.random() < LONG_BODY_SHARE else rng.randrange(400)
        request = self._draw_request(vm, path, size)
        self._entries.sent_requests.append(request)
        if rng.random() < self._series_share:
            count = rng.randrange(1, MAX_SERIES_REQUESTS)
            following = [
                dataclasses.replace(
                    self._draw_request(vm, f"{LOOKUP_PREFIX}{n}", 0),
                    is_behind_long=is_long,
                )
                for n in range(count)
            ]
            self._entries.sent_requests.extend(following)
            await self._exchange_series([request, *following], stream)
            return False
        is_leaving_early = rng.random() < EARLY_LEAVE_SHARE
        with anyio.move_on_after(
            EARLY_LEAVE_DELAY_S if is_leaving_early else ANSWER_TIMEOUT_S
        ) as scope:
            return await self._exchange(request, stream)
        if scope.cancelled_caught:
            self._record_outcome(request, 0, False, b"", has_left=is_leaving_early)
        return False

    def _draw_request(self, vm: vms.Vm, path: str, size: int) -> ledger.SentRequest:
        new_id = f"r{next(self._request_numbers)}"
        is_unsafe = not path.startswith(("/safe/", "/long-safe/"))
        body, now = self._rng.randbytes(size), anyio.current_time()
        return ledger.SentRequest(new_id, vm.number, is_unsafe, path, body, now)

    async def _exchange(
        self, request: ledger.SentRequest, stream: anyio.abc.SocketStream
    ) -> bool:
        try:
            answer = await http_exchange.Exchange(
                stream, _make_http_request(request)
            ).run()
        except http_exchange.BrokenAnswerError:
            self._record_outcome(request, 0, False, b"")
            return False
        self._record_answer(request, answer)
        return answer.is_reusable

    async def _exchange_series(
        self, series: list[ledger.SentRequest], stream: anyio.abc.SocketStream
    ) -> None:
        """Send all requests of a series at once, then read their answers."""
        http_requests = [_make_http_request(sent_request) for sent_request in series]
        data = b"".join(
            piece
            for http_request in http_requests
            for piece in http_exchange.encode_request(http_request)[1]
        )
        trailing: bytes | None = b""
        try:
            await stream.send(data)
        except anyio.BrokenResourceError:
            trailing = None
        for sent_request in series:
            if trailing is None:
                self._record_outcome(sent_request, 0, False, b"")
            else:
                trailing = await self._read_answer(sent_request, stream, trailing)

    async def _read_answer(
        self,
        request: ledger.SentRequest,
        stream: anyio.abc.SocketStream,
        leftover: bytes,
    ) -> bytes | None:
        """Read an answer; return the bytes after it, or None if there is no answer."""
        exchange = http_exchange.Exchange(
            _PartlyReadStream(stream, leftover), _make_http_request(request)
        )
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                answer = await exchange.run()
        except (
            http_exchange.BrokenAnswerError,
            anyio.BrokenResourceError,
            anyio.EndOfStream,
            TimeoutError,
        ):
            self._record_outcome(request, 0, False, b"")
            return None
        self._record_answer(request, answer)
        return answer.trailing

    def _record_answer(
        self, request: ledger.SentRequest, answer: http_exchange.Answer
    ) -> None:
        is_signed = answer.find(wire_names.HEADERS.signature) is not None
        self._record_outcome(request, answer.status, is_signed, bytes(answer.body))

    def _record_outcome(
        self,
        request: ledger.SentRequest,
        status: int,
        is_signed: bool,
        body: bytes,
        has_left: bool = False,
    ) -> None:
        now = anyio.current_time()
        self._entries.outcomes[request.request_id] = ledger.Outcome(
            request.request_id, now, status, is_signed, body, has_left
        )


class _PartlyReadStream(anyio.abc.ByteStream):
    """A connection on which the request was sent and some bytes were read already."""

    def __init__(self, stream: anyio.abc.SocketStream, leftover: bytes) -> None:
        self._stream = stream
        self._leftover = leftover

    async def send(self, item: bytes) -> None:
        """Do nothing, since the request was sent already."""

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return the bytes that were read already, then those that arrive."""
        if self._leftover:
            leftover, self._leftover = self._leftover, b""
            return leftover
        return await self._stream.receive(max_bytes)

    async def send_eof(self) -> None:
        """Do nothing, since the connection stays open for the rest of the series."""

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


def _make_http_request(request: ledger.SentRequest) -> http_exchange.Request:
    headers = [
        (b"host", SERVICE_HOST),
        (wire_names.HEADERS.request_id, request.request_id.encode()),
        (
            wire_names.HEADERS.time_left,
            b"%d" % int(ANSWER_TIMEOUT_S * wire_names.MS_PER_S),
        ),
    ]
    return http_exchange.Request(
        b"POST", request.path.encode(), headers, (request.body,), True
    )
