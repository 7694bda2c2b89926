"""Checks the ledger of a soak for promises that were broken, whatever has failed."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from zinniastand_proxy.edge import request_run
from zinniastand_standins import retry_audit

from . import ledger

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run."""

DRAIN_BOUND_S = 2.0
"""Seconds after which a draining target gets no new requests."""

CONFIGURATION_BOUND_S = 2.0
"""Seconds within which a published version is in force."""

TIME_LIMIT_MARGIN_S = 0.5
"""Seconds by which an answer may exceed the time limit of its route."""

CALM_BEFORE_S = 3.0
"""Seconds without a fault before a time bound is checked."""

MARGIN_S = 0.3
"""Seconds added to time bounds, since all processes share a machine of eight cores."""

PLANNED_FAULTS = frozenset({"stop", "reload", "store-link"})
"""Faults of a VM that are no excuse for a lost answer."""

LINK_FAULT = "target-link"
"""Fault that may interrupt a run although the proxy has not given it up."""

TIME_LIMIT_S = 1.5
"""Time limit of the routes of the soak, in seconds."""

LONG_TIME_LIMIT_S = 3.5
"""Time limit of routes with long work, in seconds."""

LONG_PREFIXES = ("/long/", "/long-safe/")
"""Prefixes of the paths of long work."""

STOP_LIMIT_S = 6.0
"""Time limit of a stop: seconds between SIGTERM and SIGKILL."""

EXCUSED_IF_SENT_BY_S = 3.0
"""Seconds after SIGTERM. Requests that are sent until then may be broken off in the
last sixth of a stop."""

RATE_LIMIT_WINDOW_S = 4.0
"""Seconds over which arrivals at a target with a rate limit are counted."""

RATE_LIMIT_FACTOR = 1.5
"""Multiple of its rate limit that a target may get in a window."""

RATE_LIMIT_MARGIN = 5
"""Requests that a target may get in a window in addition."""

RETRY_BOUND = retry_audit.Bound(ratio=0.2, slack=20.0, span=10.0)
"""Bound of the retries of each service. The slack is smaller than usual, since
the load of a soak is small."""

SERVICES_BY_PREFIX = {
    "/safe/": ("desk",),
    "/once/": ("desk",),
    "/other/": ("register",),
    "/moving/": ("desk", "register"),
    "/long/": ("register",),
    "/long-safe/": ("desk",),
}
"""Services to which requests may go, by prefix of the path."""

CRASHING_PREFIX = "/safe/crash/"
"""Prefix of the paths of requests that crash every target that runs them."""

CRASHES_TO_QUARANTINE = 3
"""Targets that a request may crash before it is quarantined."""

MAX_LATE_RUNS = 3
"""Runs of a request that are allowed after its quarantine."""

PARTITION_SETTLING_S = 1.0
"""Seconds after the begin of a partition from which its VMs serve as the others do, and
after its end for which it may still have effects."""

MIN_PARTITIONED_SHARE = 0.9
"""Least share of requests that partitioned VMs serve, relative to the other VMs."""

MAX_UNSERVED_REQUESTS = 10
"""Requests that partitioned VMs may fail in any case, so that few prove nothing."""

MIN_RECOVERED_SHARE = 0.9
"""Least share of requests that are served once all faults are over. Targets do not
fail then."""


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A promise that was broken."""

    promise: str
    """Name of the promise."""

    detail: str
    """What was observed."""


def find_breaches(entries: ledger.Ledger, calm_from: float) -> list[Breach]:
    """Return all breaches.

    Parameters
    ----------
    entries : ledger.Ledger
        Events of the soak.
    calm_from : float
        Time at which the last fault was over.
    """
    checks = (
        _check_once,
        _check_unasked,
        _check_answers,
        _check_not_run,
        _check_draining,
        _check_versions,
        _check_times,
        _check_time_handed_on,
        _check_planned_stops,
        _check_given_up,
        _check_crashing,
        _check_limits,
        _check_retries,
        _check_denied,
        _check_partitions,
    )
    found = [breach for check in checks for breach in check(entries)]
    return [*found, *_check_recovery(entries, calm_from)]


def _check_once(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that a request that may run only once runs at most once."""
    unsafe_ids = {sent.request_id for sent in entries.sent_requests if sent.is_unsafe}
    counts = collections.Counter(item.request_id for item in entries.runs)
    for request_id, count in counts.items():
        if request_id in unsafe_ids and count > 1:
            yield Breach("once", f"{request_id} ran {count} times")


def _check_unasked(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that targets run only what callers sent, unchanged."""
    requests = {sent.request_id: sent for sent in entries.sent_requests}
    for run in entries.runs:
        request = requests.get(run.request_id)
        if request is None:
            yield Breach("unasked", f"{run.request_id} ran but no caller sent it")
        elif (request.path, request.body) != (run.path, run.body):
            yield Breach("unasked", f"{run.request_id} ran with another content")


def _check_answers(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that signed answers are complete answers of targets to their requests."""
    runs_by_id: dict[str, list[ledger.Run]] = collections.defaultdict(list)
    for item in entries.runs:
        runs_by_id[item.request_id].append(item)
    for outcome in entries.outcomes.values():
        statuses = {item.status for item in runs_by_id[outcome.request_id]}
        if 200 <= outcome.status < 300:
            if not outcome.is_signed or outcome.body != make_answer(outcome.request_id):
                yield Breach("whole", f"{outcome.request_id}: answer is not its own")
            if outcome.status not in statuses:
                yield Breach("whole", f"{outcome.request_id}: success but no run")
        elif outcome.is_signed and outcome.status not in statuses:
            yield Breach(
                "whole", f"{outcome.request_id}: no target answered {outcome.status}"
            )


def _check_not_run(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that an unsafe request did not run if its answer promises so."""
    unsafe_ids = {sent.request_id for sent in entries.sent_requests if sent.is_unsafe}
    run_ids = {item.request_id for item in entries.runs}
    for outcome in entries.outcomes.values():
        is_promised = (
            outcome.status in NOT_RUN_STATUSES and outcome.request_id in unsafe_ids
        )
        if is_promised and outcome.request_id in run_ids:
            yield Breach(
                "not-run", f"{outcome.request_id}: {outcome.status}, but it ran"
            )


def _check_draining(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that a draining target soon gets no new requests."""
    drain_times = {drain.target_id: drain.stored_at for drain in entries.drain_starts}
    vms_by_id = {sent.request_id: sent.vm for sent in entries.sent_requests}
    for run in entries.runs:
        stored_at, vm = drain_times.get(run.target_id), vms_by_id.get(run.request_id)
        if stored_at is None or vm is None:
            continue
        late_s = run.started_at - _find_learnable(
            entries, vm, stored_at, run.started_at
        )
        if late_s > DRAIN_BOUND_S + MARGIN_S:
            yield Breach(
                "draining", f"{run.target_id} got a request {late_s:.1f} s too late"
            )


def _check_versions(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that a published version is soon in force.

    Requests for ``/moving/`` show it, since each version sends them elsewhere.
    """
    requests = {sent.request_id: sent for sent in entries.sent_requests}
    for run in entries.runs:
        request = requests.get(run.request_id)
        if request is None or not request.path.startswith("/moving/"):
            continue
        due_versions = [
            version
            for version in entries.published_versions
            if request.sent_at
            - _find_learnable(entries, request.vm, version.stored_at, request.sent_at)
            > CONFIGURATION_BOUND_S + MARGIN_S
        ]
        allowed_services = {
            version.moving_service
            for version in entries.published_versions[len(due_versions[:-1]) :]
        }
        if due_versions and run.service not in allowed_services:
            yield Breach("version", f"{run.request_id} ran by an old version")


def _check_times(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that callers get an answer within the time limit of the route."""
    for sent_request in entries.sent_requests:
        outcome = entries.outcomes.get(sent_request.request_id)
        if outcome is None or outcome.has_left:
            continue
        duration_s = outcome.ended_at - sent_request.sent_at
        limit_s = find_time_limit(sent_request)
        if sent_request.is_behind_long:
            limit_s = max(limit_s, LONG_TIME_LIMIT_S)
        bound_s = limit_s + TIME_LIMIT_MARGIN_S + MARGIN_S
        vm_names = {_name_vm(sent_request.vm)}
        if duration_s > bound_s and not _has_fault(
            entries, vm_names, sent_request.sent_at - CALM_BEFORE_S, outcome.ended_at
        ):
            yield Breach("time", f"{sent_request.request_id} took {duration_s:.1f} s")


def _check_time_handed_on(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that no target is given more time than its caller has left.

    A link that holds a request back is an excuse: the request still names the time
    that was left before.
    """
    requests = {sent.request_id: sent for sent in entries.sent_requests}
    link_faults = [fault for fault in entries.faults if fault.kind == LINK_FAULT]
    for run in entries.runs:
        request = requests.get(run.request_id)
        if request is None:
            continue
        remaining_s = find_time_limit(request) - (run.started_at - request.sent_at)
        vm_names = _name_involved_vms(
            entries, request.vm, request.sent_at, run.started_at
        )
        if run.time_left <= remaining_s + TIME_LIMIT_MARGIN_S + MARGIN_S:
            continue
        if _has_fault(
            entries, {run.target_id}, request.sent_at, run.started_at, link_faults
        ):
            continue
        if not _has_fault(
            entries, vm_names, request.sent_at - CALM_BEFORE_S, run.started_at
        ):
            detail = (
                f"{run.request_id}: target got {run.time_left:.1f} s,"
                f" its caller had {remaining_s:.1f} s left"
            )
            yield Breach("time-handed-on", detail)


def _check_planned_stops(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that a request that ran gets an answer, also if its VM is stopped.

    A VM that is killed or paused is the only excuse. Whatever its target or the store
    does, a VM can still give an answer.
    """
    run_ids = {item.request_id for item in entries.runs}
    unplanned = [fault for fault in entries.faults if fault.kind not in PLANNED_FAULTS]
    for sent_request in entries.sent_requests:
        outcome = entries.outcomes.get(sent_request.request_id)
        if (
            outcome is None
            or outcome.has_left
            or outcome.status
            or sent_request.request_id not in run_ids
        ):
            continue
        vm_names = _name_involved_vms(
            entries, sent_request.vm, sent_request.sent_at, outcome.ended_at
        )
        if not _has_fault(
            entries, vm_names, sent_request.sent_at, outcome.ended_at, unplanned
        ):
            yield Breach("cut", f"{sent_request.request_id} ran but got no answer")


def _check_given_up(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that the proxy does not fail a request that a sound target is running.

    A VM that is stopping is no excuse, but for requests that were sent early in its
    stop and are still at work in the last sixth of it.
    """
    requests = {sent.request_id: sent for sent in entries.sent_requests}
    unplanned = [fault for fault in entries.faults if fault.kind not in PLANNED_FAULTS]
    link_faults = [fault for fault in entries.faults if fault.kind == LINK_FAULT]
    times_by_target = {crash.target_id: crash.crashed_at for crash in entries.crashes}
    for run_end in entries.run_ends:
        run = run_end.run
        request, outcome = (
            requests.get(run.request_id),
            entries.outcomes.get(run.request_id),
        )
        if not run_end.is_interrupted or request is None or outcome is None:
            continue
        if times_by_target.get(run.target_id, run_end.ended_at) < run_end.ended_at:
            continue  # The target itself closed the connection.
        if (
            outcome.has_left
            or outcome.is_signed
            or outcome.ended_at >= request.sent_at + find_time_limit(request)
            or _is_excused_by_stop(entries, request, outcome)
        ):
            continue
        if _has_fault(
            entries,
            _name_involved_vms(entries, request.vm, request.sent_at, outcome.ended_at),
            request.sent_at,
            outcome.ended_at,
            unplanned,
        ) or _has_lost_links(entries, request.vm, run.started_at, run_end.ended_at):
            continue
        if not _has_fault(
            entries, {run.target_id}, run.started_at, run_end.ended_at, link_faults
        ):
            detail = f"{run.request_id} at vm-{request.vm}: {run.target_id}"
            detail += (
                f" ran it for {run_end.ended_at - run.started_at:.2f} s when"
                f" its caller got {outcome.status}"
            )
            yield Breach("given-up", detail)


def _check_partitions(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that VMs without links to targets serve their callers as the others do.

    Requests count from some time after the partition began, for VMs that no other
    fault affected.
    """
    served: collections.Counter[bool] = collections.Counter()
    sent: collections.Counter[bool] = collections.Counter()
    for period in entries.partitions:
        for request in entries.sent_requests:
            outcome = entries.outcomes.get(request.request_id)
            begin = period.begin + PARTITION_SETTLING_S
            if not begin <= request.sent_at < period.end - TIME_LIMIT_S:
                continue
            if outcome is None or outcome.has_left:
                continue
            vm_names = {_name_vm(request.vm)}
            since = request.sent_at - CALM_BEFORE_S
            if _has_fault(entries, vm_names, since, outcome.ended_at):
                continue
            is_partitioned = request.vm in period.vms
            if is_partitioned and not _has_sound_relay(
                entries, period, request.sent_at, outcome.ended_at
            ):
                continue
            sent[is_partitioned] += 1
            served[is_partitioned] += outcome.status == 200
    if not sent[True] or not sent[False]:
        return
    wanted = MIN_PARTITIONED_SHARE * served[False] / sent[False] * sent[True]
    if served[True] < wanted - MAX_UNSERVED_REQUESTS:
        detail = (
            f"partitioned VMs served {served[True]} of {sent[True]} requests,"
            f" the others {served[False]} of {sent[False]}"
        )
        yield Breach("partitions", detail)


def _check_crashing(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that a request that has crashed three targets hardly reaches any more.

    Runs count from some time after the third crash, and only for VMs that no fault
    affected shortly before.
    """
    times_by_path: dict[str, list[float]] = collections.defaultdict(list)
    for crash in entries.crashes:
        if crash.path:
            times_by_path[crash.path].append(crash.crashed_at)
    vms_by_id = {sent.request_id: sent.vm for sent in entries.sent_requests}
    for path, crash_times in times_by_path.items():
        if len(crash_times) < CRASHES_TO_QUARANTINE:
            continue
        quarantined_from = (
            sorted(crash_times)[CRASHES_TO_QUARANTINE - 1] + CALM_BEFORE_S + MARGIN_S
        )
        late_runs = [
            run
            for run in entries.runs
            if run.path == path
            and run.started_at > quarantined_from
            and not _has_fault(
                entries,
                {_name_vm(vms_by_id[run.request_id])},
                run.started_at - CALM_BEFORE_S,
                run.started_at,
            )
        ]
        if len(late_runs) > MAX_LATE_RUNS:
            detail = (
                f"{path} ran {len(late_runs)} more times; {len(crash_times)} crashes"
            )
            yield Breach("crashing", detail)


def _check_limits(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that all VMs together keep the rate limit that a target names.

    Arrivals don't count for VMs that a fault affected shortly before.
    """
    vms_by_id = {sent.request_id: sent.vm for sent in entries.sent_requests}
    for period in entries.rate_limit_periods:
        enforced_from = period.begin + CALM_BEFORE_S + MARGIN_S
        times = [
            arrival.arrived_at
            for arrival in entries.arrivals
            if arrival.target_id == period.target_id
            and enforced_from <= arrival.arrived_at < period.end
            and arrival.request_id in vms_by_id
            and not _has_fault(
                entries,
                {_name_vm(vms_by_id[arrival.request_id])},
                arrival.arrived_at - CALM_BEFORE_S,
                arrival.arrived_at,
            )
        ]
        max_requests = (
            RATE_LIMIT_FACTOR * period.rate * RATE_LIMIT_WINDOW_S + RATE_LIMIT_MARGIN
        )
        peak_requests = max(
            (
                sum(start <= time_s < start + RATE_LIMIT_WINDOW_S for time_s in times)
                for start in times
            ),
            default=0,
        )
        if peak_requests > max_requests:
            detail = (
                f"{period.target_id}: {peak_requests} requests in 4 s,"
                f" {max_requests:.0f} allowed"
            )
            yield Breach("limit", detail)


def _check_retries(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that a service gets no more retries than its requests allow."""
    for service in sorted({arrival.service for arrival in entries.arrivals}):
        sent_times = [
            sent.sent_at
            for sent in entries.sent_requests
            for prefix, services in SERVICES_BY_PREFIX.items()
            if sent.path.startswith(prefix) and service in services
        ]
        arrivals_of_service = [
            (arrival.arrived_at, arrival.request_id)
            for arrival in entries.arrivals
            if arrival.service == service
        ]
        retry_times = retry_audit.find_retries(arrivals_of_service)
        worst_span = retry_audit.find_worst(sent_times, retry_times, RETRY_BOUND)
        if worst_span.excess > 0:
            detail = f"{service}: {worst_span.retries} in {RETRY_BOUND.span:.0f} s"
            yield Breach("retries", f"{detail}, {worst_span.allowed:.0f} allowed")


def _check_denied(entries: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Check that only requests that crash targets are quarantined."""
    crashing_paths = {crash.path for crash in entries.crashes if crash.path}
    paths_by_id = {sent.request_id: sent.path for sent in entries.sent_requests}
    for outcome in entries.outcomes.values():
        is_quarantined = request_run.QUARANTINED.encode() in outcome.body
        if is_quarantined and paths_by_id[outcome.request_id] not in crashing_paths:
            detail = (
                f"{outcome.request_id}: {paths_by_id[outcome.request_id]} was"
                " quarantined but crashed no target"
            )
            yield Breach("denied", detail)


def _check_recovery(
    entries: ledger.Ledger, calm_from: float
) -> collections.abc.Iterator[Breach]:
    """Check that requests are served once all faults are over."""
    final_requests = [
        sent
        for sent in entries.sent_requests
        if sent.sent_at >= calm_from + CALM_BEFORE_S
        and not sent.path.startswith(CRASHING_PREFIX)
    ]
    results = [entries.outcomes.get(sent.request_id) for sent in final_requests]
    served = sum(1 for item in results if item is not None and item.status == 200)
    awaited = sum(1 for item in results if item is None or not item.has_left)
    if not final_requests or served < MIN_RECOVERED_SHARE * awaited:
        yield Breach("recovery", f"{served} of {awaited} served after the last fault")


def find_time_limit(request: ledger.SentRequest) -> float:
    """Return the time limit of a request's route in seconds."""
    return LONG_TIME_LIMIT_S if request.path.startswith(LONG_PREFIXES) else TIME_LIMIT_S


def make_answer(request_id: str) -> bytes:
    """Return the body with which a target answers a request."""
    return (f"done {request_id} " * 20).encode()


def _find_learnable(
    entries: ledger.Ledger, vm: int, since: float, until: float
) -> float:
    """Return the time from which a VM could learn a record of the store.

    That is a calm period after the last fault of the store or the VM. Faults of the
    store don't count once the VM has had the time to learn the record, as it keeps it.

    Parameters
    ----------
    entries : ledger.Ledger
        Events of the soak.
    vm : int
        Number of the VM.
    since : float
        Time from which the store held the record.
    until : float
        Time after which events are ignored.
    """
    learnable_from = since
    for fault in sorted(entries.faults, key=lambda fault: fault.begin):
        if fault.begin > until or fault.end < since - CALM_BEFORE_S:
            continue
        is_vm_fault = fault.affected == _name_vm(vm)
        is_learned = fault.begin > learnable_from + DRAIN_BOUND_S + MARGIN_S
        if is_vm_fault or (fault.affected == "store" and not is_learned):
            learnable_from = max(learnable_from, min(fault.end, until) + CALM_BEFORE_S)
    return learnable_from


def _name_vm(vm: int) -> str:
    return f"vm-{vm}"


def _has_fault(
    entries: ledger.Ledger,
    affected: collections.abc.Collection[str],
    begin: float,
    end: float,
    considered: collections.abc.Iterable[ledger.FaultPeriod] | None = None,
) -> bool:
    """Return whether a fault affected any of the named parts in a period.

    Parameters
    ----------
    entries : ledger.Ledger
        Events of the soak.
    affected : collection of str
        Values of `FaultPeriod.affected` that count.
    begin, end : float
        The period.
    considered : iterable of FaultPeriod, optional
        Faults that count; all by default.
    """
    return any(
        fault.affected in affected and fault.begin <= end and fault.end >= begin
        for fault in (entries.faults if considered is None else considered)
    )


def _is_excused_by_stop(
    entries: ledger.Ledger, request: ledger.SentRequest, outcome: ledger.Outcome
) -> bool:
    """Return whether a stop may have broken a request off."""
    return any(
        fault.kind == "stop"
        and fault.affected == _name_vm(request.vm)
        and request.sent_at <= fault.begin + EXCUSED_IF_SENT_BY_S
        and fault.begin + STOP_LIMIT_S * 5 / 6 <= outcome.ended_at <= fault.end
        for fault in entries.faults
    )


def _has_sound_relay(
    entries: ledger.Ledger, period: ledger.PartitionPeriod, begin: float, end: float
) -> bool:
    """Return whether a VM with links was up for the whole time of a request."""
    others = {sent.vm for sent in entries.sent_requests} - period.vms
    since = begin - PARTITION_SETTLING_S
    return any(not _has_fault(entries, {_name_vm(vm)}, since, end) for vm in others)


def _has_lost_links(entries: ledger.Ledger, vm: int, begin: float, end: float) -> bool:
    """Return whether a partition of a VM began while it ran a request."""
    return any(
        vm in period.vms
        and begin <= period.begin + PARTITION_SETTLING_S
        and end >= period.begin
        for period in entries.partitions
    )


def _name_involved_vms(
    entries: ledger.Ledger, vm: int, begin: float, end: float
) -> set[str]:
    """Return the VMs that a request may have passed.

    While a VM is partitioned, any other may relay its connections.
    """
    is_partitioned = any(
        vm in period.vms
        and begin <= period.end + PARTITION_SETTLING_S
        and end >= period.begin
        for period in entries.partitions
    )
    if not is_partitioned:
        return {_name_vm(vm)}
    return {_name_vm(vm), *(_name_vm(sent.vm) for sent in entries.sent_requests)}
