"""Settings of all tests."""

from __future__ import annotations

import os

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=False, database=None
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    """Run coroutines as the daemon does."""
    return "asyncio", {"use_uvloop": True}
