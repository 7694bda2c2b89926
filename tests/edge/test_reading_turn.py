"""Which VM reads the store for the fleet, and when others read for themselves."""

from __future__ import annotations

from zinniastand_proxy.edge import members, ports, reading_turn

SETTLED_AT_S = members.SETTLE_TIME_S + 0.1
"""Time, in seconds after the start, at which all VMs of a test have settled."""


def make_turn(own: str, others: tuple[str, ...]) -> reading_turn.ReadingTurn:
    fleet = members.Members(ports.Member(own, "a", "10.0.0.1", 7660, 1), 0.0)
    for name in others:
        fleet.add(ports.Member(name, "a", "10.0.0.1", 7660, 1))
        fleet.record_contact(name, 0.0)
    return reading_turn.ReadingTurn(fleet)


def make_turns() -> list[reading_turn.ReadingTurn]:
    names = tuple(f"vm-{n}" for n in range(8))
    return [
        make_turn(own, tuple(name for name in names if name != own)) for own in names
    ]


def test_exactly_one_vm_reads_while_updates_arrive() -> None:
    turns = make_turns()
    for turn in turns:
        turn.join(0.0, is_alone=False)
    assert sum(turn.is_first(SETTLED_AT_S) for turn in turns) == 1
    assert (
        sum(turn.is_due(SETTLED_AT_S, received_at=SETTLED_AT_S) for turn in turns) == 1
    )


def test_next_in_rank_reads_before_the_others_when_updates_stop() -> None:
    turns = [turn for turn in make_turns() if not turn.is_first(SETTLED_AT_S)]
    silence_s = reading_turn.UPDATE_TIMEOUT_S + reading_turn.RANK_DELAY_S / 2
    assert (
        sum(turn.is_due(SETTLED_AT_S, SETTLED_AT_S - silence_s) for turn in turns) == 1
    )
    longest = reading_turn.RANK_DELAY_S * reading_turn.MAX_DELAYED_RANKS
    silence_s = reading_turn.UPDATE_TIMEOUT_S + longest + 0.01
    assert all(turn.is_due(SETTLED_AT_S, SETTLED_AT_S - silence_s) for turn in turns)


def test_vm_is_not_the_reader_before_it_could_receive_updates() -> None:
    turn = make_turn("own", ())
    assert not turn.is_due(1.0, received_at=1.0)
    turn.join(1.0, is_alone=False)
    assert not turn.is_due(1.0, received_at=1.0)
    assert turn.is_due(1.0 + reading_turn.JOIN_DELAY_S, received_at=1.0)


def test_vm_that_is_alone_reads_at_once() -> None:
    turn = make_turn("own", ())
    turn.join(1.0, is_alone=True)
    assert turn.is_due(1.0, received_at=1.0)
