"""Command line of the daemon: invalid settings give findings, never a traceback."""

from __future__ import annotations

import json
import pathlib

import pytest
import typer.testing

from zinniastand_proxy import cli


def check_settings(path: pathlib.Path) -> typer.testing.Result:
    """Run the command line with ``--check`` on a settings file."""
    runner = typer.testing.CliRunner()
    return runner.invoke(cli.app, ["--settings", str(path), "--check"])


def test_check_reports_every_finding_with_its_location(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text(
        """{
        // a comment
        "vm": "", "callers": {"host": "example.org", "port": 99999}, "colour": 1,
        }"""
    )
    result = check_settings(path)
    assert result.exit_code == 2
    for location in ("vm:", "callers.host:", "callers.port:", "log:", "colour:"):
        assert location in result.output
    assert "Traceback" not in result.output


@pytest.mark.parametrize("text", ["", "{", "[1]", "\x00", "nonsense"])
def test_malformed_settings_file_gives_findings_and_no_traceback(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "settings.json"
    path.write_text(text)
    result = check_settings(path)
    assert result.exit_code == 2
    assert "Traceback" not in result.output


def test_key_window_above_half_of_the_log_retention_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    # Keys would be valid for ten hours, but the log keeps their claims for one hour
    # only. A late retry would find no record, and its work would run a second time.
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
    result = check_settings(path)
    assert result.exit_code == 2
    assert "keys.window_s" in result.output
    document["keys"] = {"window_s": 1800}
    path.write_text(json.dumps(document))
    assert check_settings(path).exit_code == 0
