"""Case 4: a liveness report of another writer, for a service that no config names, ends a living server's flows."""

import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from deployment import http_call, main, number_of  # noqa: E402

ROUTE = (number_of("127.251.0.1"), 8443)


async def use_flow(deployment, consumer):
    """Keeps one flow open for many requests, with pauses between them, and opens another when it ends."""
    record = deployment.record
    while True:
        flow = consumer.new_flow(ROUTE)
        if await flow.open():
            while not flow.is_closed:
                await flow.request()
                if not flow.is_closed:
                    await flow.wait_closed(random.uniform(0.5, 3.0))
                if flow.reset_by_system:
                    server = deployment.holder_of(flow.key)
                    if server:
                        record.broke("FLOW", f"{consumer.address}:{flow.port} got a reset of the system's own while "
                                             f"{server.name} lives and holds the flow")
        flow.close()
        await asyncio.sleep(0.05)


async def scenario(deployment, is_disrupted):
    record = deployment.record
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
        consumer = await deployment.new_consumer(zone)
        consumers.append(consumer)
        for _ in range(40):
            deployment.tasks.append(asyncio.create_task(use_flow(deployment, consumer)))
    await asyncio.sleep(8)
    if is_disrupted:
        living = servers[0]
        body = {"service": "audit", "address": f"{living.address}:{deployment.server_port}", "zone": living.zone,
                "version": "v1", "concurrency": 2, "state": "ready", "warmup_left_ms": 0, "sequence": 1,
                "born": int(time.time() * 1000)}
        control = random.choice(deployment.controls)
        status, _, _ = await http_call(control.address, deployment.control_port, "POST",
                                       f"/Instances.Heartbeat/i-{random.getrandbits(40) | 1:010x}",
                                       json.dumps(body).encode())
        record.add("report", f"of another writer, service audit, at the address of {living.name}: status {status}")
    await asyncio.sleep(8)
    served = sum(consumer.served for consumer in consumers)
    failed = sum(consumer.failed for consumer in consumers)
    record.add("result", f"{served} requests served, {failed} not served, {len(record.broken)} breaks of FLOW")
    if served == 0:
        raise RuntimeError("nothing was served")


if __name__ == "__main__":
    main(scenario, HERE, entries_per_zone=2)
