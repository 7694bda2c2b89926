"""Validation of callers' requests and of settings files."""

from __future__ import annotations

import anyio
import hypothesis
import hypothesis.strategies as st
import json5
import pytest

from zinniastand_proxy import incoming, listeners, settings
from zinniastand_standins import asgi, site

NAMES = st.sampled_from(
    [b"host", b"content-length", b"transfer-encoding", b"connection", b"x-account"]
)
HEADERS = st.lists(st.tuples(NAMES | st.binary(max_size=12), st.binary(max_size=20)))


@hypothesis.given(st.text(max_size=8), st.binary(max_size=30), HEADERS)
def test_any_head_is_accepted_or_rejected_without_an_exception(
    method: str, target: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    checked = incoming.check_head(method, target, headers)
    if checked.is_ok():
        scope = {"method": method, "path": "/", "raw_path": target}
        incoming.build(scope, headers, b"")


@pytest.mark.parametrize(
    "headers",
    [
        [(b"content-length", b"1"), (b"transfer-encoding", b"chunked")],
        [(b"content-length", b"1"), (b"content-length", b"2")],
        [(b"host", b"a"), (b"host", b"b")],
    ],
)
def test_head_that_parsers_could_interpret_differently_is_rejected(
    headers: list[tuple[bytes, bytes]],
) -> None:
    assert incoming.check_head("POST", b"/x", headers).is_error()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "head",
    [
        b"POST /x HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"GET /x HTTP/1.1\r\nHost : a\r\n\r\n",
        b"GET /x HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n",
        b"GET /x HTTP/1.1\nHost: a\nX: b\x0b\nContent-Length: 5 5\n\n",
        b"\x16\x03\x01\x02\x00\x01\x00",
    ],
)
async def test_malformed_bytes_never_reach_the_application(
    head: bytes,
) -> None:
    # Guards against request smuggling: a caller or a hop in between sends bytes that
    # another parser might split into requests differently. The listener has to reject
    # them and keep serving.
    reached: list[str] = []

    async def app(scope: dict, receive: object, send: object) -> None:
        if scope["type"] == "http":
            reached.append(scope["path"])
            await asgi.answer(send, 200, b"fine")  # type: ignore

    async with anyio.create_task_group() as group:
        listener = listeners.Listener(settings.Address(site.HOST, 0), None)
        port = listener.port
        group.start_soon(listener.serve, app, anyio.sleep_forever)
        stream = await anyio.connect_tcp(site.HOST, port)
        await stream.send(head)
        with anyio.move_on_after(1):
            await stream.receive()
        await stream.aclose()
        fine = await anyio.connect_tcp(site.HOST, port)
        await fine.send(b"GET /fine HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await fine.receive()).startswith(b"HTTP/1.1 200")
        await fine.aclose()
        group.cancel_scope.cancel()
    assert reached == ["/fine"]


@hypothesis.given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=10,
    )
)
def test_settings_of_any_other_shape_are_reported_as_errors(value: object) -> None:
    assert settings.parse(json5.dumps(value), "x").is_error()
