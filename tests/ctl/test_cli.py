"""Tests of ``zinniactl`` commands on keys, proposals and bundles."""

from __future__ import annotations

import contextlib
import json
import pathlib
import threading

import anyio
import pytest
import typer.testing

from zinniastand_ctl import cli
from zinniastand_proxy import settings
from zinniastand_standins import documents, log_app, log_store, site

RUNNER = typer.testing.CliRunner()


@contextlib.contextmanager
def serve_log(store: log_store.LogStore):
    """Serve the log from a separate thread, since commands block the calling one."""
    ready, ports, stops = threading.Event(), [], []

    async def serve() -> None:
        stops.append(anyio.Event())
        async with anyio.create_task_group() as group:
            platform = site.Site(group)
            ports.append(await platform.serve(log_app.LogApp(store)))
            ready.set()
            while not stops[0].is_set():
                await anyio.sleep(0.02)
            group.cancel_scope.cancel()

    thread = threading.Thread(target=lambda: anyio.run(serve))
    thread.start()
    ready.wait(10)
    try:
        yield f"http://127.0.0.1:{ports[0]}"
    finally:
        stops[0].set()
        thread.join(10)


def run(*arguments: str | pathlib.Path) -> typer.testing.Result:
    """Run a command and return its exit code and output."""
    return RUNNER.invoke(cli.app, [str(argument) for argument in arguments])


class OperatorFiles:
    """A folder with the keys of two operators, settings and a bundle document."""

    def __init__(self, folder: pathlib.Path, url: str) -> None:
        self.folder = folder
        self.settings = folder / "settings.json"
        self.bundle = folder / "bundle.json"
        members = []
        for name in ("a", "b"):
            made = run("make-key", folder / f"{name}.key")
            members.append({"name": name, "public_key": made.output.strip()})
        self.operators = {"members": members, "sign_offs_needed": 2}
        document = {
            "vm": "ctl",
            "data_centre": "dc",
            "callers": {"host": "127.0.0.1", "port": 0},
            "admin": {"host": "127.0.0.1", "port": 0},
            "peers": {"host": "127.0.0.1", "port": 0, "url": "ws://127.0.0.1:1"},
            "log": {"url": url},
            "trusted_operators": self.operators,
        }
        self.settings.write_text(json.dumps(document))
        self.write_bundle(floor=1)

    def write_bundle(self, floor: int) -> None:
        """Write a bundle document."""
        document = documents.make_document({}, floor=floor)
        document["operators"] = self.operators
        self.bundle.write_text(json.dumps(document))

    def propose(self, name: str) -> pathlib.Path:
        """Propose the bundle document and sign the proposal as both operators."""
        path = self.folder / name
        made = run(
            "propose", self.bundle, "--settings", self.settings, "--out", path,
            "--accept-warnings",
        )  # fmt: skip
        assert made.exit_code == 0, made.output
        for operator in ("a", "b"):
            key = self.folder / f"{operator}.key"
            signed = run("sign", path, "--operator", operator, "--key", key)
            assert signed.exit_code == 0, signed.output
        return path

    def publish(self, path: pathlib.Path) -> typer.testing.Result:
        """Publish a proposal."""
        return run("publish", path, "--settings", self.settings)


def test_publishing_on_an_outdated_version_is_refused_and_names_the_winner(
    tmp_path: pathlib.Path,
) -> None:
    # Two operators propose changes to the same version. Only the first publication is
    # accepted, and the error of the second names the version that won.
    store = log_store.LogStore()
    with serve_log(store) as url:
        files = OperatorFiles(tmp_path, url)
        first = files.propose("first")
        files.write_bundle(floor=2)
        second = files.propose("second")
        assert files.publish(first).exit_code == 0
        second_result = files.publish(second)
        assert second_result.exit_code == 1
        assert "version 1" in second_result.output
        assert "proposal-" in second_result.output


def test_publish_finds_its_proposal_after_a_lost_append_answer(
    tmp_path: pathlib.Path,
) -> None:
    # The log appends the proposal but its answer is lost. The command has to find the
    # proposal by its id in the stream, and must not append it again.
    store = log_store.LogStore()
    with serve_log(store) as url:
        files = OperatorFiles(tmp_path, url)
        proposal = files.propose("first")
        store.loses_answers = True
        published = files.publish(proposal)
        assert published.exit_code == 0
        assert "accepted" in published.output
        assert store.appends == 1


def test_publish_fails_without_sign_offs_and_while_the_log_is_down(
    tmp_path: pathlib.Path,
) -> None:
    store = log_store.LogStore()
    with serve_log(store) as url:
        files = OperatorFiles(tmp_path, url)
        path = tmp_path / "p"
        run("propose", files.bundle, "--settings", files.settings, "--out", path)
        refused = files.publish(path)
        assert refused.exit_code == 1
        assert "0 of 2 sign-offs" in refused.output
        store.is_down = True
        down = files.publish(path)
        assert down.exit_code == 3
        assert "Traceback" not in down.output


def test_drain_writes_a_proposal_and_rejects_unknown_targets(
    tmp_path: pathlib.Path,
) -> None:
    store = log_store.LogStore()
    with serve_log(store) as url:
        files = OperatorFiles(tmp_path, url)
        assert files.publish(files.propose("first")).exit_code == 0
        path = tmp_path / "drain"
        made = run(
            "drain", "desk", "t1", "--settings", files.settings, "--out", path,
            "--accept-warnings",
        )  # fmt: skip
        assert made.exit_code == 0, made.output
        missing = run(
            "drain", "desk", "t9", "--settings", files.settings, "--out", path
        )
        assert missing.exit_code == 2
        assert "no target 't9'" in missing.output


@pytest.mark.parametrize(
    "command",
    [
        ["check-bundle", "nowhere.json"],
        ["check-settings", "nowhere.json"],
        ["sign", "nowhere", "--operator", "a", "--key", "nowhere"],
        ["status", "--admin", "http://127.0.0.1:9"],
        ["timeline", "--admin", "http://127.0.0.1:9"],
    ],
)
def test_bad_input_ends_with_an_exit_code_and_no_traceback(command: list[str]) -> None:
    result = run(*command)
    assert result.exit_code in (2, 3)
    assert "Traceback" not in result.output
    assert result.exception is None or isinstance(result.exception, SystemExit)


def test_every_finding_of_a_bundle_is_reported(tmp_path: pathlib.Path) -> None:
    document = documents.make_document({"a": documents.make_key(1)}, floor=99)
    document["services"]["desk"]["routes"][0]["kind"] = "nothing"
    document["services"]["desk"]["targets"][0]["host"] = "example.org"
    path = tmp_path / "bundle.json"
    path.write_text(json.dumps(document))
    result = run("check-bundle", path)
    assert result.exit_code == 2
    for location in ("floor_slots", "routes[0].kind", "targets[0].host"):
        assert location in result.output
    assert settings.parse("{}", "x").is_error()
