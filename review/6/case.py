"""Two planned replacements of control machines in a row, a calm time, then the loss of one disk."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import CannotRun, Deployment, run_case  # noqa: E402
from documents import configuration  # noqa: E402

SYNC_S = 4.0  # Time after its start for which a new machine still counts as lost.
GRACE_S = 6.0
CALM_S = 20.0  # From the end of the last removed machine to the loss of a disk.
RECOVERY_S = 12.0
STABILITY_S = 4.0
ROUTES = {"198.18.0.1": "desk"}


async def replace(deployment, old, successor):
    """Planned replacement: the new machine first, then SIGTERM for the old one once the new one has had its time."""
    successor.start()
    deployment.controls.append(successor)
    await asyncio.sleep(SYNC_S + 4)
    old.signal(signal.SIGTERM)
    if not await old.wait_for_end(GRACE_S):
        old.signal(signal.SIGKILL)
        await old.wait_for_end(1)
    deployment.controls.remove(old)


async def play(case_folder, has_trouble):
    deployment = Deployment(case_folder, ["dar-a", "dar-b", "dar-c"])
    record = deployment.record
    try:
        olds = [deployment.add(f"core-{name}-1", index, 1, True) for index, name in enumerate(deployment.domains)]
        successors = [deployment.add(f"core-{name}-2", index, 2, True)
                      for index, name in enumerate(deployment.domains)]
        deployment.controls = list(olds)
        deployment.choose_ports([node.address for node in deployment.nodes])
        deployment.set_seeds(olds)
        for node in olds:
            node.start(is_first_start=True)
        if not await deployment.replace_configuration(configuration(1, ROUTES), limit=20):
            raise CannotRun("the first configuration was not accepted")

        # The two machines that don't lead are replaced, so that the change needs no election.
        leader = await deployment.leader()
        record.write(f"{leader.name} leads")
        pairs = [pair for pair in zip(olds, successors) if pair[0] is not leader]
        for old, successor in pairs:
            await replace(deployment, old, successor)
        await asyncio.sleep(CALM_S)
        for version in (2, 3):
            if not await deployment.replace_configuration(configuration(version, ROUTES)):
                raise CannotRun(f"configuration {version} was not accepted")

        # One machine loses its disk and restarts at its address.
        if has_trouble:
            lost = pairs[0][1]
            lost.signal(signal.SIGKILL)
            await lost.wait_for_end(1)
            lost.lose_disk()
            await asyncio.sleep(1.0)
            lost.start()
        await asyncio.sleep(RECOVERY_S)

        # The end of the day: the operator asks for much longer than the stability window.
        reads = [await deployment.order("GET", "/Configuration.Read", limit=STABILITY_S) for _ in range(5)]
        versions = [json.loads(content)["version"] for status, content in reads if status == 200]
        record.write(f"versions read at the end: {versions}; configuration 3 was acknowledged")
        is_accepted = await deployment.replace_configuration(configuration(4, ROUTES), limit=10)
        record.write(f"a further configuration is accepted: {is_accepted}")
        return bool(versions) and min(versions) >= 3
    finally:
        deployment.stop()


run_case(play)
