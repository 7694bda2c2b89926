"""Tells the other VMs which targets have refused requests because they are leaving."""

from __future__ import annotations

import collections.abc

from . import control_actions, peer_messages, router, services, timeline

Flood = collections.abc.Callable[
    [peer_messages.Message, str, float], list[control_actions.Action]
]
Actions = list[control_actions.Action]
Routers = collections.abc.Mapping[str, router.Router]


class LeavingExchange:
    """The part of the control plane that spreads the news of leaving targets.

    Parameters
    ----------
    events : timeline.Timeline
        Timeline in which events are recorded.
    flood : callable
        Returns the actions that send a message to all neighbours but one.
    """

    def __init__(self, events: timeline.Timeline, flood: Flood) -> None:
        self._events = events
        self._flood = flood
        self._routers: Routers = {}
        self._news: list[peer_messages.TargetLeaving] = []

    def use_routers(self, routers: Routers) -> None:
        """Set the routers, by service, of which the targets are followed."""
        self._routers = routers

    def report(self, now: float) -> Actions:
        """Return the news that targets have told this VM since the last call."""
        actions: Actions = []
        self._news = [news for news in self._news if news.until > now]
        for name, routing in self._routers.items():
            for target in routing.take_leaving():
                until = now + router.LEAVING_DURATION_S
                address = _find_address(target)
                news = peer_messages.TargetLeaving(name, target.name, address, until)
                self._news.append(news)
                actions += self._flood(news, "", now)
        return actions

    def answer(self, sender: str, now: float) -> Actions:
        """Return all news, for a VM that did not belong to the fleet before."""
        return [
            control_actions.SendMessage(sender, news)
            for news in self._news
            if news.until > now
        ]

    def apply(
        self, sender: str, news: peer_messages.TargetLeaving, now: float
    ) -> Actions:
        """Send no new work to a leaving target, and relay the news.

        Nothing happens if this VM knows already, or if a bundle has given the target
        another address since.
        """
        routing = self._routers.get(news.service)
        target = routing.service.find_target(news.target) if routing else None
        if routing is None or target is None or routing.is_leaving(target.name, now):
            return []
        if _find_address(target) != news.address or news.until <= now:
            return []
        routing.mark_leaving(target.name, now, news.until)
        self._news.append(news)
        kind = timeline.EventKind.TARGET_LEAVING
        subject = f"{news.service}/{news.target}"
        self._events.record(kind, subject, "it said so to another VM", now)
        return self._flood(news, sender, now)


def _find_address(target: services.Target) -> str:
    return f"{target.host}:{target.port}"
