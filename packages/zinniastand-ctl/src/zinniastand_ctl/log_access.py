"""Read and append to the configuration stream of the platform's log."""

from __future__ import annotations

import anyio

from zinniastand_core import chain, proposals
from zinniastand_proxy import fleet, platform_log, settings

from . import output

MAX_RULING_CHECKS = 20
"""Maximum number of reads of the stream to find the ruling on a proposal."""

RULING_CHECK_INTERVAL_S = 0.5
"""Delay between two of these reads."""


async def read_chain(
    log: platform_log.Log, config: settings.Settings
) -> tuple[chain.Chain, dict[str, chain.Ruling]]:
    """Read the whole stream and apply its proposals.

    Returns
    -------
    tuple
        The chain of accepted bundles, and the ruling on each proposal by its id. Where
        a proposal stands several times in the stream, an acceptance takes precedence.

    Raises
    ------
    platform_log.LogRefusedError
        If the log cannot be read.
    """
    accepted = chain.Chain(config.trusted)
    rulings: dict[str, chain.Ruling] = {}
    offset = 0
    while True:
        page = await log.read(fleet.CONFIG_STREAM, offset, 0.0)
        if not page.entries:
            return accepted, rulings
        for data in page.entries:
            ruling = accepted.apply(data)
            earlier = rulings.get(ruling.proposal_id)
            if earlier is None or earlier.verdict is not chain.Verdict.ACCEPTED:
                rulings[ruling.proposal_id] = ruling
        offset = page.offset + len(page.entries)


def load_chain(config: settings.Settings) -> chain.Chain:
    """Return the chain of accepted bundles, or end the command if the log is down."""

    async def _load() -> chain.Chain:
        log = platform_log.HttpLog(config.log_url)
        try:
            loaded, _ = await read_chain(log, config)
            return loaded
        finally:
            await log.close()

    try:
        return anyio.run(_load)
    except platform_log.LogRefusedError as error:
        output.fail(f"the log cannot be read: {error}", output.EXIT_UNREACHABLE)


def publish(config: settings.Settings, proposal: proposals.Proposal) -> chain.Ruling:
    """Append a proposal and return the ruling on it, or end the command.

    The answer to an append may be lost after the log has stored the proposal. Therefore
    the stream is read for a proposal with the same id, and the ruling on it follows
    from the rules that every VM applies.
    """

    async def _run() -> chain.Ruling | None:
        log = platform_log.HttpLog(config.log_url)
        try:
            await _append(log, proposal)
            return await _find_ruling(log, config, proposal)
        finally:
            await log.close()

    try:
        ruling = anyio.run(_run)
    except platform_log.LogRefusedError as error:
        output.fail(f"not published: {error}", output.EXIT_UNREACHABLE)
    if ruling is None:
        output.fail(
            "it is not known whether the proposal was published; check with "
            f"'zinniactl follow {proposal.proposal_id}'",
            output.EXIT_UNREACHABLE,
        )
    return ruling


async def _append(log: platform_log.Log, proposal: proposals.Proposal) -> None:
    try:
        await log.append(fleet.CONFIG_STREAM, chain.pack_proposal(proposal))
    except platform_log.LogUncertainError:
        return


async def _find_ruling(
    log: platform_log.Log, config: settings.Settings, proposal: proposals.Proposal
) -> chain.Ruling | None:
    """Return the ruling on a proposal; None if no check finds it in the stream."""
    for _ in range(MAX_RULING_CHECKS):
        try:
            _, rulings = await read_chain(log, config)
        except platform_log.LogRefusedError:
            rulings = {}
        if proposal.proposal_id in rulings:
            return rulings[proposal.proposal_id]
        await anyio.sleep(RULING_CHECK_INTERVAL_S)
    return None
