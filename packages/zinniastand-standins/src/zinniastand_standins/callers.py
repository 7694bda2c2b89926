"""Simulated callers: a mixed load with idempotency keys and a record of answers."""

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
"""Time after which a try is given up."""

MAX_TRIES = 3
"""Maximum number of tries of one call, if each is answered "not run"."""

BODY = b"content"
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """The answer to one try of a call."""

    status: int
    """HTTP status, or 0 if no answer arrived."""

    outcome: str
    """Value of ``x-outcome``; empty if the header is missing."""

    is_whole: bool
    """Whether the body is the complete answer to this caller's own request."""

    added_latency: float | None
    """Seconds that the answer took beyond the target's work; None if the target did not
    report how long it worked."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller, over all its tries."""

    name: str
    """Unique name of the work, which the target's ledger records."""

    work: users.Work
    """Kind of the request."""

    duration: float
    """Seconds from the first try to the last answer."""

    answers: tuple[ReceivedAnswer, ...]
    """The answer to each try, in order."""

    @property
    def is_answered(self) -> bool:
        """Whether the last try returned 200 with the complete answer."""
        return self.answers[-1].status == 200 and self.answers[-1].is_whole


class Callers:
    """Sends the requests of all callers of one site.

    Parameters
    ----------
    load_balancer : balancer.Balancer
        Picks the VM for each try.
    user : users.User
        The user whose mix of requests is sent.
    generator : random.Random
        Source of arrival times and of the mix of requests.
    """

    def __init__(
        self,
        load_balancer: balancer.Balancer,
        user: users.User,
        generator: random.Random,
    ) -> None:
        self._load_balancer = load_balancer
        self._user = user
        self._generator = generator
        self._client = httpx.AsyncClient(timeout=TIMEOUT_S)
        self._count = 0
        self.calls: list[Call] = []

    async def run(self, rate: float, seconds: float) -> None:
        """Send requests for a time, then wait until each has its final answer.

        Arrivals form a Poisson process with a mean of `rate` requests per second.
        """
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
        answers: list[ReceivedAnswer] = []
        for _ in range(MAX_TRIES):
            answer, wait = await self._send_once(work, name, headers)
            answers.append(answer)
            if answer.outcome != "not-run":
                break
            await anyio.sleep(min(wait, 1.0))
        elapsed = time.monotonic() - started
        self.calls.append(Call(name, work, elapsed, tuple(answers)))

    async def _send_once(
        self, work: users.Work, name: str, headers: dict[str, str]
    ) -> tuple[ReceivedAnswer, float]:
        port = self._load_balancer.pick_port()
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
        elapsed = time.monotonic() - started
        expected = f"done:{name}:{(content or b'').decode()}"
        worked_ms = reply.headers.get("x-worked-ms")
        added_latency = elapsed - float(worked_ms) / MS_PER_S if worked_ms else None
        received = ReceivedAnswer(
            reply.status_code,
            reply.headers.get("x-outcome", ""),
            reply.text == expected,
            added_latency,
        )
        return received, float(reply.headers.get("retry-after", 0))
