"""Tests that the example program runs and the example documents are valid."""

from __future__ import annotations

import pathlib
import runpy

import json5
import pytest

from zinniastand_core import bundles
from zinniastand_proxy import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def test_embedding_example_prints_weights_and_a_choice(
    capsys: pytest.CaptureFixture[str],
) -> None:
    runpy.run_path(str(EXAMPLES / "embedding.py"), run_name="__main__")
    lines = capsys.readouterr().out.splitlines()
    assert lines[:3] == [
        "desk-1: weight 1.00",
        "desk-2: weight 1.00",
        "desk-3: weight 0.02",
    ]
    assert lines[3].startswith("send to desk-")


def test_example_settings_are_valid() -> None:
    assert settings.load(EXAMPLES / "settings.json").is_ok()


def test_example_bundle_is_valid() -> None:
    document = json5.loads((EXAMPLES / "bundle.json").read_text())
    assert bundles.parse_document(document).is_ok()
