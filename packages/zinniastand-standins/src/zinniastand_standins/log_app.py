"""HTTP interface of the in-memory log."""

from __future__ import annotations

import typing
import urllib.parse

from zinniastand_core import codec
from zinniastand_proxy import caller_app, http_app, platform_log

from . import asgi, log_store

PREFIX = "/streams/"
MAX_WAIT_S = 30.0
MS_PER_S = 1000.0


class LogApp(http_app.HttpApp):
    """Appends with ``POST`` and reads with ``GET`` at ``/streams/NAME``.

    A refused append is answered with 503 and a header that says that nothing was
    appended; one whose result is uncertain is answered with 504.

    Parameters
    ----------
    store : log_store.LogStore
        The log that is served.
    """

    def __init__(self, store: log_store.LogStore) -> None:
        self._store = store

    async def serve(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Append or read, as the method says."""
        stream = scope["path"].removeprefix(PREFIX)
        try:
            if scope["method"] == "POST":
                data = await asgi.read_body(receive)
                result: typing.Any = await self._store.append(stream, data)
            else:
                result = await self._read(stream, scope)
        except platform_log.LogRefusedError as error:
            headers = [(platform_log.NOT_APPENDED_HEADER.encode(), b"1")]
            await asgi.answer(send, 503, str(error).encode(), headers)
        except platform_log.LogUncertainError as error:
            await asgi.answer(send, 504, str(error).encode())
        else:
            await asgi.answer(send, 200, codec.encode(result))

    async def _read(self, stream: str, scope: caller_app.Scope) -> list[object]:
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        offset = int(query.get("offset", ["0"])[0])
        wait = int(query.get("wait_ms", ["0"])[0]) / MS_PER_S
        page = await self._store.read(stream, offset, min(wait, MAX_WAIT_S))
        return [page.offset, list(page.entries)]
