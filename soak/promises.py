"""Judges a soak: what must hold whatever fails, from what callers and targets saw."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from zinniastand_proxy.edge import request_run
from zinniastand_standins import retry_audit

from . import ledger

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run."""

DRAIN_BOUND = 2.0
"""Seconds after which a target that is leaving gets nothing new."""

CONFIGURATION_BOUND = 2.0
"""Seconds within which a version is in force."""

TIME_BOUND = 0.5
"""Seconds by which an answer may pass the time limit of its route."""

CALM_BEFORE = 3.0
"""Seconds without a fault that promises with a time bound ask for."""

SLACK = 0.3
"""Seconds for a busy machine on which all processes share eight cores."""

PLANNED = frozenset({"stop", "reload", "store-link"})
"""Faults of a VM that excuse no lost answer."""

LINK_FAULT = "target-link"
"""Fault that may end work without anybody having given it up."""

TIME_LIMIT = 1.5
"""Time limit of all routes of the soak, in seconds."""

LIMIT_WINDOW = 4.0
"""Seconds over which requests at a target with a limit are counted."""

LIMIT_SHARE = 1.5
"""Times its limit that it may get in them."""

LIMIT_SLACK = 5
"""Requests that it may get beyond that."""

RETRIES = retry_audit.Bound(ratio=0.2, slack=20.0, span=10.0)
"""Retries that each service may get. A smaller slack than usual: the load is small."""

LEADS_TO = {
    "/safe/": ("desk",),
    "/once/": ("desk",),
    "/other/": ("register",),
    "/moving/": ("desk", "register"),
}
"""Services that requests for a path may go to."""

CRASHING = "/safe/crash/"
"""Begin of the paths of requests that crash whatever runs them."""

CRASHES_TO_KNOW = 3
"""Targets that one request may crash before it is kept from all others."""

MOST_AFTER_CRASHES = 3
"""Times that it may run after that."""

RECOVERED_SHARE = 0.9
"""Share of requests that are served once all faults are over. The targets fail none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A promise that did not hold."""

    promise: str
    """Name of the promise."""

    what: str
    """What was seen."""


def judge(book: ledger.Ledger, calm_from: float) -> list[Breach]:
    """Return all breaches; `calm_from` is when the last fault was over."""
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
    )
    found = [breach for check in checks for breach in check(book)]
    return [*found, *_check_recovery(book, calm_from)]


def _check_once(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    unsafe = {one.request_id for one in book.sent if one.is_unsafe}
    counts = collections.Counter(one.request_id for one in book.ran)
    for request_id, count in counts.items():
        if request_id in unsafe and count > 1:
            yield Breach("once", f"{request_id} ran {count} times")


def _check_unasked(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    sent = {one.request_id: one for one in book.sent}
    for ran in book.ran:
        asked = sent.get(ran.request_id)
        if asked is None:
            yield Breach("unasked", f"{ran.request_id} ran and nobody sent it")
        elif (asked.path, asked.body) != (ran.path, ran.body):
            yield Breach("unasked", f"{ran.request_id} was changed on its way")


def _check_answers(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    ran: dict[str, list[ledger.Ran]] = collections.defaultdict(list)
    for one in book.ran:
        ran[one.request_id].append(one)
    for seen in book.seen.values():
        statuses = {one.status for one in ran[seen.request_id]}
        if 200 <= seen.status < 300:
            if not seen.is_signed or seen.body != make_answer(seen.request_id):
                yield Breach("whole", f"{seen.request_id}: not its target's answer")
            if seen.status not in statuses:
                yield Breach("whole", f"{seen.request_id}: succeeded without running")
        elif seen.is_signed and seen.status not in statuses:
            yield Breach("whole", f"{seen.request_id}: {seen.status} not the target's")


def _check_not_run(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    unsafe = {one.request_id for one in book.sent if one.is_unsafe}
    ran = {one.request_id for one in book.ran}
    for seen in book.seen.values():
        is_promised = seen.status in NOT_RUN and seen.request_id in unsafe
        if is_promised and seen.request_id in ran:
            yield Breach("not-run", f"{seen.request_id}: {seen.status}, and it ran")


def _check_draining(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    left = {one.target_id: one.at for one in book.drained}
    vms = {one.request_id: one.vm for one in book.sent}
    for ran in book.ran:
        at, vm = left.get(ran.target_id), vms.get(ran.request_id)
        if at is None or vm is None:
            continue
        late = ran.at - _find_reachable(book, vm, at, ran.at)
        if late > DRAIN_BOUND + SLACK:
            yield Breach("draining", f"{ran.target_id} got work {late:.1f} s too late")


def _check_versions(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Judge by the route that each version leads elsewhere."""
    sent = {one.request_id: one for one in book.sent}
    for ran in book.ran:
        asked = sent.get(ran.request_id)
        if asked is None or not asked.path.startswith("/moving/"):
            continue
        due = [
            one
            for one in book.published
            if asked.at - _find_reachable(book, asked.vm, one.at, asked.at)
            > CONFIGURATION_BOUND + SLACK
        ]
        allowed = {one.moving_service for one in book.published[len(due[:-1]) :]}
        if due and ran.service not in allowed:
            yield Breach("version", f"{ran.request_id} ran by an old version")


def _check_times(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    for sent in book.sent:
        seen = book.seen.get(sent.request_id)
        if seen is None or seen.has_left:
            continue
        took = seen.at - sent.at
        limit = TIME_LIMIT + TIME_BOUND + SLACK
        own = {_name(sent.vm)}
        if took > limit and not _touches(book, own, sent.at - CALM_BEFORE, seen.at):
            yield Breach("time", f"{sent.request_id} took {took:.1f} s")


def _check_time_handed_on(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """No target is given more time than its caller's route has left.

    A link that holds a request back delivers it with the time that was left before.
    """
    sent = {one.request_id: one for one in book.sent}
    links = [one for one in book.disturbed if one.kind == LINK_FAULT]
    for ran in book.ran:
        asked = sent.get(ran.request_id)
        if asked is None:
            continue
        left = TIME_LIMIT - (ran.at - asked.at)
        own = {_name(asked.vm)}
        if ran.time_left <= left + TIME_BOUND + SLACK:
            continue
        if _touches(book, {ran.target_id}, asked.at, ran.at, links):
            continue
        if not _touches(book, own, asked.at - CALM_BEFORE, ran.at):
            what = f"{ran.request_id}: {ran.time_left:.1f} s of {left:.1f} s"
            yield Breach("time-handed-on", what)


def _check_planned_stops(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """A request that ran gets an answer, also around a planned stop of its VM.

    Only a VM that is killed or paused is excused. Whatever its target or the store
    does, there is an answer to give.
    """
    ran = {one.request_id for one in book.ran}
    unplanned = [one for one in book.disturbed if one.kind not in PLANNED]
    for sent in book.sent:
        seen = book.seen.get(sent.request_id)
        if seen is None or seen.has_left or seen.status or sent.request_id not in ran:
            continue
        own = {_name(sent.vm)}
        if not _touches(book, own, sent.at, seen.at, unplanned):
            yield Breach("cut", f"{sent.request_id} ran, and its caller saw a close")


def _check_given_up(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Work that goes on at a sound target is not replaced by a failure of the proxy.

    Whether the VM is stopping makes no difference. The time limit of every route is
    over long before the last sixth of a stop's grace, which needs no excuse therefore.
    """
    sent = {one.request_id: one for one in book.sent}
    unplanned = [one for one in book.disturbed if one.kind not in PLANNED]
    links = [one for one in book.disturbed if one.kind == LINK_FAULT]
    crashed_at = {one.target_id: one.at for one in book.crashed}
    for ended in book.ended:
        ran = ended.ran
        asked, seen = sent.get(ran.request_id), book.seen.get(ran.request_id)
        if not ended.is_cut or asked is None or seen is None:
            continue
        if crashed_at.get(ran.target_id, ended.at) < ended.at:
            continue  # The target itself broke off.
        if seen.has_left or seen.is_signed or seen.at >= asked.at + TIME_LIMIT:
            continue
        if _touches(book, {_name(asked.vm)}, asked.at, seen.at, unplanned):
            continue
        if not _touches(book, {ran.target_id}, ran.at, ended.at, links):
            what = f"{ran.request_id} at vm-{asked.vm}: {ran.target_id} was at work for"
            what += f" {ended.at - ran.at:.2f} s, and its caller got {seen.status}"
            yield Breach("given-up", what)


def _check_crashing(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """A request that has crashed three targets reaches hardly any more.

    Counted is what VMs sent that were in touch, from some time after the third crash.
    """
    crashes: dict[str, list[float]] = collections.defaultdict(list)
    for one in book.crashed:
        if one.path:
            crashes[one.path].append(one.at)
    vms = {one.request_id: one.vm for one in book.sent}
    for path, times in crashes.items():
        if len(times) < CRASHES_TO_KNOW:
            continue
        due = sorted(times)[CRASHES_TO_KNOW - 1] + CALM_BEFORE + SLACK
        late = [
            ran
            for ran in book.ran
            if ran.path == path
            and ran.at > due
            and not _touches(
                book, {_name(vms[ran.request_id])}, ran.at - CALM_BEFORE, ran.at
            )
        ]
        if len(late) > MOST_AFTER_CRASHES:
            what = f"{path} ran {len(late)} times more; {len(times)} crashed in all"
            yield Breach("crashing", what)


def _check_limits(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """A target that names a limit gets little more, from all VMs in touch together."""
    vms = {one.request_id: one.vm for one in book.sent}
    for limited in book.limited:
        known_at = limited.begin + CALM_BEFORE + SLACK
        times = [
            one.at
            for one in book.arrived
            if one.target_id == limited.target_id
            and known_at <= one.at < limited.end
            and one.request_id in vms
            and not _touches(
                book, {_name(vms[one.request_id])}, one.at - CALM_BEFORE, one.at
            )
        ]
        most = LIMIT_SHARE * limited.rate * LIMIT_WINDOW + LIMIT_SLACK
        busiest = max(
            (sum(at <= one < at + LIMIT_WINDOW for one in times) for at in times),
            default=0,
        )
        if busiest > most:
            what = f"{limited.target_id}: {busiest} requests in 4 s, {most:.0f} allowed"
            yield Breach("limit", what)


def _check_retries(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """A service gets no more retries than its requests allow, whatever fails."""
    for service in sorted({one.service for one in book.arrived}):
        sent = [
            one.at
            for one in book.sent
            for prefix, services in LEADS_TO.items()
            if one.path.startswith(prefix) and service in services
        ]
        arrived = [
            (one.at, one.request_id) for one in book.arrived if one.service == service
        ]
        repeated = retry_audit.find_retries(arrived)
        worst = retry_audit.find_worst(sent, repeated, RETRIES)
        if worst.excess > 0:
            what = f"{service}: {worst.retries} in {RETRIES.span:.0f} s"
            yield Breach("retries", f"{what}, {worst.allowed:.0f} allowed")


def _check_denied(book: ledger.Ledger) -> collections.abc.Iterator[Breach]:
    """Only requests that crash their targets are kept from them."""
    guilty = {one.path for one in book.crashed if one.path}
    paths = {one.request_id: one.path for one in book.sent}
    for seen in book.seen.values():
        is_kept = request_run.QUARANTINED.encode() in seen.body
        if is_kept and paths[seen.request_id] not in guilty:
            what = f"{seen.request_id}: {paths[seen.request_id]} was quarantined"
            yield Breach("denied", what)


def _check_recovery(
    book: ledger.Ledger, calm_from: float
) -> collections.abc.Iterator[Breach]:
    sent = [
        one
        for one in book.sent
        if one.at >= calm_from + CALM_BEFORE and not one.path.startswith(CRASHING)
    ]
    ends = [book.seen.get(one.request_id) for one in sent]
    served = sum(1 for one in ends if one is not None and one.status == 200)
    asked = sum(1 for one in ends if one is None or not one.has_left)
    if not sent or served < RECOVERED_SHARE * asked:
        yield Breach("recovery", f"{served} of {asked} served after the last fault")


def make_answer(request_id: str) -> bytes:
    """Return the body with which a target answers a request."""
    return (f"done {request_id} " * 20).encode()


def _find_reachable(book: ledger.Ledger, vm: int, since: float, at: float) -> float:
    """Return from when on, up to `at`, a VM could learn what the store knew `since`.

    That is after the last fault of the store or the VM, and the time of calm after it.
    What a VM has had the time to learn, it keeps, whatever becomes of the store.
    """
    reachable = since
    for one in sorted(book.disturbed, key=lambda one: one.begin):
        if one.begin > at or one.end < since - CALM_BEFORE:
            continue
        is_own = one.touched == _name(vm)
        is_known = one.begin > reachable + DRAIN_BOUND + SLACK
        if is_own or (one.touched == "store" and not is_known):
            reachable = max(reachable, min(one.end, at) + CALM_BEFORE)
    return reachable


def _name(vm: int) -> str:
    return f"vm-{vm}"


def _touches(
    book: ledger.Ledger,
    touched: collections.abc.Collection[str],
    begin: float,
    end: float,
    faults: collections.abc.Iterable[ledger.Disturbed] | None = None,
) -> bool:
    """Return whether a fault of one of these lay in a span of time."""
    return any(
        one.touched in touched and one.begin <= end and one.end >= begin
        for one in (book.disturbed if faults is None else faults)
    )
