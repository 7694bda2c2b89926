"""Asks the VM that counts an account whether a request is within its quota.

Each account is counted by the VM that ranks highest for it, so that its requests are
counted exactly, whichever VMs receive them. A VM that is asked although another ranks
first asks that one in turn. Otherwise two VMs would both grant the whole quota while
some VMs cannot reach the first.
"""

from __future__ import annotations

import dataclasses

import anyio

from zinniastand_core.accounts import account, quota
from zinniastand_core.deployment import configuration

from .. import log_lines, members, peer_link
from . import account_messages, counting_vms

CHECK_INTERVAL_S = 0.2
"""Seconds between two checks which accounts this VM counts."""

MAX_STALL_S = 0.5
"""Seconds without such a check after which other VMs may have taken over."""

MAX_RELAYED = 256
"""Maximum number of requests that this VM passes on to others at the same time."""


@dataclasses.dataclass(frozen=True, slots=True)
class _DecidedBy:
    """A decision on a request, and who made it."""

    vm: str
    """VM that counts the request if it is granted."""

    decision: quota.Decision
    """The decision."""


class _Pending:
    """A request that was sent to another VM."""

    def __init__(self) -> None:
        self.decided: account_messages.QuotaDecided | None = None
        self.changed = anyio.Event()


class QuotaExchange:
    """Decides on requests of accounts with a quota, together with other VMs.

    Parameters
    ----------
    state : configuration.ConfigurationState
        Holds the accounts.
    ledger : quota.QuotaLedger
        Counts the accounts for which this VM ranks first.
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    log : log_lines.LogLines
        Receives a line for each VM that does not answer.
    """

    def __init__(
        self,
        state: configuration.ConfigurationState,
        ledger: quota.QuotaLedger,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
    ) -> None:
        self._state = state
        self._ledger = ledger
        self._fleet = fleet
        self._link = link
        self._log = log
        self._pending: dict[str, _Pending] = {}
        self._granters: dict[str, str] = {}
        self._relayed: set[str] = set()
        self.counting_vms = counting_vms.CountingVms(fleet)
        self._sender, self._receiver = anyio.create_memory_object_stream[
            tuple[account_messages.QuotaRequested, account.Account]
        ](MAX_RELAYED)

    async def run(self) -> None:
        """Pass on requests that another VM should have been sent, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_ranks)
            async for request, holder in self._receiver:
                group.start_soon(self._relay, request, holder)

    async def _watch_ranks(self) -> None:
        """Detect which accounts other VMs may count, until cancelled."""
        checked_at = anyio.current_time()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            has_stalled = now - checked_at > MAX_STALL_S
            checked_at = now
            for name in self._ledger.list_counted():
                ranked = self.counting_vms.rank(name, now, 1)
                if has_stalled or ranked != [self._fleet.own.vm]:
                    self._ledger.mark_interrupted(name)

    def record_contact(self, now: float) -> None:
        """Record that a message of another VM has arrived."""
        self.counting_vms.record_contact(now)

    async def request(self, holder: account.Account, ticket: str) -> quota.Decision:
        """Return whether a request is within the quota of its account.

        Parameters
        ----------
        holder : account.Account
            The account.
        ticket : str
            Names the request uniquely in the fleet.
        """
        request = account_messages.QuotaRequested(
            self._fleet.own.vm, ticket, holder.name
        )
        decided = await self._decide(request, holder)
        if decided.decision.is_granted:
            self._granters[ticket] = decided.vm
        return decided.decision

    def settle(self, ticket: str, has_run: bool) -> None:
        """Record the end of a granted request; one that has not run does not count."""
        granter = self._granters.pop(ticket, None)
        if granter is None or has_run:
            return
        member = self._fleet.find(granter)
        if granter == self._fleet.own.vm:
            self._ledger.refund(ticket)
        elif member is not None:
            self._link.send(account_messages.QuotaRefunded(ticket), member)

    def reset(self) -> None:
        """Discard all counts, as after a process start."""
        self._ledger.reset()
        self.counting_vms.reset()

    def answer(self, request: account_messages.QuotaRequested) -> None:
        """Decide on a request of another VM, or pass it on."""
        holder = self._state.directory.find(request.account)
        if holder is None:
            self._reply(request, account_messages.QuotaAnswer.UNKNOWN, 0.0)
            return
        now = anyio.current_time()
        vms = self.counting_vms
        is_first = vms.is_first(request.account, now)
        if is_first or request.is_relayed:
            may_have_rival = not is_first or vms.may_have_rival(request.account, now)
            decision = self._ledger.request(
                holder, request.ticket, now, may_have_rival=may_have_rival
            )
            self._reply_decision(request, decision)
        elif request.ticket not in self._relayed:
            self._start_relay(request, holder)

    def apply(self, decided: account_messages.QuotaDecided) -> None:
        """Pass a decision to the request that waits for it."""
        pending = self._pending.get(decided.ticket)
        if pending is not None:
            pending.decided = decided
            pending.changed.set()

    def apply_refund(self, refunded: account_messages.QuotaRefunded) -> None:
        """Record that a request granted here has not run."""
        self._ledger.refund(refunded.ticket)

    async def _decide(
        self, request: account_messages.QuotaRequested, holder: account.Account
    ) -> _DecidedBy:
        """Return the decision of the first VM in rank that answers.

        If none does, others may be counting meanwhile: many VMs that were lost at once,
        or this VM cut off, look the same from here.
        """
        own = self._fleet.own.vm
        asked: set[str] = set()
        while len(asked) < counting_vms.MAX_ASKED:
            now = anyio.current_time()
            vm = self.counting_vms.choose_next(request.account, asked, now)
            if vm == own:
                is_connected = self.counting_vms.is_connected(now)
                isolated_vms = 0 if is_connected else self._fleet.count()
                return self._decide_here(request, holder, isolated_vms)
            timeouts = counting_vms.ANSWER_TIMEOUTS_S
            if asked:
                timeouts = counting_vms.SUCCESSOR_TIMEOUTS_S
            decided = await self._ask(vm, request, timeouts)
            if decided is not None:
                is_granted = decided.answer is account_messages.QuotaAnswer.GRANTED
                return _DecidedBy(vm, quota.Decision(is_granted, decided.retry_at))
            asked.add(vm)
        return self._decide_here(request, holder, self._fleet.count())

    def _decide_here(
        self,
        request: account_messages.QuotaRequested,
        holder: account.Account,
        isolated_vms: int,
    ) -> _DecidedBy:
        now = anyio.current_time()
        may_have_rival = self.counting_vms.may_have_rival(request.account, now)
        decision = self._ledger.request(
            holder, request.ticket, now, isolated_vms, may_have_rival
        )
        return _DecidedBy(self._fleet.own.vm, decision)

    async def _ask(
        self,
        vm: str,
        request: account_messages.QuotaRequested,
        timeouts: tuple[float, ...],
    ) -> account_messages.QuotaDecided | None:
        """Return another VM's decision, or None if it does not decide."""
        member = self._fleet.find(vm)
        if member is None:
            return None
        asked_at = anyio.current_time()
        pending = self._pending[request.ticket] = _Pending()
        try:
            for timeout in timeouts:
                self._link.send(request, member)
                with anyio.move_on_after(timeout):
                    await pending.changed.wait()
                if pending.decided is not None:
                    break
        finally:
            del self._pending[request.ticket]
        if pending.decided is None:
            now = anyio.current_time()
            if self.counting_vms.record_unanswered(vm, asked_at, now):
                self._log.write("quota_counter_lost", peer=vm)
            return None
        is_known = pending.decided.answer is not account_messages.QuotaAnswer.UNKNOWN
        return pending.decided if is_known else None

    def _start_relay(
        self, request: account_messages.QuotaRequested, holder: account.Account
    ) -> None:
        try:
            self._sender.send_nowait((request, holder))
        except anyio.WouldBlock:
            # The asking VM decides by itself after its timeout.
            self._log.write("quota_relay_full", peer=request.vm)
            return
        self._relayed.add(request.ticket)

    async def _relay(
        self, request: account_messages.QuotaRequested, holder: account.Account
    ) -> None:
        """Get the decision on another VM's request and send it there."""
        own = self._fleet.own.vm
        passed_on = account_messages.QuotaRequested(
            own, request.ticket, request.account, is_relayed=True
        )
        try:
            decided = await self._decide(passed_on, holder)
        finally:
            self._relayed.discard(request.ticket)
        # If the request is refunded, it still counts at the VM that granted it.
        self._reply_decision(request, decided.decision)

    def _reply_decision(
        self, request: account_messages.QuotaRequested, decision: quota.Decision
    ) -> None:
        answer = account_messages.QuotaAnswer.REFUSED
        if decision.is_granted:
            answer = account_messages.QuotaAnswer.GRANTED
        self._reply(request, answer, decision.retry_at)

    def _reply(
        self,
        request: account_messages.QuotaRequested,
        answer: account_messages.QuotaAnswer,
        retry_at: float,
    ) -> None:
        member = self._fleet.find(request.vm)
        if member is not None:
            decided = account_messages.QuotaDecided(request.ticket, answer, retry_at)
            self._link.send(decided, member)
