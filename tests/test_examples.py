"""The examples run, and the example documents have no findings."""

from __future__ import annotations

import pathlib
import runpy

import json5
import pytest

from zinniastand_core import bundles
from zinniastand_proxy import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def test_the_library_can_be_embedded(capsys: pytest.CaptureFixture[str]) -> None:
    runpy.run_path(str(EXAMPLES / "embedding.py"), run_name="__main__")
    lines = capsys.readouterr().out.splitlines()
    assert lines[:3] == [
        "desk-1: weight 1.00",
        "desk-2: weight 1.00",
        "desk-3: weight 0.02",
    ]
    assert lines[3].startswith("send to desk-")


def test_the_example_settings_are_fine() -> None:
    assert settings.load(EXAMPLES / "settings.json").is_ok()


def test_the_example_bundle_is_fine() -> None:
    document = json5.loads((EXAMPLES / "bundle.json").read_text())
    assert bundles.parse_document(document).is_ok()
