"""The plan of one request: which attempts it makes, and how it answers."""

from __future__ import annotations

from machines import claims

from zinniastand_core import (
    attempt_actions,
    attempts,
    claim_records,
    outcomes,
    services,
)

NOW = 1000.0
LOOKUP = services.Kind("lookup", services.Work.IDEMPOTENT, 10.0, 1.0)
CLAIM = claim_records.Claim(b"k" * 16, b"c" * 12, "vm", 1, NOW + 5, NOW, b"f")


class NoHedges(claims.FirstChooser):
    """Chooses the first target that is not excluded, and never hedges."""

    def may_hedge(self, now: float) -> bool:
        """Return False."""
        return False

    def find_hedge_time(
        self, kind: services.Kind, target: services.Target, now: float
    ) -> float | None:
        """Return None."""
        return None


def start_lookup(chooser: attempt_actions.Chooser | None = None) -> attempts.Plan:
    """Return the started plan of idempotent work."""
    plan = attempts.Plan(LOOKUP, NOW + 10, chooser or NoHedges())
    plan.start(NOW)
    return plan


def start_order() -> attempts.Plan:
    """Return the plan of at-most-once work that has its claim and has been sent."""
    plan = attempts.Plan(claims.KIND, NOW + 10, NoHedges(), CLAIM)
    plan.start(NOW)
    (send,) = plan.handle_grant(NOW)
    assert isinstance(send, attempt_actions.Send)
    assert send.freshness is attempt_actions.Freshness.PROVED
    return plan


def read_refusal(actions: list[attempt_actions.Action]) -> outcomes.Refusal:
    """Return the one refusal among the actions."""
    (found,) = [a.refusal for a in actions if isinstance(a, attempt_actions.Refuse)]
    return found


def test_a_silent_pooled_connection_is_retried_on_a_new_one_first() -> None:
    # A pooled connection died unnoticed. The lookup is sent to the same target again on
    # a new connection; another target is tried only if that fails too.
    plan = start_lookup()
    (again,) = plan.handle_failure(1, attempt_actions.Failure.SILENT, NOW)
    assert isinstance(again, attempt_actions.Send)
    assert again.target.name == "a"
    assert again.freshness is attempt_actions.Freshness.NEW
    (other,) = plan.handle_failure(2, attempt_actions.Failure.SILENT, NOW)
    assert isinstance(other, attempt_actions.Send)
    assert other.target.name == "b"


def test_an_order_is_not_sent_again_after_a_lost_answer() -> None:
    # The order may have run, so the answer is "unknown", and the log records that for
    # later requests with the same key.
    plan = start_order()
    actions = plan.handle_failure(1, attempt_actions.Failure.SILENT, NOW)
    assert read_refusal(actions).outcome is outcomes.Outcome.UNKNOWN
    settled = [a.record for a in actions if isinstance(a, attempt_actions.Settle)]
    assert settled == [claim_records.Unknown(CLAIM.key_digest, CLAIM.claim_id)]


def test_an_order_refused_before_it_started_goes_to_another_target() -> None:
    plan = start_order()
    (again,) = plan.handle_failure(1, attempt_actions.Failure.REFUSED, NOW)
    assert isinstance(again, attempt_actions.Send)
    assert again.target.name == "b"


def test_a_claim_granted_after_its_start_deadline_sends_nothing() -> None:
    # The VM was paused between seeking the claim and sending, past the start deadline.
    # Other callers rely on the work not starting after that.
    plan = attempts.Plan(claims.KIND, NOW + 10, NoHedges(), CLAIM)
    plan.start(NOW)
    actions = plan.handle_grant(NOW + 6)
    assert not [a for a in actions if isinstance(a, attempt_actions.Send)]
    assert read_refusal(actions).outcome is outcomes.Outcome.NOT_RUN
    settled = [a.record for a in actions if isinstance(a, attempt_actions.Settle)]
    assert settled == [claim_records.Released(CLAIM.key_digest, CLAIM.claim_id)]


def test_an_order_whose_answer_is_cut_ends_at_once_as_unknown() -> None:
    plan = start_order()
    refusal = read_refusal(plan.handle_failure(1, attempt_actions.Failure.CUT, NOW + 1))
    assert refusal.outcome is outcomes.Outcome.UNKNOWN
    assert plan.has_ended


def test_a_lookup_waits_between_attempts_while_all_targets_are_full() -> None:
    # Two more targets are tried at once, then one after each delay, as long as an
    # answer can still arrive in time. An attempt still runs at the deadline, so the
    # outcome is "unknown".
    plan = start_lookup()
    for attempt in (1, 2):
        (send,) = plan.handle_failure(attempt, attempt_actions.Failure.REFUSED, NOW)
        assert isinstance(send, attempt_actions.Send)
    assert plan.handle_failure(3, attempt_actions.Failure.BUSY, NOW) == []
    assert plan.find_wake_time() == NOW + 0.1
    (resumed,) = plan.wake(NOW + 0.1)
    assert isinstance(resumed, attempt_actions.Send)
    assert read_refusal(plan.wake(NOW + 10)).outcome is outcomes.Outcome.UNKNOWN


def test_the_first_answer_wins_and_the_other_attempt_is_cancelled() -> None:
    plan = start_lookup(claims.FirstChooser())
    (hedge,) = plan.wake(NOW)
    assert isinstance(hedge, attempt_actions.Send)
    assert hedge.target.name == "b"
    assert plan.handle_answer(2, 200, NOW + 1) == [
        attempt_actions.Relay(2),
        attempt_actions.Cancel(1),
    ]
    assert plan.handle_answer(1, 200, NOW + 2) == []


def test_a_caller_that_disconnects_cancels_its_attempts() -> None:
    plan = start_order()
    actions = plan.abandon(NOW + 1)
    assert attempt_actions.Cancel(1) in actions
    settled = [a.record for a in actions if isinstance(a, attempt_actions.Settle)]
    assert settled == [claim_records.Unknown(CLAIM.key_digest, CLAIM.claim_id)]


def test_a_server_error_is_relayed_only_if_every_attempt_fails() -> None:
    # A failing target answers lookups quickly, but with errors. Another target is
    # tried; the caller gets an error only if every attempt ends in one.
    plan = start_lookup()
    (other,) = plan.handle_answer(1, 500, NOW)
    assert isinstance(other, attempt_actions.Send)
    assert other.target.name == "b"
    assert plan.handle_answer(2, 200, NOW) == [attempt_actions.Relay(2)]
    failing = start_lookup()
    for attempt in (1, 2):
        failing.handle_answer(attempt, 500, NOW)
    assert failing.handle_answer(3, 500, NOW) == [attempt_actions.Relay(3)]


def test_an_order_that_ends_in_a_server_error_is_not_sent_again() -> None:
    plan = start_order()
    relay, settle = plan.handle_answer(1, 500, NOW)
    assert relay == attempt_actions.Relay(1)
    assert isinstance(settle, attempt_actions.Settle)
