"""The run of one request in virtual time, with scripted slots and targets."""

from __future__ import annotations

import collections.abc
import dataclasses
import os

import anyio
import hypothesis
import hypothesis.strategies as st
import pytest
import trio.testing

from zinniastand_core import services
from zinniastand_core.deployment import configuration, targets
from zinniastand_core.dispatch import messages
from zinniastand_core.forwarding import plan
from zinniastand_platform import words
from zinniastand_proxy import metrics
from zinniastand_proxy.edge import (
    http_exchange,
    http_server,
    log_lines,
    request_notes,
    request_run,
    target_client,
    unreachable_targets,
)

TIME_LIMIT = 2.0
EXPECTED = 0.1
"""Expected seconds of work: an attempt without doubt is overdue after four times it."""

Result = plan.Result
NOT_SENT = {Result.UNREACHABLE}


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """What one target does with the request."""

    result: plan.Result
    """How the attempt ends."""

    after: float
    """Seconds after which it ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """How a run went."""

    status: int
    """Status that the caller got."""

    body: bytes
    """Body that the caller got."""

    took: float
    """Seconds until then."""

    broken_off: tuple[str, ...]
    """Targets whose attempt was broken off."""

    outcomes: tuple[messages.Outcome, ...]
    """What the dispatcher was told of attempts, in order."""


class ScriptedSlots:
    """Grants the targets of a script in their order, then refuses."""

    def __init__(self, names: collections.abc.Sequence[str]) -> None:
        self._names = list(names)
        self.outcomes: list[messages.Outcome] = []

    async def acquire(self, ask: messages.Ask) -> messages.Grant | messages.Refuse:
        """Return the next target."""
        await anyio.sleep(0.001)
        if not self._names:
            reason = messages.RefusalReason.OVERLOADED
            return messages.Refuse(ask.ticket, reason, ask.deadline_at)
        return messages.Grant(ask.ticket, self._names.pop(0), 0.0, EXPECTED)

    def report(self, report: messages.Report) -> None:
        """Take in how an attempt went."""
        self.outcomes.append(report.outcome)


class ScriptedTargets:
    """Ends attempts as their scripts say."""

    def __init__(self, scripts: dict[str, Script]) -> None:
        self._scripts = scripts
        self.broken_off: list[str] = []

    async def attempt(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        work: services.Work,
        mark_sent: collections.abc.Callable[[], None],
    ) -> target_client.Attempt:
        """Play one attempt."""
        script = self._scripts[target.target_id]
        if script.result not in NOT_SENT:
            mark_sent()
        try:
            await anyio.sleep(script.after)
        except BaseException:
            self.broken_off.append(target.target_id)
            raise
        status = {Result.ANSWERED: 200, Result.ERROR: 500}.get(script.result)
        if status is None:
            return target_client.Attempt(script.result, None, script.result.value)
        name = target.target_id.encode()
        answer = http_exchange.Answer(status, [], name, True, b"")
        return target_client.Attempt(script.result, answer, str(status))


def make_route(work: services.Work, attempts: int) -> configuration.Route:
    return configuration.Route(
        name="r",
        host="h",
        path_prefix="/",
        work=work,
        time_limit=TIME_LIMIT,
        objective=0.6,
        max_attempts=attempts,
        priority=0,
        parts=(configuration.Part("desk", 1.0),),
    )


def make_parts(
    slots: ScriptedSlots, exchange: ScriptedTargets, names: list[str]
) -> request_run.Parts:
    registry = targets.Registry()
    entries = [
        targets.Entry(
            target_id=name,
            service="desk",
            host="127.0.0.1",
            port=1,
            data_centre="a",
            slots=3,
            phase=targets.Phase.READY,
            born=1,
            cold_until=0.0,
            position=1,
        )
        for name in names
    ]
    registry.replace(entries, 1, 0.0)
    log = log_lines.LogLines("vm-1", os.open(os.devnull, os.O_WRONLY))
    notes = request_notes.RequestNotes(
        log, metrics.Metrics(), configuration.ConfigurationState()
    )
    return request_run.Parts(
        "vm-1",
        "a",
        slots,
        exchange,
        registry,
        unreachable_targets.UnreachableTargets(),
        notes,
        words.HEADERS,
        lambda: "ticket",
    )


def play(
    scripts: dict[str, Script],
    work: services.Work = services.Work.IDEMPOTENT,
    attempts: int = 2,
    known: list[str] | None = None,
) -> Seen:
    """Run one request against these targets, which are granted in their order.

    `known` are the targets that this VM knows, all by default.
    """
    slots, exchange = ScriptedSlots(list(scripts)), ScriptedTargets(scripts)
    seen: list[Seen] = []

    async def main() -> None:
        parts = make_parts(slots, exchange, list(scripts) if known is None else known)
        begin = anyio.current_time()
        request = http_exchange.Request(b"GET", b"/x", [], b"", False)
        incoming = http_server.Incoming(request, "h", begin, http_server.Caller())
        run = request_run.Run(parts, incoming, make_route(work, attempts), "desk")
        reply = await run.run()
        seen.append(
            Seen(
                reply.status,
                reply.body,
                anyio.current_time() - begin,
                tuple(exchange.broken_off),
                tuple(slots.outcomes),
            )
        )

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})
    return seen[0]


FAILURES = [one for one in Result if one is not Result.ANSWERED]


@pytest.mark.parametrize("result", FAILURES)
def test_overdue_attempt_goes_on_until_its_backup_has_an_answer(
    result: plan.Result,
) -> None:
    # Idempotent work takes long at its target, and a second target is tried. That one
    # fails; the caller got 502, or the second target's error, because the first attempt
    # had been broken off for it, and its answer was 0.3 s away.
    seen = play({"t1": Script(Result.ANSWERED, 0.8), "t2": Script(result, 0.05)})
    assert (seen.status, seen.body) == (200, b"t1")
    assert seen.broken_off == ()


def test_overdue_attempt_goes_on_when_its_backup_is_unknown_here() -> None:
    # The dispatcher grants a slot of a target that this VM has not heard of yet.
    seen = play(
        {"t1": Script(Result.ANSWERED, 0.8), "t2": Script(Result.ANSWERED, 0.1)},
        known=["t1"],
    )
    assert (seen.status, seen.body) == (200, b"t1")


def test_overdue_attempt_goes_on_when_no_slot_is_granted() -> None:
    seen = play({"t1": Script(Result.ANSWERED, 0.8)})
    assert (seen.status, seen.body) == (200, b"t1")


def test_answer_of_the_backup_ends_the_overdue_attempt() -> None:
    # The first target hangs. It counts as silent, so that others avoid it.
    seen = play({"t1": Script(Result.ANSWERED, 60), "t2": Script(Result.ANSWERED, 0.1)})
    assert (seen.status, seen.body) == (200, b"t2")
    assert seen.broken_off == ("t1",)
    assert set(seen.outcomes) == {messages.Outcome.GOOD, messages.Outcome.SILENT}


def test_answer_of_the_overdue_attempt_ends_its_backup() -> None:
    # The backup has done nothing wrong, and must not be avoided for it.
    seen = play({"t1": Script(Result.ANSWERED, 0.5), "t2": Script(Result.ANSWERED, 60)})
    assert (seen.status, seen.body) == (200, b"t1")
    assert seen.broken_off == ("t2",)
    assert set(seen.outcomes) == {messages.Outcome.GOOD, messages.Outcome.ABANDONED}


def test_error_of_an_overdue_attempt_waits_for_its_backup() -> None:
    seen = play({"t1": Script(Result.ERROR, 0.5), "t2": Script(Result.ANSWERED, 0.3)})
    assert (seen.status, seen.body) == (200, b"t2")


def test_work_that_may_run_only_once_has_no_backup() -> None:
    seen = play(
        {"t1": Script(Result.ANSWERED, 1.5), "t2": Script(Result.ANSWERED, 0.1)},
        work=services.Work.AT_MOST_ONCE,
    )
    assert (seen.status, seen.body) == (200, b"t1")


@hypothesis.given(
    work=st.sampled_from(list(services.Work)),
    attempts=st.integers(1, 4),
    scripts=st.lists(
        st.builds(
            Script,
            st.sampled_from(list(Result)),
            st.sampled_from([0.01, 0.3, 0.45, 0.9, 1.3, 60.0]),
        ),
        min_size=1,
        max_size=5,
    ),
    known=st.sets(st.integers(0, 4)),
)
def test_work_is_broken_off_only_for_an_answer_or_at_the_deadline(
    work: services.Work, attempts: int, scripts: list[Script], known: set[int]
) -> None:
    # Whatever becomes of all other attempts, one that is under way ends by itself, for
    # the answer of another one, or at the deadline.
    named = {f"t{number}": script for number, script in enumerate(scripts)}
    seen = play(named, work, attempts, [f"t{number}" for number in known])
    if seen.broken_off and seen.took < TIME_LIMIT:
        assert seen.status == 200
    if seen.status == 200:
        assert named[seen.body.decode()].result is Result.ANSWERED
    assert seen.took <= TIME_LIMIT + 0.001
