"""Settings of the edge's tests."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run on the loop that the edge uses."""
    return "asyncio"
