"""zinniactl against the log stand-in: a bundle's way from file to fleet."""

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
    """Serve the log from a thread of its own, since the command line blocks."""
    ready, ports, stops = threading.Event(), [], []

    async def serve() -> None:
        stops.append(anyio.Event())
        async with anyio.create_task_group() as group:
            place = site.Site(group)
            ports.append(await place.serve(log_app.LogApp(store)))
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
    """Run a command."""
    return RUNNER.invoke(cli.app, [str(argument) for argument in arguments])


class Desk:
    """An operator's folder: keys, settings and a bundle document."""

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
        """Propose the bundle document and have both operators sign."""
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


def test_racing_operators_learn_who_won(tmp_path: pathlib.Path) -> None:
    # Two operators propose on the same base. Both publish; the second is told which
    # bundle beat its own, and nothing of it is in force.
    store = log_store.LogStore()
    with serve_log(store) as url:
        desk = Desk(tmp_path, url)
        first = desk.propose("first")
        desk.write_bundle(floor=2)
        second = desk.propose("second")
        assert desk.publish(first).exit_code == 0
        lost = desk.publish(second)
        assert lost.exit_code == 1
        assert "version 1" in lost.output
        assert "proposal-" in lost.output


def test_a_lost_append_answer_is_settled_by_reading(tmp_path: pathlib.Path) -> None:
    # The log appends the proposal and its answer is lost. The publisher reads the
    # stream, finds its proposal by id, and reports that it won.
    store = log_store.LogStore()
    with serve_log(store) as url:
        desk = Desk(tmp_path, url)
        proposal = desk.propose("first")
        store.loses_answers = True
        published = desk.publish(proposal)
        assert published.exit_code == 0
        assert "accepted" in published.output
        assert store.appends == 1


def test_an_unsigned_bundle_and_a_log_that_is_down(tmp_path: pathlib.Path) -> None:
    store = log_store.LogStore()
    with serve_log(store) as url:
        desk = Desk(tmp_path, url)
        path = tmp_path / "p"
        run("propose", desk.bundle, "--settings", desk.settings, "--out", path)
        refused = desk.publish(path)
        assert refused.exit_code == 1
        assert "0 of 2 sign-offs" in refused.output
        store.is_down = True
        down = desk.publish(path)
        assert down.exit_code == 3
        assert "Traceback" not in down.output


def test_a_drain_is_a_proposal_like_any_other(tmp_path: pathlib.Path) -> None:
    store = log_store.LogStore()
    with serve_log(store) as url:
        desk = Desk(tmp_path, url)
        assert desk.publish(desk.propose("first")).exit_code == 0
        path = tmp_path / "drain"
        made = run(
            "drain", "desk", "t1", "--settings", desk.settings, "--out", path,
            "--accept-warnings",
        )  # fmt: skip
        assert made.exit_code == 0, made.output
        missing = run("drain", "desk", "t9", "--settings", desk.settings, "--out", path)
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
def test_bad_input_ends_with_a_message(command: list[str]) -> None:
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
    for place in ("floor_slots", "routes[0].kind", "targets[0].host"):
        assert place in result.output
    assert settings.parse("{}", "x").is_error()
