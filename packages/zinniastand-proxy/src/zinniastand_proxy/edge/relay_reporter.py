"""Reports lost links and relayed connections to the metrics."""

from __future__ import annotations

from zinniastand_core.forwarding import target_links

from .. import metrics
from . import relay_client, relay_server


class RelayReporter:
    """Sets the gauges of lost links and relayed connections.

    Parameters
    ----------
    links : target_links.TargetLinks
        The links of this VM.
    relays : relay_client.RelayClient
        Opens relayed connections.
    server : relay_server.RelayServer
        Relays connections of other VMs.
    counters : metrics.Metrics
        Get the gauges.
    """

    def __init__(
        self,
        links: target_links.TargetLinks,
        relays: relay_client.RelayClient,
        server: relay_server.RelayServer,
        counters: metrics.Metrics,
    ) -> None:
        self._links = links
        self._relays = relays
        self._server = server
        self._counters = counters

    def report(self) -> None:
        """Set all gauges to their current values."""
        for name, value in (
            ("zinniastand_links_lost", len(self._links.lost_targets)),
            ("zinniastand_services_without_links", len(self._links.lost_services)),
            ("zinniastand_relays_in_flight", self._server.in_flight),
            ("zinniastand_relays_carried_total", self._server.relayed),
            ("zinniastand_relays_used_total", self._relays.used),
        ):
            self._counters.set_gauge(name, value)
        for reason, count in self._server.refused.items():
            labels = metrics.label(reason=reason.value)
            self._counters.set_gauge("zinniastand_relays_refused_total", count, labels)
