"""Gets a request its target: from a shard's dispatcher, or here if none answers.

Whoever holds a request asks the highest-ranking VM, then the next, then decides by
itself. An ask is named by its ticket and may be sent again at any time. A dispatcher
answers at once, if only that the request waits, so that a dead one is told from a busy
one within milliseconds.
"""

from __future__ import annotations

import dataclasses
import random

import anyio

from zinniastand_core.dispatch import messages, shards

from . import datagrams, local_dispatchers, log_lines, members, peer_link

ANSWER_TIMEOUTS_S = (0.03, 0.06)
"""Seconds to wait for the answer to the first and second sending of an ask: longer than
a round trip, also to a busy VM."""

WAIT_RESEND_INTERVAL_S = 0.2
"""Seconds between two sendings of an ask that waits: shows that somebody lives."""

DISPATCHER_CANDIDATES = 2
"""VMs that are asked before a VM decides by itself."""

MAX_SHARDS = 2
"""Shards of a service in which a request asks for a place. The second one costs a round
trip, and helps where the first is full by chance; where two are full, so are the
others."""

OTHER_SHARD_REASONS = frozenset(
    {
        messages.RefusalReason.OVERLOADED,
        messages.RefusalReason.NO_TARGET,
        messages.RefusalReason.RETRY_BUDGET,
    }
)
"""Refusals after which another shard may have a place: each counts its own slots and
its own part of the service's retries."""

Answer = messages.Grant | messages.Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class _Granter:
    """A dispatcher that counts a slot as in use."""

    vm: str
    """Where it runs."""

    shard: shards.Shard
    """The shard in which it gave the slot, or took it over."""


class _Pending:
    """An ask without its final answer."""

    def __init__(self) -> None:
        self.answer: Answer | None = None
        self.is_heard = False
        self.changed = anyio.Event()

    def take(self, decision: messages.Decision) -> None:
        """Take in a decision."""
        self.is_heard = True
        if not isinstance(decision, messages.Wait) and self.answer is None:
            self.answer = decision
        self.changed.set()
        self.changed = anyio.Event()


class Placement:
    """Asks for targets and reports how attempts went.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Datagrams to them.
    log : log_lines.LogLines
        Where lost and regained dispatchers are noted.
    rng : random.Random
        Draws shards.
    """

    def __init__(
        self,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._chooser = shards.ShardChooser(fleet.own.data_centre, rng)
        self._link = link
        self._log = log
        self._local_dispatchers: local_dispatchers.LocalDispatchers | None = None
        self._pending: dict[str, _Pending] = {}
        self._held: dict[str, messages.HeldSlot] = {}
        self._granters: dict[str, list[_Granter]] = {}
        self._dispatcher_of: dict[shards.Shard, str] = {}

    def use_local_dispatchers(
        self, dispatchers: local_dispatchers.LocalDispatchers
    ) -> None:
        """Decide by these dispatchers where no other VM answers."""
        self._local_dispatchers = dispatchers

    async def acquire(self, ask: messages.SlotRequest) -> Answer:
        """Return a target, or why there is none.

        The ask names a service as a whole; it is placed in one of its shards.
        """
        service = ask.shard.service
        if self._local_dispatchers is not None:
            self._local_dispatchers.retries.record_request(
                service, anyio.current_time()
            )
        refused: list[shards.Shard] = []
        answer: Answer = _refuse_late(ask)
        while len(refused) < MAX_SHARDS:
            now = anyio.current_time()
            shard = self._chooser.choose(self._list_shards(service), now, refused)
            if shard is None:
                break
            answer = await self._acquire_in(dataclasses.replace(ask, shard=shard))
            ask = dataclasses.replace(ask, is_first=False)
            self._chooser.record_pressure(shard, answer.pressure, anyio.current_time())
            if (
                isinstance(answer, messages.Grant)
                or answer.reason not in OTHER_SHARD_REASONS
            ):
                break
            refused.append(shard)
        return answer

    async def _acquire_in(self, ask: messages.SlotRequest) -> Answer:
        pending = self._pending[ask.ticket] = _Pending()
        silent: set[str] = set()
        vm = self._choose_dispatcher(ask.shard, silent)
        answer: Answer | None = None
        try:
            while anyio.current_time() < ask.deadline_at:
                answer = await self._ask(vm, ask, pending, silent)
                if answer is not None:
                    return self._take(ask, vm, answer)
                vm = self._move_on(vm, ask, silent)
                ask = dataclasses.replace(ask, is_first=False)
            return _refuse_late(ask)
        finally:
            del self._pending[ask.ticket]
            if answer is None:
                self._withdraw(vm, ask)

    def _move_on(self, vm: str, ask: messages.SlotRequest, silent: set[str]) -> str:
        """Leave a dispatcher without an answer; return the one to ask next."""
        self._withdraw(vm, ask)
        now = anyio.current_time()
        if now >= ask.deadline_at:
            return vm  # It kept the ask waiting, which is no silence.
        if vm == self._choose_dispatcher(ask.shard, silent):
            silent.add(vm)
            if self._fleet.suspect(vm, now):
                self._log.write("dispatcher_lost", peer=vm, shard=ask.shard.task)
        return self._choose_dispatcher(ask.shard, silent)

    def _choose_dispatcher(self, shard: shards.Shard, silent: set[str]) -> str:
        """Return the VM to ask: the first in rank, this one after some silent ones."""
        now = anyio.current_time()
        own = self._fleet.own.vm
        if len(silent) >= DISPATCHER_CANDIDATES:
            return own
        ranked = self._fleet.rank(
            shard.task, now, DISPATCHER_CANDIDATES, shard.data_centre
        )
        left = [vm for vm in ranked if vm not in silent]
        return left[0] if left else own

    def report(self, report: messages.Report) -> None:
        """Tell all who count the slot as in use how the attempt went.

        A former dispatcher may still have asks that wait. Not told, it would keep them
        waiting for a slot that has been free for long.
        """
        self._held.pop(report.ticket, None)
        if self._local_dispatchers is not None and report.rate_limit is not None:
            now = anyio.current_time()
            self._local_dispatchers.record_rate_limit(
                report.target_id, report.rate_limit, now
            )
        usual = [_Granter(self._fleet.own.vm, report.shard)]
        for granter in self._granters.pop(report.ticket, usual):
            told = dataclasses.replace(report, shard=granter.shard)
            self._tell(granter.vm, told)

    def handle_decision(self, decision: messages.Decision) -> None:
        """Take in the answer to an ask."""
        pending = self._pending.get(decision.ticket)
        if pending is not None:
            pending.take(decision)

    def _list_shards(self, service: str) -> tuple[shards.Shard, ...]:
        if self._local_dispatchers is None:
            return (shards.Shard(service),)
        return self._local_dispatchers.list_shards(service)

    async def _ask(
        self, vm: str, ask: messages.SlotRequest, pending: _Pending, silent: set[str]
    ) -> Answer | None:
        """Return one VM's answer, or None where it gives none or is superseded."""
        self._hand_over(ask.shard, vm)
        pending.is_heard = False
        misses = 0
        while misses < len(ANSWER_TIMEOUTS_S):
            now = anyio.current_time()
            if now >= ask.deadline_at:
                return None
            if pending.is_heard and self._choose_dispatcher(ask.shard, silent) != vm:
                return None
            pause = (
                WAIT_RESEND_INTERVAL_S
                if pending.is_heard
                else ANSWER_TIMEOUTS_S[misses]
            )
            # Before sending: this VM's own dispatcher answers at once.
            pending.is_heard = False
            self._send_ask(vm, ask, now)
            ask = dataclasses.replace(ask, is_first=False)
            await self._wait(pending, min(now + pause, ask.deadline_at))
            if pending.answer is not None:
                return self._judge(pending, vm, ask)
            misses = 0 if pending.is_heard else misses + 1
        return None

    def _judge(
        self, pending: _Pending, vm: str, ask: messages.SlotRequest
    ) -> Answer | None:
        """Return a VM's answer, or None where it knows less than this one.

        Load pattern: many VMs start at once. One that ranks first for a shard is asked
        before it has heard of any target, and would refuse what can be served.
        """
        answer = pending.answer
        is_other = vm != self._fleet.own.vm and self._local_dispatchers is not None
        if is_other and isinstance(answer, messages.Refuse):
            is_empty = answer.reason is messages.RefusalReason.NO_TARGET
            now = anyio.current_time()
            if (
                is_empty
                and self._local_dispatchers
                and self._local_dispatchers.has_targets(ask.shard, now)
            ):
                pending.answer = None
                return None
        return answer

    async def _wait(self, pending: _Pending, until: float) -> None:
        """Wait for the final answer, or until the time for the first word of one."""
        with anyio.CancelScope(deadline=until):
            while pending.answer is None:
                await pending.changed.wait()

    def _send_ask(self, vm: str, ask: messages.SlotRequest, now: float) -> None:
        own = self._fleet.own.vm
        if vm == own and self._local_dispatchers is not None:
            self._local_dispatchers.request_slot(own, ask, now)
            return
        member = self._fleet.find(vm)
        if member is not None:
            self._link.send(datagrams.SlotRequested(own, ask), member)

    def _hand_over(self, shard: shards.Shard, vm: str) -> None:
        """Tell a VM that dispatches from now on which slots are in use here.

        They may have been given in another shard, if the service was divided anew.
        """
        if self._dispatcher_of.get(shard) == vm:
            return
        self._dispatcher_of[shard] = vm
        for ticket, held in list(self._held.items()):
            if held.slot_request.shard.service != shard.service:
                continue
            if self._local_dispatchers is not None and self._local_dispatchers.covers(
                shard, held.target_id
            ):
                ask = dataclasses.replace(held.slot_request, shard=shard)
                moved = self._held[ticket] = dataclasses.replace(held, slot_request=ask)
                self._granters.setdefault(ticket, []).append(_Granter(vm, shard))
                self._tell(vm, datagrams.SlotHeld(self._fleet.own.vm, moved))

    def _take(self, ask: messages.SlotRequest, vm: str, answer: Answer) -> Answer:
        if isinstance(answer, messages.Grant):
            self._granters[ask.ticket] = [_Granter(vm, ask.shard)]
            self._held[ask.ticket] = messages.HeldSlot(ask, answer.target_id)
            return dataclasses.replace(answer, dispatcher=vm)
        return answer

    def _withdraw(self, vm: str, ask: messages.SlotRequest) -> None:
        """Give back what an ask may get after nobody waits for it any more."""
        report = messages.Report(
            ask.ticket,
            ask.shard,
            "",
            messages.Outcome.UNUSED,
            0.0,
            self._fleet.own.vm,
        )
        self._tell(vm, report)

    def _tell(self, vm: str, message: messages.Report | datagrams.SlotHeld) -> None:
        own = self._fleet.own.vm
        member = self._fleet.find(vm)
        if vm != own and member is not None:
            self._link.send(message, member)
        elif vm == own and self._local_dispatchers is not None:
            now = anyio.current_time()
            if isinstance(message, messages.Report):
                self._local_dispatchers.report(message, now)
            else:
                self._local_dispatchers.adopt(own, message.held, now)


def _refuse_late(ask: messages.SlotRequest) -> messages.Refuse:
    return messages.Refuse(ask.ticket, messages.RefusalReason.TOO_LATE, ask.deadline_at)
