"""Permits for retries, paid for by the ledger of a VM and by loans."""

from __future__ import annotations

from zinniastand_core.dispatch import retry_account, retry_ledger

NOW = 100.0


def make_account(slack: float) -> retry_account.RetryAccount:
    ledger = retry_ledger.RetryLedger(0.2, lambda: slack, 10.0)
    return retry_account.RetryAccount(ledger)


def make_loan(amount: float, usable_until: float = NOW + 1.0) -> retry_account.Loan:
    return retry_account.Loan("vm-1", "k", amount, usable_until)


def test_loan_and_ledger_pay_for_a_retry_together() -> None:
    account = make_account(0.75)
    assert account.open_permit(NOW) is None
    account.add_loan(make_loan(0.5))
    permit = account.open_permit(NOW)
    assert permit is not None
    spending = permit.use(NOW)
    assert spending == retry_account.Spending(0.5, NOW)
    assert account.find_missing(NOW) == 0.75


def test_loan_is_not_used_after_its_end() -> None:
    # Guards against retries sent in a window in which no VM counts them.
    account = make_account(0.75)
    account.add_loan(make_loan(0.5))
    permit = account.open_permit(NOW)
    assert permit is not None
    assert permit.use(NOW + 1.0) is None
    permit.close()
    assert [loan.amount for loan in account.remove_expired_loans(NOW + 1.0)] == [0.5]


def test_retry_whose_loan_has_ended_is_paid_for_by_the_ledger() -> None:
    account = make_account(1.5)
    account.add_loan(make_loan(0.5))
    permit = account.open_permit(NOW)
    assert permit is not None
    assert permit.use(NOW + 1.0) == retry_account.Spending(1.0, NOW + 1.0)


def test_discarded_loan_of_a_waiting_request_is_not_used() -> None:
    # Guards against retries sent after a suspension, when their lenders no longer count
    # them: the end of a loan is then later than it seems.
    account = make_account(0.75)
    account.add_loan(make_loan(0.5))
    permit = account.open_permit(NOW)
    assert permit is not None
    account.discard_loans()
    assert permit.use(NOW) is None
    permit.close()
    assert account.find_missing(NOW) == 0.25


def test_permit_that_is_not_used_frees_what_it_held() -> None:
    account = make_account(1.0)
    permit = account.open_permit(NOW)
    assert permit is not None
    assert account.open_permit(NOW) is None
    permit.close()
    assert account.open_permit(NOW) is not None


def test_loan_is_taken_back_once() -> None:
    # Guards against retries beyond the limit after a datagram that arrives twice.
    account = make_account(1.0)
    assert account.lend("k", 1.0, 1.0, NOW) == 1.0
    account.take_back("k", NOW)
    account.take_back("k", NOW)
    assert account.ledger.find_remaining(NOW) == 1.0


def test_old_lendings_are_forgotten() -> None:
    account = make_account(1.0)
    account.lend("k", 1.0, 1.0, NOW)
    account.remove_old_lendings(NOW + 2.0)
    account.take_back("k", NOW + 2.0)
    assert account.ledger.find_remaining(NOW + 2.0) == 0.0
