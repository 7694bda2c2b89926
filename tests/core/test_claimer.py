"""Claims: who may send, and what stands in the way."""

from __future__ import annotations

from zinniastand_core import claim_ledger, claim_records, claimer

NOW = 1000.0


def make_claim(number: int, fingerprint: bytes = b"f") -> claim_records.Claim:
    """Return a claim on the one key."""
    return claim_records.Claim(
        b"k" * 16, bytes([number]) * 12, f"vm-{number}", 1, NOW + 5, NOW, fingerprint
    )


def make_claimer(wait: float = 0.0) -> claimer.Claimer:
    """Return a claimer that has read nothing."""
    return claimer.Claimer(claim_ledger.ClaimLedger(100.0), batch_wait=wait)


def find_append(actions: list[claimer.Action]) -> claimer.Append:
    """Return the one append among the actions."""
    (found,) = [a for a in actions if isinstance(a, claimer.Append)]
    return found


def test_grants_without_reading_when_nobody_else_appends() -> None:
    seeker = make_claimer()
    action = find_append(seeker.seek(make_claim(1), NOW))
    granted = claimer.Granted(make_claim(1))
    assert seeker.handle_appended(action.batch, 0, NOW) == [granted]


def test_reads_before_it_decides_when_others_append() -> None:
    # Another VM's claim stands at offset 0, ours at offset 1. The acknowledgement
    # alone would look like success; only the entry before it shows who came first.
    seeker = make_claimer()
    action = find_append(seeker.seek(make_claim(1), NOW))
    assert seeker.handle_appended(action.batch, 1, NOW) == [claimer.Read(0)]
    rival = claim_records.pack([make_claim(2)])
    assert seeker.apply_entry(0, rival, NOW) == []
    (denied,) = seeker.apply_entry(1, action.data, NOW)
    assert isinstance(denied, claimer.Denied)
    assert denied.reason is claimer.Denial.OWNED


def test_many_claims_go_in_one_append() -> None:
    seeker = make_claimer()
    first = find_append(seeker.seek(make_claim(1), NOW))
    for number in range(2, 50):
        claim = make_claim(number)
        assert seeker.seek(claim, NOW) == []
    actions = seeker.handle_appended(first.batch, 0, NOW)
    assert len(claim_records.unpack(find_append(actions).data).ok) == 48


def test_claims_wait_for_company_as_long_as_the_settings_say() -> None:
    # Claims come while an append is under way. Its end does not send them at once:
    # they wait their time, so that the log gets fewer and larger appends.
    seeker = make_claimer(wait=0.05)
    assert seeker.seek(make_claim(1), NOW) == []
    first = find_append(seeker.process_due(NOW + 0.05))
    seeker.seek(make_claim(2), NOW + 0.052)
    assert not [
        action
        for action in seeker.handle_appended(first.batch, 0, NOW + 0.055)
        if isinstance(action, claimer.Append)
    ]
    assert find_append(seeker.process_due(NOW + 0.102))


def test_a_key_cannot_name_two_requests() -> None:
    seeker = make_claimer()
    action = find_append(seeker.seek(make_claim(1), NOW))
    seeker.handle_appended(action.batch, 0, NOW)
    (denied,) = seeker.seek(make_claim(2, b"other"), NOW)
    assert isinstance(denied, claimer.Denied)
    assert denied.reason is claimer.Denial.KEY_REUSED


def test_an_outage_refuses_claims_at_once_and_keeps_outcomes() -> None:
    # The log goes down between a claim and its outcome. New claims are refused at
    # once; the outcome waits and goes when the log is back, so that a retry of the
    # caller learns that the work is done.
    seeker = make_claimer()
    action = find_append(seeker.seek(make_claim(1), NOW))
    seeker.handle_appended(action.batch, 0, NOW)
    done = claim_records.Done(b"k" * 16, make_claim(1).claim_id, 200)
    outcome = find_append(seeker.settle(done, NOW))
    assert seeker.handle_refused(outcome.batch, NOW) == []
    assert not seeker.is_settled
    again = find_append(seeker.retry(NOW + 60))
    assert claim_records.unpack(again.data).ok == (done,)
    seeker.handle_appended(again.batch, 1, NOW + 60)
    assert seeker.is_settled


def test_a_claim_that_may_stand_on_the_log_is_told_apart() -> None:
    # An append's answer was lost, and then the log is down. The claim may stand, so
    # the holder has to release it; one that never left is simply refused.
    seeker = make_claimer()
    action = find_append(seeker.seek(make_claim(1), NOW))
    seeker.handle_uncertain(action.batch, NOW)
    again = find_append(seeker.process_due(NOW))
    (denied,) = seeker.handle_refused(again.batch, NOW)
    assert isinstance(denied, claimer.Denied)
    assert denied.reason is claimer.Denial.UNSETTLED


def test_a_late_copy_does_not_block_a_released_key() -> None:
    # A claim is given up and released; then a copy of it lands after all. It stays
    # dead, and the caller's next try owns the key.
    ledger = claim_ledger.ClaimLedger(100.0)
    first, second = make_claim(1), make_claim(2)
    ledger.apply(claim_records.Released(first.key_digest, first.claim_id), NOW)
    ledger.apply(first, NOW)
    ledger.apply(second, NOW)
    entry = ledger.find(first.key_digest)
    assert entry is not None
    assert entry.claim == second


def test_the_release_of_a_second_claim_does_not_free_the_key() -> None:
    # Two VMs claim one key. The second could not learn the verdict in time, gives up
    # and releases its own claim; the first has sent the work, and still owns the key.
    ledger = claim_ledger.ClaimLedger(100.0)
    first, second = make_claim(1), make_claim(2)
    ledger.apply(first, NOW)
    ledger.apply(second, NOW)
    ledger.apply(claim_records.Released(second.key_digest, second.claim_id), NOW)
    ledger.apply(make_claim(3), NOW)
    entry = ledger.find(first.key_digest)
    assert entry is not None
    assert entry.claim == first


def test_forgets_keys_past_the_horizon() -> None:
    ledger = claim_ledger.ClaimLedger(100.0)
    ledger.apply(make_claim(1), NOW)
    ledger.forget_expired(NOW + 99)
    assert len(ledger) == 1
    ledger.forget_expired(NOW + 101)
    assert len(ledger) == 0
