"""Keeps garbage collection from stopping the process that judges a soak."""

from __future__ import annotations

import collections.abc
import contextlib
import gc


@contextlib.contextmanager
def exclude_present_objects() -> collections.abc.Iterator[None]:
    """Exclude all present objects from garbage collection for a time.

    Callers, targets and the clock by which answers are judged run in one process. If it
    also holds the objects of a whole test run, collecting those stops it for seconds.
    """
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()
