"""Case 3: flows of a leaving server are reset while it still lives and waits for the ack of its deregistration."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from deployment import DRAIN_S, main, number_of  # noqa: E402

ROUTE = (number_of("127.251.0.1"), 8443)
LINGER_S = 0.5
RELEASE_GAP_S = 1.0
ROLL_GAP_S = 1.1
RESTART_S = 0.5  # "restarted after a short delay"


async def use_flow(deployment, consumer):
    """Keeps one flow open for many requests, with pauses between them, and opens another when it ends."""
    record = deployment.record
    while True:
        flow = consumer.new_flow(ROUTE)
        if await flow.open():
            while not flow.is_closed:
                await flow.wait_closed(random.uniform(2.0, 8.0))
                if not flow.is_closed:
                    await flow.request()
                if flow.reset_by_system:
                    server = deployment.holder_of(flow.key)
                    if server and not server.flows[flow.key].get("closing"):
                        record.broke("FLOW", f"{consumer.address}:{flow.port} got a reset of the system's own while "
                                             f"{server.name} lives and holds the flow")
                    else:
                        record.add("reset", f"{consumer.address}:{flow.port}, its server has ended")
        flow.close()
        await asyncio.sleep(0.05)


async def release(deployment, old):
    """Replaces servers one after the other: the new one starts first, the old one drains."""
    for server in old:
        await deployment.new_server(server.zone, server.service, cold_s=2.0).start()
        deployment.tasks.append(asyncio.create_task(server.leave(LINGER_S)))
        await asyncio.sleep(RELEASE_GAP_S)


async def roll(deployment):
    """Stops and starts the control machines in turn."""
    for control in deployment.controls:
        control.signal(signal.SIGTERM)
        while control.process.poll() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(RESTART_S)
        control.start()
        await asyncio.sleep(ROLL_GAP_S)


async def scenario(deployment, is_disrupted):
    deployment.start()
    servers = []
    for zone in deployment.zones:
        for _ in range(4):
            servers.append(deployment.new_server(zone, "desk"))
            await servers[-1].start()
    status, _ = await deployment.operate("POST", "/Configuration.Replace",
                                         deployment.document({ROUTE: ("desk", "unsafe")}))
    if status != 200:
        raise RuntimeError("the first config was not acknowledged")
    await asyncio.sleep(7)
    consumers = []
    for zone in deployment.zones:
        for _ in range(2):
            consumer = await deployment.new_consumer(zone)
            consumers.append(consumer)
            for _ in range(150):
                deployment.tasks.append(asyncio.create_task(use_flow(deployment, consumer)))
    await asyncio.sleep(10)
    if is_disrupted:
        old = random.sample(servers, 6)
        working = asyncio.gather(release(deployment, old))
        await asyncio.sleep(DRAIN_S + LINGER_S - 0.65)
        await roll(deployment)
        await working
    else:
        await asyncio.sleep(12)
    await asyncio.sleep(8)
    served = sum(consumer.served for consumer in consumers)
    failed = sum(consumer.failed for consumer in consumers)
    deployment.record.add("result", f"{served} requests served, {failed} not served, "
                                    f"{len(deployment.record.broken)} breaks of FLOW")
    if served == 0:
        raise RuntimeError("nothing was served")


if __name__ == "__main__":
    main(scenario, HERE, entries_per_zone=2)
