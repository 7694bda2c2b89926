"""The version of the configuration in force never decreases."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from zinniastand_core.deployment import configuration


def make(version: int) -> configuration.Configuration:
    return configuration.Configuration(version, (), (), configuration.Limits())


@hypothesis.given(st.lists(st.integers(1, 50)))
def test_version_never_decreases_whatever_is_offered(versions: list[int]) -> None:
    # A peer that was cut off offers an old version after the store returned a new one.
    # Accepting it would serve routes that operators have removed.
    state = configuration.ConfigurationState()
    highest = 0
    for version in versions:
        assert state.offer(make(version)) == (version > highest)
        highest = max(highest, version)
        assert state.version == highest
