"""Tells the other VMs what this one has read about the targets.

Datagrams may be lost, so what is new is told several times. Other data centres hear
through relays.
"""

from __future__ import annotations

import collections
import dataclasses

import anyio

from zinniastand_core.deployment import configuration

from . import datagrams, members, peer_link, ports, reading_turn, target_record

CHECK_PAUSE = 0.1
"""Seconds between two looks whether it is time to tell."""

TELL_PAUSE = 0.3
"""Seconds between two tellings of what was read; a lost one is made up for so soon."""

STALE_AFTER = 0.95
"""Seconds after its last successful read for which the reader tells others that nothing
has changed: one read and its slack. Together with the silence after it this stays below
the two seconds within which a leaving target must be known."""

REPEAT_FOR = 2.0
"""Seconds for which changes are told again, since datagrams may be lost."""

RELAYS = 2
"""VMs of another data centre that pass news on there, in turn: one telling goes to the
one, the next to the other. Without them news to every VM make up most of what goes
between data centres. Where one of the two is dead, the others hear every second
telling, which is still within their patience."""

RELAY_TASK = "relay news"
"""Name of the task of passing news on."""


class NewsTeller:
    """Tells news while it is this VM's turn to read, and relays those of others.

    Parameters
    ----------
    record : target_record.TargetRecord
        What was read.
    turn : reading_turn.ReadingTurn
        Whether it is this VM's turn.
    configured : configuration.ConfigurationState
        Its version is told along.
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Datagrams to them.
    """

    def __init__(
        self,
        record: target_record.TargetRecord,
        turn: reading_turn.ReadingTurn,
        configured: configuration.ConfigurationState,
        fleet: members.Members,
        link: peer_link.PeerLink,
    ) -> None:
        self._record = record
        self._turn = turn
        self._configured = configured
        self._fleet = fleet
        self._link = link
        self._reads: collections.deque[tuple[float, int]] = collections.deque()
        self._tellings = 0
        self._told_at = 0.0

    async def run(self) -> None:
        """Tell the others regularly, also that nothing has changed.

        Whoever hears nothing reads for itself; whoever is told "nothing new" by a
        reader that has lost the store would miss a target's leaving.
        """
        while True:
            await anyio.sleep(CHECK_PAUSE)
            now = anyio.current_time()
            if self.is_due(now) and now - self._record.read_at < STALE_AFTER:
                self.tell()

    def is_due(self, now: float) -> bool:
        """Return whether it is this VM that tells, and its last telling is long ago.

        A VM that has just become the reader tells at once, before all others who miss
        the former one read for themselves.
        """
        return self._turn.is_first(now) and now - self._told_at >= TELL_PAUSE

    def tell(self) -> None:
        """Tell what was read lately, in this data centre and to relays elsewhere."""
        now = self._told_at = anyio.current_time()
        self._reads.append((now, self._record.position))
        while self._reads[0][0] < now - REPEAT_FOR:
            self._reads.popleft()
        since_time, since = self._reads[0]
        news = datagrams.News(
            self._fleet.own.vm,
            self._configured.version,
            self._record.position,
            since,
            self._record.list_recent(since_time),
        )
        self._link.send_many(news, self._fleet.list_in(self._own_place))
        relayed = dataclasses.replace(news, is_relayed=True)
        self._link.send_many(relayed, self._choose_relays(now))

    def pass_on(self, news: datagrams.News) -> None:
        """Tell news from another data centre in this one, if they are to be relayed."""
        if news.is_relayed:
            passed = dataclasses.replace(news, is_relayed=False)
            self._link.send_many(passed, self._fleet.list_in(self._own_place))

    def _choose_relays(self, now: float) -> list[ports.Member]:
        """Return one VM of each other data centre, another one every time."""
        self._tellings += 1
        relays: list[ports.Member] = []
        for place in self._fleet.data_centres - {self._own_place}:
            ranked = self._fleet.rank(RELAY_TASK, now, RELAYS, place)
            if not ranked:
                continue  # All that are known are leaving or silent.
            member = self._fleet.find(ranked[self._tellings % len(ranked)])
            if member is not None and member.data_centre == place:
                relays.append(member)
        return relays

    @property
    def _own_place(self) -> str:
        return self._fleet.own.data_centre
