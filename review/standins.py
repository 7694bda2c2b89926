"""Stand-ins for the platform's store, workers and clients, with the standard library.

All of them listen on loopback addresses. They do what PROTOCOL.md says; each case
passes its workers the disruption that it needs.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable, Iterator, Mapping

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
GRACE_S = 6.0
HEARTBEAT_S = 1.5


class HeldPort:
    """A port that stays reserved while no process listens on it."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((HOST, 0))
        self.number: int = self._socket.getsockname()[1]


class Record:
    """What was sent, answered and run, in the order of the events."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {event} {text}\n")
        self._file.flush()


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of a request or an answer."""

    first_line: str
    headers: Mapping[str, str]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first, {name.strip().lower(): text.strip() for name, _, text in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return the body that follows a head, by its length or in chunks."""
    if "chunked" in head.headers.get("transfer-encoding", "").lower():
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


class Store:
    """The platform's store, as far as the system uses it."""

    def __init__(self) -> None:
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Condition()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or a worker does."""
        await self._append(topic, [(key, json.dumps(value).encode())])

    async def _append(self, topic: str, records: list[tuple[str, bytes]]) -> int:
        async with self._changed:
            kept = self._records.setdefault(topic, [])
            kept += records
            self._changed.notify_all()
            return len(kept)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A cancelled callback of a connection would be printed as an error.
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                status, answer = await self._answer(head.first_line.split()[1], body)
                writer.write(
                    b"HTTP/1.1 %d OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n%b"
                    % (status, len(answer), answer)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, target: str, body: bytes) -> tuple[int, bytes]:
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        topic = query.get("topic", "")
        kept = self._records.setdefault(topic, [])
        if path == "/-/log-append":
            records = list(_split(body))
            end = await self._append(topic, records)
            answer = {"offset": end - len(records), "end": end}
            return 200, json.dumps(answer).encode()
        if path == "/-/log-read":
            return 200, await self._read(topic, query)
        if path == "/-/log-newest":
            newest = {key: (at, value) for at, (key, value) in enumerate(kept)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (at, value) in sorted(newest.items())
                if value
            ]
            page = {"items": items, "has_more": False, "end": len(kept)}
            return 200, json.dumps(page).encode()
        return 404, b""

    async def _read(self, topic: str, query: Mapping[str, str]) -> bytes:
        start, kept = int(query["from"]), self._records[topic]
        with contextlib.suppress(asyncio.TimeoutError):
            async with self._changed:
                await asyncio.wait_for(
                    self._changed.wait_for(lambda: len(kept) > start),
                    int(query.get("wait_ms", "0")) / 1000,
                )
        data = struct.pack(">QQ", len(kept), 0)
        for key, value in kept[start:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            data += struct.pack(">I", len(content)) + content
        return data


def _split(body: bytes) -> Iterator[tuple[str, bytes]]:
    at = 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        content = body[at + 4 : at + 4 + length]
        key_end = 1 + content[0]
        yield content[1:key_end].decode(), content[key_end:]
        at += 4 + length


@dataclasses.dataclass
class Run:
    """A request that a worker began to run."""

    request_id: str
    worker: str
    first_line: str
    body: bytes
    began_at: float
    ended: str = ""
    ended_at: float = float("inf")


Behave = Callable[
    ["Worker", Head, bytes, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


class Worker:
    """A worker that registers itself, and runs requests as its case tells."""

    def __init__(
        self,
        number: int,
        service: str,
        record: Record,
        behave: Behave,
        slots: int = 4,
        worker_id: str = "",
    ) -> None:
        self.worker_id = worker_id or f"i-{number:08x}"
        self.service = service
        self.record = record
        self.slots = slots
        self.state = "ready"
        self.runs: list[Run] = []
        self.connections = itertools.count(1)
        self.born = int(time.time() * 1000) - 60_000
        self._behave = behave
        self._sequence = 0
        self._address = ""

    async def start(self, store: Store) -> None:
        """Listen on a free port, and register in the store."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self._address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        await self.register(store)

    async def register(self, store: Store) -> None:
        """Write the entry of this worker."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self._address,
            "zone": "a",
            "version": "v1",
            "concurrency": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        await store.put("keyed.servers", self.worker_id, entry)

    async def beat(self, store: Store) -> None:
        """Write the entry at each heartbeat, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register(store)

    def begin(self, head: Head, body: bytes) -> Run:
        """Record that a request begins to run."""
        run = Run(
            head.headers.get("x-request-id", ""),
            self.worker_id,
            head.first_line,
            body,
            self.record.now(),
        )
        self.runs.append(run)
        self.record.write(
            "run",
            worker=self.worker_id,
            id=run.request_id,
            line=repr(head.first_line),
            bytes=len(body),
        )
        return run

    def make_answer(self, head: Head, body: bytes, status: int = 200) -> bytes:
        """Return a complete answer to a request."""
        return (
            f"HTTP/1.1 {status} OK\r\n"
            f"X-Request-Id: {head.headers.get('x-request-id', '')}\r\n"
            f"X-Server-Seal: 3e1b.{len(body):x}\r\n"
            f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if head.headers.get("x-expect-instance") != self.worker_id:
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "
                        + self.worker_id.encode()
                        + b"\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                if not await self._behave(self, head, body, reader, writer):
                    break
                await writer.drain()
        writer.close()


class Vm:
    """A machine of the system, started with the command of the deploy file."""

    def __init__(
        self, name: str, store_port: int, folder: pathlib.Path, **settings: object
    ) -> None:
        self.name = name
        self._folder = folder
        self._ports = [HeldPort() for _ in range(4)]
        self.front, self.ready, self.metrics, self.peers = (
            port.number for port in self._ports
        )
        self._settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self._settings: dict[str, object] = {
            "vm": name,
            "data_centre": "a",
            "callers": f"{HOST}:{self.front}",
            "readiness": f"{HOST}:{self.ready}",
            "metrics": f"{HOST}:{self.metrics}",
            "peers": f"{HOST}:{self.peers}",
            "store": f"{HOST}:{store_port}",
            "stop_limit_s": 6,
            "is_new_fleet": True,
            "retries": {"ratio": 0.2, "slack": 58, "window_s": 10},
            "accounts": {},
            "terms": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "health",
                "platform",
            ],
            "resources": {
                "memory_mb": 300,
                "link_mbps": 1000.0,
                "max_descriptors": 4100,
                "cores": 1,
                "core_share": 0.86,
            },
            **settings,
        }

    async def start(self) -> None:
        """Start the process with the settings of the deploy file's template."""
        self._settings_path.write_text(json.dumps(self._settings))
        self._settings["is_new_fleet"] = False
        path = os.pathsep.join([str(ROOT / "target" / "deps")])
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/launch.py",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self._folder),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": path,
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ZINNIASTAND_NODE_FILE": str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return whether the machine says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (TimeoutError, OSError):
            return False
        return head is not None and head.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until the machine is ready.

        Raises
        ------
        TimeoutError
            If it is not ready in time; the case can't run then.
        """
        until = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


def make_configuration(
    routes: list[list[object]], services: list[str], version: int = 7
) -> dict[str, object]:
    """Return a configuration; the values of a route are those of the columns."""
    return {
        "version": f"{version:08x}",
        "routes": {
            "columns": [
                "name",
                "host",
                "path_prefix",
                "kind",
                "timeout_ms",
                "target_latency_ms",
                "priority",
                "max_attempts",
                "service",
            ],
            "rows": routes,
        },
        "services": {
            "columns": ["name", "health_path", "max_conns", "protocol", "tls"],
            "rows": [[name, "/health", 330, "h1", False] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


@dataclasses.dataclass
class Answer:
    """What a client got for a request; status 0 for a closed connection."""

    request_id: str
    status: int
    headers: Mapping[str, str]
    body: bytes
    sent_at: float
    ended_at: float


class Client:
    """A client with one connection at a time, which it keeps open."""

    numbers = itertools.count(1)

    def __init__(self, port: int, record: Record, name: str = "client") -> None:
        self._port = port
        self._record = record
        self._name = name
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    @staticmethod
    def make_id() -> str:
        """Return a new request id."""
        return f"{next(Client.numbers):016x}"

    async def send(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        host: str = "ficu95.example",
    ) -> Answer:
        """Send one request, and return its answer."""
        request_id = self.make_id()
        length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
        data = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"{length}\r\n"
        ).encode() + body
        return await self.send_raw(data, request_id, deadline_ms)

    async def send_raw(self, data: bytes, request_id: str, deadline_ms: int) -> Answer:
        """Send the bytes of a request, and return its answer."""
        sent_at = self._record.now()
        self._record.write("sent", client=self._name, id=request_id)
        head, body = None, b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if self._streams is None:
                self._streams = await asyncio.wait_for(
                    asyncio.open_connection(HOST, self._port), 1.0
                )
            reader, writer = self._streams
            writer.write(data)
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                head = await read_head(reader)
                if head is not None:
                    body = await read_body(reader, head)
        answer = Answer(
            request_id,
            head.status if head is not None else 0,
            head.headers if head is not None else {},
            body,
            sent_at,
            self._record.now(),
        )
        if head is None or head.headers.get("connection", "").lower() == "close":
            self.close()
        self._record.write(
            "answered",
            client=self._name,
            id=request_id,
            answer_id=answer.headers.get("x-request-id", "-"),
            status=answer.status,
            why=body[:60] if answer.status >= 300 else "",
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def run_case(
    folder: pathlib.Path,
    play: Callable[[Record, pathlib.Path, bool], Awaitable[bool]],
    limit_s: float = 100.0,
) -> int:
    """Play a case; return 1 if the rule broke, 0 if it held, 2 if it couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def _play() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            return await play(record, pathlib.Path(temporary), has_trouble)

    async def _limited() -> bool:
        return await asyncio.wait_for(_play(), limit_s)

    # Also after SIGTERM, the processes that the case has started are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        is_broken = asyncio.run(_limited())
    except Exception as error:
        record.write("could not run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    record.write("result", broken=is_broken, trouble=has_trouble)
    return 1 if is_broken else 0
