"""The other VMs, and which of them performs which fleet-wide task.

A task that one VM performs for the whole fleet (dispatching a service, reading the
store) belongs to the VM that ranks highest for it by rendezvous hashing among the
reachable VMs. The VMs' views may differ for some seconds, so every such task is safe to
perform twice.
"""

from __future__ import annotations

from zinniastand_core import rendezvous

from . import input_bounds, ports

SETTLE_TIME_S = 2.0
"""Seconds that a VM must have been reachable before it takes over tasks. By then it has
received the state of the VM that had the task before, and a VM in a crash loop does not
make tasks move back and forth."""

MIN_LEAD_MS = 5_000
"""Milliseconds by which a VM must have started before this one for it to count as
settled at its first message. Clocks of VMs differ by less, unless they are set."""

START_WINDOW_S = 1.0
"""Seconds after the start of this VM in which its own settle time restarts with each VM
whose first message arrives. When all VMs start together, each receives the others'
greetings some tenths of a second after its own start. If its own settle time ended
before theirs, every VM would assign all tasks to itself: all would read the store and
dispatch for themselves."""

SUSPECT_DURATION_S = 30.0
"""Seconds for which a VM that did not answer gets no tasks, unless a message from it
arrives. It is greeted every second meanwhile, so a live VM returns at once."""

MAX_RESIGNED = 4
"""Maximum number of VMs that may have resigned from one task at the same time. If more
want to, no VM is able to perform the task and resigning does not help. Slow VMs resign
from all tasks; up to a quarter of a large fleet may do so."""

MAX_RESIGNATION_S = 10.0
"""Upper bound in seconds on one resignation, whatever end its sender states."""

MAX_MEMBERS = 20_000
"""Limit on the VMs that are known; the largest fleets have some thousand."""

LEAVING_RETENTION_S = 60.0
"""Seconds for which the address of a leaving VM is kept: longer than any stop takes."""


class Members:
    """The VMs known to this one.

    Parameters
    ----------
    own : ports.Member
        The entry of this VM.
    now : float
        Seconds of the monotonic clock.
    record_bound : callable, optional
        Called when a VM is refused because there are too many.
    """

    def __init__(
        self,
        own: ports.Member,
        now: float,
        record_bound: input_bounds.RecordBound = input_bounds.ignore,
    ) -> None:
        self._record_bound = record_bound
        self.own = own
        self._started_at = now
        self._members: dict[str, ports.Member] = {own.vm: own}
        self._reachable_since: dict[str, float] = {own.vm: now}
        self._suspect_until: dict[str, float] = {}
        self._leaving_until: dict[str, float] = {}
        self._resigned_until: dict[tuple[str, str], float] = {}
        self._ranks: dict[tuple[str, str], list[str]] = {}

    def add(self, member: ports.Member) -> bool:
        """Add or replace a VM's entry.

        Returns
        -------
        bool
            Whether the VM, or this incarnation of it, was unknown before.
        """
        stored = self._members.get(member.vm)
        if member.vm == self.own.vm:
            return False
        if stored is not None and not self._is_later(member, stored):
            return False
        if stored is None and len(self._members) >= MAX_MEMBERS:
            self._record_bound("too many VMs", len(self._members), member.vm)
            return False
        self._members[member.vm] = member
        self._reachable_since.pop(member.vm, None)
        self._suspect_until.pop(member.vm, None)
        self._leaving_until.pop(member.vm, None)
        self._ranks.clear()
        return True

    def _is_later(self, member: ports.Member, stored: ports.Member) -> bool:
        """Return whether an entry is from a later start of its VM than the stored one.

        Incarnations are wall-clock times, and the clock may be set back between two
        starts. If the VM is leaving, an entry with any other incarnation is
        therefore from its next start.
        """
        if member.vm in self._leaving_until:
            return member.incarnation != stored.incarnation
        return member.incarnation > stored.incarnation

    def record_contact(self, vm: str, now: float) -> None:
        """Record that a message from a VM arrived."""
        if vm in self._members:
            if (
                vm not in self._reachable_since
                and now <= self._started_at + START_WINDOW_S
            ):
                self._reachable_since[self.own.vm] = now
            self._reachable_since.setdefault(vm, self._find_reachable_since(vm, now))
            self._suspect_until.pop(vm, None)

    def _find_reachable_since(self, vm: str, now: float) -> float:
        """Return since when a VM counts as reachable that is heard from first at `now`.

        VMs that were killed together would otherwise rank each other before the VMs
        that have taken over their tasks, and perform these a second time.
        """
        lead = self.own.incarnation - self._members[vm].incarnation
        return now - SETTLE_TIME_S if lead >= MIN_LEAD_MS else now

    def restart_settling(self, now: float) -> None:
        """Restart the settle time of this VM, whose state is out of date."""
        self._reachable_since[self.own.vm] = now

    def suspect(self, vm: str, now: float) -> bool:
        """Record that a VM did not answer.

        Returns
        -------
        bool
            Whether the VM is known, is another VM and was not suspected before.
        """
        if vm == self.own.vm or vm not in self._members:
            return False
        is_new = self._suspect_until.get(vm, 0.0) <= now
        self._suspect_until[vm] = now + SUSPECT_DURATION_S
        return is_new

    def record_leaving(self, vm: str, incarnation: int, now: float) -> None:
        """Record that a VM, possibly this one, is leaving and gets no more tasks.

        Its address is kept. It still serves its callers for some seconds, and if
        dispatchers could not answer its slot requests, it would take each of them for
        dead.
        """
        stored = self._members.get(vm)
        if stored is not None and stored.incarnation == incarnation:
            self._leaving_until[vm] = now + LEAVING_RETENTION_S

    def record_resignation(
        self, vm: str, incarnation: int, task: str, until: float, now: float
    ) -> bool:
        """Record that a VM cannot perform a task for some time.

        If several VMs cannot, the cause is probably common to all, so that further
        resignations are ignored and the ranking stays.

        Returns
        -------
        bool
            Whether the resignation takes effect.
        """
        stored = self._members.get(vm)
        if stored is None or stored.incarnation != incarnation:
            return False
        self._resigned_until = {
            key: at for key, at in self._resigned_until.items() if at > now
        }
        others = [
            name
            for name, resigned_task in self._resigned_until
            if resigned_task == task and name != vm
        ]
        max_resigned = MAX_RESIGNED if task else max(MAX_RESIGNED, self.count() // 4)
        if len(others) >= max_resigned:
            return False
        until = min(until, now + MAX_RESIGNATION_S)
        self._resigned_until[vm, task] = until
        return True

    def remove_departed(self, now: float) -> None:
        """Remove VMs that left longer ago than the retention time and have not
        returned."""
        for vm, until in list(self._leaving_until.items()):
            if until <= now and vm != self.own.vm:
                del self._leaving_until[vm]
                del self._members[vm]
                self._reachable_since.pop(vm, None)
                self._suspect_until.pop(vm, None)
                self._ranks.clear()

    def count(self) -> int:
        """Return the number of known VMs, this one included."""
        return len(self._members)

    def find(self, vm: str) -> ports.Member | None:
        """Return a VM's entry, or None if the VM is unknown."""
        return self._members.get(vm)

    def list_others(self) -> list[ports.Member]:
        """Return all other VMs, including suspected ones."""
        return [other for other in self._members.values() if other.vm != self.own.vm]

    def list_remaining(self) -> list[ports.Member]:
        """Return the other VMs that are not leaving, including suspected ones."""
        return [
            other for other in self.list_others() if other.vm not in self._leaving_until
        ]

    def is_reachable(self, vm: str, now: float) -> bool:
        """Return whether a VM is neither suspected nor leaving."""
        return self._is_reachable(vm, now)

    def list_suspects(self, now: float) -> list[ports.Member]:
        """Return the VMs that did not answer and those that never sent a message.

        Leaving VMs are excluded: they need not be greeted to find out whether they
        returned.
        """
        return [
            other
            for other in self.list_others()
            if other.vm not in self._leaving_until
            and (
                self._suspect_until.get(other.vm, 0.0) > now
                or other.vm not in self._reachable_since
            )
        ]

    def rank_reachable(self, task: str, now: float, data_centre: str = "") -> list[str]:
        """Return all reachable VMs, those that rank highest for a task first.

        If a data centre is named, only its VMs are returned, or all if none of them is
        reachable.
        """
        reachable = [vm for vm in self._order(task, "") if self._is_reachable(vm, now)]
        near = [vm for vm in reachable if self._members[vm].data_centre == data_centre]
        return near or reachable

    def has_suspects_before(self, task: str, now: float, since: float) -> bool:
        """Return whether a VM that ranks before this one is suspected since later than
        `since`.

        It may be slow rather than lost, and still perform the task for other VMs.
        """
        for vm in self._order(task, ""):
            if vm == self.own.vm:
                return False
            until = self._suspect_until.get(vm, 0.0)
            if until > now and until - SUSPECT_DURATION_S > since:
                return True
        return False

    def rank(
        self, task: str, now: float, count: int, data_centre: str = ""
    ) -> list[str]:
        """Return the VMs that should perform a task, best first.

        This runs for every request, so it stops at the first `count` VMs. If a data
        centre is named, its VMs are returned if any of them is reachable.
        """
        if data_centre:
            near = self._rank(task, data_centre, now, count)
            if near:
                return near
        return self._rank(task, "", now, count)

    def list_in(self, data_centre: str) -> list[ports.Member]:
        """Return the other VMs of a data centre, including suspected ones."""
        return [
            other for other in self.list_others() if other.data_centre == data_centre
        ]

    def is_direct(self, vm: str, is_for_relay: bool) -> bool:
        """Return whether an update from a VM arrived without passing through a relay.

        A VM sends updates to another data centre only through relays there. An update
        that a relay passed on shows that the relay is reachable. If it counted as
        contact with the reader, a reader that is cut off from this VM would be asked
        first again and again.
        """
        member = self._members.get(vm)
        is_near = member is not None and member.data_centre == self.own.data_centre
        return is_for_relay or is_near

    @property
    def data_centres(self) -> set[str]:
        """Data centres that have at least one known VM."""
        return {entry.data_centre for entry in self._members.values()}

    def _rank(self, task: str, data_centre: str, now: float, count: int) -> list[str]:
        reachable: list[str] = []
        settled: list[str] = []
        for vm in self._order(task, data_centre):
            if not self._is_reachable(vm, now) or self._has_resigned(vm, task, now):
                continue
            if len(reachable) < count:
                reachable.append(vm)
            if now - self._reachable_since[vm] >= SETTLE_TIME_S:
                settled.append(vm)
                if len(settled) == count:
                    break
        # During the first start of a fleet no VM has settled yet.
        return settled or reachable

    def _order(self, task: str, data_centre: str) -> list[str]:
        """Return the VMs of a data centre, or of all for an empty name, by rank for a
        task."""
        order = self._ranks.get((task, data_centre))
        if order is None:
            names = [
                vm
                for vm, member in self._members.items()
                if data_centre in ("", member.data_centre)
            ]
            order = rendezvous.pick(task, names, len(names))
            self._ranks[task, data_centre] = order
        return order

    def _has_resigned(self, vm: str, task: str, now: float) -> bool:
        if not self._resigned_until:
            return False
        return any(
            self._resigned_until.get((vm, resigned_task), 0.0) > now
            for resigned_task in (task, "")
        )

    def _is_reachable(self, vm: str, now: float) -> bool:
        return (
            vm in self._reachable_since
            and vm not in self._leaving_until
            and self._suspect_until.get(vm, 0.0) <= now
        )
