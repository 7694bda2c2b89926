"""Fixtures of the edge's tests."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio, the backend that the edge uses."""
    return "asyncio"
