"""Commands for settings, keys and bundles, from check to publication."""

from __future__ import annotations

import copy
import pathlib
import typing
import uuid

import expression
import typer

from zinniastand_core import bundles, chain, findings, proposals, review
from zinniastand_proxy import settings

from . import files, key_files, log_access, output

SettingsOption = typing.Annotated[
    pathlib.Path,
    typer.Option(
        "--settings", help="Settings of any VM; they name the log and operators."
    ),
]
JsonOption = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]
BundleArgument = typing.Annotated[pathlib.Path, typer.Argument(help="Bundle document.")]
ProposalArgument = typing.Annotated[pathlib.Path, typer.Argument(help="Proposal file.")]
OperatorOption = typing.Annotated[
    str, typer.Option("--operator", help="Your name in the bundle.")
]
KeyOption = typing.Annotated[
    pathlib.Path, typer.Option("--key", help="Your private key file.")
]
OutOption = typing.Annotated[
    pathlib.Path, typer.Option("--out", help="Where to write the proposal.")
]
ForceOption = typing.Annotated[
    bool, typer.Option("--accept-warnings", help="Propose in spite of warnings.")
]


def check_settings(
    path: typing.Annotated[pathlib.Path, typer.Argument(help="Settings file.")],
) -> None:
    """Check a VM's settings. Exit codes: 0 valid, 2 findings."""
    files.read_settings(path)
    typer.echo("settings are fine")


def check_bundle(path: BundleArgument, as_json: JsonOption = False) -> None:
    """Check a bundle document. Exit codes: 0 valid, 2 findings."""
    bundle = files.read_bundle(path)
    summary = {
        "digest": bundle.digest.hex(),
        "services": len(bundle.services),
        "targets": sum(len(service.targets) for service in bundle.services),
    }
    text = ", ".join(f"{name} {value}" for name, value in summary.items())
    output.show(summary, as_json, f"bundle is fine: {text}")


def make_key(
    path: typing.Annotated[pathlib.Path, typer.Argument(help="New private key file.")],
) -> None:
    """Make an operator's private key and print its public key for the bundle."""
    typer.echo(key_files.make(path))


def propose(
    bundle_file: BundleArgument,
    settings_file: SettingsOption,
    out: OutOption,
    force: ForceOption = False,
) -> None:
    """Make a proposal to replace the bundle in force by a bundle document.

    Exit codes: 0 written, 1 warnings not accepted, 2 bad input, 3 log unreachable.
    """
    new = files.read_bundle(bundle_file)
    head = log_access.load_chain(files.read_settings(settings_file))
    _write_proposal(head, new, out, force)


def diff(
    bundle_file: BundleArgument,
    settings_file: SettingsOption,
    as_json: JsonOption = False,
) -> None:
    """Show which sections a bundle document changes, and warnings for its reviewers.

    Exit codes: 0 shown, 2 bad input, 3 log unreachable.
    """
    new = files.read_bundle(bundle_file)
    head = log_access.load_chain(files.read_settings(settings_file))
    changes = bundles.compare(head.bundle, new)
    warnings = review.review(head.bundle, new)
    rows = {
        key: "removed"
        if value is None
        else ("changed" if key in head.bundle.sections else "added")
        for key, value in sorted(changes.items())
    }
    value = {"changes": rows, "warnings": [str(item) for item in warnings.items]}
    lines = [f"{change_type:8} {key}" for key, change_type in rows.items()] or [
        "no change"
    ]
    lines += [f"warning: {item}" for item in warnings.items]
    output.show(value, as_json, "\n".join(lines))


def sign(path: ProposalArgument, operator: OperatorOption, key: KeyOption) -> None:
    """Add a sign-off to a proposal file. Exit codes: 0 signed, 2 bad input."""
    proposal = files.read_proposal(path)
    signed = proposals.sign(proposal, operator, key_files.read(key))
    files.write_proposal(path, signed)
    names = ", ".join(sign_off.operator for sign_off in signed.sign_offs)
    typer.echo(f"{signed.proposal_id} version {signed.version} signed by {names}")


def publish(path: ProposalArgument, settings_file: SettingsOption) -> None:
    """Append a signed proposal to the log and report whether it was accepted.

    Exit codes: 0 accepted, 1 refused (the reason names the bundle accepted instead, if
    there is one), 2 bad input, 3 log unreachable.
    """
    proposal = files.read_proposal(path)
    _print_ruling(log_access.publish(files.read_settings(settings_file), proposal))


def drain(
    service: typing.Annotated[str, typer.Argument(help="Service.")],
    target: typing.Annotated[str, typer.Argument(help="Target.")],
    settings_file: SettingsOption,
    out: OutOption,
    force: ForceOption = False,
) -> None:
    """Propose to take a target out of service; sign and publish this like others."""
    _set_draining(service, target, files.read_settings(settings_file), out, force, True)


def undrain(
    service: typing.Annotated[str, typer.Argument(help="Service.")],
    target: typing.Annotated[str, typer.Argument(help="Target.")],
    settings_file: SettingsOption,
    out: OutOption,
    force: ForceOption = False,
) -> None:
    """Propose to bring a target back into service."""
    config = files.read_settings(settings_file)
    _set_draining(service, target, config, out, force, False)


def _set_draining(
    service: str,
    target: str,
    config: settings.Settings,
    out: pathlib.Path,
    force: bool,
    is_draining: bool,
) -> None:
    head = log_access.load_chain(config)
    section = head.bundle.sections.get(bundles.SERVICE_PREFIX + service)
    if section is None:
        output.fail(f"no service {service!r} in version {head.version}")
    value = copy.deepcopy(section.value)
    target_rows = typing.cast("list[dict[str, object]]", value["targets"])
    matches = [item for item in target_rows if item["name"] == target]
    if not matches:
        output.fail(f"no target {target!r} in service {service!r}")
    matches[0]["draining"] = is_draining
    match bundles.change(head.bundle, {bundles.SERVICE_PREFIX + service: value}):
        case expression.Result(tag="ok", ok=new):
            _write_proposal(head, new, out, force)
        case expression.Result(error=problems):
            output.fail(problems)


def _write_proposal(
    head: chain.Chain, new: bundles.Bundle, out: pathlib.Path, force: bool
) -> None:
    if new.digest == head.bundle.digest:
        output.fail("the bundle is in force already", output.EXIT_FAILED)
    warnings = review.review(head.bundle, new)
    _show_warnings(warnings)
    if warnings.items and head.version and not force:
        output.fail(
            "not proposed because of the warnings; see --accept-warnings",
            output.EXIT_FAILED,
        )
    name = f"proposal-{uuid.uuid4().hex[:12]}"
    proposal = proposals.propose(name, head.version + 1, head.bundle, new)
    files.write_proposal(out, proposal)
    needed = head.bundle.operators.sign_offs_needed
    typer.echo(f"{name} version {proposal.version} needs {needed} sign-offs: {out}")


def _show_warnings(warnings: findings.Findings) -> None:
    for item in warnings.items:
        typer.echo(f"warning: {item}", err=True)


def _print_ruling(ruling: chain.Ruling) -> None:
    if ruling.verdict in (chain.Verdict.ACCEPTED, chain.Verdict.KNOWN):
        typer.echo(f"{ruling.proposal_id} accepted")
        return
    message = f"{ruling.proposal_id} {ruling.verdict}: {ruling.reason}"
    output.fail(message, output.EXIT_FAILED)
