"""Positions of entries in the order in which a store has ever issued them.

A store that is restored from an older copy issues the same offsets again. The era tells
them apart: every entry of a later era comes after all entries of earlier eras. A
position is one integer with the era in its high bits and the offset in its low bits, so
that positions compare as plain numbers.
"""

from __future__ import annotations

OFFSET_BITS = 44
"""Bits of a position that hold the offset; enough for every record a store writes."""

OFFSETS_PER_ERA = 1 << OFFSET_BITS
"""Number of positions in an era."""


def make_position(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return era * OFFSETS_PER_ERA + offset


def find_era(position: int) -> int:
    """Return the era of a position; 0 for an unknown position, which is negative."""
    return max(0, position) // OFFSETS_PER_ERA


def find_offset(position: int) -> int:
    """Return the offset of a position within its era."""
    return position % OFFSETS_PER_ERA
