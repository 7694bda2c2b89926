"""Stand-in callers: a mixed load with keys, and a record of what each was told."""

from __future__ import annotations

import dataclasses
import random
import time

import anyio
import anyio.abc
import httpx
import uuid6

from . import balancer, site, users

TIMEOUT_S = 6.0
MAX_TRIES = 3
BODY = b"content"
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """One answer to one try."""

    status: int
    """HTTP status, or 0 where the connection broke."""

    outcome: str
    """``x-outcome``, or empty."""

    is_whole: bool
    """Whether a success carried the caller's own answer, whole."""

    added: float | None
    """Seconds that the answer took beyond the target's work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One piece of work that a caller wanted done."""

    name: str
    """Its unique name."""

    work: users.Work
    """Its kind."""

    duration: float
    """Seconds over all tries."""

    answers: tuple[ReceivedAnswer, ...]
    """The answer to each try."""

    @property
    def is_answered(self) -> bool:
        """Whether the caller got its whole answer in the end."""
        return self.answers[-1].status == 200 and self.answers[-1].is_whole


class Callers:
    """All callers of one site.

    Parameters
    ----------
    door : balancer.Balancer
        Where requests go.
    user : users.User
        What they ask for.
    generator : random.Random
        Source of randomness.
    """

    def __init__(
        self, door: balancer.Balancer, user: users.User, generator: random.Random
    ) -> None:
        self._door = door
        self._user = user
        self._generator = generator
        self._client = httpx.AsyncClient(timeout=TIMEOUT_S)
        self._count = 0
        self.calls: list[Call] = []

    async def run(self, rate: float, seconds: float) -> None:
        """Send requests at a mean rate (Poisson) for a time, and wait for the last."""
        async with anyio.create_task_group() as group:
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                await anyio.sleep(self._generator.expovariate(rate))
                self._start(group)
        await self._client.aclose()

    def _start(self, group: anyio.abc.TaskGroup) -> None:
        shares = [work.share for work in self._user.work]
        work = self._generator.choices(self._user.work, shares)[0]
        self._count += 1
        group.start_soon(self._call, work, f"{self._user.name}-{self._count}")

    async def _call(self, work: users.Work, name: str) -> None:
        headers = {"x-work-name": name}
        if work.is_keyed:
            headers["idempotency-key"] = str(uuid6.uuid7())
        started = time.monotonic()
        told: list[ReceivedAnswer] = []
        for _ in range(MAX_TRIES):
            answer, wait = await self._try(work, name, headers)
            told.append(answer)
            if answer.outcome != "not-run":
                break
            await anyio.sleep(min(wait, 1.0))
        took = time.monotonic() - started
        self.calls.append(Call(name, work, took, tuple(told)))

    async def _try(
        self, work: users.Work, name: str, headers: dict[str, str]
    ) -> tuple[ReceivedAnswer, float]:
        port = self._door.pick_port()
        if port is None:
            return ReceivedAnswer(0, "not-run", False, None), 0.3
        url = f"http://{site.HOST}:{port}{work.path}"
        content = BODY if work.method == "POST" else None
        started = time.monotonic()
        try:
            reply = await self._client.request(
                work.method, url, headers=headers, content=content
            )
        except httpx.HTTPError:
            return ReceivedAnswer(0, "", False, None), 0.0
        took = time.monotonic() - started
        wanted = f"done:{name}:{(content or b'').decode()}"
        worked = reply.headers.get("x-worked-ms")
        added = took - float(worked) / MS_PER_S if worked else None
        told = ReceivedAnswer(
            reply.status_code,
            reply.headers.get("x-outcome", ""),
            reply.text == wanted,
            added,
        )
        return told, float(reply.headers.get("retry-after", 0))
