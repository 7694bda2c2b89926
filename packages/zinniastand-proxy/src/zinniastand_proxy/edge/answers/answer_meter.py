"""Counts what arrives as the answer to one request, and enforces the bounds on it."""

from __future__ import annotations

from .. import input_bounds

MAX_BODY_BYTES = 8 << 20
"""Default limit on the body of an answer."""

MAX_INTERIM_ANSWERS = 16
"""Limit on the interim answers (1xx) to one request."""

MAX_FRAMING_BYTES = 128 << 10
"""Limit on the bytes of all answers to one request that are not body: heads, chunk
headers and trailers, apart from what `MAX_FRAMING_SHARE` allows."""

MAX_FRAMING_SHARE = 1 / 16
"""Further bytes of this kind for each byte of a body. Parsing a chunk takes as long
whatever its size, so a long body of tiny chunks would occupy the processor."""

HEAD_TOO_LONG = "answer head too long"
HEAD_TOO_SLOW = "answer head took too long"
BODY_TOO_LONG = "answer body too long"
FRAMING_TOO_LONG = "answer framing too long"
TOO_MANY_INTERIM = "too many interim answers"
TOO_MANY_FOREIGN = "too many answers to other requests"


class AnswerMeter:
    """Counts the bytes and interim answers of one exchange.

    Parameters
    ----------
    max_body_bytes : int
        Limit on the body of each answer.

    Attributes
    ----------
    received : int
        Bytes received so far, over all answers.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._interim = 0
        self._body = 0
        self._earlier_bodies = 0
        self.received = 0

    def begin_answer(self) -> None:
        """Count the body of the next answer from zero."""
        self._earlier_bodies += self._body
        self._body = 0

    def count_interim(self) -> None:
        """Count an interim answer; raise `BoundReachedError` beyond the limit."""
        self._interim += 1
        if self._interim > MAX_INTERIM_ANSWERS:
            raise input_bounds.BoundReachedError(TOO_MANY_INTERIM, self._interim)

    def check_length(self, length: int) -> None:
        """Raise `BoundReachedError` if a body of this length exceeds the limit."""
        if length > self._max_body_bytes:
            raise input_bounds.BoundReachedError(BODY_TOO_LONG, length)

    def count_body(self, size: int) -> None:
        """Count bytes of a body; raise `BoundReachedError` beyond the limit."""
        self._body += size
        self.check_length(self._body)

    def check_framing(self) -> None:
        """Raise `BoundReachedError` if too much was received that is not body."""
        bodies = self._earlier_bodies + self._body
        framing = self.received - bodies
        if framing > MAX_FRAMING_BYTES + MAX_FRAMING_SHARE * bodies:
            raise input_bounds.BoundReachedError(FRAMING_TOO_LONG, framing)
