"""The ASGI application for operators and the balancer's readiness check."""

from __future__ import annotations

import collections.abc
import json
import typing

from zinniastand_core import timeline

from . import caller_app, conductor, fleet, http_app, service_table

JSON_TYPE = b"application/json"
METRICS_TYPE = b"text/plain; version=0.0.4"


class AdminApp(http_app.HttpApp):
    """Serves ``/live``, ``/ready``, ``/metrics``, ``/events``, ``/bundle``, ``/fleet``.

    Parameters
    ----------
    dependencies : conductor.Dependencies
        Metrics, timeline and clock of this VM.
    callers : caller_app.CallerApp
        Application that serves callers.
    fleet_control : fleet.Fleet
        Control plane of this VM.
    table : service_table.ServiceTable
        Routers and limits of the bundle in force.

    Attributes
    ----------
    is_stopping : bool
        Whether ``/ready`` reports that the VM is stopping.
    """

    def __init__(
        self,
        dependencies: conductor.Dependencies,
        callers: caller_app.CallerApp,
        fleet_control: fleet.Fleet,
        table: service_table.ServiceTable,
    ) -> None:
        self._dependencies = dependencies
        self._callers = callers
        self._fleet_control = fleet_control
        self._table = table
        self.is_stopping = False
        self._renderers: dict[str, collections.abc.Callable[[], _Page]] = {
            "/live": self._render_live,
            "/ready": self._render_ready,
            "/metrics": self._render_metrics,
            "/events": self._render_events,
            "/bundle": self._render_bundle,
            "/fleet": self._render_fleet,
        }

    def explain_unready(self) -> str:
        """Return why this VM should get no requests; empty if it is ready."""
        if self.is_stopping:
            return "stopping"
        if not self._table.routers:
            log = "up" if self._fleet_control.log_is_up else "down"
            peers = len(self._fleet_control.list_alive())
            return f"no bundle yet: the log is {log}, {peers} peers are up"
        return ""

    async def serve(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Serve one request, whatever its method."""
        render = self._renderers.get(scope["path"])
        page = (
            render() if render else _Page(404, JSON_TYPE, '{"error": "no such page"}')
        )
        headers = [
            (b"content-type", page.content_type),
            (b"content-length", str(len(page.body)).encode()),
        ]
        response = {"status": page.status, "headers": headers}
        await send({"type": "http.response.start", **response})
        await send({"type": "http.response.body", "body": page.body})

    def _render_live(self) -> _Page:
        return _Page(200, JSON_TYPE, '{"live": true}')

    def _render_ready(self) -> _Page:
        reason = self.explain_unready()
        body = json.dumps({"ready": not reason, "reason": reason})
        return _Page(503 if reason else 200, JSON_TYPE, body)

    def _render_metrics(self) -> _Page:
        registry = self._dependencies.metrics
        registry.set_gauge("zinniastand_in_flight", self._callers.in_flight)
        registry.set_gauge("zinniastand_bundle_version", self._read_version())
        network = self._fleet_control.network
        registry.set_gauge("zinniastand_peer_bytes_sent", network.bytes_sent)
        registry.set_gauge("zinniastand_peer_messages_sent", network.messages_sent)
        return _Page(200, METRICS_TYPE, registry.format_text())

    def _render_events(self) -> _Page:
        events = [
            _describe_event(event) for event in self._dependencies.events.list_events()
        ]
        return _Page(200, JSON_TYPE, json.dumps({"events": events}))

    def _render_bundle(self) -> _Page:
        chain = self._fleet_control.core.config.chain
        body = {
            "version": chain.version,
            "digest": chain.bundle.digest.hex(),
            "proposal_id": chain.head.proposal_id if chain.head else None,
        }
        return _Page(200, JSON_TYPE, json.dumps(body))

    def _render_fleet(self) -> _Page:
        members = self._fleet_control.core.members
        body = {
            "vm": members.own.vm,
            "data_centre": members.own.data_centre,
            "incarnation": members.own.incarnation,
            "log_is_up": self._fleet_control.log_is_up,
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
        return _Page(200, JSON_TYPE, json.dumps(body))

    def _describe_service(self, name: str) -> dict[str, object]:
        now = self._dependencies.timer.now()
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
        return self._fleet_control.core.config.chain.version


class _Page:
    """Status, content type and body of one page."""

    def __init__(self, status: int, content_type: bytes, text: str) -> None:
        self.status = status
        self.content_type = content_type
        self.body = text.encode()


def _describe_event(event: timeline.Event) -> dict[str, typing.Any]:
    return {
        "time": event.stamp.time,
        "count": event.stamp.count,
        "vm": event.vm,
        "kind": event.kind,
        "subject": event.subject,
        "detail": event.detail,
    }
