"""Links to other VMs: websockets that carry `peer_messages`, encoded as CBOR."""

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
"""Header in which both sides of a link name their VM."""

MAX_QUEUED_MESSAGES = 512
"""Maximum number of messages queued for one VM on its link, and while connecting."""

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
OPEN_TIMEOUT_S = 2.0
MAX_SILENCE_S = 5.0
"""Time without a received message after which a link counts as broken."""

RECONNECT_DELAY_S = 0.5
"""Delay between a failed connection attempt and the next one."""

_logger = logs.get_logger("peers")

Handler = collections.abc.Callable[[str, peer_messages.Message], None]


class _Link:
    """An open websocket to another VM, with a queue of outgoing messages."""

    def __init__(self, vm: str, socket: ws_connection.Connection, now: float) -> None:
        self.vm = vm
        self.socket = socket
        self.received_at = now
        self._queue_sender, self._queue_receiver = anyio.create_memory_object_stream[
            bytes
        ](MAX_QUEUED_MESSAGES)

    def send(self, data: bytes) -> bool:
        """Queue a message; return False if the queue is full or closed."""
        try:
            self._queue_sender.send_nowait(data)
        except (anyio.WouldBlock, anyio.ClosedResourceError):
            return False
        return True

    async def send_queued(self) -> None:
        """Send queued messages as they come, until cancelled or the socket closes."""
        async for data in self._queue_receiver:
            await self.socket.send(data)


class PeerNetwork:
    """All links of one VM to other VMs.

    Parameters
    ----------
    own_vm : str
        Name of this VM.
    timer : clock.Clock
        Source of the current time.
    group : anyio.abc.TaskGroup
        Task group that runs the links.
    handler : callable
        Called with the sender's name and the message, for each received message.
    tls : settings.Tls or None
        Identity for mutual TLS; None for plain websockets.
    """

    def __init__(
        self,
        own_vm: str,
        timer: clock.Clock,
        group: anyio.abc.TaskGroup,
        handler: Handler,
        tls: settings.Tls | None,
    ) -> None:
        self._own_vm = own_vm
        self._timer = timer
        self._group = group
        self._handler = handler
        self._tls = tls
        self._links: dict[str, _Link] = {}
        self._connecting: set[str] = set()
        self._unsent: dict[str, list[bytes]] = {}
        self._reconnect_at: dict[str, float] = {}
        self.bytes_sent = 0
        self.messages_sent = 0

    async def serve(
        self,
        address: settings.Address,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links from other VMs until cancelled.

        Parameters
        ----------
        address : settings.Address
            Address to listen on.
        task_status : anyio.abc.TaskStatus
            Receives the bound TCP port once the listener is up.
        """
        async with ws_server.serve(
            self._accept,
            address.host,
            address.port,
            ssl=make_server_context(self._tls) if self._tls else None,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            process_response=self._add_vm_header,
        ) as server:
            task_status.started(server.sockets[0].getsockname()[1])
            await anyio.sleep_forever()

    def send_message(self, vm: str, url: str, message: peer_messages.Message) -> None:
        """Send a message without any guarantee of delivery.

        Parameters
        ----------
        vm : str
            Name of the receiving VM.
        url : str
            URL to connect to if there is no working link or its queue is full. If it is
            empty, the message is then dropped.
        message : peer_messages.Message
            The message.
        """
        data = peer_messages.encode(message)
        link = self._links.get(vm)
        if link is not None and self._timer.now() - link.received_at > MAX_SILENCE_S:
            # A link can stop working without an error; a new one may work.
            self._remove(link)
            link = None
        if link is not None and link.send(data):
            self.bytes_sent += len(data)
            self.messages_sent += 1
            return
        if url:
            self._queue_and_connect(vm, url, data)

    def is_linked(self, vm: str) -> bool:
        """Return whether there is an open link to the VM."""
        return vm in self._links

    def _queue_and_connect(self, vm: str, url: str, data: bytes) -> None:
        unsent = self._unsent.setdefault(vm, [])
        if len(unsent) < MAX_QUEUED_MESSAGES:
            unsent.append(data)
        now = self._timer.now()
        if vm in self._connecting or self._reconnect_at.get(vm, 0.0) > now:
            return
        self._connecting.add(vm)
        self._group.start_soon(self._connect_and_run, vm, url)

    async def introduce(
        self, url: str, messages: collections.abc.Sequence[peer_messages.Message]
    ) -> None:
        """Connect to a VM whose name is not known yet, and send it messages.

        Parameters
        ----------
        url : str
            URL of the VM's peer listener.
        messages : sequence of peer_messages.Message
            Sent first on the new link; lost if the connection attempt fails.
        """
        try:
            vm, socket = await self._connect(url)
        except (OSError, TimeoutError, websockets.WebSocketException) as error:
            _logger.debug(
                "connection attempt failed", extra={"url": url, "error": str(error)}
            )
            return
        unsent = self._unsent.setdefault(vm, [])
        unsent += [peer_messages.encode(message) for message in messages]
        self._group.start_soon(self._run_link, vm, socket)

    async def _connect_and_run(self, vm: str, url: str) -> None:
        try:
            peer, socket = await self._connect(url)
        except (OSError, TimeoutError, websockets.WebSocketException) as error:
            _logger.debug(
                "connection attempt failed", extra={"peer": vm, "error": str(error)}
            )
            self._reconnect_at[vm] = self._timer.now() + RECONNECT_DELAY_S
            self._unsent.pop(vm, None)
            return
        finally:
            self._connecting.discard(vm)
        await self._run_link(peer, socket)

    async def _connect(self, url: str) -> tuple[str, ws_connection.Connection]:
        """Open a websocket to another VM.

        Parameters
        ----------
        url : str
            URL of the VM's peer listener.

        Returns
        -------
        tuple
            Name of the VM, and the websocket.

        Raises
        ------
        OSError
            If the VM is unreachable, or doesn't prove its name.
        TimeoutError
            After `OPEN_TIMEOUT_S` seconds.
        websockets.WebSocketException
            If the handshake fails.
        """
        socket = await ws_client.connect(
            url,
            ssl=make_client_context(self._tls) if self._tls else None,
            additional_headers={VM_HEADER: self._own_vm},
            open_timeout=OPEN_TIMEOUT_S,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            proxy=None,
        )
        response = socket.response
        vm = response.headers.get(VM_HEADER, "") if response else ""
        if not vm or not self._is_authentic(socket, vm):
            await socket.close()
            raise OSError(
                f"the VM at {url} did not prove the name that it gave: {vm!r}"
            )
        return vm, socket

    async def _accept(self, socket: ws_server.ServerConnection) -> None:
        request = socket.request
        vm = request.headers.get(VM_HEADER, "") if request else ""
        if not vm or not self._is_authentic(socket, vm):
            await socket.close(code=1008)
            return
        # The websockets library runs this handler in a separate task. The link runs in
        # our task group instead, so that a stop cancels it too.
        has_ended = anyio.Event()

        async def _run_until_closed() -> None:
            try:
                await self._run_link(vm, socket)
            finally:
                has_ended.set()

        self._group.start_soon(_run_until_closed)
        await has_ended.wait()

    async def _run_link(self, vm: str, socket: ws_connection.Connection) -> None:
        link = _Link(vm, socket, self._timer.now())
        self._links[vm] = link
        for data in self._unsent.pop(vm, []):
            link.send(data)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_queued, link)
                await self._receive(link)
                group.cancel_scope.cancel()
        finally:
            self._remove(link)
            with anyio.move_on_after(1, shield=True):
                await socket.close()

    async def _send_queued(self, link: _Link) -> None:
        try:
            await link.send_queued()
        except websockets.ConnectionClosed:
            return

    async def _receive(self, link: _Link) -> None:
        try:
            async for data in link.socket:
                link.received_at = self._timer.now()
                self._handle_data(link.vm, data)
        except websockets.ConnectionClosed:
            return

    def _handle_data(self, vm: str, data: str | bytes) -> None:
        if isinstance(data, str):
            return
        match peer_messages.decode(data):
            case expression.Result(tag="ok", ok=message):
                self._handler(vm, message)
            case expression.Result(error=reason):
                _logger.warning("message dropped", extra={"peer": vm, "reason": reason})

    def _remove(self, link: _Link) -> None:
        if self._links.get(link.vm) is link:
            del self._links[link.vm]

    def _add_vm_header(
        self,
        connection: ws_server.ServerConnection,
        request: object,
        response: typing.Any,
    ) -> None:
        headers: ws_data.Headers = response.headers
        headers[VM_HEADER] = self._own_vm

    def _is_authentic(self, socket: ws_connection.Connection, vm: str) -> bool:
        """Return whether the peer's certificate names the VM; True if TLS is off."""
        if self._tls is None:
            return True
        session = socket.transport.get_extra_info("ssl_object")
        certificate = session.getpeercert() if session else None
        names = [
            value
            for kind, value in (certificate or {}).get("subjectAltName", ())
            if kind == "DNS"
        ]
        if vm in names:
            return True
        _logger.warning("peer not authentic", extra={"peer": vm, "names": names})
        return False


def make_server_context(tls: settings.Tls) -> ssl.SSLContext:
    """Return the TLS context of a listener.

    Parameters
    ----------
    tls : settings.Tls
        Identity of this VM. With an authority, clients must have a certificate that
        it signed; without one, client certificates are not asked for.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(tls: settings.Tls) -> ssl.SSLContext:
    """Return the TLS context of an outgoing connection.

    The host name in the URL is not checked, since certificates name VMs, not
    addresses; `PeerNetwork` checks the VM's name after the handshake.

    Parameters
    ----------
    tls : settings.Tls
        Identity of this VM. Without an authority, the system's authorities apply.
    """
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=tls.authority or None
    )
    context.check_hostname = False
    context.load_cert_chain(tls.certificate, tls.key)
    return context
