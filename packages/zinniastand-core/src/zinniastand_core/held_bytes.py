"""Account of the bytes that a VM holds for callers and targets.

Load pattern: hundreds of callers take large answers slowly while others send short
work. Each large answer gets a window; what remains of the memory is used to read
answers ahead, those with the shortest remainder first, so that their targets are
released early.

Some callers send long bodies at the same time. A body is accepted with its whole length
or not at all, and leaves room for another of its size: long ones are refused while
short ones are still accepted.

All methods are pure: they neither read a clock nor wait. `now` is in seconds of the
caller's monotonic clock.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

DEFAULT_LIMIT_BYTES = 32 << 20
"""Limit without known memory, for request bodies and for streamed answers each."""

PROCESS_BYTES = 72 << 20
"""Memory that the process needs for itself: the interpreter and its modules, and some
hundred open connections with their parsers."""

HOLDING_SHARE = 0.7
"""Share of the remaining memory that answers may take. The rest is for parts that are
copied on their way through parsers and sockets, and for memory that is not reused."""

BASE_BYTES = 48 << 20
"""Memory that the process needs without connections."""

CEILING_SHARE = 0.85
"""Share of the memory beyond that which may be held in all, connections included."""

CONNECTION_BYTES = 20 << 10
"""Memory of an open connection: its task, buffers and parser."""

REQUEST_BYTES = 48 << 10
"""Memory of a request that is not answered yet, beyond its body: its run, its
connection to a target, and both their parsers."""

FIELD_BYTES = 256
"""Memory of a header field beyond its text."""

USUAL_HEAD_BYTES = 8 << 10
"""Memory of a head that `REQUEST_BYTES` covers."""

SHORT_BODY_BYTES = 16 << 10
"""Size up to which a body is accepted while there is any room."""

SPARE_SHARE = 0.15
"""Share of the ceiling that longer bodies leave to short requests."""

MAX_OWN_SPARE_SHARE = 0.05
"""Limit on the further share that each leaves for another of its size, so that longer
ones are refused sooner."""

WHOLE_ANSWERS_SHARE = 0.9
"""Share of the limit on answers from which a long answer that is buffered whole has to
wait: later than streams are refused, and before all requests are."""

BODY_HOLD_S = 1.0
"""Typical seconds for which a body is held. Until some were released, this tells how
soon there is room again."""

MIN_LIMIT_BYTES = 4 << 20
"""Lower bound of a derived limit, so that a VM with very little memory still serves."""

WINDOW_BYTES = 65_536
"""Bytes of an answer that are always read before its caller takes any: some hundredths
of a second at the bandwidth of the smallest VMs."""

READ_AHEAD_SHARE = 0.5
"""Share of the limit up to which answers are read ahead beyond their windows. On the
smallest VMs, windows for 300 more requests fit beside it."""

LARGE_SHARE = 0.85
"""Share of the limit from which requests with large answers are refused."""

ALL_SHARE = 0.95
"""Share of the limit from which all requests are refused."""

RATE_INTERVAL_S = 2.0
"""Time constant of the estimate of how fast bytes are released."""

MIN_RETURN_S = 0.5
"""Lower bound of the time until capacity returns: most requests end within it."""

MAX_RETURN_S = 10.0
"""Upper bound of that time, for when hardly anything is being released."""


def measure_head(text_bytes: int, fields: int) -> int:
    """Return the memory of a request's head beyond what is counted for any request.

    Parameters
    ----------
    text_bytes : int
        Size of the head as it was sent.
    fields : int
        Number of its header fields.
    """
    return max(0, text_bytes + FIELD_BYTES * fields - USUAL_HEAD_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the account, in bytes."""

    bodies: int
    """Limit on request bodies, and on all that is held beside them if it is shared."""

    total: int
    """Limit on answers."""

    is_shared: bool
    """Whether request bodies and whole answers count towards both limits, and all
    requests are refused when one is nearly exhausted."""


def make_limits(memory_bytes: int | None) -> Limits:
    """Return the limits for the memory of the VM; None if that is not known."""
    if memory_bytes is None:
        return Limits(DEFAULT_LIMIT_BYTES, DEFAULT_LIMIT_BYTES, False)
    remaining = max(0, memory_bytes - PROCESS_BYTES)
    total = max(MIN_LIMIT_BYTES, int(remaining * HOLDING_SHARE))
    ceiling = int(max(0, memory_bytes - BASE_BYTES) * CEILING_SHARE)
    return Limits(max(total, ceiling), total, True)


@dataclasses.dataclass(slots=True, eq=False)
class StreamShare:
    """Part of the account that belongs to one request with a large answer."""

    held: int = 0
    """Bytes that were read and not taken yet."""

    promised: int = 0
    """Bytes that may be read ahead beyond the window."""

    remainder: float = math.inf
    """Bytes of the answer that are not read yet; infinite if its length is unknown."""

    @property
    def committed(self) -> int:
        """Bytes that this share may come to hold; at least a window."""
        return max(WINDOW_BYTES, self.held + self.promised)

    @property
    def may_read(self) -> bool:
        """Whether more of the answer may be read now."""
        return self.held < WINDOW_BYTES or self.promised > 0


class HeldBytes:
    """The account of one VM.

    Parameters
    ----------
    limits : Limits
        Limits in bytes.

    Attributes
    ----------
    bodies : int
        Bytes of request bodies that were accepted, whether or not they have arrived.
    overhead : int
        Bytes that connections and requests take beside bodies.
    whole_answers : int
        Bytes of whole answers that wait for their callers.
    streams : int
        Number of requests with large answers that were accepted and have not ended.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.bodies = 0
        self.overhead = 0
        self.whole_answers = 0
        self.streams = 0
        self._streamed = 0
        self._committed_by_streams = 0
        self._released = 0.0
        self._released_at = -math.inf

    @property
    def limits(self) -> Limits:
        """Limits in bytes."""
        return self._limits

    @property
    def held(self) -> int:
        """Bytes that are held now."""
        return self.bodies + self.whole_answers + self._streamed

    @property
    def committed(self) -> int:
        """Bytes that count towards the total limit."""
        if not self._limits.is_shared:
            return self._committed_by_streams
        return self._committed_by_streams + self.bodies + self.whole_answers

    @property
    def occupied(self) -> int:
        """Bytes that count towards the limit on bodies."""
        if not self._limits.is_shared:
            return self.bodies
        return self.committed + self.overhead

    def has_room_for_body(self, size: int, body_bytes: int) -> bool:
        """Return whether `size` bytes of a body may be added.

        Parameters
        ----------
        size : int
            Bytes to add.
        body_bytes : int
            Size of the whole body so far, these bytes included.
        """
        return self._find_body_excess(size, body_bytes) <= 0

    def has_room_for_answer(self, size: int) -> bool:
        """Return whether an answer of this size may be buffered whole."""
        if not self._limits.is_shared:
            return True
        answers = self._committed_by_streams + self.whole_answers
        if not answers:
            # The longest answer may exceed the limit of a very small VM.
            return True
        return (
            answers + size <= self._limits.total * WHOLE_ANSWERS_SHARE
            and self.occupied + size <= self._limits.bodies
        )

    @property
    def accepts_any(self) -> bool:
        """Whether requests without large answers are accepted."""
        return self._find_excess(has_large_answer=False) <= 0

    @property
    def may_read_ahead(self) -> bool:
        """Whether there is memory left to read answers ahead."""
        return self.committed < self._limits.total * READ_AHEAD_SHARE

    def add_overhead(self, size: int) -> None:
        """Count a change in what connections and requests take beside bodies."""
        self.overhead += size

    def add_body(self, size: int) -> None:
        """Count bytes of a request body as held."""
        self.bodies += size

    def remove_body(self, size: int, now: float) -> None:
        """Count bytes of a request body as released."""
        self.bodies -= size
        if self._limits.is_shared:
            self._record_release(size, now)

    def add_whole_answer(self, size: int) -> None:
        """Count bytes of an answer that waits for its caller."""
        self.whole_answers += size

    def remove_whole_answer(self, size: int, now: float) -> None:
        """Count bytes of such an answer as released."""
        self.whole_answers -= size
        if self._limits.is_shared:
            self._record_release(size, now)

    def accepts(self, has_large_answer: bool) -> bool:
        """Return whether a new request is accepted."""
        return self._find_excess(has_large_answer) <= 0

    def find_return(self, has_large_answer: bool, now: float) -> float:
        """Return the seconds after which a refused request may be accepted."""
        return self._find_time(self._find_excess(has_large_answer), now)

    def find_body_return(self, size: int, body_bytes: int, now: float) -> float:
        """Return the seconds after which there may be room for a refused body."""
        return self._find_time(self._find_body_excess(size, body_bytes), now)

    def _find_time(self, excess: float, now: float) -> float:
        """Return the seconds until some bytes are expected to be released."""
        if excess <= 0:
            return MIN_RETURN_S
        rate = max(self._decay(now) / RATE_INTERVAL_S, self.bodies / BODY_HOLD_S)
        if rate <= 0:
            return MAX_RETURN_S
        return min(MAX_RETURN_S, max(MIN_RETURN_S, excess / rate))

    def open_share(self) -> StreamShare:
        """Commit a window to a request with a large answer."""
        share = StreamShare()
        self.streams += 1
        self._committed_by_streams += share.committed
        return share

    def close_share(self, share: StreamShare, now: float) -> None:
        """Release all that a request holds and was promised. Called once."""
        self.streams -= 1
        self._streamed -= share.held
        self._committed_by_streams -= share.committed
        self._record_release(share.committed, now)

    def add_streamed(self, share: StreamShare, size: int) -> None:
        """Count bytes of a streamed answer as read."""
        before = share.committed
        share.held += size
        share.promised = max(0, share.promised - size)
        share.remainder = max(0, share.remainder - size)
        if share.remainder == 0:
            share.promised = 0
        self._streamed += size
        self._committed_by_streams += share.committed - before

    def remove_streamed(self, share: StreamShare, size: int, now: float) -> None:
        """Count bytes of a streamed answer as taken by their caller."""
        before = share.committed
        share.held -= size
        self._streamed -= size
        self._committed_by_streams += share.committed - before
        self._record_release(before - share.committed, now)

    def grant_read_ahead(
        self, waiting: collections.abc.Iterable[StreamShare]
    ) -> list[StreamShare]:
        """Promise memory to streams that have used up their windows.

        A stream is promised the whole remainder of its answer, or one window if the
        length is unknown. Those with the shortest remainder come first.

        Returns
        -------
        list of StreamShare
            Those that may read more than before.
        """
        granted = []
        limit = self._limits.total * READ_AHEAD_SHARE
        for share in sorted(waiting, key=lambda share: share.remainder):
            wanted = WINDOW_BYTES
            if share.remainder < math.inf:
                wanted = int(share.remainder)
            growth = max(WINDOW_BYTES, share.held + wanted) - share.committed
            if self.committed + growth > limit:
                break
            share.promised = wanted
            self._committed_by_streams += growth
            granted.append(share)
        return granted

    def _find_excess(self, has_large_answer: bool) -> float:
        """Return by how many bytes a request exceeds its limit; negative for room."""
        if has_large_answer:
            return self.committed + WINDOW_BYTES - self._limits.total * LARGE_SHARE
        if not self._limits.is_shared:
            return -math.inf
        answers = self._committed_by_streams + self.whole_answers
        return max(
            answers - self._limits.total * ALL_SHARE,
            self.occupied - self._limits.bodies,
        )

    def _find_body_excess(self, size: int, body_bytes: int) -> float:
        """Return by how many bytes a body exceeds the limit; negative for room."""
        spare = 0.0
        if self._limits.is_shared and body_bytes > SHORT_BODY_BYTES:
            own_spare = min(body_bytes, self._limits.bodies * MAX_OWN_SPARE_SHARE)
            spare = self._limits.bodies * SPARE_SHARE + own_spare
        return self.occupied + size + spare - self._limits.bodies

    def _record_release(self, size: int, now: float) -> None:
        self._released = self._decay(now) + size
        self._released_at = now

    def _decay(self, now: float) -> float:
        """Return the recently released bytes, weighted by how recent they are."""
        elapsed = max(0.0, now - self._released_at)
        return self._released * math.exp(-elapsed / RATE_INTERVAL_S)
