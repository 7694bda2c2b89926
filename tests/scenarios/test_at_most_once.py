"""Steps of at_most_once.feature, which drive the claims state machine."""

from __future__ import annotations

import pytest
import pytest_bdd
from machines import claims
from pytest_bdd import parsers

pytest_bdd.scenarios("at_most_once.feature")


class Driver(claims.ClaimsMachine):
    """The claims state machine, with the steps that the sentences need."""

    def finish_next_append(self, how: str) -> None:
        """Complete the oldest pending append with the result `how`."""
        append = self.pending_appends.pop(0)
        if how in ("done", "answer-lost"):
            self.log.append(append.data)
        offset = len(self.log) - 1
        self.deliver_when_awake(
            append.vm, lambda: self.report_append_result(append, how, offset)
        )

    def finish_next_attempt(self, how: str, runs: bool) -> None:
        """Complete the oldest pending attempt with the result `how`."""
        sent = self.sent.pop(0)
        if runs:
            self.run(sent)
        self.deliver_when_awake(
            sent.request.vm, lambda: self.report_attempt_result(sent, how)
        )


@pytest.fixture
def driver() -> Driver:
    """Return a fleet in its initial state."""
    return Driver()


@pytest_bdd.given("a fleet of 2 VMs and a log")
def _fleet(driver: Driver) -> None:
    assert len(driver.claimers) == 2


@pytest_bdd.when(parsers.parse('an order with key "{key}" is sent to VM {vm:d}'))
def _send(driver: Driver, key: str, vm: int) -> None:
    driver.send_order(vm - 1, ord(key))


@pytest_bdd.when("its claim is appended")
def _append(driver: Driver) -> None:
    # A VM that has already read the other VM's claim appends none of its own.
    if driver.pending_appends:
        driver.finish_next_append("done")


@pytest_bdd.when("its claim is appended but the answer is lost")
def _append_lost(driver: Driver) -> None:
    driver.finish_next_append("answer-lost")


@pytest_bdd.when("the log refuses the append")
def _refuse(driver: Driver) -> None:
    driver.finish_next_append("refused")


@pytest_bdd.when("everything on its way to the log arrives")
def _arrive(driver: Driver) -> None:
    while driver.pending_appends:
        driver.finish_next_append("done")


@pytest_bdd.when(parsers.parse("VM {vm:d} reads the log"))
def _read(driver: Driver, vm: int) -> None:
    claimer = driver.claimers[vm - 1]
    for offset in range(claimer.next_offset, len(driver.log)):
        actions = claimer.apply_entry(offset, driver.log[offset], driver.now)
        driver.execute_claimer(vm - 1, actions)


@pytest_bdd.when("the target answers")
def _answer(driver: Driver) -> None:
    driver.finish_next_attempt("answer", runs=True)


@pytest_bdd.when("the target refuses it")
def _target_refuses(driver: Driver) -> None:
    driver.finish_next_attempt("refused", runs=False)


@pytest_bdd.when("the target runs it but the answer is cut")
def _cut(driver: Driver) -> None:
    driver.finish_next_attempt("cut", runs=True)


@pytest_bdd.when(
    parsers.parse("the target runs it but the answer is lost with VM {vm:d}")
)
def _lose(driver: Driver, vm: int) -> None:
    driver.run(driver.sent.pop(0))
    _replace(driver, vm)


@pytest_bdd.when(parsers.parse("VM {vm:d} is replaced"))
def _replace(driver: Driver, vm: int) -> None:
    driver.lose(vm - 1)


@pytest_bdd.when(parsers.parse("VM {vm:d} is paused"))
@pytest_bdd.when(parsers.parse("VM {vm:d} wakes up"))
def _pause(driver: Driver, vm: int) -> None:
    driver.toggle_pause(vm - 1)


@pytest_bdd.when(parsers.parse("{seconds:d} seconds pass"))
def _pass(driver: Driver, seconds: int) -> None:
    driver.now += seconds
    for vm in range(claims.VMS):
        driver.wake(vm)


@pytest_bdd.then(parsers.parse('the last caller is told "{outcome}"'))
def _told(driver: Driver, outcome: str) -> None:
    assert _read_outcome(driver) == outcome


@pytest_bdd.then(parsers.parse('the work of "{key}" ran {count:d} time'))
@pytest_bdd.then(parsers.parse('the work of "{key}" ran {count:d} times'))
def _ran(driver: Driver, key: str, count: int) -> None:
    assert driver.runs.get(bytes([ord(key)]) * 16, 0) == count
    driver.runs_at_most_once()
    driver.not_run_is_true()


def _read_outcome(driver: Driver) -> str:
    request = driver.requests[-1]
    if request.was_answered:
        return "answer"
    if request.given_refusal is None:
        return "nothing yet"
    return request.given_refusal.outcome.value
