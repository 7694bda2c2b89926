"""Notes in log and metrics what became of requests."""

from __future__ import annotations

import dataclasses
import math
import traceback

from zinniastand_core.deployment import configuration
from zinniastand_core.dispatch import messages

from .. import metrics
from . import log_lines

MILLISECONDS = 1000.0

MAX_TRACE_CHARS = 2_000
"""Characters of a traceback that go into the log: its end names the place."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at a target, as it stands in the log."""

    request_id: str
    """The request."""

    fingerprint: str
    """Names what it asks for; the same when it returns under another id."""

    service: str
    """The service that it goes to."""

    grant: messages.Grant
    """The slot that it was made with."""

    wait_time: float
    """Seconds until the slot was granted."""

    outcome: messages.Outcome
    """How it went."""

    why: str
    """What ended it."""

    duration: float
    """Seconds that it took."""

    number: int = 1
    """Which target of the request it is; those that were not reached do not count."""

    has_crashed: bool = False
    """Whether the target crashed while it held the request."""

    rate_limit: float | None = None
    """Requests a second that the target takes, infinite where its answer names none;
    None where no answer tells."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The one answer to a request, as it stands in the log."""

    request_id: str
    """The request."""

    status: int
    """Status code."""

    why: str
    """The target's status, or why there is no answer of a target."""

    duration: float = 0.0
    """Seconds from the request's first byte."""

    attempts: int = 0
    """Targets that it was tried at."""

    service: str = ""
    """The service that it goes to; empty where it has none."""

    route: str = ""
    """Its route; empty where it has none."""

    objective: float | None = None
    """Seconds from its first byte within which an answer is in time."""


class RequestRecorder:
    """Where decisions about requests are noted.

    Parameters
    ----------
    log : log_lines.LogLines
        A line for each attempt and each answer.
    counters : metrics.Metrics
        Counts and latencies.
    configured : configuration.ConfigurationState
        Its version stands in each answer's line.
    """

    def __init__(
        self,
        log: log_lines.LogLines,
        counters: metrics.Metrics,
        configuration_state: configuration.ConfigurationState,
    ) -> None:
        self._log = log
        self._counters = counters
        self._configuration_state = configuration_state

    def record_attempt(self, attempt: Attempt) -> None:
        """Note how an attempt ended."""
        grant = attempt.grant
        self._log.write(
            "attempt",
            request=attempt.request_id,
            fingerprint=attempt.fingerprint,
            service=attempt.service,
            target=grant.target_id,
            doubt=round(grant.failure_probability, 3),
            expected_ms=round(grant.expected_duration * MILLISECONDS),
            waited_ms=round(attempt.wait_time * MILLISECONDS, 1),
            outcome=attempt.outcome.value,
            why=attempt.why,
            ms=round(attempt.duration * MILLISECONDS),
            number=attempt.number,
            dispatcher=grant.dispatcher,
            **_make_target_fields(attempt),
        )
        self._counters.count(
            "zinniastand_attempts_total", metrics.label(outcome=attempt.outcome.value)
        )

    def record_answer(self, answer: Answer) -> None:
        """Note the one answer to a request."""
        fields: dict[str, log_lines.Value] = {}
        if answer.objective is not None:
            fields["service"] = answer.service
            fields["route"] = answer.route
            fields["objective_ms"] = round(answer.objective * MILLISECONDS)
        self._log.write(
            "answer",
            request=answer.request_id,
            status=answer.status,
            why=answer.why,
            ms=round(answer.duration * MILLISECONDS),
            attempts=answer.attempts,
            version=self._configuration_state.version,
            **fields,
        )
        self._counters.count(
            "zinniastand_answers_total",
            metrics.label(status=str(answer.status), why=answer.why),
        )
        self._counters.record("zinniastand_answer_seconds", answer.duration)

    def log_error(self, request_id: str, error: Exception) -> None:
        """Note an error that no part expected, so that it is not lost."""
        text = "".join(traceback.format_exception(error))
        self._log.write(
            "unexpected_error", request=request_id, trace=text[-MAX_TRACE_CHARS:]
        )


def _make_target_fields(attempt: Attempt) -> dict[str, log_lines.Value]:
    """Return what an attempt tells of its target's state, where that is unusual."""
    fields: dict[str, log_lines.Value] = {}
    if attempt.has_crashed:
        fields["crashed"] = True
    if attempt.rate_limit is not None and attempt.rate_limit < math.inf:
        fields["limit"] = attempt.rate_limit
    return fields
