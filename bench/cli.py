"""Prints the tables that the docs quote; all runs give the same figures."""

from __future__ import annotations

from . import choice, detection


def main() -> None:
    """Print all tables."""
    print("## Choice of target\n")
    print(choice.format_report())
    print("\n## Detection\n")
    print(detection.format_report())


if __name__ == "__main__":
    main()
