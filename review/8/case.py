"""A zone returns to service just after the process of its entry was killed and started again."""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import CannotRun, Deployment, http_call, run_case  # noqa: E402
from flows import Consumer, Server, to_number  # noqa: E402

ROUTE = (to_number("198.18.0.1"), 8443)
WARMUP_S = 2.0
WARMUP_PER_S = 0.0
WARMUP_BURST_FACTOR = 1.5
WARMUP_SLACK = 5
FLOWS_PER_S = 20
EVACUATION_S = 6.0
SERVERS_PER_ZONE = 3
RETURNING_ZONE = "dar-b"
# From a liveness report of the servers in the evacuated zone.
KILL_AFTER_S, COLD_AFTER_S, RETURN_AFTER_S = 0.05, 0.35, 0.40
RESTART_AFTER_S = 0.1


def configuration():
    return json.dumps({
        "version": 1,
        "routes": [{"name": "r-1", "host": "198.18.0.1", "path_prefix": "/8443/", "type": "safe", "timeout_ms": 1000,
                    "target_latency_ms": 100, "priority": 2, "service": "desk", "max_attempts": 2}],
        "services": [{"name": "desk", "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False,
                      "warmup_s": WARMUP_S, "warmup_per_s": WARMUP_PER_S}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}})


def most_in_one_second(times):
    return max((sum(start <= at < start + 1 for at in times) for start in times), default=0)


async def sleep_until(moment):
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


async def wait_until_ready(deployment, entry):
    for _ in range(200):
        status, _, _ = await http_call(entry.address, deployment.ports["readiness"], "GET", "/readiness")
        if status == 200:
            return
        await asyncio.sleep(0.1)
    raise CannotRun("an entry did not become ready")


async def send_requests(consumer, entry):
    running = set()
    try:
        while True:
            task = asyncio.create_task(consumer.request(entry))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1 / FLOWS_PER_S)
    finally:
        for task in list(running):
            task.cancel()


async def return_zone(deployment, has_trouble):
    """Takes a zone out and back. Returns the most opening packets that a cold server got in one second."""
    record = deployment.record
    zone = RETURNING_ZONE
    entry = next(node for node in deployment.nodes if not node.is_control and node.domain == zone)
    servers = [one for one in deployment.servers if one.domain == zone]
    if (await deployment.order("POST", f"/Evacuation.Begin/{zone}"))[0] != 200:
        raise CannotRun("the evacuation was not accepted")
    # Each server keeps to one node until a liveness report fails there. They report at the same time, because they
    # were started together.
    for server, control in zip(servers, deployment.controls):
        server.control = control
    await asyncio.sleep(EVACUATION_S)
    seen = servers[-1].last_heartbeat
    while servers[-1].last_heartbeat == seen:
        await asyncio.sleep(0.005)
    reported_at = servers[-1].last_heartbeat
    await sleep_until(reported_at + KILL_AFTER_S)
    if has_trouble:
        entry.signal(signal.SIGKILL)
        await entry.wait_for_end(1)
        await asyncio.sleep(RESTART_AFTER_S)
        entry.start()
    await sleep_until(reported_at + COLD_AFTER_S)
    cold_since = time.monotonic()
    for server in servers:
        server.cold_until = cold_since + WARMUP_S
        server.write(f"is cold for {WARMUP_S} s")
    await sleep_until(reported_at + RETURN_AFTER_S)
    if (await deployment.order("POST", f"/Evacuation.Terminate/{zone}"))[0] != 200:
        raise CannotRun("the return of the zone was not accepted")
    await sleep_until(cold_since + WARMUP_S + 0.5)
    most = 0
    for server in servers:
        arrivals = [at for at in server.opened if cold_since <= at < cold_since + WARMUP_S]
        record.write(f"cold server {server.name} got {len(arrivals)} flows, {most_in_one_second(arrivals)} in one second")
        most = max(most, most_in_one_second(arrivals))
    return most


async def play(case_folder, has_trouble):
    deployment = Deployment(case_folder, ["dar-a", "dar-b", "dar-c"])
    deployment.servers = []
    try:
        for index, domain in enumerate(deployment.domains):
            deployment.add(f"core-{domain}-1", index, 1, True)
            deployment.add(f"front-{domain}-1", index, 10, False)
        consumer_addresses = [deployment.address(index + 100, 1) for index in range(3)]
        server_addresses = [deployment.address(index, 50 + copy) for index in range(3)
                            for copy in range(SERVERS_PER_ZONE)]
        deployment.choose_ports([node.address for node in deployment.nodes] + consumer_addresses + server_addresses)
        deployment.set_seeds(deployment.controls)
        for node in deployment.nodes:
            node.start(is_first_start=True)
        if (await deployment.order("POST", "/Configuration.Replace", configuration().encode(), 20))[0] != 200:
            raise CannotRun("the configuration was not accepted")
        for number, address in enumerate(server_addresses):
            domain = deployment.domains[number // SERVERS_PER_ZONE]
            name = f"desk-{domain}-{number % SERVERS_PER_ZONE + 1}"
            server = Server(deployment, name, domain, "desk", address)
            await server.start()
            deployment.servers.append(server)
        traffic = []
        for domain, address in zip(deployment.domains, consumer_addresses):
            entry = next(node for node in deployment.nodes if not node.is_control and node.domain == domain)
            await wait_until_ready(deployment, entry)
            consumer = Consumer(deployment, address, ROUTE)
            await consumer.start()
            traffic.append(asyncio.create_task(send_requests(consumer, entry)))
        await asyncio.sleep(5)
        allowed = WARMUP_PER_S * WARMUP_BURST_FACTOR + WARMUP_SLACK
        return await return_zone(deployment, has_trouble) <= allowed
    finally:
        deployment.stop()


run_case(play)
