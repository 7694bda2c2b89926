"""Acquires target slots from the dispatcher of a shard, or locally if none answers.

A VM sends its slot request to the highest-ranking VM for the shard, then to the next,
and finally decides with its own dispatcher. A slot request is identified by its ticket
and may be resent at any time. A dispatcher answers immediately, if only to say that the
request is queued, so that a dead dispatcher is distinguished from a busy one within
milliseconds.
"""

from __future__ import annotations

import dataclasses
import random

import anyio

from zinniastand_core.dispatch import locality, mechanisms, messages, shards

from . import datagrams, local_dispatchers, log_lines, members, peer_link

ANSWER_TIMEOUTS_S = (0.03, 0.06)
"""Seconds to wait for a reply to the first and second transmission of a slot request:
longer than a round trip, even to a busy VM."""

WAIT_RESEND_INTERVAL_S = 0.2
"""Seconds between transmissions of a queued slot request; the replies show that the
dispatcher is alive."""

DISPATCHER_CANDIDATES = 2
"""Number of VMs that a VM asks before it decides with its own dispatcher."""

MAX_SHARDS = 2
"""Maximum number of shards of a service in which a request asks for a slot. The second
one costs a round trip, and helps if the first happens to be full; if two are full, the
others are usually full too."""

OTHER_SHARD_REASONS = frozenset(
    {
        messages.RefusalReason.OVERLOADED,
        messages.RefusalReason.NO_TARGET,
        messages.RefusalReason.RETRY_BUDGET,
    }
)
"""Refusals after which another shard may grant a slot: each shard counts its own slots.
Dispatchers of an earlier version count its retries, too."""

FinalDecision = messages.Grant | messages.Refuse
"""A decision after which a slot request is not resent."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Granter:
    """A dispatcher that counts a slot as in use."""

    vm: str
    """VM of the dispatcher."""

    shard: shards.Shard
    """Shard in which the dispatcher granted or adopted the slot."""


class _PendingRequest:
    """A slot request without a final answer."""

    def __init__(self) -> None:
        self.answer: FinalDecision | None = None
        self.has_reply = False
        self.changed = anyio.Event()

    def store_decision(self, decision: messages.Decision) -> None:
        """Store a final answer and wake up the waiting task."""
        self.has_reply = True
        if not isinstance(decision, messages.Wait) and self.answer is None:
            self.answer = decision
        self.changed.set()
        self.changed = anyio.Event()


class Placement:
    """Acquires slots of targets and reports the outcomes of attempts.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    log : log_lines.LogLines
        Log of lost dispatchers.
    rng : random.Random
        Source of randomness for choosing shards.
    policy : mechanisms.Mechanisms, optional
        Which parts of the policy are enabled.
    """

    def __init__(
        self,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        rng: random.Random,
        policy: mechanisms.Mechanisms = mechanisms.ALL,
    ) -> None:
        self._policy = policy
        self._fleet = fleet
        self._chooser = shards.ShardChooser(fleet.own.data_centre, rng)
        self._link = link
        self._log = log
        self._local_dispatchers: local_dispatchers.LocalDispatchers | None = None
        self._pending: dict[str, _PendingRequest] = {}
        self._held: dict[str, messages.HeldSlot] = {}
        self._granters: dict[str, list[_Granter]] = {}
        self._dispatchers: dict[shards.Shard, str] = {}

    def use_local_dispatchers(
        self, dispatchers: local_dispatchers.LocalDispatchers
    ) -> None:
        """Use these dispatchers where this VM ranks first or no candidate answers."""
        self._local_dispatchers = dispatchers

    async def acquire(self, slot_request: messages.SlotRequest) -> FinalDecision:
        """Return a granted slot, or the refusal.

        `slot_request` names the service as a whole. It is sent to one of the service's
        shards, and after some refusals to others.
        """
        refused: list[shards.Choice] = []
        answer: FinalDecision = _make_late_refusal(slot_request)
        while (choice := self._choose_shard(slot_request, refused)) is not None:
            answer = await self._acquire_in_shard(
                dataclasses.replace(
                    slot_request,
                    shard=choice.shard,
                    has_alternative=choice.has_alternative,
                )
            )
            slot_request = dataclasses.replace(slot_request, is_first=False)
            self._chooser.record_pressure(
                choice.shard, answer.pressure, anyio.current_time()
            )
            if (
                isinstance(answer, messages.Grant)
                or answer.reason not in OTHER_SHARD_REASONS
            ):
                break
            refused.append(choice)
        return answer

    def _choose_shard(
        self, slot_request: messages.SlotRequest, refused: list[shards.Choice]
    ) -> shards.Choice | None:
        """Return the shard to ask next, or None if no other is asked."""
        now = anyio.current_time()
        service = slot_request.shard.service
        divided = self._list_shards(service)
        if self._policy.local_first and self._chooser.has_local(divided):
            return self._chooser.choose_local_first(
                divided, now, refused, self._find_max_pressure(slot_request, now)
            )
        if len(refused) >= MAX_SHARDS:
            return None
        shard = self._chooser.choose(divided, now, [each.shard for each in refused])
        return shards.Choice(shard) if shard is not None else None

    def _find_max_pressure(
        self, slot_request: messages.SlotRequest, now: float
    ) -> float:
        """Return the pressure of a remote shard up to which a request may wait
        there.
        """
        if self._local_dispatchers is None:
            return shards.USUAL_PRESSURE
        mean = self._local_dispatchers.find_mean(
            slot_request.shard.service, slot_request.kind
        )
        return locality.find_max_pressure(slot_request.objective_at - now, mean)

    async def _acquire_in_shard(
        self, slot_request: messages.SlotRequest
    ) -> FinalDecision:
        pending = self._pending[slot_request.ticket] = _PendingRequest()
        silent: set[str] = set()
        vm = self._choose_dispatcher(slot_request.shard, silent)
        answer: FinalDecision | None = None
        try:
            while anyio.current_time() < slot_request.deadline_at:
                answer = await self._request_from(vm, slot_request, pending, silent)
                if answer is not None:
                    return self._register_grant(slot_request, vm, answer)
                vm = self._choose_next_dispatcher(vm, slot_request, silent)
                slot_request = dataclasses.replace(slot_request, is_first=False)
            return _make_late_refusal(slot_request)
        finally:
            del self._pending[slot_request.ticket]
            if answer is None:
                self._withdraw(vm, slot_request)

    def _choose_next_dispatcher(
        self, vm: str, slot_request: messages.SlotRequest, silent: set[str]
    ) -> str:
        """Withdraw the request from a silent dispatcher; return the VM to ask next."""
        self._withdraw(vm, slot_request)
        now = anyio.current_time()
        if now >= slot_request.deadline_at:
            return vm  # The request was queued, so the VM was not silent.
        if vm == self._choose_dispatcher(slot_request.shard, silent):
            silent.add(vm)
            if self._fleet.suspect(vm, now):
                self._log.write(
                    "dispatcher_lost", peer=vm, shard=slot_request.shard.task
                )
        return self._choose_dispatcher(slot_request.shard, silent)

    def _choose_dispatcher(self, shard: shards.Shard, silent: set[str]) -> str:
        """Return the highest-ranking candidate that is not silent, or else this VM."""
        now = anyio.current_time()
        own = self._fleet.own.vm
        if len(silent) >= DISPATCHER_CANDIDATES:
            return own
        ranked = self._fleet.rank(
            shard.task, now, DISPATCHER_CANDIDATES, shard.data_centre
        )
        remaining = [vm for vm in ranked if vm not in silent]
        return remaining[0] if remaining else own

    def report(self, report: messages.Report) -> None:
        """Report the result to every dispatcher that counts the slot as in use.

        A former dispatcher may still have queued slot requests. Without the report, it
        would keep them waiting for a slot that is already free.
        """
        self._held.pop(report.ticket, None)
        if self._local_dispatchers is not None and report.rate_limit is not None:
            now = anyio.current_time()
            self._local_dispatchers.record_rate_limit(
                report.target_id, report.rate_limit, now
            )
        default = [_Granter(self._fleet.own.vm, report.shard)]
        for granter in self._granters.pop(report.ticket, default):
            shard_report = dataclasses.replace(report, shard=granter.shard)
            self._send(granter.vm, shard_report)

    def handle_decision(self, decision: messages.Decision) -> None:
        """Pass a dispatcher's decision to the slot request that waits for it."""
        pending = self._pending.get(decision.ticket)
        if pending is not None:
            pending.store_decision(decision)

    def _list_shards(self, service: str) -> tuple[shards.Shard, ...]:
        if self._local_dispatchers is None:
            return (shards.Shard(service),)
        return self._local_dispatchers.list_shards(service)

    async def _request_from(
        self,
        vm: str,
        slot_request: messages.SlotRequest,
        pending: _PendingRequest,
        silent: set[str],
    ) -> FinalDecision | None:
        """Return a VM's answer, or None if it is silent or no longer the dispatcher."""
        self._send_held_slots(slot_request.shard, vm)
        pending.has_reply = False
        misses = 0
        while misses < len(ANSWER_TIMEOUTS_S):
            now = anyio.current_time()
            if now >= slot_request.deadline_at:
                return None
            if (
                pending.has_reply
                and self._choose_dispatcher(slot_request.shard, silent) != vm
            ):
                return None
            pause = (
                WAIT_RESEND_INTERVAL_S
                if pending.has_reply
                else ANSWER_TIMEOUTS_S[misses]
            )
            # Reset before sending, since a local dispatcher answers within the call.
            pending.has_reply = False
            self._send_request(vm, slot_request, now)
            slot_request = dataclasses.replace(slot_request, is_first=False)
            await self._wait_for_answer(
                pending, min(now + pause, slot_request.deadline_at)
            )
            if pending.answer is not None:
                return self._check_answer(pending, vm, slot_request)
            misses = 0 if pending.has_reply else misses + 1
        return None

    def _check_answer(
        self, pending: _PendingRequest, vm: str, slot_request: messages.SlotRequest
    ) -> FinalDecision | None:
        """Return a VM's answer, or None if it knows fewer targets than this VM.

        When many VMs start at once, the VM that ranks first for a shard may be asked
        before it knows any target, and would refuse requests that can be served.
        """
        answer = pending.answer
        is_other = vm != self._fleet.own.vm and self._local_dispatchers is not None
        if is_other and isinstance(answer, messages.Refuse):
            is_empty = answer.reason is messages.RefusalReason.NO_TARGET
            now = anyio.current_time()
            if (
                is_empty
                and self._local_dispatchers
                and self._local_dispatchers.has_targets(slot_request.shard, now)
            ):
                pending.answer = None
                return None
        return answer

    async def _wait_for_answer(self, pending: _PendingRequest, until: float) -> None:
        """Wait for the final answer, at most until the time `until`."""
        with anyio.CancelScope(deadline=until):
            while pending.answer is None:
                await pending.changed.wait()

    def _send_request(
        self, vm: str, slot_request: messages.SlotRequest, now: float
    ) -> None:
        own = self._fleet.own.vm
        if vm == own and self._local_dispatchers is not None:
            self._local_dispatchers.request_slot(own, slot_request, now)
            return
        member = self._fleet.find(vm)
        if member is not None:
            self._link.send(datagrams.SlotRequested(own, slot_request), member)

    def _send_held_slots(self, shard: shards.Shard, vm: str) -> None:
        """Send the slots held by this VM to the new dispatcher of a shard.

        They may have been granted in another shard, if the service was divided again.
        """
        if self._dispatchers.get(shard) == vm:
            return
        self._dispatchers[shard] = vm
        for ticket, held in list(self._held.items()):
            if held.granted_request.shard.service != shard.service:
                continue
            if self._local_dispatchers is not None and self._local_dispatchers.covers(
                shard, held.target_id
            ):
                slot_request = dataclasses.replace(held.granted_request, shard=shard)
                moved = self._held[ticket] = dataclasses.replace(
                    held, granted_request=slot_request
                )
                self._granters.setdefault(ticket, []).append(_Granter(vm, shard))
                self._send(vm, datagrams.SlotHeld(self._fleet.own.vm, moved))

    def _register_grant(
        self, slot_request: messages.SlotRequest, vm: str, answer: FinalDecision
    ) -> FinalDecision:
        if isinstance(answer, messages.Grant):
            self._granters[slot_request.ticket] = [_Granter(vm, slot_request.shard)]
            self._held[slot_request.ticket] = messages.HeldSlot(
                slot_request, answer.target_id
            )
            return dataclasses.replace(answer, dispatcher=vm)
        return answer

    def _withdraw(self, vm: str, slot_request: messages.SlotRequest) -> None:
        """Withdraw a slot request, and release the slot if one is granted for it."""
        report = messages.Report(
            slot_request.ticket,
            slot_request.shard,
            "",
            messages.Outcome.UNUSED,
            0.0,
            self._fleet.own.vm,
        )
        self._send(vm, report)

    def _send(self, vm: str, message: messages.Report | datagrams.SlotHeld) -> None:
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


def _make_late_refusal(slot_request: messages.SlotRequest) -> messages.Refuse:
    return messages.Refuse(
        slot_request.ticket, messages.RefusalReason.TOO_LATE, slot_request.deadline_at
    )
