"""State machine test of at-most-once work on several VMs.

The code under test is `attempts.Plan` and `claimer.Claimer`. The log, the network, the
targets and the callers are simulated with lists, and each fault of the log and the VMs
is a rule. The invariants compare what ran with what each caller was answered.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from zinniastand_core import (
    attempt_actions,
    attempts,
    claim_ledger,
    claim_records,
    claimer,
    outcomes,
    services,
)

KIND = services.Kind("order", services.Work.AT_MOST_ONCE, 10.0, 1.0)
HORIZON = 10_000.0
VMS = 2
KEYS = 1
TARGETS = tuple(
    services.Target(name, "127.0.0.1", 1, "dc", 1, False) for name in ("a", "b", "c")
)


class FirstChooser:
    """Chooses the first target not excluded, and allows every retry."""

    def choose(
        self, kind: services.Kind, excluded: typing.AbstractSet[str], now: float
    ) -> services.Target | None:
        """Return the first target not excluded."""
        return next((t for t in TARGETS if t.name not in excluded), None)

    def may_retry(self, now: float) -> bool:
        """Return True."""
        return True

    def may_hedge(self, now: float) -> bool:
        """Return True."""
        return True

    def find_hedge_time(
        self, kind: services.Kind, target: services.Target, now: float
    ) -> float | None:
        """Return `now`; at-most-once work must not be hedged despite it."""
        return now

    def find_pause_end(
        self, kind: services.Kind, deadline: float, now: float
    ) -> float | None:
        """Return a time 0.1 s from now."""
        return now + 0.1


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request at one VM, and how it was answered."""

    vm: int
    key: bytes
    claim: claim_records.Claim
    plan: attempts.Plan
    given_refusal: outcomes.Refusal | None = None
    was_answered: bool = False
    is_lost: bool = False


@dataclasses.dataclass(slots=True)
class SentAttempt:
    """An attempt on its way to a target, or running there."""

    request: Request
    attempt: int
    deadline: float
    has_run: bool = False


@dataclasses.dataclass(slots=True)
class PendingAppend:
    """An append in flight."""

    vm: int
    sender_incarnation: int
    batch: int
    data: bytes


class ClaimsMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Several VMs (`VMS`) that share one slice and a few keys (`KEYS`)."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.log: list[bytes] = []
        self.claimers = [self.make_claimer() for _ in range(VMS)]
        self.incarnations = [0] * VMS
        self.paused = [False] * VMS
        self.inbox: list[list[collections.abc.Callable[[], None]]] = [
            [] for _ in range(VMS)
        ]
        self.requests: list[Request] = []
        self.pending_appends: list[PendingAppend] = []
        self.delayed_appends: list[bytes] = []
        self.sent: list[SentAttempt] = []
        self.runs: dict[bytes, int] = {}
        self.ran_claims: set[bytes] = set()

    def make_claimer(self) -> claimer.Claimer:
        """Return a claimer that has read nothing from the log."""
        return claimer.Claimer(claim_ledger.ClaimLedger(HORIZON))

    # Callers.

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1), key=st.integers(0, KEYS - 1))
    def submit(self, vm: int, key: int) -> None:
        """A caller sends work with a new or repeated key to any VM."""
        self.send_order(vm, key)

    def send_order(self, vm: int, key: int) -> None:
        """Send work with a key to a VM, unless it is paused or requests abound."""
        if self.paused[vm] or len(self.requests) > 12:
            return
        digest = bytes([key]) * 16
        number = len(self.requests)
        claim = claim_records.Claim(
            key_digest=digest,
            claim_id=number.to_bytes(12, "big"),
            holder=f"vm-{vm}",
            incarnation=self.incarnations[vm],
            start_deadline=round(self.now + 5.0, 3),
            key_made_at=1000.0,
            fingerprint=b"same",
        )
        plan = attempts.Plan(KIND, self.now + 10.0, FirstChooser(), claim)
        request = Request(vm, digest, claim, plan)
        self.requests.append(request)
        self.execute_plan(request, plan.start(self.now))

    @hypothesis.stateful.rule(key=st.integers(0, KEYS - 1))
    def submit_twice(self, key: int) -> None:
        """A request and its copies reach all VMs, and all claims are appended."""
        for vm in range(VMS):
            self.send_order(vm, key)
        for append in list(self.pending_appends):
            self.end_append(append, "done")

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1), key=st.integers(0, KEYS - 1))
    def submit_to_frozen(self, vm: int, key: int) -> None:
        """A VM pauses right after sending its claim, which is appended meanwhile."""
        if self.paused[vm]:
            return
        self.send_order(vm, key)
        self.toggle_pause(vm)
        for append in list(self.pending_appends):
            self.end_append(append, "done")

    @hypothesis.stateful.rule(data=st.data())
    def hang_up(self, data: st.DataObject) -> None:
        """A caller closes its connection."""
        request = self.pick(data, self.list_open_requests())
        if request is not None:
            self.execute_plan(request, request.plan.abandon(self.now))

    # The log.

    @hypothesis.stateful.rule(
        data=st.data(),
        how=st.sampled_from(
            [
                "done",
                "done",
                "done",
                "answer-lost",
                "refused",
                "lost",
                "lost-then-lands",
            ]
        ),
    )
    def finish_append(self, data: st.DataObject, how: str) -> None:
        """An append ends as `how` says."""
        append = self.pick(data, self.pending_appends)
        if append is not None:
            self.end_append(append, how)

    def end_append(self, append: PendingAppend, how: str) -> None:
        """End an append, and report the result to its VM."""
        self.pending_appends.remove(append)
        if how in ("done", "answer-lost"):
            self.log.append(append.data)
        if how == "lost-then-lands":
            self.delayed_appends.append(append.data)
        offset = len(self.log) - 1
        self.deliver_when_awake(
            append.vm, lambda: self.report_append_result(append, how, offset)
        )

    def report_append_result(
        self, append: PendingAppend, how: str, offset: int
    ) -> None:
        """Report to a VM how its append ended, unless the VM was replaced."""
        if append.sender_incarnation != self.incarnations[append.vm]:
            return
        seeker = self.claimers[append.vm]
        if how == "done":
            actions = seeker.handle_appended(append.batch, offset, self.now)
        elif how == "refused":
            actions = seeker.handle_refused(append.batch, self.now)
        else:
            actions = seeker.handle_uncertain(append.batch, self.now)
        self.execute_claimer(append.vm, actions)

    def deliver_when_awake(
        self, vm: int, message: collections.abc.Callable[[], None]
    ) -> None:
        """Deliver a message to a VM, or keep it until the VM resumes."""
        if self.paused[vm]:
            self.inbox[vm].append(message)
        else:
            message()

    @hypothesis.stateful.rule(data=st.data())
    def land_delayed_append(self, data: st.DataObject) -> None:
        """An append that was reported lost takes effect late."""
        delayed_append = self.pick(data, self.delayed_appends)
        if delayed_append is not None:
            self.delayed_appends.remove(delayed_append)
            self.log.append(delayed_append)

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1), lag=st.integers(0, 2))
    def read(self, vm: int, lag: int) -> None:
        """A VM reads the log, from a replica that may lag."""
        if self.paused[vm]:
            return
        seeker = self.claimers[vm]
        for offset in range(seeker.next_offset, max(0, len(self.log) - lag)):
            actions = seeker.apply_entry(offset, self.log[offset], self.now)
            self.execute_claimer(vm, actions)

    # Targets.

    @hypothesis.stateful.rule(
        data=st.data(),
        how=st.sampled_from(["answer", "cut", "silent", "refused", "not-handed"]),
    )
    def finish_attempt(self, data: st.DataObject, how: str) -> None:
        """An attempt ends as `how` says, and the result is reported to its VM."""
        sent = self.pick(data, self.sent)
        if sent is None:
            return
        self.sent.remove(sent)
        late = self.now >= sent.deadline
        if how in ("answer", "cut", "silent") and not sent.has_run and not late:
            self.run(sent)
        self.deliver_when_awake(
            sent.request.vm, lambda: self.report_attempt_result(sent, how)
        )

    def report_attempt_result(self, sent: SentAttempt, how: str) -> None:
        """Report to a VM how its attempt ended, unless the VM was replaced."""
        request = sent.request
        if request.is_lost:
            return
        if how == "answer" and sent.has_run:
            actions = request.plan.handle_answer(sent.attempt, 200, self.now)
        else:
            failure = {
                "cut": attempt_actions.Failure.CUT,
                "silent": attempt_actions.Failure.SILENT,
                "refused": attempt_actions.Failure.REFUSED,
                "not-handed": attempt_actions.Failure.NOT_HANDED,
            }.get(how, attempt_actions.Failure.REFUSED)
            if sent.has_run and failure in (
                attempt_actions.Failure.REFUSED,
                attempt_actions.Failure.NOT_HANDED,
            ):
                failure = attempt_actions.Failure.SILENT
            actions = request.plan.handle_failure(sent.attempt, failure, self.now)
        self.execute_plan(request, actions)

    @hypothesis.stateful.rule(data=st.data())
    def run_early(self, data: st.DataObject) -> None:
        """A target runs a request before its answer is delivered."""
        sent = self.pick(data, [s for s in self.sent if not s.has_run])
        if sent is not None and self.now < sent.deadline:
            self.run(sent)

    # Time and VMs.

    @hypothesis.stateful.rule(step=st.sampled_from([0.1, 1.0, 4.0, 7.0]))
    def advance(self, step: float) -> None:
        """Time passes; VMs that are not paused do what is due."""
        self.now += step
        for vm in range(VMS):
            self.wake(vm)

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1))
    def pause_or_wake(self, vm: int) -> None:
        """A running VM pauses, or a paused one resumes."""
        self.toggle_pause(vm)

    def toggle_pause(self, vm: int) -> None:
        """Pause a VM, or resume it and deliver the messages kept meanwhile."""
        self.paused[vm] = not self.paused[vm]
        if not self.paused[vm]:
            waiting, self.inbox[vm] = self.inbox[vm], []
            for message in waiting:
                message()
        self.wake(vm)

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1))
    def replace(self, vm: int) -> None:
        """A VM is lost with its state; attempts that it sent may still run."""
        self.lose(vm)

    def lose(self, vm: int) -> None:
        """Replace a VM by one with a new incarnation and no state."""
        self.incarnations[vm] += 1
        self.paused[vm] = False
        self.inbox[vm].clear()
        self.claimers[vm] = self.make_claimer()
        for request in self.requests:
            if request.vm == vm:
                request.is_lost = True

    # Invariants.

    @hypothesis.stateful.invariant()
    def runs_at_most_once(self) -> None:
        """No key's work ran twice."""
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @hypothesis.stateful.invariant()
    def not_run_is_true(self) -> None:
        """Work of requests answered "not run" did not run, "done" ran once."""
        for request in self.requests:
            if request.given_refusal is None:
                continue
            if request.given_refusal.outcome is outcomes.Outcome.NOT_RUN:
                assert request.claim.claim_id not in self.ran_claims
            if request.given_refusal.outcome is outcomes.Outcome.DONE:
                assert self.runs.get(request.key) == 1

    @hypothesis.stateful.invariant()
    def everyone_is_answered_in_time(self) -> None:
        """On a VM that is not paused, no open request is 10 s past its wake time."""
        for request in self.list_open_requests():
            if not self.paused[request.vm]:
                assert self.now < request.plan.find_wake_time() + 10.0

    # Helpers.

    def pick(self, data: st.DataObject, items: list[typing.Any]) -> typing.Any:
        """Draw one of the items; None if there are none."""
        return data.draw(st.sampled_from(items)) if items else None

    def list_open_requests(self) -> list[Request]:
        """Return requests that have not ended and whose VM was not replaced."""
        return [r for r in self.requests if not r.is_lost and not r.plan.has_ended]

    def run(self, sent: SentAttempt) -> None:
        """Record that a target ran an attempt's work."""
        sent.has_run = True
        key = sent.request.key
        self.runs[key] = self.runs.get(key, 0) + 1
        self.ran_claims.add(sent.request.claim.claim_id)

    def wake(self, vm: int) -> None:
        """Let a VM do what is due, unless it is paused."""
        if self.paused[vm]:
            return
        self.execute_claimer(vm, self.claimers[vm].process_due(self.now))
        self.execute_claimer(vm, self.claimers[vm].retry(self.now))
        for request in self.list_open_requests():
            if request.vm == vm and self.now >= request.plan.find_wake_time():
                self.execute_plan(request, request.plan.wake(self.now))

    def execute_claimer(self, vm: int, actions: list[claimer.Action]) -> None:
        """Carry out a claimer's actions."""
        for action in actions:
            match action:
                case claimer.Append():
                    entry = PendingAppend(
                        vm, self.incarnations[vm], action.batch, action.data
                    )
                    self.pending_appends.append(entry)
                case claimer.Granted() | claimer.Denied():
                    self.deliver_verdict(action)
                case _:
                    pass

    def deliver_verdict(self, verdict: claimer.Granted | claimer.Denied) -> None:
        """Pass the decision on a claim to its request's plan."""
        for request in self.requests:
            if request.claim != verdict.claim or request.is_lost:
                continue
            if isinstance(verdict, claimer.Granted):
                self.execute_plan(request, request.plan.handle_grant(self.now))
            else:
                self.execute_plan(
                    request, request.plan.handle_denial(verdict, self.now)
                )

    def execute_plan(
        self, request: Request, actions: list[attempt_actions.Action]
    ) -> None:
        """Carry out a plan's actions."""
        for action in actions:
            match action:
                case attempt_actions.SeekClaim():
                    seeker = self.claimers[request.vm]
                    self.execute_claimer(
                        request.vm, seeker.seek(action.claim, self.now)
                    )
                case attempt_actions.Send():
                    deadline = request.claim.start_deadline
                    assert self.now < deadline, "sent after its start deadline"
                    self.sent.append(SentAttempt(request, action.attempt, deadline))
                case attempt_actions.Settle():
                    seeker = self.claimers[request.vm]
                    self.execute_claimer(
                        request.vm, seeker.settle(action.record, self.now)
                    )
                case attempt_actions.Relay():
                    request.was_answered = True
                case attempt_actions.Refuse():
                    assert request.given_refusal is None
                    assert not request.was_answered
                    request.given_refusal = action.refusal
                case _:
                    pass
