"""The other VMs, and which of them does what for all.

A task that one VM does for all (dispatching a service, reading the store) belongs to
the VM that ranks highest for it by rendezvous hashing among those heard from. Views may
differ for a while; every task can be done twice without harm.
"""

from __future__ import annotations

from zinniastand_core import rendezvous

from . import ports

SETTLE_TIME_S = 2.0
"""Seconds that a VM must have been known before it takes tasks over: by then it has
heard what the VM before it knew, and a crash loop moves no task to and fro."""

START_WINDOW_S = 1.0
"""Seconds after the start of this VM in which it counts as new together with those that
it hears. Where all VMs start at once, each hears the others some tenths of a second
after its own start. Settled earlier than they, each would take every task for itself:
all would read the store and dispatch for themselves."""

SUSPECT_DURATION_S = 30.0
"""Seconds for which a VM that gave no answer takes no tasks unless it is heard from. It
is asked every second meanwhile, so a live one comes back at once."""

MAX_RESIGNED = 4
"""VMs that may have resigned from a task at the same time. More of them mean that
nobody can do it, and that telling so is of no use. From all tasks, as slow VMs do, a
quarter of a large fleet may."""

MAX_RESIGNATION_S = 10.0
"""Seconds for which a VM may resign at most, whatever it says."""

LEAVING_RETENTION_S = 60.0
"""Seconds for which the address of a leaving VM is kept: longer than any stop lasts."""


class Members:
    """All VMs known to this one.

    Parameters
    ----------
    own : ports.Member
        This VM.
    now : float
        Seconds of the steady clock.
    """

    def __init__(self, own: ports.Member, now: float) -> None:
        self.own = own
        self._started = now
        self._known: dict[str, ports.Member] = {own.vm: own}
        self._heard_since: dict[str, float] = {own.vm: now}
        self._suspect_until: dict[str, float] = {}
        self._leaving_until: dict[str, float] = {}
        self._resigned_until: dict[tuple[str, str], float] = {}
        self._ranks: dict[tuple[str, str], list[str]] = {}

    def add(self, member: ports.Member) -> bool:
        """Take in an entry; return whether the VM or its incarnation is new."""
        known = self._known.get(member.vm)
        if member.vm == self.own.vm:
            return False
        if known is not None and not self._is_later(member, known):
            return False
        self._known[member.vm] = member
        self._heard_since.pop(member.vm, None)
        self._suspect_until.pop(member.vm, None)
        self._leaving_until.pop(member.vm, None)
        self._ranks.clear()
        return True

    def _is_later(self, member: ports.Member, known: ports.Member) -> bool:
        """Return whether an entry is of a later start of a VM than the known one.

        Incarnations are times of day, which may be set back between two starts. After
        a VM that leaves, any other entry is of its next start.
        """
        if member.vm in self._leaving_until:
            return member.incarnation != known.incarnation
        return member.incarnation > known.incarnation

    def record_contact(self, vm: str, now: float) -> None:
        """Take in that a VM was heard from."""
        if vm in self._known:
            if vm not in self._heard_since and now <= self._started + START_WINDOW_S:
                self._heard_since[self.own.vm] = now
            self._heard_since.setdefault(vm, now)
            self._suspect_until.pop(vm, None)

    def restart_settling(self, now: float) -> None:
        """Take in that this VM was away: it knows no better than one that starts."""
        self._heard_since[self.own.vm] = now

    def suspect(self, vm: str, now: float) -> bool:
        """Take in that a VM gave no answer; return whether that is news."""
        if vm == self.own.vm or vm not in self._known:
            return False
        is_news = self._suspect_until.get(vm, 0.0) <= now
        self._suspect_until[vm] = now + SUSPECT_DURATION_S
        return is_news

    def record_leaving(self, vm: str, incarnation: int, now: float) -> None:
        """Take in that a VM, or this one, is leaving: it does nothing for all any more.

        Its address is kept. It serves its callers for some seconds, and dispatchers
        that could not answer its asks would each seem dead to it.
        """
        known = self._known.get(vm)
        if known is not None and known.incarnation == incarnation:
            self._leaving_until[vm] = now + LEAVING_RETENTION_S

    def record_resignation(
        self, vm: str, incarnation: int, task: str, until: float, now: float
    ) -> bool:
        """Take in that a VM cannot do a task for a while; return whether that counts.

        Where several cannot, the reason is likely common to all, and their order stays.
        """
        known = self._known.get(vm)
        if known is None or known.incarnation != incarnation:
            return False
        self._resigned_until = {
            key: at for key, at in self._resigned_until.items() if at > now
        }
        others = [one for one, of in self._resigned_until if of == task and one != vm]
        most = MAX_RESIGNED if task else max(MAX_RESIGNED, self.count() // 4)
        if len(others) >= most:
            return False
        until = min(until, now + MAX_RESIGNATION_S)
        self._resigned_until[vm, task] = until
        return True

    def remove_departed(self, now: float) -> None:
        """Forget VMs that left long ago and have not come back."""
        for vm, until in list(self._leaving_until.items()):
            if until <= now and vm != self.own.vm:
                del self._leaving_until[vm]
                del self._known[vm]
                self._heard_since.pop(vm, None)
                self._suspect_until.pop(vm, None)
                self._ranks.clear()

    def count(self) -> int:
        """Return how many VMs are known, this one included."""
        return len(self._known)

    def find(self, vm: str) -> ports.Member | None:
        """Return a VM's entry."""
        return self._known.get(vm)

    def list_others(self) -> list[ports.Member]:
        """Return all other VMs, suspects included."""
        return [one for one in self._known.values() if one.vm != self.own.vm]

    def list_suspects(self, now: float) -> list[ports.Member]:
        """Return the VMs that gave no answer, and those never heard from.

        Those that are leaving need not be asked whether they are back.
        """
        return [
            one
            for one in self.list_others()
            if one.vm not in self._leaving_until
            and (
                self._suspect_until.get(one.vm, 0.0) > now
                or one.vm not in self._heard_since
            )
        ]

    def rank_reachable(self, task: str, now: float, data_centre: str = "") -> list[str]:
        """Return all VMs heard from, those that rank highest for a task first.

        With a data centre, only the VMs there, and all others where none is there.
        """
        heard = [vm for vm in self._order(task, "") if self._is_heard(vm, now)]
        near = [vm for vm in heard if self._known[vm].data_centre == data_centre]
        return near or heard

    def rank(
        self, task: str, now: float, count: int, data_centre: str = ""
    ) -> list[str]:
        """Return the VMs that should do a task, best first.

        Asked for each request: it stops at the first few instead of looking at all.
        With a data centre, VMs there are taken where any is heard from.
        """
        if data_centre:
            near = self._rank(task, data_centre, now, count)
            if near:
                return near
        return self._rank(task, "", now, count)

    def list_in(self, data_centre: str) -> list[ports.Member]:
        """Return the other VMs of a data centre, suspects included."""
        return [one for one in self.list_others() if one.data_centre == data_centre]

    def is_direct(self, vm: str, is_for_relay: bool) -> bool:
        """Return whether news of a VM came from it, and not through a relay.

        A VM of another data centre tells only relays. News that one of them passed on
        show that the relay can be reached: taken for a sign of the reader, they would
        make a reader that is cut off from here the one that is asked first, again and
        again.
        """
        member = self._known.get(vm)
        is_near = member is not None and member.data_centre == self.own.data_centre
        return is_for_relay or is_near

    @property
    def data_centres(self) -> set[str]:
        """Data centres with a VM."""
        return {one.data_centre for one in self._known.values()}

    def _rank(self, task: str, data_centre: str, now: float, count: int) -> list[str]:
        heard: list[str] = []
        settled: list[str] = []
        for vm in self._order(task, data_centre):
            if not self._is_heard(vm, now) or self._has_resigned(vm, task, now):
                continue
            if len(heard) < count:
                heard.append(vm)
            if now - self._heard_since[vm] >= SETTLE_TIME_S:
                settled.append(vm)
                if len(settled) == count:
                    break
        # At the first start nobody has been there for long.
        return settled or heard

    def _order(self, task: str, data_centre: str) -> list[str]:
        """Return the VMs of a data centre, or all, by their rank for a task."""
        order = self._ranks.get((task, data_centre))
        if order is None:
            names = [
                vm
                for vm, member in self._known.items()
                if data_centre in ("", member.data_centre)
            ]
            order = rendezvous.pick(task, names, len(names))
            self._ranks[task, data_centre] = order
        return order

    def _has_resigned(self, vm: str, task: str, now: float) -> bool:
        if not self._resigned_until:
            return False
        return any(self._resigned_until.get((vm, of), 0.0) > now for of in (task, ""))

    def _is_heard(self, vm: str, now: float) -> bool:
        return (
            vm in self._heard_since
            and vm not in self._leaving_until
            and self._suspect_until.get(vm, 0.0) <= now
        )
