"""The plan of one request: claim, choice of targets, attempts, and the one answer.

The plan is a state machine without I/O: it is told what happened and returns actions.
It answers "not run" only if that is certain: no attempt was handed to a connection, or
every attempt that was is known to have been refused before it started.
"""

from __future__ import annotations

import dataclasses

from . import attempt_actions, claim_ledger, claim_records, claimer, outcomes, services

MAX_ATTEMPTS = 4
"""Limit on the attempts of a request. Before a retry, attempts that were refused are
not counted; before a hedge, all are."""

REFUSALS_BEFORE_DELAY = 3
"""Refusals of one request after which the next attempt is delayed."""

REFUSED_DELAY_S = 0.25
"""Time after which a caller that was refused may try again."""

FAILED_STATUSES = frozenset({500, 502, 503, 504})
"""HTTP statuses after which idempotent work is tried on another target."""

OUTAGE_DELAY_S = 5.0
"""Time after which a caller may try again while the log refuses appends."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RunningAttempt:
    """An attempt without a result yet, and when to hedge it in unix seconds."""

    target: services.Target
    freshness: attempt_actions.Freshness
    hedge_at: float | None


class Plan:
    """The plan of one request.

    Parameters
    ----------
    kind : services.Kind
        Kind of work.
    deadline : float
        Unix seconds after which the caller no longer waits; `now` is in unix seconds
        in every method.
    chooser : attempt_actions.Chooser
        Picks targets and limits retries and hedges.
    claim : claim_records.Claim or None
        The claim on the idempotency key to seek; at-most-once work needs one.
    """

    def __init__(
        self,
        kind: services.Kind,
        deadline: float,
        chooser: attempt_actions.Chooser,
        claim: claim_records.Claim | None = None,
    ) -> None:
        self._kind = kind
        self._deadline = deadline
        self._chooser = chooser
        self._claim = claim
        self._start_deadline = deadline if claim is None else claim.start_deadline
        self._running: dict[int, _RunningAttempt] = {}
        self._excluded: set[str] = set()
        self._attempts = 0
        self._refusals = 0
        self._resume_at: float | None = None
        self._fallback: int | None = None
        self._may_have_run = False
        self._claim_pending = False
        self._last_failure: attempt_actions.Failure | None = None
        self._ended = False

    @property
    def has_ended(self) -> bool:
        """Whether the caller has been answered."""
        return self._ended

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have started the work."""
        return self._may_have_run or bool(self._running)

    def start(self, now: float) -> list[attempt_actions.Action]:
        """Start the request: seek the claim, or send at once if none is needed."""
        if self._kind.work is services.Work.IDEMPOTENT:
            return self._send_next(now)
        if self._claim is None:
            return self._refuse(outcomes.Reason.KEY_MISSING)
        self._claim_pending = True
        return [attempt_actions.SeekClaim(self._claim)]

    def find_wake_time(self) -> float:
        """Return the unix time at which `wake` is due.

        That is the next hedge, the end of a delay, the start deadline or the deadline,
        whichever comes first of those that apply.
        """
        if self._claim_pending:
            return min(self._start_deadline, self._deadline)
        if self._resume_at is not None:
            return min(self._resume_at, self._start_deadline, self._deadline)
        times = [
            running.hedge_at for running in self._running.values() if running.hedge_at
        ]
        return min([self._deadline, *times])

    def handle_grant(self, now: float) -> list[attempt_actions.Action]:
        """Send the first attempt, since the claim was granted."""
        if self._ended or not self._claim_pending:
            return []
        self._claim_pending = False
        return self._send_next(now)

    def handle_denial(
        self, denied: claimer.Denied, now: float
    ) -> list[attempt_actions.Action]:
        """Refuse the request, since the claim was denied."""
        if self._ended or not self._claim_pending:
            return []
        self._claim_pending = False
        match denied.reason:
            case claimer.Denial.OWNED:
                return self._refuse_claimed(denied.entry, now)
            case claimer.Denial.KEY_REUSED:
                return self._refuse(outcomes.Reason.KEY_REUSED)
            case claimer.Denial.LOG_DOWN:
                return self._refuse(outcomes.Reason.LOG_DOWN, now + OUTAGE_DELAY_S)
            case claimer.Denial.OVERLOADED:
                return self._refuse(outcomes.Reason.OVERLOADED, now + REFUSED_DELAY_S)
            case claimer.Denial.UNSETTLED | claimer.Denial.LAPSED:
                return self._give_up_claim(now)

    def handle_answer(
        self, attempt: int, status: int, now: float
    ) -> list[attempt_actions.Action]:
        """Relay the complete answer of an attempt, or try another target.

        A server error to idempotent work is tried elsewhere. Late answers, after the
        caller has been answered, are ignored.

        Parameters
        ----------
        attempt : int
            Number of the attempt.
        status : int
            HTTP status of the answer.
        now : float
            Unix seconds.
        """
        running = self._running.pop(attempt, None)
        if running is None or self._ended:
            return []
        if self._claim is None and status in FAILED_STATUSES:
            return self._try_after_error(attempt, running, now)
        self._ended = True
        actions: list[attempt_actions.Action] = [
            attempt_actions.Relay(attempt),
            *self._cancel_running(),
        ]
        if self._claim is not None:
            done = claim_records.Done(
                self._claim.key_digest, self._claim.claim_id, status
            )
            actions.append(attempt_actions.Settle(done))
        return actions

    def handle_failure(
        self, attempt: int, failure: attempt_actions.Failure, now: float
    ) -> list[attempt_actions.Action]:
        """Send another attempt, wait or refuse, since one gave no complete answer."""
        running = self._running.pop(attempt, None)
        if running is None or self._ended:
            return []
        self._last_failure = failure
        if failure not in attempt_actions.NOT_STARTED:
            self._may_have_run = True
        if self._running:
            return []
        if (
            failure is attempt_actions.Failure.SILENT
            and running.freshness is attempt_actions.Freshness.ANY
        ):
            return self._retry_on_new_connection(running, now)
        self._excluded.add(running.target.name)
        if failure in (attempt_actions.Failure.REFUSED, attempt_actions.Failure.BUSY):
            return self._try_after_refusal(now)
        if self._may_run_again() and self._may_attempt(now):
            return self._send_next(now)
        return self._finish_without_answer(now)

    def wake(self, now: float) -> list[attempt_actions.Action]:
        """Do what is due by now: hedge, resume after a delay, or end the request."""
        if self._ended:
            return []
        if self._claim_pending and now >= min(self._start_deadline, self._deadline):
            self._claim_pending = False
            return self._give_up_claim(now)
        if now >= self._deadline:
            return self._finish_without_answer(now)
        if self._resume_at is not None:
            return self._resume(now)
        return self._hedge(now)

    def abandon(self, now: float) -> list[attempt_actions.Action]:
        """Cancel all attempts and settle the claim, since the caller disconnected."""
        if self._ended:
            return []
        return [
            action
            for action in self._finish_without_answer(now)
            if not isinstance(action, attempt_actions.Refuse)
        ]

    def _try_after_error(
        self, attempt: int, running: _RunningAttempt, now: float
    ) -> list[attempt_actions.Action]:
        """Try idempotent work elsewhere after a server error.

        A failing target may answer quickly and completely, but with errors. The error
        is kept, and relayed to the caller if no attempt does better.
        """
        self._fallback = attempt
        self._excluded.add(running.target.name)
        if self._running:
            return []
        if self._may_attempt(now):
            return self._send_next(now)
        return self._finish_without_answer(now)

    def _try_after_refusal(self, now: float) -> list[attempt_actions.Action]:
        """Try another target at once, or after a delay if several were full.

        With few slots shared by many VMs, full targets are common. The refusal is
        cheap and proves that the work did not start, and a slot is soon free again.
        """
        self._refusals += 1
        if not self._may_run_again():
            return self._finish_without_answer(now)
        if self._refusals < REFUSALS_BEFORE_DELAY:
            return self._send_next(now)
        self._resume_at = self._chooser.find_pause_end(self._kind, self._deadline, now)
        return self._finish_without_answer(now) if self._resume_at is None else []

    def _resume(self, now: float) -> list[attempt_actions.Action]:
        if self._resume_at is None or now < self._resume_at:
            return []
        self._resume_at = None
        self._excluded.clear()
        return self._send_next(now)

    def _send_next(self, now: float) -> list[attempt_actions.Action]:
        # A VM that was paused after its claim was granted may get here late. The claim
        # is on the log, but the work must not start any more: other callers with the
        # same key rely on the start deadline.
        if self._claim is not None and now >= self._start_deadline:
            return self._finish_without_answer(now)
        if now >= self._deadline:
            return self._finish_without_answer(now)
        target = self._chooser.choose(self._kind, self._excluded, now)
        if target is None:
            return self._finish_without_answer(now)
        freshness = (
            attempt_actions.Freshness.PROVED
            if self._claim is not None
            else attempt_actions.Freshness.ANY
        )
        return [self._send(target, freshness, now)]

    def _send(
        self, target: services.Target, freshness: attempt_actions.Freshness, now: float
    ) -> attempt_actions.Send:
        self._attempts += 1
        hedge_at = None
        if self._claim is None:
            hedge_at = self._chooser.find_hedge_time(self._kind, target, now)
        self._running[self._attempts] = _RunningAttempt(target, freshness, hedge_at)
        return attempt_actions.Send(self._attempts, target, freshness, self._deadline)

    def _retry_on_new_connection(
        self, running: _RunningAttempt, now: float
    ) -> list[attempt_actions.Action]:
        """Try the same target on a new connection before blaming it.

        A pooled connection can be dead while new ones work. Only a new connection
        shows whether the target is at fault, and it costs about a millisecond.
        """
        if now >= self._deadline or not self._may_attempt(now):
            return self._finish_without_answer(now)
        return [self._send(running.target, attempt_actions.Freshness.NEW, now)]

    def _hedge(self, now: float) -> list[attempt_actions.Action]:
        due = [
            n for n, running in self._running.items() if running.hedge_at is not None
        ]
        due = [n for n in due if (self._running[n].hedge_at or now) <= now]
        if not due:
            return []
        for number in due:
            running = self._running[number]
            self._running[number] = dataclasses.replace(running, hedge_at=None)
            self._excluded.add(running.target.name)
        if self._attempts >= MAX_ATTEMPTS or not self._chooser.may_hedge(now):
            return []
        target = self._chooser.choose(self._kind, self._excluded, now)
        if target is None:
            return []
        return [self._send(target, attempt_actions.Freshness.ANY, now)]

    def _may_attempt(self, now: float) -> bool:
        counted = self._attempts - self._refusals
        return counted < MAX_ATTEMPTS and self._chooser.may_retry(now)

    def _may_run_again(self) -> bool:
        return self._claim is None or not self._may_have_run

    def _cancel_running(self) -> list[attempt_actions.Action]:
        actions: list[attempt_actions.Action] = [
            attempt_actions.Cancel(number) for number in self._running
        ]
        self._running.clear()
        return actions

    def _give_up_claim(self, now: float) -> list[attempt_actions.Action]:
        """Refuse without knowing whether the claim is on the log.

        Nothing was sent, and after this nothing will be, so "not run" is true. The
        release frees the key for the caller's next request.
        """
        release = self._settle_claim(ran=False)
        refusal = self._refuse(outcomes.Reason.CLAIM_LATE, now + REFUSED_DELAY_S)
        return release + refusal

    def _refuse_claimed(
        self, entry: claim_ledger.Entry | None, now: float
    ) -> list[attempt_actions.Action]:
        if entry is None:
            # The owner has released the key since: this claim is void, but the caller
            # may send the request again with the same key.
            return self._refuse(outcomes.Reason.CLAIM_LATE, now + REFUSED_DELAY_S)
        if entry.phase is claim_ledger.Phase.DONE:
            refusal = outcomes.Refusal(
                outcomes.Outcome.DONE,
                outcomes.Reason.KEY_DONE,
                earlier_status=entry.status,
            )
        elif entry.phase is claim_ledger.Phase.UNKNOWN:
            refusal = outcomes.Refusal(
                outcomes.Outcome.UNKNOWN, outcomes.Reason.KEY_UNKNOWN
            )
        elif now < entry.claim.start_deadline + self._kind.time_limit:
            refusal = outcomes.Refusal(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.KEY_IN_PROGRESS,
                now + REFUSED_DELAY_S,
            )
        else:
            # The VM that holds the claim was lost before it recorded the outcome.
            refusal = outcomes.Refusal(
                outcomes.Outcome.UNKNOWN, outcomes.Reason.KEY_UNKNOWN
            )
        self._ended = True
        return [attempt_actions.Refuse(refusal)]

    def _refuse(
        self, reason: outcomes.Reason, retry_at: float | None = None
    ) -> list[attempt_actions.Action]:
        self._ended = True
        refusal = outcomes.Refusal(outcomes.Outcome.NOT_RUN, reason, retry_at)
        return [attempt_actions.Refuse(refusal)]

    def _finish_without_answer(self, now: float) -> list[attempt_actions.Action]:
        ran = self.may_have_run
        self._ended = True
        if self._fallback is not None:
            relay = attempt_actions.Relay(self._fallback)
            return [relay, *self._cancel_running()]
        actions = self._cancel_running()
        actions += self._settle_claim(ran)
        outcome = outcomes.Outcome.UNKNOWN if ran else outcomes.Outcome.NOT_RUN
        reason = self._find_reason(ran, now)
        retry_at = None if ran and self._claim is not None else now + REFUSED_DELAY_S
        return [
            *actions,
            attempt_actions.Refuse(outcomes.Refusal(outcome, reason, retry_at)),
        ]

    def _settle_claim(self, ran: bool) -> list[attempt_actions.Action]:
        if self._claim is None:
            return []
        key, claim_id = self._claim.key_digest, self._claim.claim_id
        if ran:
            return [attempt_actions.Settle(claim_records.Unknown(key, claim_id))]
        return [attempt_actions.Settle(claim_records.Released(key, claim_id))]

    def _find_reason(self, ran: bool, now: float) -> outcomes.Reason:
        if self._last_failure is attempt_actions.Failure.CUT:
            return outcomes.Reason.ANSWER_CUT
        if ran and now < self._deadline:
            return outcomes.Reason.ANSWER_LOST
        if now >= self._deadline:
            return outcomes.Reason.DEADLINE
        if self._last_failure in (
            attempt_actions.Failure.REFUSED,
            attempt_actions.Failure.BUSY,
        ):
            return outcomes.Reason.REFUSED_BY_TARGETS
        if self._claim is not None and now >= self._start_deadline:
            return outcomes.Reason.CLAIM_LATE
        return outcomes.Reason.NO_TARGET
