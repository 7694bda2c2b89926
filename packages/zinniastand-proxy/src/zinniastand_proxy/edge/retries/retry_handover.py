"""Hands the counts of requests and retries of a stopping VM over to another VM.

Load pattern: all VMs are stopped and started in turn while many requests need a retry.
The requests that a VM has received allow retries; without a handover, they would be
lost with its process, and callers of the whole fleet would be refused for it.
"""

from __future__ import annotations

import itertools
import random

import anyio

from .. import log_lines, members, peer_link, ports
from . import handover_messages, retry_limiter

RECEIVER_COUNT = 2
"""Number of VMs to which the counts of a service are offered in turn."""

ANSWER_TIMEOUT_S = 0.08
"""Seconds to wait for the answer to an offer; a stop has little time left by then."""

MAX_OFFERS = 256
"""Maximum number of accepted offers whose counts have not arrived."""


class RetryHandover:
    """Offers the counts of this VM when it stops, and accepts those of others.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    limiter : retry_limiter.RetryLimiter
        Holds the counts of this VM.
    log : log_lines.LogLines
        Receives a line for each handover.
    rng : random.Random
        Chooses receivers.
    """

    def __init__(
        self,
        fleet: members.Members,
        link: peer_link.PeerLink,
        limiter: retry_limiter.RetryLimiter,
        log: log_lines.LogLines,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._link = link
        self._limiter = limiter
        self._log = log
        self._rng = rng
        self._numbers = itertools.count()
        self._answers: dict[str, anyio.Event] = {}
        self._accepted: dict[str, float] = {}
        self._is_stopping = False

    async def hand_over(self) -> None:
        """Hand over the counts of all services, each to a VM that accepts them."""
        self._is_stopping = True
        for service in self._limiter.list_services():
            receiver = await self._find_receiver()
            if receiver is not None:
                self._send_counts(service, *receiver)

    def handle(self, message: handover_messages.HandoverMessage) -> None:
        """Handle a message of a handover."""
        match message:
            case handover_messages.HandoverOffered():
                self._accept(message)
            case handover_messages.HandoverAccepted():
                answer = self._answers.get(message.ticket)
                if answer is not None:
                    answer.set()
            case handover_messages.CountsHandedOver():
                self._add_counts(message)

    def forget_offers(self) -> None:
        """Forget accepted offers, whose age is unknown after a suspension."""
        self._accepted.clear()

    async def _find_receiver(self) -> tuple[ports.Member, str] | None:
        """Return a VM that accepts an offer and the ticket of it, or None."""
        now = anyio.current_time()
        candidates = [
            other
            for other in self._fleet.list_remaining()
            if self._fleet.is_reachable(other.vm, now)
        ]
        own = self._fleet.own
        near = [other for other in candidates if other.data_centre == own.data_centre]
        candidates = near or candidates
        count = min(RECEIVER_COUNT, len(candidates))
        for receiver in self._rng.sample(candidates, count):
            ticket = f"{own.vm}:{own.incarnation}:h{next(self._numbers)}"
            answer = self._answers[ticket] = anyio.Event()
            offer = handover_messages.HandoverOffered(own.vm, ticket)
            self._link.send(offer, receiver)
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                await answer.wait()
            del self._answers[ticket]
            if answer.is_set():
                return receiver, ticket
        return None

    def _send_counts(self, service: str, receiver: ports.Member, ticket: str) -> None:
        ledger = self._limiter.find_ledger(service)
        content = ledger.remove_content(anyio.current_time())
        vm = self._fleet.own.vm
        self._link.send(
            handover_messages.CountsHandedOver(vm, ticket, service, content), receiver
        )
        self._log.write("retries_handed_over", service=service, peer=receiver.vm)

    def _accept(self, offer: handover_messages.HandoverOffered) -> None:
        sender = self._fleet.find(offer.vm)
        if self._is_stopping or sender is None or len(self._accepted) >= MAX_OFFERS:
            return
        self._remove_old_offers()
        self._accepted[offer.ticket] = anyio.current_time()
        own = self._fleet.own.vm
        self._link.send(handover_messages.HandoverAccepted(own, offer.ticket), sender)

    def _add_counts(self, handed_over: handover_messages.CountsHandedOver) -> None:
        """Add counts that were accepted, once, and only if they are recent.

        They were removed from their ledger after this VM had accepted the offer, so the
        time since then is an upper bound of their age.
        """
        now = anyio.current_time()
        accepted_at = self._accepted.pop(handed_over.ticket, None)
        is_recent = (
            accepted_at is not None
            and now - accepted_at <= self._limiter.max_handover_s
        )
        is_added = is_recent and self._limiter.find_ledger(
            handed_over.service
        ).add_content(handed_over.content, now)
        self._log.write(
            "retries_taken_over",
            service=handed_over.service,
            peer=handed_over.vm,
            outcome="added" if is_added else "too late",
        )

    def _remove_old_offers(self) -> None:
        oldest = anyio.current_time() - self._limiter.max_handover_s
        self._accepted = {
            ticket: at for ticket, at in self._accepted.items() if at > oldest
        }
