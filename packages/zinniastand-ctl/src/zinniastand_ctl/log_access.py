"""The operators' access to the configuration stream."""

from __future__ import annotations

import anyio

from zinniastand_core import chain, proposals
from zinniastand_proxy import fleet, platform_log, settings

from . import output

SETTLE_TRIES = 20
SETTLE_PAUSE = 0.5


async def read_chain(
    log: platform_log.Log, config: settings.Settings
) -> tuple[chain.Chain, dict[str, chain.Ruling]]:
    """Return the accepted chain, and the ruling on each proposal read.

    Raises
    ------
    platform_log.LogRefusedError
        If the log cannot be read.
    """
    result = chain.Chain(config.trusted)
    rulings: dict[str, chain.Ruling] = {}
    offset = 0
    while True:
        page = await log.read(fleet.CONFIG_STREAM, offset, 0.0)
        if not page.entries:
            return result, rulings
        for data in page.entries:
            ruling = result.apply(data)
            known = rulings.get(ruling.proposal_id)
            if known is None or known.verdict is not chain.Verdict.ACCEPTED:
                rulings[ruling.proposal_id] = ruling
        offset = page.offset + len(page.entries)


def load_chain(config: settings.Settings) -> chain.Chain:
    """Return the accepted chain, or end where the log cannot be read."""

    async def _load() -> chain.Chain:
        log = platform_log.HttpLog(config.log_url)
        try:
            found, _ = await read_chain(log, config)
            return found
        finally:
            await log.close()

    try:
        return anyio.run(_load)
    except platform_log.LogRefusedError as error:
        output.fail(f"the log cannot be read: {error}", output.EXIT_UNREACHABLE)


def publish(config: settings.Settings, proposal: proposals.Proposal) -> chain.Ruling:
    """Append a proposal and return what became of it.

    An append whose answer was lost is settled by reading: the proposal is found by its
    id, and the rule that every VM applies says whether it won.
    """

    async def _run() -> chain.Ruling | None:
        log = platform_log.HttpLog(config.log_url)
        try:
            await _append(log, proposal)
            return await _settle(log, config, proposal)
        finally:
            await log.close()

    try:
        ruling = anyio.run(_run)
    except platform_log.LogRefusedError as error:
        output.fail(f"not published: {error}", output.EXIT_UNREACHABLE)
    if ruling is None:
        output.fail(
            "it is not known whether the proposal was published; ask again with "
            f"'zinniactl follow {proposal.proposal_id}'",
            output.EXIT_UNREACHABLE,
        )
    return ruling


async def _append(log: platform_log.Log, proposal: proposals.Proposal) -> None:
    try:
        await log.append(fleet.CONFIG_STREAM, chain.pack_proposal(proposal))
    except platform_log.LogUncertainError:
        return


async def _settle(
    log: platform_log.Log, config: settings.Settings, proposal: proposals.Proposal
) -> chain.Ruling | None:
    for _ in range(SETTLE_TRIES):
        try:
            _, rulings = await read_chain(log, config)
        except platform_log.LogRefusedError:
            rulings = {}
        if proposal.proposal_id in rulings:
            return rulings[proposal.proposal_id]
        await anyio.sleep(SETTLE_PAUSE)
    return None
