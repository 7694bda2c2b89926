"""Tests of the control planes of several VMs with a simulated network and log."""

from __future__ import annotations

from zinniastand_core import control_actions, peer_messages, timeline
from zinniastand_standins import virtual_fleet


def test_a_bundle_reaches_vms_that_are_cut_off_from_the_log() -> None:
    # Half of the VMs cannot reach the log. The operator's bundle is applied on them
    # within a second, because their peers relay the entries that they read.
    fleet = virtual_fleet.Fleet(12)
    fleet.run(3)
    fleet.vms_without_log = {f"vm-{number}" for number in range(0, 12, 2)}
    fleet.publish(floor=1)
    fleet.run(1)
    assert fleet.find_versions() == {1}


def test_an_empty_vm_starts_from_peers_while_the_log_is_down() -> None:
    # A VM starts while no VM reaches the log. It receives the verified head from a
    # peer and applies it. Another, with neither log nor peers, has no bundle.
    fleet = virtual_fleet.Fleet(4)
    fleet.publish(floor=1)
    fleet.run(3)
    fleet.vms_without_log = {*fleet.vms, "vm-new", "vm-lone"}
    fleet.start("vm-new")
    fleet.run(2)
    assert fleet.vms["vm-new"].config.chain.version == 1
    lone = fleet.start("vm-lone")
    fleet.cut_links = {(vm, "vm-lone") for vm in fleet.vms}
    fleet.run(2)
    assert lone.config.chain.version == 0


def test_a_bundle_never_reverts_when_old_peers_and_old_entries_come_back() -> None:
    # A VM that was disconnected from all others holds an old bundle. Once connected
    # again it applies the newer one; no VM goes back to the old one.
    fleet = virtual_fleet.Fleet(6)
    fleet.publish(floor=1)
    fleet.run(3)
    others = [vm for vm in fleet.vms if vm != "vm-0"]
    fleet.cut_links = {(vm, "vm-0") for vm in others} | {("vm-0", vm) for vm in others}
    fleet.vms_without_log = {"vm-0"}
    fleet.publish(floor=2)
    fleet.run(10)
    assert fleet.vms["vm-0"].config.chain.version == 1
    fleet.cut_links.clear()
    fleet.run(15)
    assert fleet.find_versions() == {2}


def test_a_silent_vm_is_declared_down_and_its_replacement_is_distinguished() -> None:
    # A VM dies without notice. Its neighbours miss its heartbeats and inform the fleet.
    # Its replacement has the same name; a late sighting of the old VM is ignored.
    fleet = virtual_fleet.Fleet(8)
    fleet.run(3)
    old = fleet.vms.pop("vm-3")
    fleet.run(6)
    assert fleet.count_alive("vm-0") == 6
    fleet.start("vm-3", incarnation=2)
    fleet.run(8)
    assert fleet.count_alive("vm-0") == 7
    late = peer_messages.Sightings((old.members.own_sighting,))
    fleet.carry_out("vm-1", [control_actions.SendMessage("vm-0", late)])
    found = fleet.vms["vm-0"].members.find("vm-3")
    assert found is not None
    assert found.incarnation == 2


def test_a_link_that_works_one_way_does_not_make_membership_flap() -> None:
    # vm-0 receives nothing from one of its neighbours, all other VMs do. The neighbour
    # contradicts the report that it is down, and the report is not repeated.
    fleet = virtual_fleet.Fleet(8)
    fleet.run(3)
    receiver = fleet.vms["vm-0"]
    callee = receiver.list_neighbours(fleet.now)[0]
    fleet.cut_links = {(callee, "vm-0")}
    fleet.run(30)
    events = [
        event
        for vm_control in fleet.vms.values()
        for event in vm_control.events.list_events()
        if event.kind is timeline.EventKind.PEER_DOWN and event.subject == callee
    ]
    assert len(events) <= 2 * len(fleet.vms)
    assert all(fleet.count_alive(vm) == 7 for vm in fleet.vms if vm != "vm-0")


def test_two_halves_rejoin_after_a_partition() -> None:
    # The fleet is partitioned for a minute; each half considers the other down.
    # After the partition each learns of the other again, without the platform's list.
    fleet = virtual_fleet.Fleet(10)
    fleet.run(3)
    half = {f"vm-{number}" for number in range(5)}
    fleet.cut_links = {
        (a, b) for a in fleet.vms for b in fleet.vms if (a in half) != (b in half)
    }
    fleet.run(60)
    assert fleet.count_alive("vm-0") == 4
    fleet.cut_links.clear()
    fleet.run(30)
    assert {fleet.count_alive(vm) for vm in fleet.vms} == {9}


def test_the_head_outlives_many_retention_periods_with_few_appends() -> None:
    # The log drops entries after its retention period, and VMs are replaced all the
    # time. Before the head is dropped, some VM appends it again, about once a period.
    fleet = virtual_fleet.Fleet(6, retention=200.0)
    fleet.publish(floor=1)
    appended_at = {0: fleet.now}
    replaced = 0
    for step in range(200):
        fleet.run(10)
        for offset in range(len(fleet.log)):
            appended_at.setdefault(offset, fleet.now)
        retained = [o for o, at in appended_at.items() if at > fleet.now - 200.0]
        assert retained, "the log has dropped the head"
        fleet.first_offset = min(retained)
        if step % 3 == 0:
            replaced += 1
            fleet.start(f"vm-{replaced % 6}", incarnation=replaced + 1)
    assert fleet.find_versions() == {1}
    periods = 200 * 10 / 200.0
    assert len(fleet.log) <= 6 * periods


def test_heartbeats_cost_the_same_in_a_larger_fleet() -> None:
    # A VM connects to at most four neighbours, whatever the size of the fleet.
    costs = []
    for count in (12, 48):
        fleet = virtual_fleet.Fleet(count)
        fleet.run(5)
        fleet.bytes_sent.clear()
        fleet.run(10)
        costs.append(max(fleet.bytes_sent.values()) / 10)
    assert costs[1] < 1.6 * costs[0]


def test_a_reply_is_never_replied_to() -> None:
    # While sightings spread, two VMs may both receive heartbeats of the other without
    # counting it as a neighbour. If each replied to the other's reply, this would never
    # end; a heartbeat causes one reply at most.
    fleet = virtual_fleet.Fleet(8)
    fleet.run(3)
    beats: list[peer_messages.Heartbeat] = []
    strangers = [
        vm
        for vm in fleet.vms
        if vm != "vm-0" and vm not in fleet.vms["vm-0"].list_neighbours(fleet.now)
    ]
    for action in fleet.vms["vm-0"].tick(fleet.now + 1):
        if isinstance(action, control_actions.SendMessage):
            if isinstance(action.message, peer_messages.Heartbeat):
                beats.append(action.message)
    stranger = fleet.vms[strangers[0]]
    (reply,) = [
        action.message
        for action in stranger.handle_message("vm-far", beats[0], fleet.now)
        if isinstance(action, control_actions.SendMessage)
        and isinstance(action.message, peer_messages.Heartbeat)
    ]
    assert reply.is_reply
    again = fleet.vms["vm-0"].handle_message("vm-far", reply, fleet.now)
    assert not [
        action
        for action in again
        if isinstance(action, control_actions.SendMessage)
        and isinstance(action.message, peer_messages.Heartbeat)
    ]
