"""Settings of all tests."""

from __future__ import annotations

import os

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=False, database=None
)
# A longer search, different on each run; a failure prints how to reproduce it.
hypothesis.settings.register_profile("fuzz", deadline=None, print_blob=True)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    """Run coroutines as the daemon does."""
    return "asyncio", {"use_uvloop": True}
