"""A VM that is leaving is served by the others until its end.

A VM serves its callers for some seconds after SIGTERM. The others forgot its address as
soon as it said that it leaves, so that no dispatcher could answer it: each request took
the first two for dead, and the VM alone had less than one retry to give. Its log, 0.9 s
after SIGTERM:

    dispatcher_lost  peer=vm-5
    attempt          waited_ms=184.8 outcome=failed ms=4
    answer           status=500 ms=190 attempts=1
    dispatcher_lost  peer=vm-13
    attempt          waited_ms=184.5 outcome=good ms=79
"""

from __future__ import annotations

import dataclasses

import anyio
import anyio.abc
import edge_site
import pytest

from zinniastand_proxy.edge import (
    calls,
    edge_settings,
    retry_counts,
)


@pytest.mark.anyio
async def test_stopping_vm_still_gets_slots_of_the_dispatcher() -> None:
    # A VM that stops tells all others that it leaves; they forget its address, and so
    # cannot answer its asks any more, although it serves for seconds. Each ask of it
    # waits until the dispatchers count as dead (0.09 s each), then it decides alone.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route(kind="safe", timeout_ms=3000)])
        await site.start_target(edge_site.Target("t1"))
        vms = [await site.start_vm(f"vm-{number}") for number in range(1, 5)]
        for vm in vms:
            await edge_site.wait_ready(vm)
        await anyio.sleep(1.0)
        first = vms[0].daemon.find_dispatcher("desk")
        leaving = next(vm for vm in vms if vm.settings.vm != first)
        answer = await edge_site.call(leaving, request_id="before")
        assert answer.status_code == 200
        leaving.daemon.stop()
        await anyio.sleep(0.1)
        await edge_site.call(leaving, request_id="after")
        waited = {
            str(line["request"]): line["waited_ms"]
            for line in leaving.read_log()
            if line["event"] == "attempt"
        }
        lost = [one for one in leaving.read_log() if one["event"] == "dispatcher_lost"]
        assert lost == [], (waited, lost)


class FailsFirst(edge_site.Target):
    """Whichever target of a site runs the first request breaks its answer."""

    def __init__(self, target_id: str, ran_in_site: list[str]) -> None:
        super().__init__(target_id)
        self._ran_in_site = ran_in_site

    async def handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Return the answer."""
        self._ran_in_site.append(self.target_id)
        self.is_signed = len(self._ran_in_site) > 1
        return await super().handle(incoming)


@pytest.mark.anyio
@pytest.mark.parametrize("is_stopping", [False, True])
async def test_stopping_vm_tries_failed_work_elsewhere_like_any_other(
    is_stopping: bool,
) -> None:
    # Alone, a VM has the part of one VM in the slack of retries, which is less than one
    # retry. So every second attempt of a VM that stops is refused, while a dispatcher
    # that others ask has room for it.
    async with edge_site.run_site() as site:
        make_settings = site.make_settings

        def make_settings_with_little_slack(name: str) -> edge_settings.Settings:
            budget = retry_counts.RetryBudget(0.2, 5.0, 10.0)
            return dataclasses.replace(make_settings(name), retries=budget)

        site.make_settings = make_settings_with_little_slack  # type: ignore[method-assign]
        site.publish([edge_site.make_route(kind="safe", timeout_ms=3000)])
        ran: list[str] = []
        for name in ("t1", "t2"):
            await site.start_target(FailsFirst(name, ran))
        vms = [await site.start_vm(f"vm-{number}") for number in range(1, 5)]
        for vm in vms:
            await edge_site.wait_ready(vm)
        await anyio.sleep(1.0)
        first = vms[0].daemon.find_dispatcher("desk")
        leaving = next(vm for vm in vms if vm.settings.vm != first)
        if is_stopping:
            leaving.daemon.stop()
            await anyio.sleep(0.05)
        answers = [(await edge_site.call(leaving)).status_code]
        lines = [
            {k: e.get(k) for k in ("event", "why", "waited_ms", "status", "peer")}
            for e in leaving.read_log()
            if e["event"] in ("attempt", "answer", "dispatcher_lost")
        ]
        assert answers == [200], lines
