"""Settings of the edge: JSON with comments, checked completely before anything
starts."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib

import expression

from zinniastand_core import documents, findings
from zinniastand_core.accounts import quota

from .. import settings_document
from .retries import retry_budget

MAX_PORT = 65_535

MS_PER_S = 1000.0

BYTES_PER_MB = 1 << 20

BYTES_PER_S_PER_MBPS = 125_000.0

DEFAULT_QUOTA_TOLERANCE = quota.Tolerance(window=5.0, overshoot=0.1, slack=20.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or connect to."""

    host: str
    """IP address."""

    port: int
    """TCP or UDP port."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountSettings:
    """Bounds on how client accounts are enforced."""

    revocation_limit: float | None = None
    """Seconds after its revocation from which no VM may accept a key, whether or not it
    knows of the revocation; None if only VMs that know must reject it."""

    quota_tolerance: quota.Tolerance = DEFAULT_QUOTA_TOLERANCE
    """How far the requests of an account may exceed its quota."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceSettings:
    """What this VM has, so that it can refuse work that does not fit."""

    memory_bytes: int
    """Memory above which the process is killed."""

    link_bytes_per_s: float
    """Bandwidth of the VM's network link in each direction."""

    max_descriptors: int
    """File descriptors that the process may have open."""

    processor: float
    """Processor time per second, in seconds of a core of usual speed."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Which policies for scarce capacity are enabled."""

    is_local_first: bool = False
    """Whether work stays in its data centre while targets there answer it on time."""

    has_fair_accounts: bool = False
    """Whether waiting work of a priority is ordered fairly over client accounts."""

    has_quota_credit: bool = False
    """Whether VMs borrow quota in batches instead of asking for each request."""

    has_retry_handover: bool = False
    """Whether a VM that stops hands its counts of retries over to another one."""

    has_streamed_answers: bool = True
    """Whether large answers are passed on while they arrive."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one edge process."""

    vm: str
    """Name of this VM."""

    data_centre: str
    """Name of the data centre in which it runs."""

    callers: Address
    """Listener for callers."""

    readiness: Address
    """Listener for the load balancer's readiness checks."""

    metrics: Address
    """Listener for metrics collectors."""

    peers: Address
    """Listener for other VMs, for datagrams and connections."""

    store: Address
    """Address of the platform's store."""

    stop_limit: float
    """Seconds from the stop signal until the process is killed."""

    unready_after: float
    """Seconds that the load balancer may take to notice that this VM is not ready."""

    retries: retry_budget.RetryBudget
    """Bound on the retries of each service."""

    is_new_fleet: bool = False
    """Whether this VM starts together with the whole fleet."""

    accounts: AccountSettings = dataclasses.field(default_factory=AccountSettings)
    """Bounds on how client accounts are enforced."""

    resources: ResourceSettings | None = None
    """Memory, link and descriptors of this VM; None if they are not known."""

    load: LoadSettings = dataclasses.field(default_factory=LoadSettings)
    """Which policies for scarce capacity are enabled."""

    terms: tuple[str, ...] = ()
    """Terms of service of the deployment, in the platform's words."""


class SettingsFile:
    """A settings file that may change while its process runs.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.
    adapt : callable, optional
        Completes loaded settings by what the platform's terms call for.
    """

    def __init__(
        self,
        path: pathlib.Path,
        adapt: collections.abc.Callable[[Settings], Settings] = lambda loaded: loaded,
    ) -> None:
        self._path = path
        self._adapt = adapt
        self._last_status = self._read_status()

    def has_changed(self) -> bool:
        """Return whether the file has been changed or replaced since the previous
        check.

        Only its status is read: parsing it every second would cost more than forwarding
        does at low load.
        """
        before, self._last_status = self._last_status, self._read_status()
        return self._last_status != before

    def load(self) -> expression.Result[Settings, findings.Findings]:
        """Return the settings in the file, or all findings."""
        return load(self._path).map(self._adapt)

    def _read_status(self) -> tuple[int, int, int]:
        try:
            status = self._path.stat()
        except OSError:
            return (0, 0, 0)  # It is being replaced; the next check finds it.
        return (status.st_mtime_ns, status.st_size, status.st_ino)


def load(path: pathlib.Path) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a file, or all findings in it."""
    return settings_document.load(path, _read)


def parse(text: str, location: str) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a text, or all findings; `location` names the text in
    them."""
    return settings_document.parse(text, location, _read)


def _read(reader: documents.Reader) -> Settings:
    retries = reader.read_object("retries", optional=True)
    result = Settings(
        vm=reader.read_text("vm"),
        data_centre=reader.read_text("data_centre"),
        callers=_read_address(reader, "callers"),
        readiness=_read_address(reader, "readiness"),
        metrics=_read_address(reader, "metrics"),
        peers=_read_address(reader, "peers"),
        store=_read_address(reader, "store"),
        stop_limit=reader.read_number("stop_limit_s", 6.0, 0.1, 3600),
        unready_after=reader.read_number("unready_after_s", 2.5, 0, 60),
        retries=retry_budget.RetryBudget(
            ratio=retries.read_number("ratio", 0.2, 0, 10),
            slack=retries.read_number("slack", 10.0, 0, 1e6),
            window=retries.read_number("window_s", 10.0, 0.1, 3600),
        ),
        is_new_fleet=reader.read_flag("is_new_fleet", False),
        accounts=_read_accounts(reader.read_object("accounts", optional=True)),
        resources=(
            _read_resources(reader.read_object("resources"))
            if reader.has("resources")
            else None
        ),
        load=_read_load(reader.read_object("load", optional=True)),
        terms=tuple(reader.read_texts("terms")) if reader.has("terms") else (),
    )
    retries.refuse_unknown()
    return result


def _read_accounts(reader: documents.Reader) -> AccountSettings:
    defaults = DEFAULT_QUOTA_TOLERANCE
    limit: float | None = None
    if reader.has("revocation_limit_ms"):
        limit = reader.read_number("revocation_limit_ms", None, 1, 3.6e6) / MS_PER_S
    result = AccountSettings(
        limit,
        quota.Tolerance(
            reader.read_number("quota_window_s", defaults.window, 0.1, 3600),
            reader.read_number("quota_overshoot", defaults.overshoot, 0, 10),
            reader.read_number("quota_slack", defaults.slack, 0, 1e6),
        ),
    )
    reader.refuse_unknown()
    return result


def _read_resources(reader: documents.Reader) -> ResourceSettings:
    result = ResourceSettings(
        memory_bytes=reader.read_integer("memory_mb", None, 1, 1 << 24) * BYTES_PER_MB,
        link_bytes_per_s=reader.read_number("link_mbps", None, 0.001, 1e6)
        * BYTES_PER_S_PER_MBPS,
        max_descriptors=reader.read_integer("max_descriptors", None, 1, 1 << 30),
        # A VM has a share of each of its cores.
        processor=reader.read_number("cores", 1.0, 0.001, 1e4)
        * reader.read_number("core_share", 1.0, 0.001, 1),
    )
    reader.refuse_unknown()
    return result


def _read_load(reader: documents.Reader) -> LoadSettings:
    result = LoadSettings(
        is_local_first=reader.read_flag("local_first", False),
        has_fair_accounts=reader.read_flag("fair_accounts", False),
        has_quota_credit=reader.read_flag("quota_credit", False),
        has_retry_handover=reader.read_flag("retry_handover", False),
        has_streamed_answers=reader.read_flag("streamed_answers", True),
    )
    reader.refuse_unknown()
    return result


def _read_address(reader: documents.Reader, name: str) -> Address:
    """Return an address written as ``IP:PORT``; add a finding if it is malformed."""
    text = reader.read_text(name)
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        if text:
            reader.add(name, f"expected IP:PORT, got {text!r}")
        return Address("", 0)
    return Address(host, int(port))
