"""Reading requests and sending responses in the stand-ins' ASGI applications."""

from __future__ import annotations

import collections.abc

from zinniastand_proxy import caller_app


async def read_body(receive: caller_app.Receive) -> bytes:
    """Return the body of a request after all its chunks have arrived."""
    chunks: list[bytes] = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def answer(
    send: caller_app.Send,
    status: int,
    body: bytes,
    headers: collections.abc.Iterable[tuple[bytes, bytes]] = (),
) -> None:
    """Send a complete response with its content length."""
    length = (b"content-length", str(len(body)).encode())
    start = {"status": status, "headers": [*headers, length]}
    await send({"type": "http.response.start", **start})
    await send({"type": "http.response.body", "body": body})
