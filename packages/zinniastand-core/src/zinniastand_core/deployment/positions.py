"""Places in the order of all that a store has ever given out.

A store that returns from an older copy gives offsets out again. Its era tells the two
apart: whatever it says in a later era comes after all that it said before. A place is
one number, with the era before the offset, so that places compare as they stand.
"""

from __future__ import annotations

OFFSET_BITS = 44
"""Bits of a place that hold the offset: more records than a store ever writes."""

OFFSETS_PER_ERA = 1 << OFFSET_BITS


def make_position(era: int, offset: int) -> int:
    """Return the place of an offset in an era."""
    return era * OFFSETS_PER_ERA + offset


def find_era(position: int) -> int:
    """Return the era of a place; that of an unknown one, which is negative, is 0."""
    return max(0, position) // OFFSETS_PER_ERA


def find_offset(position: int) -> int:
    """Return the offset of a place in its era."""
    return position % OFFSETS_PER_ERA
