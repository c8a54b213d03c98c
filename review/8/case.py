"""A planned replacement of a control machine, then the loss of one disk."""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import CannotRun, Deployment, run_case  # noqa: E402
from documents import configuration  # noqa: E402

SYNC_S = 4.0  # Time after its start for which a new machine still counts as lost.
GRACE_S = 6.0
DISK_LOSS_AFTER_S = 1.5  # From the end of the removed machine.
RECOVERY_S = 12.0
STABILITY_S = 4.0
ROUTES = {"198.18.0.1": "desk"}


async def play(case_folder, has_trouble):
    deployment = Deployment(case_folder, ["dar-a", "dar-b", "dar-c"])
    record = deployment.record
    try:
        first, second, third = (deployment.add(f"core-{name}", index, 1, True)
                                for index, name in enumerate(deployment.domains))
        successor = deployment.add("core-dar-a-new", 0, 2, True)
        deployment.controls.remove(successor)
        deployment.choose_ports([node.address for node in deployment.nodes])
        deployment.set_seeds([first, second, third])
        for node in (first, second, third):
            node.start(is_first_start=True)
        if not await deployment.replace_configuration(configuration(1, ROUTES), limit=20):
            raise CannotRun("the first configuration was not accepted")

        # Planned replacement: the new machine first, then SIGTERM for the old one.
        successor.start()
        deployment.controls.append(successor)
        await asyncio.sleep(SYNC_S + 4)
        if not await deployment.replace_configuration(configuration(2, ROUTES)):
            raise CannotRun("configuration 2 was not accepted")
        first.signal(signal.SIGTERM)
        if not await first.wait_for_end(GRACE_S):
            first.signal(signal.SIGKILL)
            await first.wait_for_end(1)
        deployment.controls.remove(first)
        removed_at = time.monotonic()
        if not await deployment.replace_configuration(configuration(3, ROUTES)):
            raise CannotRun("configuration 3 was not accepted")

        # One machine loses its disk and restarts at its address.
        await asyncio.sleep(max(0.0, removed_at + DISK_LOSS_AFTER_S - time.monotonic()))
        if has_trouble:
            second.signal(signal.SIGKILL)
            await second.wait_for_end(1)
            second.lose_disk()
            await asyncio.sleep(1.0)
            second.start()
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
