"""What callers may send, and how their connections end."""

from __future__ import annotations

import collections.abc
import contextlib
import errno
import os
import socket
import typing

import anyio
import anyio.abc
import anyio.to_thread
import pytest

from zinniastand_core.deployment import configuration
from zinniastand_proxy.edge import caller_connection, calls, http_server

pytestmark = pytest.mark.anyio

LIMITS = configuration.Limits(
    max_head_bytes=1000, max_body_bytes=2000, head_timeout=0.3, idle_timeout=0.6
)


class Echo:
    """Answers with the body, after a pause."""

    def __init__(self) -> None:
        self.delay = 0.0
        self.seen: list[calls.Incoming] = []
        self.error: Exception | None = None
        self.reply: calls.Reply | None = None

    async def handle(self, incoming: calls.Incoming) -> calls.Reply:
        self.seen.append(incoming)
        if self.error is not None:
            raise self.error
        await anyio.sleep(self.delay)
        if self.reply is not None:
            return self.reply
        return calls.Reply(200, [], incoming.request.body)


class Running:
    """A server under test."""

    def __init__(self) -> None:
        self.echo = Echo()
        self.errors: list[BaseException] = []
        self.server = http_server.Server(self.echo, lambda: LIMITS, self.errors.append)
        self.port = 0

    async def connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp("127.0.0.1", self.port)

    async def ask(self, data: bytes) -> bytes:
        """Return all that a new connection gets back, until it closes or is quiet."""
        async with await self.connect() as stream:
            await stream.send(data)
            return await read_all(stream)


async def read_all(stream: anyio.abc.SocketStream, pause: float = 1.0) -> bytes:
    data = b""
    with anyio.move_on_after(pause), contextlib.suppress(anyio.EndOfStream):
        while True:
            data += await stream.receive()
    return data


async def wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    with anyio.fail_after(5.0):
        while not condition():
            await anyio.sleep(0.005)


@contextlib.asynccontextmanager
async def run_server() -> collections.abc.AsyncIterator[Running]:
    running = Running()
    async with anyio.create_task_group() as group:
        running.port = await group.start(running.server.serve, "127.0.0.1", 0)
        yield running
        group.cancel_scope.cancel()


@contextlib.contextmanager
def refuse_descriptors() -> collections.abc.Iterator[None]:
    """Let no accept succeed, as where the process has no descriptor left."""

    def refuse(_: socket.socket) -> typing.NoReturn:
        raise OSError(errno.EMFILE, "too many open files")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(socket.socket, "accept", refuse)
        yield


def make_request(body: bytes = b"", headers: bytes = b"") -> bytes:
    length = b"Content-Length: %d\r\n" % len(body)
    return b"POST /a?b HTTP/1.1\r\nHost: h\r\n" + headers + length + b"\r\n" + body


async def test_requests_follow_each_other_on_one_connection() -> None:
    async with run_server() as running, await running.connect() as stream:
        for body in (b"one", b"two"):
            await stream.send(make_request(body))
            assert (await stream.receive()).endswith(body)


async def test_pipelined_requests_are_answered_in_turn() -> None:
    async with run_server() as running:
        data = await running.ask(make_request(b"one") + make_request(b"two"))
        assert data.count(b"200") == 2
        assert data.index(b"one") < data.index(b"two")


async def test_chunked_body_arrives_whole() -> None:
    async with run_server() as running:
        request = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        await running.ask(request + b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n")
        assert running.echo.seen[0].request.body == b"abcde"
        assert not any(
            name == b"transfer-encoding"
            for name, _ in running.echo.seen[0].request.headers
        )


async def test_headers_of_the_connection_go_no_further() -> None:
    async with run_server() as running:
        extra = b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\n"
        await running.ask(make_request(headers=extra))
        names = [name for name, _ in running.echo.seen[0].request.headers]
        assert b"x-kept" in names
        assert not {b"x-hop", b"connection", b"content-length"} & set(names)


BAD = {
    "two lengths": (make_request(headers=b"Content-Length: 7\r\n"), b"400"),
    "no request": (b"nonsense\r\n\r\n", b"400"),
    "long head": (make_request(headers=b"X: " + b"y" * 2000 + b"\r\n"), b"431"),
    "long body": (make_request(b"z" * 3000), b"413"),
    "slow head": (b"POST / HTTP/1.1\r\nHo", b"408"),
    "slow body": (make_request(b"abc")[:-1], b"408"),
}


@pytest.mark.parametrize(("data", "status"), BAD.values(), ids=BAD.keys())
async def test_bad_request_is_refused_and_never_handed_on(
    data: bytes, status: bytes
) -> None:
    async with run_server() as running:
        answer = await running.ask(data)
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert b"connection: close" in answer.lower()
        assert running.echo.seen == []


async def test_idle_connection_is_closed_after_its_time() -> None:
    async with run_server() as running, await running.connect() as stream:
        with anyio.fail_after(LIMITS.idle_timeout + 0.5):
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()


async def test_caller_that_leaves_is_noticed_while_its_request_runs() -> None:
    async with run_server() as running:
        running.echo.delay = 1.0
        async with await running.connect() as stream:
            await stream.send(make_request())
            await anyio.sleep(0.1)
        await anyio.sleep(0.1)
        assert running.echo.seen[0].caller.has_disconnected


async def test_fault_in_one_request_is_answered_and_spares_the_others() -> None:
    # The handler of a request that was read whole raises. The caller saw a closed
    # connection and could not tell what became of its work. It must get a final answer
    # that promises nothing, the fault must be noted, and the listener must go on.
    async with run_server() as running:
        running.echo.error = RuntimeError("a fault")
        answer = await running.ask(make_request())
        assert answer.startswith(b"HTTP/1.1 502 ")
        assert b"application/problem+json" in answer
        assert b'"reason": "internal-error"' in answer
        assert running.errors == [running.echo.error]
        running.echo.error = None
        assert b"200" in await running.ask(make_request())


@pytest.mark.parametrize(
    ("request_line", "status"), [(b"HEAD / HTTP/1.1", 502), (b"POST / HTTP/1.1", 204)]
)
async def test_answer_that_may_have_no_body_goes_out_without_it(
    request_line: bytes, status: int
) -> None:
    # The answer has a body where none is allowed: the proxy's own explanation for HEAD,
    # or what a target sent with 204. Writing it failed after the work was done, and the
    # caller saw a closed connection.
    async with run_server() as running:
        running.echo.reply = calls.Reply(status, [], b"not allowed here")
        answer = await running.ask(request_line + b"\r\nHost: h\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert answer.endswith(b"\r\n\r\n")
        assert running.errors == []


async def test_answer_that_cannot_be_written_is_replaced_by_one_that_can() -> None:
    # A header of the answer is not allowed in HTTP. The work is done and the caller saw
    # a closed connection; it must get an answer that promises nothing.
    async with run_server() as running:
        running.echo.reply = calls.Reply(200, [(b"x", b"a\nb")], b"")
        answer = await running.ask(make_request())
        assert answer.startswith(b"HTTP/1.1 502 ")
        assert b"internal-error" in answer
        assert len(running.errors) == 1


async def test_caller_that_only_stops_sending_gets_its_answer() -> None:
    # A caller closes its sending side and waits for the answer, as tools on the command
    # line do. Its work may run only once and goes on; the answer was then thrown away.
    async with run_server() as running, await running.connect() as stream:
        running.echo.delay = 0.2
        await stream.send(make_request(b"x"))
        await stream.send_eof()
        assert (await read_all(stream)).endswith(b"x")
        assert running.echo.seen[0].caller.has_disconnected


async def test_close_after_an_answer_is_no_reset_for_a_caller_that_sends_on() -> None:
    # A caller sends a long request behind the first one; the answer to the first says
    # that the connection closes. The close used to leave bytes unread, for which the
    # kernel resets the connection, and the caller may lose the answer already sent.
    # What came behind must never be run: its caller may send it again.
    async with run_server() as running, await running.connect() as stream:
        running.server.is_stopping = True
        running.echo.delay = 0.2
        await stream.send(make_request(b"x"))
        for _ in range(5):
            await anyio.sleep(0.02)
            await stream.send(make_request(b"y" * 1500))
        data = b""
        with anyio.fail_after(5.0), contextlib.suppress(anyio.EndOfStream):
            while True:
                data += await stream.receive()
        assert data.endswith(b"x")
        assert data.count(b"HTTP/1.1") == 1
        assert len(running.echo.seen) == 1


async def test_accept_that_fails_cuts_nobody_off() -> None:
    # The process is out of descriptors for a moment, so that a connection cannot be
    # accepted. That ended the listener, and every request under way was cut off. They
    # must be answered, and the connection accepted once a descriptor is free.
    async with run_server() as running, await running.connect() as busy:
        running.echo.delay = 0.5
        await busy.send(make_request(b"x"))
        await wait_until(lambda: running.server.in_flight == 1)
        with refuse_descriptors():
            late = socket.create_connection(("127.0.0.1", running.port), timeout=5.0)
            await wait_until(lambda: bool(running.errors))
        assert isinstance(running.errors[0], OSError)
        assert (await busy.receive()).endswith(b"x")
        with late:
            late.sendall(make_request(b"y"))
            answer = await anyio.to_thread.run_sync(late.recv, 1000)
        assert answer.endswith(b"y")


async def test_stopping_server_says_so_and_closes_after_the_answer() -> None:
    async with run_server() as running:
        running.server.is_stopping = True
        answer = await running.ask(make_request(b"x"))
        assert b"200" in answer
        assert b"connection: close" in answer.lower()


async def test_close_of_idle_connections_spares_those_at_work() -> None:
    async with run_server() as running:
        running.echo.delay = 0.3
        async with await running.connect() as idle, await running.connect() as busy:
            await busy.send(make_request(b"x"))
            await anyio.sleep(0.1)
            await running.server.close_idle()
            assert (await busy.receive()).endswith(b"x")
            assert await read_all(idle, 0.2) == b""


async def test_request_that_is_there_when_idle_connections_close_is_answered() -> None:
    # A kept connection is idle. Its caller sends a request at the moment at which a
    # stop closes the idle ones: it is there to be read, and was thrown away.
    async with run_server() as running, await running.connect() as stream:
        await stream.send(make_request(b"one"))
        assert (await stream.receive()).endswith(b"one")
        running.server.is_stopping = True
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        os.write(raw.fileno(), make_request(b"two"))
        await running.server.close_idle()
        assert (await read_all(stream)).endswith(b"two")


async def test_unsettled_connections_are_those_that_are_owed_something() -> None:
    # A stop ends the process once nothing is owed. A request whose head has begun, a
    # body that is on its way and an answer that is read off count; idle ones do not.
    async with (
        run_server() as running,
        await running.connect() as idle,
        await running.connect() as begun,
    ):
        server = running.server
        await wait_until(lambda: server.count_connections() == 2)
        await wait_until(lambda: not server.has_unfinished_work())
        await begun.send(make_request(b"abc")[:-1])
        await wait_until(server.has_unfinished_work)
        assert server.count_receiving() == 1
        assert server.in_flight == 0
        await begun.send(b"c")
        assert (await begun.receive()).endswith(b"abc")
        await wait_until(lambda: not server.has_unfinished_work())
        assert await read_all(idle, 0.01) == b""


async def test_bodies_are_bounded_together(monkeypatch: pytest.MonkeyPatch) -> None:
    # Many callers send long bodies while targets are slow. Each body is within its
    # limit, and together they exceed the VM's memory: the process is killed, and
    # everybody's request with it. The one too many is refused as not run instead.
    monkeypatch.setattr(caller_connection, "MOST_HELD_BYTES", 3000)
    async with run_server() as running:
        running.echo.delay = 0.3
        answers: list[bytes] = []

        async def send() -> None:
            answers.append(await running.ask(make_request(b"x" * 1400)))

        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(send)
        statuses = sorted(answer.split(b" ")[1] for answer in answers)
        assert statuses == [b"200", b"200", b"503"]
        [refused] = [one for one in answers if b" 503 " in one]
        assert b"retry-after: 0.5" in refused
        assert running.server.held_bytes == 0
        assert b" 200 " in await running.ask(make_request(b"x" * 1400))


async def test_room_of_a_body_is_free_again_when_its_caller_leaves() -> None:
    async with run_server() as running:
        async with await running.connect() as stream:
            await stream.send(make_request(b"x" * 1500)[:-10])
            await anyio.sleep(0.05)
            assert running.server.held_bytes > 0
        await anyio.sleep(0.05)
        assert running.server.held_bytes == 0
