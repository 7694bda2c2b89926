"""Records attempts and answers of requests in the log and the metrics."""

from __future__ import annotations

import dataclasses
import math
import traceback

from zinniastand_core.deployment import configuration
from zinniastand_core.dispatch import messages

from .. import metrics
from . import log_lines

MS_PER_S = 1000.0

MAX_TRACE_CHARS = 2_000
"""Maximum length of a logged traceback. Its last characters are kept, since they show
where the exception was raised."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt at a target, as logged."""

    request_id: str
    """Request id sent by the caller."""

    fingerprint: str
    """Fingerprint of the request's content; the same if it is repeated under another
    id."""

    service: str
    """Service that the request is routed to."""

    grant: messages.Grant
    """Grant of the slot used for the attempt."""

    wait_time: float
    """Seconds from the slot request to the grant."""

    outcome: messages.Outcome
    """Outcome as reported to the dispatcher."""

    why: str
    """Reason for the outcome."""

    duration: float
    """Seconds from the start of the attempt to its end."""

    number: int = 1
    """Number of the attempt, from 1; targets that could not be reached do not count."""

    has_crashed: bool = False
    """Whether the target crashed during the attempt."""

    rate_limit: float | None = None
    """Rate limit announced in the target's answer, in requests per second; infinite if
    the answer announces none, None if there is no answer or its limit is malformed."""

    relay: str = ""
    """VM that relayed the connection; empty for a direct one."""

    rest: float | None = None
    """Seconds for which the target wants no requests of this VM; None if its answer
    asks for no rest."""

    is_leaving: bool = False
    """Whether the target's answer states that it is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRecord:
    """The answer to a request, as logged."""

    request_id: str
    """Request id sent by the caller."""

    status: int
    """HTTP status code."""

    why: str
    """Status of the target's answer, or the reason why none is relayed."""

    duration: float = 0.0
    """Seconds since the first byte of the request was received."""

    attempts: int = 0
    """Number of targets tried."""

    service: str = ""
    """Service that the request was routed to; empty if none."""

    route: str = ""
    """Name of the route; empty if none."""

    objective: float | None = None
    """Latency objective in seconds from the first byte; None if there is no route."""

    account: str = ""
    """Name of the client account whose quota the request exceeds; else empty."""

    is_truncated: bool = False
    """Whether the answer broke off after it had begun to go out."""

    proof_age: float | None = None
    """Age in seconds of the proof that the configuration is the newest, if it is too
    old for the request."""


class RequestRecorder:
    """Writes attempts and answers to the log and updates the metrics.

    Parameters
    ----------
    log : log_lines.LogLines
        Gets one line for each attempt and each answer.
    counters : metrics.Metrics
        Counters and latency histograms.
    configuration_state : configuration.ConfigurationState
        Source of the version logged with each answer.
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

    def record_attempt(self, attempt: AttemptRecord) -> None:
        """Record a finished attempt."""
        grant = attempt.grant
        self._log.write(
            "attempt",
            request=attempt.request_id,
            fingerprint=attempt.fingerprint,
            service=attempt.service,
            target=grant.target_id,
            doubt=round(grant.failure_probability, 3),
            expected_ms=round(grant.expected_duration * MS_PER_S),
            waited_ms=round(attempt.wait_time * MS_PER_S, 1),
            outcome=attempt.outcome.value,
            why=attempt.why,
            ms=round(attempt.duration * MS_PER_S),
            number=attempt.number,
            dispatcher=grant.dispatcher,
            **_make_target_fields(attempt),
        )
        self._counters.count(
            "zinniastand_attempts_total", metrics.label(outcome=attempt.outcome.value)
        )

    def record_final_answer(self, answer: AnswerRecord) -> None:
        """Record the answer to a request."""
        fields: dict[str, log_lines.Value] = {}
        if answer.objective is not None:
            fields["service"] = answer.service
            fields["route"] = answer.route
            fields["objective_ms"] = round(answer.objective * MS_PER_S)
        if answer.is_truncated:
            fields["truncated"] = True
            self._counters.count("zinniastand_answers_truncated_total")
        if answer.account:
            fields["account"] = answer.account
        if answer.proof_age is not None and math.isfinite(answer.proof_age):
            fields["proof_age_s"] = round(answer.proof_age, 3)
        self._log.write(
            "answer",
            request=answer.request_id,
            status=answer.status,
            why=answer.why,
            ms=round(answer.duration * MS_PER_S),
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
        """Log the traceback of an unexpected exception."""
        text = "".join(traceback.format_exception(error))
        self._log.write(
            "unexpected_error", request=request_id, trace=text[-MAX_TRACE_CHARS:]
        )


def _make_target_fields(attempt: AttemptRecord) -> dict[str, log_lines.Value]:
    """Return the log fields that most attempts lack."""
    fields: dict[str, log_lines.Value] = {}
    if attempt.has_crashed:
        fields["crashed"] = True
    if attempt.rate_limit is not None and attempt.rate_limit < math.inf:
        fields["limit"] = attempt.rate_limit
    if attempt.relay:
        fields["relay"] = attempt.relay
    if attempt.rest is not None:
        fields["rest_s"] = attempt.rest
    if attempt.is_leaving:
        fields["leaving"] = True
    return fields
