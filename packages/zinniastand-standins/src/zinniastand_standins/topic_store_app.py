"""HTTP interface of the stand-in for the platform's store."""

from __future__ import annotations

import base64
import dataclasses
import json
import struct
import urllib.parse

import anyio

from zinniastand_proxy.edge import calls

from . import topic_store

POLL_INTERVAL_S = 0.01
"""Seconds between two checks for new records by a read that waits."""

ERA_HEADER = b"store-era"

KEYS_PER_PAGE = 500
"""Number of keys on a page of newest records."""

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
MS_PER_S = 1000.0
SILENCE_S = 3600.0
"""Time for which a call without an answer is kept open."""


class TopicStoreApp:
    """Answers calls to a store, or fails them as the store's fault says.

    Parameters
    ----------
    store : topic_store.TopicStore
        The content of the store and its injected fault.
    """

    def __init__(self, store: topic_store.TopicStore) -> None:
        self._store = store

    async def handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Return the answer to a call, with the era of the store.

        Raises
        ------
        anyio.BrokenResourceError
            If the store's fault is `topic_store.Fault.RESET`.
        """
        self._store.calls += 1
        path, _, text = incoming.request.path.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if self._store.delay:
            await anyio.sleep(self._store.delay)
        match self._store.fault:
            case topic_store.Fault.BUSY:
                return calls.Reply(503, [], b"")
            case topic_store.Fault.SILENT:
                await anyio.sleep(SILENCE_S)
            case topic_store.Fault.RESET:
                raise anyio.BrokenResourceError
            case topic_store.Fault.LOST:
                await self._handle_path(path, query, incoming.request.body)
                await anyio.sleep(SILENCE_S)
            case topic_store.Fault.NONE:
                pass
        answer = await self._handle_path(path, query, incoming.request.body)
        era = (ERA_HEADER, str(self._store.era).encode())
        return dataclasses.replace(answer, headers=[*answer.headers, era])

    async def _handle_path(
        self, path: str, query: dict[str, str], body: bytes
    ) -> calls.Reply:
        match path:
            case "/-/log-append":
                return self._append(query, body)
            case "/-/log-read":
                return await self._read(query)
            case "/-/log-newest":
                return self._list_newest(query)
            case _:
                return calls.Reply(404, [], b"")

    def _append(self, query: dict[str, str], body: bytes) -> calls.Reply:
        topic = query["topic"]
        end = self._store.find_end(topic)
        if "at" in query and int(query["at"]) != end:
            return _make_json_reply(412, {"end": end})
        records: list[bytes] = []
        position = 0
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            records.append(
                body[
                    position + RECORD_LENGTH.size : position
                    + RECORD_LENGTH.size
                    + length
                ]
            )
            position += RECORD_LENGTH.size + length
        offset = self._store.append(topic, records)
        return _make_json_reply(200, {"offset": offset, "end": offset + len(records)})

    async def _read(self, query: dict[str, str]) -> calls.Reply:
        topic, start = query["topic"], int(query["from"])
        wait = int(query.get("wait_ms", "0")) / MS_PER_S
        records: list[bytes] = []
        with anyio.move_on_after(wait or POLL_INTERVAL_S):
            while not records:
                try:
                    records = self._store.read(topic, start)
                except topic_store.TopicGoneError as error:
                    return _make_json_reply(410, {"first": error.first})
                if not records:
                    await anyio.sleep(POLL_INTERVAL_S)
        head = READ_HEADER.pack(
            self._store.find_end(topic), self._store.find_first(topic)
        )
        content = b"".join(
            RECORD_LENGTH.pack(len(record)) + record for record in records
        )
        return calls.Reply(200, [], head + content)

    def _list_newest(self, query: dict[str, str]) -> calls.Reply:
        topic, after = query["topic"], query.get("after", "")
        remaining = [
            record for record in self._store.list_newest(topic) if record.key > after
        ]
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in remaining[:KEYS_PER_PAGE]
        ]
        end = self._store.find_end(topic)
        page = {"items": items, "has_more": len(remaining) > KEYS_PER_PAGE, "end": end}
        return _make_json_reply(200, page)


def _make_json_reply(status: int, content: dict[str, object]) -> calls.Reply:
    headers = [(b"content-type", b"application/json")]
    return calls.Reply(status, headers, json.dumps(content).encode())
