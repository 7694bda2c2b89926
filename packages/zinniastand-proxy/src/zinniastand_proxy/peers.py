"""Links to other VMs: websockets that carry `peer_messages` as CBOR."""

from __future__ import annotations

import collections.abc
import ssl
import typing

import anyio
import anyio.abc
import expression
import websockets
import websockets.asyncio.client as ws_client
import websockets.asyncio.connection as ws_connection
import websockets.asyncio.server as ws_server
import websockets.datastructures as ws_data

from zinniastand_core import peer_messages

from . import clock, logs, settings

VM_HEADER = "X-Vm"
QUEUE = 512
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
OPEN_TIMEOUT = 2.0
SILENT_FOR = 5.0
CALL_PAUSE = 0.5

_logger = logs.get_logger("peers")

Handler = collections.abc.Callable[[str, peer_messages.Message], None]


class _Link:
    """One open websocket."""

    def __init__(self, vm: str, socket: ws_connection.Connection, now: float) -> None:
        self.vm = vm
        self.socket = socket
        self.heard_at = now
        self._outgoing, self._incoming = anyio.create_memory_object_stream[bytes](QUEUE)

    def send(self, data: bytes) -> bool:
        """Queue a message; return whether there was room."""
        try:
            self._outgoing.send_nowait(data)
        except (anyio.WouldBlock, anyio.ClosedResourceError):
            return False
        return True

    async def pump(self) -> None:
        """Send what is queued."""
        async for data in self._incoming:
            await self.socket.send(data)


class PeerNetwork:
    """All links of one VM.

    Parameters
    ----------
    own : str
        Name of this VM.
    timer : clock.Clock
        The time.
    group : anyio.abc.TaskGroup
        Where links run.
    handler : callable
        Takes the name of the sender and its message.
    tls : settings.Tls or None
        Identity for mutual TLS.
    """

    def __init__(
        self,
        own: str,
        timer: clock.Clock,
        group: anyio.abc.TaskGroup,
        handler: Handler,
        tls: settings.Tls | None,
    ) -> None:
        self._own = own
        self._timer = timer
        self._group = group
        self._handler = handler
        self._tls = tls
        self._links: dict[str, _Link] = {}
        self._calling: set[str] = set()
        self._waiting: dict[str, list[bytes]] = {}
        self._call_again_at: dict[str, float] = {}
        self.bytes_sent = 0
        self.messages_sent = 0

    async def serve(
        self,
        address: settings.Address,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take calls of other VMs until cancelled; report the port that is bound."""
        async with ws_server.serve(
            self._take_call,
            address.host,
            address.port,
            ssl=make_server_context(self._tls) if self._tls else None,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            process_response=self._name_self,
        ) as server:
            task_status.started(server.sockets[0].getsockname()[1])
            await anyio.sleep_forever()

    def tell(self, vm: str, url: str, message: peer_messages.Message) -> None:
        """Send a message, calling the VM first if need be; it may get lost."""
        data = peer_messages.encode(message)
        link = self._links.get(vm)
        if link is not None and self._timer.now() - link.heard_at > SILENT_FOR:
            # A link can go dead without an error; a new one may work.
            self._drop(link)
            link = None
        if link is not None and link.send(data):
            self.bytes_sent += len(data)
            self.messages_sent += 1
            return
        if url:
            self._call(vm, url, data)

    def is_linked(self, vm: str) -> bool:
        """Return whether there is an open link to a VM."""
        return vm in self._links

    def _call(self, vm: str, url: str, data: bytes) -> None:
        waiting = self._waiting.setdefault(vm, [])
        if len(waiting) < QUEUE:
            waiting.append(data)
        now = self._timer.now()
        if vm in self._calling or self._call_again_at.get(vm, 0.0) > now:
            return
        self._calling.add(vm)
        self._group.start_soon(self._run_call, vm, url)

    async def introduce(
        self, url: str, messages: collections.abc.Sequence[peer_messages.Message]
    ) -> None:
        """Call a VM whose name is not known, and send it messages."""
        try:
            vm, socket = await self._connect(url)
        except (OSError, TimeoutError, websockets.WebSocketException) as error:
            _logger.debug("call failed", extra={"url": url, "error": str(error)})
            return
        waiting = self._waiting.setdefault(vm, [])
        waiting += [peer_messages.encode(message) for message in messages]
        self._group.start_soon(self._run_link, vm, socket)

    async def _run_call(self, vm: str, url: str) -> None:
        try:
            answered, socket = await self._connect(url)
        except (OSError, TimeoutError, websockets.WebSocketException) as error:
            _logger.debug("call failed", extra={"peer": vm, "error": str(error)})
            self._call_again_at[vm] = self._timer.now() + CALL_PAUSE
            self._waiting.pop(vm, None)
            return
        finally:
            self._calling.discard(vm)
        await self._run_link(answered, socket)

    async def _connect(self, url: str) -> tuple[str, ws_connection.Connection]:
        """Return the name of the VM at `url`, and the websocket to it."""
        socket = await ws_client.connect(
            url,
            ssl=make_client_context(self._tls) if self._tls else None,
            additional_headers={VM_HEADER: self._own},
            open_timeout=OPEN_TIMEOUT,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            proxy=None,
        )
        response = socket.response
        vm = response.headers.get(VM_HEADER, "") if response else ""
        if not vm or not self._is_authentic(socket, vm):
            await socket.close()
            raise OSError("the VM did not prove its name")
        return vm, socket

    async def _take_call(self, socket: ws_server.ServerConnection) -> None:
        request = socket.request
        vm = request.headers.get(VM_HEADER, "") if request else ""
        if not vm or not self._is_authentic(socket, vm):
            await socket.close(code=1008)
            return
        # The websockets library runs this in a task of its own; the link moves to
        # our task group, so that stopping cancels it with everything else.
        done = anyio.Event()

        async def _run() -> None:
            try:
                await self._run_link(vm, socket)
            finally:
                done.set()

        self._group.start_soon(_run)
        await done.wait()

    async def _run_link(self, vm: str, socket: ws_connection.Connection) -> None:
        link = _Link(vm, socket, self._timer.now())
        self._links[vm] = link
        for data in self._waiting.pop(vm, []):
            link.send(data)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._pump, link)
                await self._receive(link)
                group.cancel_scope.cancel()
        finally:
            self._drop(link)
            with anyio.move_on_after(1, shield=True):
                await socket.close()

    async def _pump(self, link: _Link) -> None:
        try:
            await link.pump()
        except websockets.ConnectionClosed:
            return

    async def _receive(self, link: _Link) -> None:
        try:
            async for data in link.socket:
                link.heard_at = self._timer.now()
                self._take(link.vm, data)
        except websockets.ConnectionClosed:
            return

    def _take(self, vm: str, data: str | bytes) -> None:
        if isinstance(data, str):
            return
        match peer_messages.decode(data):
            case expression.Result(tag="ok", ok=message):
                self._handler(vm, message)
            case expression.Result(error=reason):
                _logger.warning("message dropped", extra={"peer": vm, "reason": reason})

    def _drop(self, link: _Link) -> None:
        if self._links.get(link.vm) is link:
            del self._links[link.vm]

    def _name_self(
        self,
        connection: ws_server.ServerConnection,
        request: object,
        response: typing.Any,
    ) -> None:
        headers: ws_data.Headers = response.headers
        headers[VM_HEADER] = self._own

    def _is_authentic(self, socket: ws_connection.Connection, vm: str) -> bool:
        """Return whether the certificate of the other side names that VM."""
        if self._tls is None:
            return True
        session = socket.transport.get_extra_info("ssl_object")
        certificate = session.getpeercert() if session else None
        names = [
            value
            for form, value in (certificate or {}).get("subjectAltName", ())
            if form == "DNS"
        ]
        if vm in names:
            return True
        _logger.warning("peer not authentic", extra={"peer": vm, "names": names})
        return False


def make_server_context(tls: settings.Tls) -> ssl.SSLContext:
    """Return the TLS context of a listener; it asks for a certificate if it can."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(tls: settings.Tls) -> ssl.SSLContext:
    """Return the TLS context of a call; the VM's name is checked, not its address."""
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=tls.authority or None
    )
    context.check_hostname = False
    context.load_cert_chain(tls.certificate, tls.key)
    return context
