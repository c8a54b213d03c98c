"""The answer to an opening packet is lost once; the consumer then uses its flow for several requests."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import CannotRun, Deployment, run_case  # noqa: E402
from documents import PORT, configuration  # noqa: E402
from flows import ACK, FIN, RST, SYN, Consumer, Server, to_number  # noqa: E402

HOST = "198.18.0.1"
SERVERS_PER_ZONE = 2
WORK_S = 0.02
REQUESTS = 6
PAUSE_S = 0.7  # Between the requests of a flow.
TIME_LIMIT_S = 1.2
FLOWS = 8


class WorkingServer(Server):
    """A server that works on each request for a while."""

    def handle_data(self, key, flow, packet):
        asyncio.get_running_loop().call_later(WORK_S, super().handle_data, key, flow, packet)


class PatientConsumer(Consumer):
    """Keeps a flow open for several requests, with pauses between them.

    As PROTOCOL.md has it, its packets carry the last echo that it received on the flow."""

    async def exchange(self, entry, port, sequence, answer, end):
        self.echo = answer.echo
        sequence, acknowledged = sequence + 1, answer.sequence + 1
        self.send(entry, port, ACK, sequence, acknowledged, self.echo)
        for number in range(REQUESTS):
            payload = f"request {number} of {self.address}:{port}".encode()
            outcome, acknowledged = await self.send_request(entry, port, sequence, acknowledged, payload)
            if outcome != "served":
                return outcome
            sequence += len(payload)
            until = time.monotonic() + PAUSE_S
            while (packet := await self.receive_until(port, until)) is not None:
                if packet.flags & RST:
                    return "reset"
                self.echo = packet.echo
        self.send(entry, port, FIN | ACK, sequence, acknowledged, self.echo)
        return "served"

    async def send_request(self, entry, port, sequence, acknowledged, payload):
        end = time.monotonic() + TIME_LIMIT_S
        pause = 0.2
        while time.monotonic() < end:
            self.send(entry, port, ACK, sequence, acknowledged, self.echo, payload)
            until = min(end, time.monotonic() + pause)
            while (packet := await self.receive_until(port, until)) is not None:
                if packet.flags & RST:
                    return "reset by the system" if packet.sum == 0 else "reset by a server", acknowledged
                self.echo = packet.echo
                if packet.payload == payload:
                    return "served", packet.sequence + len(payload)
            pause = min(1.6, pause * 2)
        return "time limit", acknowledged


class OneLoss:
    """Loses one SYN+ACK, whichever server sends it."""

    def __init__(self):
        self.is_due = False

    def passes(self, _, flags):
        if self.is_due and flags == SYN | ACK:
            self.is_due = False
            return False
        return True


def foreign_resets(servers, key):
    """The servers that have reset a flow which another living server holds open."""
    holders = [server for server in servers if key in server.flows and server.flows[key]["open"]]
    return [server for server in servers for holder in holders if server is not holder and key in server.resets]


async def play(case_folder, has_trouble):
    deployment = Deployment(case_folder, ["dar-a", "dar-b", "dar-c"])
    record = deployment.record
    try:
        for index, domain in enumerate(deployment.domains):
            deployment.add(f"core-{domain}-1", index, 1, True)
        entry = deployment.add("front-dar-a-1", 0, 10, False)
        consumer_address = deployment.address(100, 1)
        server_addresses = [deployment.address(index, 50 + copy) for index in range(3) for copy in range(SERVERS_PER_ZONE)]
        deployment.choose_ports([node.address for node in deployment.nodes] + [consumer_address] + server_addresses)
        deployment.set_seeds(deployment.controls)
        for node in deployment.nodes:
            node.start(is_first_start=True)
        if (await deployment.order("POST", "/Configuration.Replace", configuration(1, {HOST: "desk"}).encode(), 20))[0] != 200:
            raise CannotRun("the configuration was not accepted")
        loss = OneLoss()
        servers = []
        for number, address in enumerate(server_addresses):
            server = WorkingServer(deployment, f"desk-{number + 1}", deployment.domains[number // SERVERS_PER_ZONE], "desk",
                                   address)
            server.filter_reply = loss.passes
            await server.start()
            servers.append(server)
        await deployment.wait_until_ready(entry)
        await asyncio.sleep(5)
        consumer = PatientConsumer(deployment, consumer_address, (to_number(HOST), PORT))
        await consumer.start()
        broken = 0
        for _ in range(FLOWS):
            loss.is_due = has_trouble
            outcome = await consumer.request(entry)
            key = (consumer.number, consumer.next_port, to_number(HOST), PORT)
            resetters = foreign_resets(servers, key)
            broken += bool(resetters) and outcome.startswith("reset")
            record.write(f"flow {consumer.next_port}: {outcome}; reset by servers that don't hold it: "
                         f"{[server.name for server in resetters]}")
            await asyncio.sleep(random.uniform(0.2, 0.6))
        record.write(f"{broken} of {FLOWS} flows were reset while their own servers held them")
        return broken == 0
    finally:
        deployment.stop()


run_case(play)
