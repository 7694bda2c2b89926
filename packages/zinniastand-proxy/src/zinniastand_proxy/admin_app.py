"""The ASGI application for operators and for the balancer's readiness check."""

from __future__ import annotations

import collections.abc
import json
import typing

from zinniastand_core import timeline

from . import caller_app, conductor, fleet, http_app, service_table

JSON = b"application/json"
TEXT = b"text/plain; version=0.0.4"


class AdminApp(http_app.HttpApp):
    """Answers ``/live``, ``/ready``, ``/metrics``, ``/events``, ``/bundle`` and so on.

    Parameters
    ----------
    tools : conductor.Dependencies
        Metrics, time line and time.
    callers : caller_app.CallerApp
        The callers' side.
    joined : fleet.Fleet
        The fleet's side.
    table : service_table.ServiceTable
        The bundle in force.
    """

    def __init__(
        self,
        tools: conductor.Dependencies,
        callers: caller_app.CallerApp,
        joined: fleet.Fleet,
        table: service_table.ServiceTable,
    ) -> None:
        self._tools = tools
        self._callers = callers
        self._fleet = joined
        self._table = table
        self.is_stopping = False
        self._pages: dict[str, collections.abc.Callable[[], _Page]] = {
            "/live": self._show_live,
            "/ready": self._show_ready,
            "/metrics": self._show_metrics,
            "/events": self._show_events,
            "/bundle": self._show_bundle,
            "/fleet": self._show_fleet,
        }

    def explain_unready(self) -> str:
        """Return why this VM should get no requests, or an empty string."""
        if self.is_stopping:
            return "stopping"
        if not self._table.routers:
            log = "up" if self._fleet.log_is_up else "down"
            peers = len(self._fleet.list_alive())
            return f"no bundle yet: the log is {log}, {peers} peers are up"
        return ""

    async def serve(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Serve one request."""
        show = self._pages.get(scope["path"])
        page = show() if show else _Page(404, JSON, '{"error": "no such page"}')
        headers = [
            (b"content-type", page.form),
            (b"content-length", str(len(page.body)).encode()),
        ]
        start = {"status": page.status, "headers": headers}
        await send({"type": "http.response.start", **start})
        await send({"type": "http.response.body", "body": page.body})

    def _show_live(self) -> _Page:
        return _Page(200, JSON, '{"live": true}')

    def _show_ready(self) -> _Page:
        reason = self.explain_unready()
        body = json.dumps({"ready": not reason, "reason": reason})
        return _Page(503 if reason else 200, JSON, body)

    def _show_metrics(self) -> _Page:
        found = self._tools.metrics
        found.set_gauge("zinniastand_in_flight", self._callers.in_flight)
        found.set_gauge("zinniastand_bundle_version", self._read_version())
        network = self._fleet.network
        found.set_gauge("zinniastand_peer_bytes_sent", network.bytes_sent)
        found.set_gauge("zinniastand_peer_messages_sent", network.messages_sent)
        return _Page(200, TEXT, found.format_text())

    def _show_events(self) -> _Page:
        events = [_describe(event) for event in self._tools.events.list_events()]
        return _Page(200, JSON, json.dumps({"events": events}))

    def _show_bundle(self) -> _Page:
        chain = self._fleet.core.config.chain
        body = {
            "version": chain.version,
            "digest": chain.bundle.digest.hex(),
            "proposal_id": chain.head.proposal_id if chain.head else None,
        }
        return _Page(200, JSON, json.dumps(body))

    def _show_fleet(self) -> _Page:
        members = self._fleet.core.members
        body = {
            "vm": members.own.vm,
            "data_centre": members.own.data_centre,
            "incarnation": members.own.incarnation,
            "log_is_up": self._fleet.log_is_up,
            "members": [
                {
                    "vm": sighting.member.vm,
                    "data_centre": sighting.member.data_centre,
                    "incarnation": sighting.member.incarnation,
                    "status": sighting.status.name.lower(),
                }
                for sighting in members.list_sightings()
            ],
            "services": [self._describe_service(name) for name in self._table.routers],
        }
        return _Page(200, JSON, json.dumps(body))

    def _describe_service(self, name: str) -> dict[str, object]:
        now = self._tools.timer.now()
        routing = self._table.routers[name]
        ejected = routing.list_ejected()
        weights = {item.target.name: item.weight for item in routing.weigh(now)}
        return {
            "service": name,
            "floor_slots": routing.service.floor_slots,
            "limit": round(routing.admission.limit, 1),
            "running": routing.admission.running,
            "waiting": routing.admission.waiting,
            "targets": [
                {
                    "target": target.name,
                    "data_centre": target.data_centre,
                    "slots": target.slots,
                    "weight": round(weights.get(target.name, 0.0), 3),
                    "level": round(routing.find_level(target.name, now), 2),
                    "ejected": target.name in ejected,
                    "in_service": target.name in weights,
                }
                for target in routing.service.targets
            ],
        }

    def _read_version(self) -> int:
        return self._fleet.core.config.chain.version


class _Page:
    """One page."""

    def __init__(self, status: int, form: bytes, text: str) -> None:
        self.status = status
        self.form = form
        self.body = text.encode()


def _describe(event: timeline.Event) -> dict[str, typing.Any]:
    return {
        "time": event.stamp.time,
        "count": event.stamp.count,
        "vm": event.vm,
        "kind": event.kind,
        "subject": event.subject,
        "detail": event.detail,
    }
