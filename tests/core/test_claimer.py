"""Tests of claims: which one owns a key, group commit and log outages."""

from __future__ import annotations

from zinniastand_core import claim_ledger, claim_records, claimer

NOW = 1000.0


def make_claim(number: int, fingerprint: bytes = b"f") -> claim_records.Claim:
    """Return a claim of VM `number` on the key that all claims here share."""
    return claim_records.Claim(
        b"k" * 16, bytes([number]) * 12, f"vm-{number}", 1, NOW + 5, NOW, fingerprint
    )


def make_claimer(wait: float = 0.0) -> claimer.Claimer:
    """Return a claimer that has read nothing from the log."""
    return claimer.Claimer(claim_ledger.ClaimLedger(100.0), batch_wait=wait)


def find_append(actions: list[claimer.Action]) -> claimer.Append:
    """Return the only append among the actions."""
    (found,) = [a for a in actions if isinstance(a, claimer.Append)]
    return found


def test_grants_without_a_read_when_no_other_vm_appends() -> None:
    seeker = make_claimer()
    action = find_append(seeker.seek(make_claim(1), NOW))
    granted = claimer.Granted(make_claim(1))
    assert seeker.handle_appended(action.batch, 0, NOW) == [granted]


def test_reads_before_deciding_when_another_vm_appends() -> None:
    # Another VM's claim is at offset 0, our own at offset 1. The acknowledgement alone
    # would look like success; only the entry at offset 0 shows which claim came first.
    seeker = make_claimer()
    action = find_append(seeker.seek(make_claim(1), NOW))
    assert seeker.handle_appended(action.batch, 1, NOW) == [claimer.Read(0)]
    rival = claim_records.pack([make_claim(2)])
    assert seeker.apply_entry(0, rival, NOW) == []
    (denied,) = seeker.apply_entry(1, action.data, NOW)
    assert isinstance(denied, claimer.Denied)
    assert denied.reason is claimer.Denial.OWNED


def test_queued_claims_share_one_append() -> None:
    seeker = make_claimer()
    first = find_append(seeker.seek(make_claim(1), NOW))
    for number in range(2, 50):
        claim = make_claim(number)
        assert seeker.seek(claim, NOW) == []
    actions = seeker.handle_appended(first.batch, 0, NOW)
    assert len(claim_records.unpack(find_append(actions).data).ok) == 48


def test_claims_wait_for_the_batch_wait_even_after_an_append_ends() -> None:
    # A claim arrives while an append is in flight. The end of that append must not
    # flush it early: the full wait gives the log fewer and larger appends.
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


def test_denies_a_key_reused_for_another_request() -> None:
    seeker = make_claimer()
    action = find_append(seeker.seek(make_claim(1), NOW))
    seeker.handle_appended(action.batch, 0, NOW)
    (denied,) = seeker.seek(make_claim(2, b"other"), NOW)
    assert isinstance(denied, claimer.Denied)
    assert denied.reason is claimer.Denial.KEY_REUSED


def test_outcome_refused_in_an_outage_is_appended_later() -> None:
    # The log goes down between a claim and its outcome. The outcome stays queued and
    # is appended once the log is back, so a caller that retries learns that the work
    # is done.
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


def test_denies_a_claim_that_may_be_on_the_log_as_unsettled() -> None:
    # The answer to an append is lost, then the log goes down. The claim may be on the
    # log, so the holder must release it; a claim that was never appended is only
    # denied.
    seeker = make_claimer()
    action = find_append(seeker.seek(make_claim(1), NOW))
    seeker.handle_uncertain(action.batch, NOW)
    again = find_append(seeker.process_due(NOW))
    (denied,) = seeker.handle_refused(again.batch, NOW)
    assert isinstance(denied, claimer.Denied)
    assert denied.reason is claimer.Denial.UNSETTLED


def test_late_copy_of_a_released_claim_does_not_block_its_key() -> None:
    # A copy of a claim reaches the log after the claim's release. It stays void, and
    # the caller's next claim owns the key.
    ledger = claim_ledger.ClaimLedger(100.0)
    first, second = make_claim(1), make_claim(2)
    ledger.apply(claim_records.Released(first.key_digest, first.claim_id), NOW)
    ledger.apply(first, NOW)
    ledger.apply(second, NOW)
    entry = ledger.find(first.key_digest)
    assert entry is not None
    assert entry.claim == second


def test_release_of_a_later_claim_does_not_free_the_key() -> None:
    # Two VMs claim one key. The second gets no decision in time and releases its own
    # claim. The first may have sent the work and must still own the key.
    ledger = claim_ledger.ClaimLedger(100.0)
    first, second = make_claim(1), make_claim(2)
    ledger.apply(first, NOW)
    ledger.apply(second, NOW)
    ledger.apply(claim_records.Released(second.key_digest, second.claim_id), NOW)
    ledger.apply(make_claim(3), NOW)
    entry = ledger.find(first.key_digest)
    assert entry is not None
    assert entry.claim == first


def test_removes_keys_past_the_horizon() -> None:
    ledger = claim_ledger.ClaimLedger(100.0)
    ledger.apply(make_claim(1), NOW)
    ledger.forget_expired(NOW + 99)
    assert len(ledger) == 1
    ledger.forget_expired(NOW + 101)
    assert len(ledger) == 0
