"""A request inside the body of another one is run.

A client sends a request that states a length and also "Transfer-Encoding: chunked". The
bytes that its length covers are an empty chunked body and the text of another request.
Without the disruption the same bytes are sent with the length alone.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ROUTE = ["r-1", "ficu95.example", "/pufi791/", "unsafe", 3000, 1000, 1, 2, "huvo11a"]
SMUGGLED_ID = "feedfeedfeedfeed"
CONTENT = (
    "0\r\n\r\n"
    "POST /pufi791/other HTTP/1.1\r\nHost: ficu95.example\r\n"
    f"X-Request-Id: {SMUGGLED_ID}\r\nX-Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n"
).encode()
WORKERS = 4
WORK_S = 0.1
DEADLINE_MS = 6000
WATCH_S = 1.0


async def behave(
    worker: standins.Worker,
    head: standins.Head,
    body: bytes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Run a request."""
    run = worker.begin(head, body)
    await asyncio.sleep(WORK_S)
    run.ended = "done"
    writer.write(worker.make_answer(head, b"filed " + run.request_id.encode()))
    return True


def make_request(request_id: str, has_trouble: bool) -> bytes:
    """Return the request whose body holds the text of another one."""
    framing = f"Content-Length: {len(CONTENT)}\r\n"
    if has_trouble:
        framing += "Transfer-Encoding: chunked\r\n"
    head = (
        f"POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n"
    )
    return head.encode() + CONTENT


async def play(
    record: standins.Record, folder: pathlib.Path, has_trouble: bool
) -> bool:
    """Return whether a worker ran the request inside the other one."""
    store = standins.Store()
    await store.start()
    workers = [
        standins.Worker(number, "huvo11a", record, behave) for number in range(WORKERS)
    ]
    for worker in workers:
        await worker.start(store)
    configuration = standins.make_configuration([ROUTE], ["huvo11a"])
    await store.put("keyed.op", "config", configuration)
    vm = standins.Vm("front-a-1", store.port, folder)
    beats = [asyncio.create_task(worker.beat(store)) for worker in workers]
    try:
        await vm.start()
        await vm.wait_until_ready()
        client = standins.Client(vm.front, record)
        for _ in range(3):
            await client.send("POST", "/pufi791/2f", DEADLINE_MS, b"filing")
        request_id = client.make_id()
        data = make_request(request_id, has_trouble)
        record.write("bytes", data=repr(data))
        await client.send_raw(data, request_id, DEADLINE_MS)
        await asyncio.sleep(WATCH_S)
        client.close()
    finally:
        for beat in beats:
            beat.cancel()
        await vm.end()
    ids = [run.request_id for worker in workers for run in worker.runs]
    is_run = SMUGGLED_ID in ids
    summary = f"requests that ran: {', '.join(ids)}"
    record.write("summary", text=summary)
    print(summary)
    return is_run


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))
