"""Case 2: a control machine that restarts takes a draining server for a ready one."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from deployment import DRAIN_S, main, number_of  # noqa: E402

ROUTE = (number_of("127.251.0.1"), 8443)
DARK_S = 0.5  # "restarted after a short delay"
LINGER_S = 12.0  # "at times many seconds"


def watch(deployment):
    """Checks the rule DRAIN at every opening packet that a server takes."""

    def on_open(server, key, entry_address):
        record = deployment.record
        now = record.now()
        if server.drain_acknowledged is None:
            return
        late = now - server.drain_acknowledged
        entry = next(entry for entry in deployment.entries if entry.address == entry_address)
        text = f"{server.name} took a flow {late:.2f} s after the ack of its drain, through {entry.name}"
        # The consumer sends the copies of an opening packet for 0.6 s.
        if late > DRAIN_S + 0.7 and deployment.in_touch(entry, now - 0.7):
            record.broke("DRAIN", text)
        else:
            record.add("open", text)

    return on_open


async def traffic(deployment, consumer):
    while True:
        flow = consumer.new_flow(ROUTE)
        if await flow.open():
            await flow.request()
        flow.close()
        await asyncio.sleep(random.uniform(0.05, 0.15))


async def scenario(deployment, is_disrupted):
    record = deployment.record
    deployment.start()
    on_open = watch(deployment)

    async def begin(server):
        server.on_open = on_open
        await server.start()
        return server

    zone = deployment.zones[0]
    killed = deployment.controls[0]
    peers = [1, 2]  # Each of the servers that will leave reports to one of the other control machines.
    leaving = [await begin(deployment.new_server(zone, "desk", first_control=peer)) for peer in peers]
    for other in deployment.zones:
        for _ in range(3):
            await begin(deployment.new_server(other, "desk"))
    status, _ = await deployment.operate("POST", "/Configuration.Replace", deployment.document({ROUTE: ("desk", "download")}))
    if status != 200:
        raise RuntimeError("the first config was not acknowledged")
    await asyncio.sleep(7)
    consumers = []
    for z in deployment.zones:
        for _ in range(4):
            consumer = await deployment.new_consumer(z)
            consumers.append(consumer)
            deployment.tasks.append(asyncio.create_task(traffic(deployment, consumer)))
    await asyncio.sleep(4)

    record.add("plan", "release: new servers start first, the old ones drain")
    for peer in peers:
        await begin(deployment.new_server(zone, "desk", first_control=peer, cold_s=2.0))
    await asyncio.sleep(0.1)
    await asyncio.gather(*(server.drain() for server in leaving))
    await asyncio.sleep(0.2)
    if is_disrupted:
        killed.kill()
        await asyncio.sleep(DARK_S)
        killed.start()
    else:
        await asyncio.sleep(DARK_S)
    await asyncio.sleep(2.0)
    record.add("plan", "add_nodes: one more front machine in each zone")
    for z in deployment.zones:
        deployment.start_entry(deployment.new_entry(z))
    await asyncio.sleep(LINGER_S - DARK_S - 2.0)
    for server in leaving:
        await server.call(f"/Instances.Deregister/i-{server.number:010x}", b'{"born": %d}' % server.born)
        server.end()
    served = sum(consumer.served for consumer in consumers)
    failed = sum(consumer.failed for consumer in consumers)
    record.add("result", f"{served} requests served, {failed} not served, {len(record.broken)} breaks of DRAIN")
    if served == 0:
        raise RuntimeError("nothing was served")


if __name__ == "__main__":
    main(scenario, HERE, entries_per_zone=3)
