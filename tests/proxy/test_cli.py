"""The daemon's command line: bad input gives findings, never a traceback."""

from __future__ import annotations

import json
import pathlib

import pytest
import typer.testing

from zinniastand_proxy import cli


def run(path: pathlib.Path) -> typer.testing.Result:
    """Check a settings file."""
    runner = typer.testing.CliRunner()
    return runner.invoke(cli.app, ["--settings", str(path), "--check"])


def test_reports_every_finding_with_its_place(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text(
        """{
        // a comment
        "vm": "", "callers": {"host": "example.org", "port": 99999}, "colour": 1,
        }"""
    )
    result = run(path)
    assert result.exit_code == 2
    for place in ("vm:", "callers.host:", "callers.port:", "log:", "colour:"):
        assert place in result.output
    assert "Traceback" not in result.output


@pytest.mark.parametrize("text", ["", "{", "[1]", "\x00", "nonsense"])
def test_survives_files_that_are_not_settings(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "settings.json"
    path.write_text(text)
    result = run(path)
    assert result.exit_code == 2
    assert "Traceback" not in result.output


def test_refuses_a_key_window_that_outlives_the_log(tmp_path: pathlib.Path) -> None:
    # A key is accepted for ten hours, but the log forgets its claim after one. The
    # caller's late retry would find no record and run a second time.
    path = tmp_path / "settings.json"
    document = {
        "vm": "vm-1",
        "data_centre": "dc-1",
        "callers": {"host": "127.0.0.1", "port": 0},
        "admin": {"host": "127.0.0.1", "port": 0},
        "peers": {"host": "127.0.0.1", "port": 0, "url": "ws://127.0.0.1:1"},
        "log": {"url": "http://127.0.0.1:1", "retention_s": 3600},
        "keys": {"window_s": 36000},
        "trusted_operators": {
            "members": [{"name": "a", "public_key": "A" * 43 + "="}],
        },
    }
    path.write_text(json.dumps(document))
    result = run(path)
    assert result.exit_code == 2
    assert "keys.window_s" in result.output
    document["keys"] = {"window_s": 1800}
    path.write_text(json.dumps(document))
    assert run(path).exit_code == 0
