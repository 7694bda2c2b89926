"""Stand-ins for the platform, its workers and its clients, for the cases of REPORT-2.

They use the standard library only and serve loopback addresses. What they speak is on
the pages PROTOCOL.md and DEPLOY.md; where a page is silent, they behave soundly.
"""

from __future__ import annotations

import asyncio
import base64
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

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "health"]


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in a file and on standard output."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self._began_at

    def add(self, text: str, is_shown: bool = False) -> None:
        """Add a line; show it on standard output, too, if it matters most."""
        line = f"{self.now():9.3f} {text}"
        self._file.write(line + "\n")
        if is_shown:
            self._file.flush()
            print(line, flush=True)

    def close(self) -> None:
        """Write all lines."""
        self._file.close()


def reserve_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a free port."""
    with socket.socket(socket.AF_INET, kind) as found:
        found.bind((HOST, 0))
        return found.getsockname()[1]


def reserve_peer_port() -> int:
    """Return a port that is free for TCP and UDP."""
    while True:
        port = reserve_port()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            try:
                datagrams.bind((HOST, port))
            except OSError:
                continue
            return port


class Message:
    """A request or an answer: its first line, headers and body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split()[1])


async def read_message(
    reader: asyncio.StreamReader, is_answer: bool = False
) -> Message | None:
    """Return the next message; None if the connection ends before one is complete."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers: dict[str, str] = {}
        for line in lines:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.lower()] = value.strip()
        body = b""
        if "chunked" in headers.get("transfer-encoding", ""):
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return Message(first, headers, body)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    except ValueError:
        return None


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded answer with the length of its body."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self) -> None:
        self.port = 0
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.era: int | None = None
        self.is_down = False

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all records."""
        return {topic: list(records) for topic, records in self._records.items()}

    def restore(self, records: dict[str, list[tuple[str, bytes]]]) -> None:
        """Return from a copy, in the next era."""
        self._records = {topic: list(found) for topic, found in records.items()}
        self.era = (self.era or 0) + 1
        self.is_down = False
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, topic: str, *items: tuple[str, bytes]) -> None:
        """Append records at once; one without a value drops its key."""
        self._records.setdefault(topic, []).extend(items)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                target = request.first.split(" ")[1]
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                await asyncio.sleep(0.004)
                writer.write(await self._answer(path, fields, request.body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # The machine has left, or the case has ended.
        finally:
            writer.close()

    async def _answer(self, path: str, fields: dict[str, str], body: bytes) -> bytes:
        # While the store is away, calls wait; they are answered when it is back.
        while self.is_down:
            await self._changed.wait()
        era = {} if self.era is None else {"Store-Era": str(self.era)}
        topic = fields["topic"]
        records = self._records.setdefault(topic, [])
        if path == "/-/log-append":
            offset = len(records)
            items: list[tuple[str, bytes]] = []
            while body:
                (size,) = struct.unpack_from(">I", body)
                content, body = body[4 : 4 + size], body[4 + size :]
                end = 1 + content[0]
                items.append((content[1:end].decode(), content[end:]))
            self.put(topic, *items)
            reply = {"offset": offset, "end": len(records)}
            return encode_answer(200, era, json.dumps(reply).encode())
        if path == "/-/log-newest":
            newest: dict[str, tuple[int, bytes]] = {}
            for offset, (key, value) in enumerate(records):
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            rows = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (at, value) in sorted(newest.items())
            ]
            reply = {"items": rows, "has_more": False, "end": len(records)}
            return encode_answer(200, era, json.dumps(reply).encode())
        first = int(fields["from"])
        until = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while len(records) <= first and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
            if self.is_down or records is not self._records.get(topic):
                return await self._answer(path, fields | {"wait_ms": "0"}, body)
        if first > len(records):
            reply = {"first": 0}
            return encode_answer(410, era, json.dumps(reply).encode())
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[first:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            data += struct.pack(">I", len(content)) + content
        return encode_answer(200, era, data)


def make_route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int = 5000, **more
) -> dict:
    """Return a route of the host `desk.example`."""
    route = {
        "name": name,
        "host": "desk.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1000,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }
    return route | more


def encode_configuration(
    version: int,
    routes: list[dict],
    services: list[str],
    tenants: list[list] | None = None,
    idle_timeout_ms: int = 15000,
) -> bytes:
    """Return the configuration as the operator writes it.

    A tenant has a name, keys, a priority, a rate and a burst.
    """
    columns = list(routes[0])
    tables = {}
    if tenants is not None:
        names = ["name", "api_keys", "priority", "rate_per_s", "burst"]
        tables["tenants"] = {"columns": names, "rows": tenants}
    return json.dumps(
        tables
        | {
            "version": f"{version:08x}",
            "routes": {
                "columns": columns,
                "rows": [[route.get(name) for name in columns] for route in routes],
            },
            "services": {
                "columns": ["name", "health_path", "max_conns"],
                "rows": [[service, "/health", 330] for service in services],
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": idle_timeout_ms,
            },
        }
    ).encode()


class Worker:
    """A worker that registers itself, runs requests and records each that arrives."""

    def __init__(
        self, name: str, service: str, store: Store, record: Record, work_s: float
    ) -> None:
        self.name = name
        self.service = service
        self.work_s = work_s
        self.state = "ready"
        self.be_born()
        self.zone = "zone-a"
        self.slots = 4
        self.port = 0
        self.arrivals: list[tuple[float, str, str]] = []
        self.runs: list[tuple[float, str]] = []
        self._store = store
        self._record = record
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen and register; at the former port if there is one."""
        self._server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.begin_beating()

    def be_born(self, behind_ms: int = 0) -> None:
        """Begin a start of this worker, with its clock behind by some milliseconds."""
        self.born = int(time.time() * 1000) - behind_ms
        self.sequence = 0

    def begin_beating(self) -> None:
        """Register now, and at intervals from now on."""
        self.register()
        self._beat = asyncio.create_task(self._keep_registered())

    def make_entry(self) -> bytes:
        """Return the next entry of this worker."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(entry).encode()

    def register(self) -> None:
        """Write the entry."""
        entry = self.make_entry()
        self._record.add(f"worker {self.name} writes {entry.decode()}")
        self._store.put("keyed.servers", (self.name, entry))

    def stop_beating(self) -> None:
        """Write no further entries."""
        if self._beat is not None:
            self._beat.cancel()

    async def _keep_registered(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def end(self) -> None:
        """End as a process does: all connections close, and the port too."""
        self.stop_beating()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = 0
        try:
            while (request := await read_message(reader)) is not None:
                await self.handle(request, writer, number)
                number += 1
        except (OSError, asyncio.CancelledError):
            pass  # The machine has left, or this worker has ended.
        finally:
            writer.close()

    async def handle(
        self, request: Message, writer: asyncio.StreamWriter, number: int
    ) -> None:
        """Answer one request, the `number`th of its connection."""
        identity = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance", self.name) != self.name:
            self._record.add(f"worker {self.name} turns {identity} away with 421")
            writer.write(encode_answer(421, {"X-Request-Id": identity}))
            return
        self.note_run(identity, request)
        await asyncio.sleep(self.work_s)
        writer.write(self.make_success(identity))
        await writer.drain()

    def note_run(self, identity: str, request: Message) -> None:
        """Record that a request begins to run."""
        self.runs.append((self._record.now(), identity))
        self._record.add(f"worker {self.name} runs {identity} {request.first}")

    def make_success(self, identity: str) -> bytes:
        """Return the signed answer to a request."""
        headers = {"X-Request-Id": identity, "X-Server-Seal": f"{self.name}.{identity}"}
        return encode_answer(200, headers, f"done {identity}".encode())


class Vm:
    """A machine whose process is started with the command of the deploy file."""

    def __init__(self, name: str, folder: pathlib.Path, store: Store) -> None:
        self.name = name
        self.store = store
        self.callers_port = reserve_port()
        self.ready_port = reserve_port()
        self.metrics_port = reserve_port()
        self.peers_port = reserve_peer_port()
        self.process: asyncio.subprocess.Process | None = None
        self.zone = "zone-a"
        self.accounts: dict[str, float] = {}
        self.contracts = CONTRACTS
        self._settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"

    async def start(self, is_new_fleet: bool = False) -> None:
        """Write the settings as the template renders them, and start the process."""
        settings = {
            "vm": self.name,
            "data_centre": self.zone,
            "callers": f"{HOST}:{self.callers_port}",
            "readiness": f"{HOST}:{self.ready_port}",
            "metrics": f"{HOST}:{self.metrics_port}",
            "peers": f"{HOST}:{self.peers_port}",
            "store": f"{HOST}:{self.store.port}",
            "stop_limit_s": 6,
            "is_new_fleet": is_new_fleet,
            "retries": {"ratio": 0.2, "slack": 58, "window_s": 10},
            "accounts": self.accounts,
            "terms": self.contracts,
            "resources": {
                "memory_mb": 300,
                "link_mbps": 1000.0,
                "max_descriptors": 4100,
                "cores": 1,
                "core_share": 0.86,
            },
        }
        self._settings.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["ZINNIASTAND_NODE_FILE"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/launch.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the process answers the readiness check with 200."""
        answer = await ask(
            self.ready_port, b"GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n", 1.0
        )
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, timeout_s: float = 20.0) -> bool:
        """Return whether the process gets ready in time."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def read_events(self, event: str) -> list[dict]:
        """Return the log lines of one event."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"event":"{event}"' in line:
                found.append(json.loads(line))
        return found


async def ask(port: int, data: bytes, timeout_s: float) -> Message | None:
    """Return the answer to one request on a connection of its own; None without one."""
    try:
        return await asyncio.wait_for(_ask(port, data), timeout_s)
    except (TimeoutError, OSError):
        return None


async def _ask(port: int, data: bytes) -> Message | None:
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        return await read_message(reader)
    finally:
        writer.close()


def encode_request(
    method: str,
    path: str,
    identity: str,
    deadline_ms: int,
    body: bytes = b"",
    key: str = "",
) -> bytes:
    """Return an encoded request of a client."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: desk.example",
        f"X-Request-Id: {identity}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if key:
        lines.append(f"Authorization: Bearer {key}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Client:
    """A client with one kept connection to a VM."""

    def __init__(self, vm: Vm, record: Record) -> None:
        self.vm = vm
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        path: str,
        identity: str,
        deadline_ms: int = 5000,
        body: bytes = b"",
        key: str = "",
    ) -> Message | None:
        """Send a request; return its answer, or None if there is none in time."""
        data = encode_request(method, path, identity, deadline_ms, body, key)
        self._record.add(f"client sends {identity} {method} {path} to {self.vm.name}")
        answer: Message | None = None
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(
                    HOST, self.vm.callers_port
                )
            self._streams[1].write(data)
            answer = await asyncio.wait_for(
                read_message(self._streams[0]), deadline_ms / 1000 + 1
            )
        except (TimeoutError, OSError):
            pass
        if answer is None or "close" in answer.headers.get("connection", "").lower():
            self.close()
        shown = (
            "no answer" if answer is None else f"{answer.status} {answer.body[:60]!r}"
        )
        self._record.add(f"client gets {identity} {shown}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Site:
    """A small deployment: a store, workers and VMs, ended together."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.vms: list[Vm] = []
        self.workers: list[Worker] = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)

    def add_vms(self, count: int) -> None:
        """Add VMs that are not started yet."""
        self.vms += [Vm(f"vm-{n}", self.folder, self.store) for n in range(count)]

    async def start_vms(self, count: int = 0) -> bool:
        """Start all VMs, and `count` more; return whether all of them get ready."""
        self.add_vms(count)
        for vm in self.vms:
            await vm.start(is_new_fleet=True)
        return all([await vm.wait_until_ready() for vm in self.vms])

    async def end(self) -> None:
        """End all processes that were started."""
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        for worker in self.workers:
            worker.end()
        if keep := os.environ.get("KEEP_LOGS"):
            for vm in self.vms:
                pathlib.Path(keep, vm.log.name).write_bytes(vm.log.read_bytes())
        self._folder.cleanup()


class Load:
    """Clients that send one request after another, each over a kept connection."""

    def __init__(self, site: Site) -> None:
        self.sent_at: dict[str, float] = {}
        self.answers: dict[str, int] = {}
        self._site = site
        self._is_ending = False
        self._tasks: list[asyncio.Task] = []

    def add_clients(
        self,
        vm: Vm,
        count: int,
        path: str,
        pause_s: float = 0.02,
        deadline_ms: int = 5000,
        key: str = "",
    ) -> None:
        """Start clients of a VM; they send `POST` requests to a path."""
        for _ in range(count):
            sending = self._send(vm, path, pause_s, deadline_ms, key)
            self._tasks.append(asyncio.create_task(sending))

    async def end(self) -> None:
        """Return once each client has its last answer."""
        self._is_ending = True
        await asyncio.gather(*self._tasks)

    async def _send(
        self, vm: Vm, path: str, pause_s: float, deadline_ms: int, key: str
    ) -> None:
        client = Client(vm, self._site.record)
        while not self._is_ending:
            identity = f"r{len(self.sent_at)}"
            self.sent_at[identity] = self._site.record.now()
            answer = await client.send("POST", path, identity, deadline_ms, key=key)
            self.answers[identity] = answer.status if answer is not None else 0
            await asyncio.sleep(pause_s if answer is not None else 0.3)


def run_case(script: str, play) -> None:
    """Play a case within two minutes, and exit with its result."""
    record = Record(
        pathlib.Path(
            os.environ.get("RECORD") or pathlib.Path(script).with_name("record.txt")
        )
    )

    async def _run() -> int:
        site = Site(record)
        try:
            await site.store.start()
            return await asyncio.wait_for(play(site), 110)
        except TimeoutError:
            record.add("the case took too long", is_shown=True)
            return EXIT_NOT_RUN
        finally:
            await site.end()

    try:
        result = asyncio.run(_run())
    except Exception as error:
        # Python would exit with 1, which says that the rule was broken.
        record.add(f"the case could not run: {error!r}", is_shown=True)
        result = EXIT_NOT_RUN
    record.close()
    sys.exit(result)
