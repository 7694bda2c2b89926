"""A whole site on loopback: log, VM list, targets and any number of daemons."""

from __future__ import annotations

import base64
import collections.abc
import dataclasses
import json
import random
import typing
import uuid

import anyio
import anyio.abc
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from zinniastand_core import bundles, chain, proposals
from zinniastand_proxy import daemon, listeners, platform_log, settings

from . import log_app, log_store, loopback, target, vm_list_app, work_ledger

HOST = "127.0.0.1"
CONFIG_STREAM = "config"
ANY_PORT = settings.Address(HOST, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service of the site, its targets and its part of the bundle."""

    name: str
    """Name of the service."""

    targets: int
    """Number of targets."""

    slots: int
    """Slots of each target."""

    work_time: float
    """Median seconds of work for a request."""

    floor_slots: int
    """Slots that must stay in service."""

    detection_weight: float
    """Weight of fast detection against false ejections (0 to 1)."""

    kinds: tuple[dict[str, object], ...]
    """Kinds of work, as a bundle describes them."""

    routes: tuple[dict[str, object], ...]
    """Routes, as a bundle describes them."""

    data_centres: tuple[str, ...]
    """Data centres over which targets are spread."""


def plan_lookups(targets: int, slots: int, work_time: float) -> ServicePlan:
    """Return a plan of a service with idempotent work only, under ``/items``."""
    return ServicePlan(
        name="desk",
        targets=targets,
        slots=slots,
        work_time=work_time,
        floor_slots=1,
        detection_weight=0.5,
        kinds=({"name": "lookup", "work": "idempotent", "time_limit_ms": 10_000},),
        routes=({"path_prefix": "/items", "methods": ["GET"], "kind": "lookup"},),
        data_centres=("dc-1",),
    )


class Site:
    """The stand-ins and daemons of one user's site, in one process.

    Parameters
    ----------
    group : anyio.abc.TaskGroup
        Runs the servers and daemons.
    seed : int
        Seed of the work times and faults of all targets.
    """

    def __init__(self, group: anyio.abc.TaskGroup, seed: int = 1) -> None:
        self._group = group
        self._generator = random.Random(seed)
        self.log = log_store.LogStore()
        self.vm_list = vm_list_app.VmListApp()
        self.ledger = work_ledger.WorkLedger()
        self.targets: dict[str, target.Target] = {}
        self.ports: dict[str, int] = {}
        self.daemons: dict[str, daemon.Daemon] = {}
        self.keys = {
            name: ed25519.Ed25519PrivateKey.generate() for name in ("first", "second")
        }
        self._log_url = ""
        self._vm_list_url = ""
        self._peer_ports: dict[str, int] = {}
        self.document: dict[str, typing.Any] = {}

    async def start_platform(self) -> None:
        """Serve the log and the VM list."""
        log_port = await self.serve(log_app.LogApp(self.log))
        list_port = await self.serve(self.vm_list)
        self._log_url = f"http://{HOST}:{log_port}"
        self._vm_list_url = f"http://{HOST}:{list_port}/vms"

    async def serve(self, app: listeners.App, port: int = 0) -> int:
        """Serve an application on loopback; return its port.

        A `port` of 0 lets the kernel choose.
        """
        listener = listeners.Listener(settings.Address(HOST, port), None)
        bound = listener.port
        self._group.start_soon(listener.serve, app, anyio.sleep_forever)
        return bound

    async def start_targets(self, plans: collections.abc.Iterable[ServicePlan]) -> None:
        """Start the targets of each service and describe them in `document`."""
        services: dict[str, object] = {}
        for plan in plans:
            descriptions = [
                await self._start_target(plan, number) for number in range(plan.targets)
            ]
            services[plan.name] = {
                "floor_slots": plan.floor_slots,
                "detection_weight": plan.detection_weight,
                "echo_header": "x-request-id",
                "kinds": list(plan.kinds),
                "routes": list(plan.routes),
                "targets": descriptions,
            }
        self.document = {
            "operators": self._describe_operators(),
            "services": services,
        }

    def publish(self) -> str:
        """Append the signed document to the log; return the proposal's id.

        Raises
        ------
        ValueError
            If the document isn't a valid bundle.
        """
        current = self.read_chain()
        sections = bundles.split_document(self.document).ok
        parsed = bundles.parse_sections(sections)
        if parsed.is_error():
            raise ValueError(str(parsed.error))
        name = f"proposal-{uuid.uuid4().hex[:8]}"
        proposal = proposals.propose(
            name, current.version + 1, current.bundle, parsed.ok
        )
        for operator, key in self.keys.items():
            proposal = proposals.sign(proposal, operator, key)
        self.log.append_now(CONFIG_STREAM, chain.pack_proposal(proposal))
        return name

    def read_chain(self) -> chain.Chain:
        """Return the chain of bundles that results from the log."""
        config = settings.parse(json.dumps(self.make_settings("reader")), "reader")
        result = chain.Chain(config.ok.trusted)
        for data in self.log.list_entries(CONFIG_STREAM, 0).entries:
            result.apply(data)
        return result

    async def start_daemon(
        self,
        vm: str,
        data_centre: str = "dc-1",
        log: platform_log.Log | None = None,
        unready_for: float = 0.2,
        list_url: str = "",
        first_peers: collections.abc.Iterable[str] = (),
    ) -> daemon.Daemon:
        """Start a daemon, wait until it runs, and add it to the VM list.

        Parameters
        ----------
        vm : str
            Name of the VM.
        data_centre : str
            Data centre of the VM.
        log : platform_log.Log or None
            Replaces the daemon's own client of the log.
        unready_for : float
            Seconds for which a daemon that stops reports that it isn't ready.
        list_url : str
            URL of the VM list; the site's own list if empty.
        first_peers : iterable of str
            Names of the VMs that the daemon contacts first.

        Raises
        ------
        ValueError
            If the settings are invalid.
        """
        document = self.make_settings(vm, data_centre)
        if list_url:
            document["vm_list"]["url"] = list_url
        urls = [f"ws://{HOST}:{self._peer_ports[name]}" for name in first_peers]
        document["peers"]["first"] = urls
        config = settings.parse(json.dumps(document), vm)
        if config.is_error():
            raise ValueError(str(config.error))
        process = daemon.Daemon(config.ok, log=log, unready_for=unready_for)
        await self._group.start(process.run)
        self.daemons[vm] = process
        self.list_vm(vm, data_centre, document["peers"]["url"])
        return process

    def list_vm(self, vm: str, data_centre: str, peers_url: str) -> None:
        """Add a live VM to the VM list."""
        self.vm_list.vms.append(
            {
                "name": vm,
                "data_centre": data_centre,
                "peers_url": peers_url,
                "state": "live",
                "role": "entry",
            }
        )

    def make_settings(
        self, vm: str, data_centre: str = "dc-1"
    ) -> dict[str, typing.Any]:
        """Return the settings document of a VM; its peer port stays the same."""
        port = self._peer_ports.get(vm)
        if port is None:
            port = self._peer_ports[vm] = loopback.find_free_port()
        return {
            "vm": vm,
            "data_centre": data_centre,
            "callers": {"host": HOST, "port": 0},
            "admin": {"host": HOST, "port": 0},
            "peers": {"host": HOST, "port": port, "url": f"ws://{HOST}:{port}"},
            "log": {"url": self._log_url or "http://127.0.0.1:9"},
            "vm_list": {"url": self._vm_list_url or "http://127.0.0.1:9"},
            "trusted_operators": self._describe_operators(),
            "log_level": "warning",
        }

    def forget_daemon(self, vm: str) -> None:
        """Remove a VM from the VM list; its name gets a new peer port when reused."""
        self.vm_list.vms = [item for item in self.vm_list.vms if item["name"] != vm]
        self.daemons.pop(vm, None)
        self._peer_ports.pop(vm, None)

    async def _start_target(self, plan: ServicePlan, number: int) -> dict[str, object]:
        name = f"{plan.name}-{number + 1}"
        started_target = target.Target(
            name, self.ledger, plan.slots, plan.work_time, self._generator
        )
        self.targets[name] = started_target
        port = self.ports[name] = await self.serve(started_target)
        return {
            "name": name,
            "host": HOST,
            "port": port,
            "data_centre": plan.data_centres[number % len(plan.data_centres)],
            "slots": plan.slots,
        }

    def _describe_operators(self) -> dict[str, object]:
        members = [
            {"name": name, "public_key": encode_public_key(key)}
            for name, key in self.keys.items()
        ]
        return {"members": members, "sign_offs_needed": 2}


def encode_public_key(key: ed25519.Ed25519PrivateKey) -> str:
    """Return the raw public key of a private key, in base64."""
    raw = key.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )
    return base64.b64encode(raw).decode()
