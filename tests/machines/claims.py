"""A state machine of at-most-once work on several VMs, against a simple ledger.

The code under test is `attempts.Plan` and `claimer.Claimer`. The log, the network, the
targets and the callers are lists here, and every fault of the log and the VMs is a
rule. The oracle only counts: what ran, and what each caller was told.
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
    """Chooses the first target left; every retry is allowed."""

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
        """Return a time, which at-most-once work must not use."""
        return now

    def find_pause_end(
        self, kind: services.Kind, deadline: float, now: float
    ) -> float | None:
        """Return a short while."""
        return now + 0.1


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request at one VM, and what it was told."""

    vm: int
    key: bytes
    claim: claim_records.Claim
    plan: attempts.Plan
    told: outcomes.Refusal | None = None
    was_answered: bool = False
    is_lost: bool = False


@dataclasses.dataclass(slots=True)
class Sent:
    """A request on its way to a target, or at work there."""

    request: Request
    attempt: int
    deadline: float
    has_run: bool = False


@dataclasses.dataclass(slots=True)
class Appending:
    """An append under way."""

    vm: int
    life: int
    batch: int
    data: bytes


class ClaimsMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Three VMs, one slice, a handful of keys."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.log: list[bytes] = []
        self.claimers = [self.make_claimer() for _ in range(VMS)]
        self.lives = [0] * VMS
        self.paused = [False] * VMS
        self.inbox: list[list[collections.abc.Callable[[], None]]] = [
            [] for _ in range(VMS)
        ]
        self.requests: list[Request] = []
        self.appending: list[Appending] = []
        self.stray: list[bytes] = []
        self.sent: list[Sent] = []
        self.runs: dict[bytes, int] = {}
        self.ran_claims: set[bytes] = set()

    def make_claimer(self) -> claimer.Claimer:
        """Return a claimer that has read nothing."""
        return claimer.Claimer(claim_ledger.ClaimLedger(HORIZON))

    # Callers.

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1), key=st.integers(0, KEYS - 1))
    def submit(self, vm: int, key: int) -> None:
        """A caller sends work with a key, perhaps again, to any VM."""
        self.send_order(vm, key)

    def send_order(self, vm: int, key: int) -> None:
        """Send work with a key to a VM."""
        if self.paused[vm] or len(self.requests) > 12:
            return
        digest = bytes([key]) * 16
        number = len(self.requests)
        claim = claim_records.Claim(
            key_digest=digest,
            claim_id=number.to_bytes(12, "big"),
            holder=f"vm-{vm}",
            incarnation=self.lives[vm],
            start_deadline=round(self.now + 5.0, 3),
            key_made_at=1000.0,
            fingerprint=b"same",
        )
        plan = attempts.Plan(KIND, self.now + 10.0, FirstChooser(), claim)
        request = Request(vm, digest, claim, plan)
        self.requests.append(request)
        self.act(request, plan.start(self.now))

    @hypothesis.stateful.rule(key=st.integers(0, KEYS - 1))
    def submit_twice(self, key: int) -> None:
        """A caller's request and its copy reach two VMs, and both claims land."""
        for vm in range(VMS):
            self.send_order(vm, key)
        for append in list(self.appending):
            self.end_append(append, "done")

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1), key=st.integers(0, KEYS - 1))
    def submit_to_frozen(self, vm: int, key: int) -> None:
        """A VM freezes just after it has sent its claim, which lands meanwhile."""
        if self.paused[vm]:
            return
        self.send_order(vm, key)
        self.toggle_pause(vm)
        for append in list(self.appending):
            self.end_append(append, "done")

    @hypothesis.stateful.rule(data=st.data())
    def go_away(self, data: st.DataObject) -> None:
        """A caller closes its connection."""
        request = self.pick(data, self.list_open_requests())
        if request is not None:
            self.act(request, request.plan.abandon(self.now))

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
        """An append ends in one of the ways in which appends end."""
        append = self.pick(data, self.appending)
        if append is not None:
            self.end_append(append, how)

    def end_append(self, append: Appending, how: str) -> None:
        """End an append in one of the ways."""
        self.appending.remove(append)
        if how in ("done", "answer-lost"):
            self.log.append(append.data)
        if how == "lost-then-lands":
            self.stray.append(append.data)
        offset = len(self.log) - 1
        self.deliver(append.vm, lambda: self.hear_append(append, how, offset))

    def hear_append(self, append: Appending, how: str, offset: int) -> None:
        """A VM hears how its append ended."""
        if append.life != self.lives[append.vm]:
            return
        seeker = self.claimers[append.vm]
        if how == "done":
            actions = seeker.take_appended(append.batch, offset, self.now)
        elif how == "refused":
            actions = seeker.take_refused(append.batch, self.now)
        else:
            actions = seeker.take_uncertain(append.batch, self.now)
        self.drive(append.vm, actions)

    def deliver(self, vm: int, message: collections.abc.Callable[[], None]) -> None:
        """Let a VM hear something, when it is awake."""
        if self.paused[vm]:
            self.inbox[vm].append(message)
        else:
            message()

    @hypothesis.stateful.rule(data=st.data())
    def land_stray(self, data: st.DataObject) -> None:
        """An append that was given up takes effect at last."""
        stray = self.pick(data, self.stray)
        if stray is not None:
            self.stray.remove(stray)
            self.log.append(stray)

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1), lag=st.integers(0, 2))
    def read(self, vm: int, lag: int) -> None:
        """A VM reads the log, from a replica that may lag."""
        if self.paused[vm]:
            return
        seeker = self.claimers[vm]
        for offset in range(seeker.next_offset, max(0, len(self.log) - lag)):
            actions = seeker.take_entry(offset, self.log[offset], self.now)
            self.drive(vm, actions)

    # Targets.

    @hypothesis.stateful.rule(
        data=st.data(),
        how=st.sampled_from(["answer", "cut", "silent", "refused", "not-handed"]),
    )
    def finish_attempt(self, data: st.DataObject, how: str) -> None:
        """A target gets a request and runs it, or not, and the VM hears of it."""
        sent = self.pick(data, self.sent)
        if sent is None:
            return
        self.sent.remove(sent)
        late = self.now >= sent.deadline
        if how in ("answer", "cut", "silent") and not sent.has_run and not late:
            self.run(sent)
        self.deliver(sent.request.vm, lambda: self.hear_attempt(sent, how))

    def hear_attempt(self, sent: Sent, how: str) -> None:
        """A VM hears how its attempt ended."""
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
        self.act(request, actions)

    @hypothesis.stateful.rule(data=st.data())
    def run_early(self, data: st.DataObject) -> None:
        """A target runs a request whose answer is still to come."""
        sent = self.pick(data, [s for s in self.sent if not s.has_run])
        if sent is not None and self.now < sent.deadline:
            self.run(sent)

    # Time and VMs.

    @hypothesis.stateful.rule(step=st.sampled_from([0.1, 1.0, 4.0, 7.0]))
    def advance(self, step: float) -> None:
        """Time passes; what is due happens on VMs that are not paused."""
        self.now += step
        for vm in range(VMS):
            self.wake(vm)

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1))
    def pause_or_wake(self, vm: int) -> None:
        """A VM stops for a while, or wakes up and believes that no time has passed."""
        self.toggle_pause(vm)

    def toggle_pause(self, vm: int) -> None:
        """Pause a VM, or let it wake up and hear what has come meanwhile."""
        self.paused[vm] = not self.paused[vm]
        if not self.paused[vm]:
            waiting, self.inbox[vm] = self.inbox[vm], []
            for message in waiting:
                message()
        self.wake(vm)

    @hypothesis.stateful.rule(vm=st.integers(0, VMS - 1))
    def replace(self, vm: int) -> None:
        """A VM is lost with all that it knew; what it sent may still run."""
        self.lose(vm)

    def lose(self, vm: int) -> None:
        """Replace a VM by an empty one."""
        self.lives[vm] += 1
        self.paused[vm] = False
        self.inbox[vm].clear()
        self.claimers[vm] = self.make_claimer()
        for request in self.requests:
            if request.vm == vm:
                request.is_lost = True

    # The oracle.

    @hypothesis.stateful.invariant()
    def runs_at_most_once(self) -> None:
        """No key's work ran twice."""
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @hypothesis.stateful.invariant()
    def not_run_is_true(self) -> None:
        """Whoever was told "not run" did not have its request run."""
        for request in self.requests:
            if request.told is None:
                continue
            if request.told.outcome is outcomes.Outcome.NOT_RUN:
                assert request.claim.claim_id not in self.ran_claims
            if request.told.outcome is outcomes.Outcome.DONE:
                assert self.runs.get(request.key) == 1

    @hypothesis.stateful.invariant()
    def everyone_is_answered_in_time(self) -> None:
        """Nobody waits past the deadline on a VM that is awake."""
        for request in self.list_open_requests():
            if not self.paused[request.vm]:
                assert self.now < request.plan.find_wake_time() + 10.0

    # Inside.

    def pick(self, data: st.DataObject, items: list[typing.Any]) -> typing.Any:
        """Return one of the items, or None."""
        return data.draw(st.sampled_from(items)) if items else None

    def list_open_requests(self) -> list[Request]:
        """Return the requests that are under way on a VM that still exists."""
        return [r for r in self.requests if not r.is_lost and not r.plan.has_ended]

    def run(self, sent: Sent) -> None:
        """Let a target run a request."""
        sent.has_run = True
        key = sent.request.key
        self.runs[key] = self.runs.get(key, 0) + 1
        self.ran_claims.add(sent.request.claim.claim_id)

    def wake(self, vm: int) -> None:
        """Let a VM do what is due."""
        if self.paused[vm]:
            return
        self.drive(vm, self.claimers[vm].lapse(self.now))
        self.drive(vm, self.claimers[vm].retry(self.now))
        for request in self.list_open_requests():
            if request.vm == vm and self.now >= request.plan.find_wake_time():
                self.act(request, request.plan.wake(self.now))

    def drive(self, vm: int, actions: list[claimer.Action]) -> None:
        """Carry out a claimer's actions."""
        for action in actions:
            match action:
                case claimer.Append():
                    entry = Appending(vm, self.lives[vm], action.batch, action.data)
                    self.appending.append(entry)
                case claimer.Granted() | claimer.Denied():
                    self.announce(action)
                case _:
                    pass

    def announce(self, verdict: claimer.Granted | claimer.Denied) -> None:
        """Tell a request the verdict on its claim."""
        for request in self.requests:
            if request.claim != verdict.claim or request.is_lost:
                continue
            if isinstance(verdict, claimer.Granted):
                self.act(request, request.plan.handle_grant(self.now))
            else:
                self.act(request, request.plan.handle_denial(verdict, self.now))

    def act(self, request: Request, actions: list[attempt_actions.Action]) -> None:
        """Carry out a plan's actions."""
        for action in actions:
            match action:
                case attempt_actions.SeekClaim():
                    seeker = self.claimers[request.vm]
                    self.drive(request.vm, seeker.seek(action.claim, self.now))
                case attempt_actions.Send():
                    deadline = request.claim.start_deadline
                    assert self.now < deadline, "sent after its start deadline"
                    self.sent.append(Sent(request, action.attempt, deadline))
                case attempt_actions.Settle():
                    seeker = self.claimers[request.vm]
                    self.drive(request.vm, seeker.settle(action.record, self.now))
                case attempt_actions.Relay():
                    request.was_answered = True
                case attempt_actions.Refuse():
                    assert request.told is None
                    assert not request.was_answered
                    request.told = action.refusal
                case _:
                    pass
