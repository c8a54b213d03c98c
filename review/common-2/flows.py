"""Stand-ins for servers and consumers, which exchange the platform's packets."""

import asyncio
import json
import random
import struct
import time

from deployment import http_call

HEADER = struct.Struct(">HIIHHB3xIIII")  # Length, addresses, ports, flags, sequence, acknowledgement, echo, sum.
SYN, FIN, ACK, RST = 1, 4, 16, 128
SENDER_SUM = 7  # The sum of packets of consumers and servers; resets of the system have 0.
HEARTBEAT_TIMEOUT_S = 1.0


def to_number(address):
    a, b, c, d = (int(part) for part in address.split("."))
    return a << 24 | b << 16 | c << 8 | d


def to_text(number):
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


class Packet:
    def __init__(self, data):
        (_, self.source, self.destination, self.sport, self.dport, self.flags, self.sequence, self.acknowledged,
         self.echo, self.sum) = HEADER.unpack(data[:HEADER.size])
        self.payload = data[HEADER.size:]


def encode(source, sport, destination, dport, flags, sequence, acknowledged, echo, payload=b""):
    return HEADER.pack(len(payload), source, destination, sport, dport, flags, sequence & 0xFFFFFFFF,
                       acknowledged & 0xFFFFFFFF, echo, SENDER_SUM) + payload


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, address):
        self.handler(data, address)


async def open_datagrams(address, port, handler):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Datagrams(handler),
                                                                             local_addr=(address, port))
    return transport


class Server:
    """One boot of a server. It answers each request with the request's own bytes."""

    def __init__(self, deployment, name, domain, service, address):
        self.deployment, self.name, self.domain, self.service = deployment, name, domain, service
        self.address, self.port = address, deployment.ports["target"]
        self.number = random.getrandbits(40) | 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.control = None  # The node that gets its liveness reports until a report fails there.
        self.flows = {}  # By the addresses and ports: own initial sequence, state, next sequence.
        self.opened = []  # Times at which opening packets of new flows arrived.
        self.last_heartbeat = 0.0
        self.filter_reply = None  # Returns whether a packet gets through to the consumer.
        self.resets = set()  # Flows for which a reset was sent.

    async def start(self):
        self.transport = await open_datagrams(self.address, self.port, self.receive)
        self.listener = await asyncio.start_server(self.health, self.address, self.port)
        self.task = asyncio.create_task(self.send_heartbeats())

    async def health(self, reader, writer):
        await reader.read(1024)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        writer.close()

    def write(self, text):
        self.deployment.record.write(f"server {self.name} {text}")

    async def send_heartbeats(self):
        interval = self.deployment.heartbeat_ms / 1000
        while True:
            self.last_heartbeat = time.monotonic()
            await self.send_heartbeat()
            await asyncio.sleep(max(0.0, self.last_heartbeat + interval - time.monotonic()))

    async def send_heartbeat(self):
        self.sequence += 1
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        body = json.dumps({"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.domain,
                           "version": "v1", "concurrency": 2, "state": self.state, "warmup_left_ms": cold_ms,
                           "sequence": self.sequence, "born": self.born}).encode()
        for _ in range(len(self.deployment.controls)):
            self.control = self.control or random.choice(self.deployment.controls)
            status, _, _ = await http_call(self.control.address, self.deployment.ports["control"], "POST",
                                           f"/Instances.Heartbeat/i-{self.number:010x}", body, HEARTBEAT_TIMEOUT_S)
            self.write(f"heartbeat {self.sequence} to {self.control.name}: {status} {self.state} cold_ms={cold_ms}")
            if status == 200:
                return True
            self.control = None
        return False

    def receive(self, data, sender):
        if len(data) < 8 + HEADER.size or int.from_bytes(data[:8], "big") not in (0, self.number):
            return
        packet = Packet(data[8:])
        key = (packet.source, packet.sport, packet.destination, packet.dport)
        flow = self.flows.get(key)
        text = (f"gets flags={packet.flags} seq={packet.sequence} ack={packet.acknowledged} "
                f"echo={packet.echo:08x} bytes={len(packet.payload)} from {to_text(packet.source)}:{packet.sport} "
                f"through {sender[0]}")
        self.write(text)
        if packet.flags & SYN:
            self.handle_open(key, packet)
        elif flow is None or (not flow["open"] and packet.acknowledged != flow["initial"] + 1 & 0xFFFFFFFF):
            # A packet of a flow that this server does not hold.
            self.send(key, RST, packet.acknowledged, packet.sequence, packet.echo)
        elif packet.flags & (FIN | RST):
            del self.flows[key]
        else:
            if not flow["open"]:
                flow["open"] = True
                self.write(f"holds the flow of {to_text(packet.source)}:{packet.sport} open")
            if packet.payload:
                self.handle_data(key, flow, packet)

    def handle_open(self, key, packet):
        if key not in self.flows:
            self.flows[key] = {"open": False, "initial": random.getrandbits(31), "echo": packet.echo,
                               "consumer": packet.sequence}
            self.flows[key]["next"] = self.flows[key]["initial"] + 1
            self.opened.append(time.monotonic())
            asyncio.get_running_loop().create_task(self.answer_open(key))

    async def answer_open(self, key):
        """Sends the SYN+ACK, and again after 200 ms with doubled pauses until the flow is open."""
        pause = 0.2
        flow = self.flows[key]
        for _ in range(8):
            if self.flows.get(key) is not flow or flow["open"]:
                return
            self.send(key, SYN | ACK, flow["initial"], flow["consumer"] + 1, flow["echo"])
            await asyncio.sleep(pause)
            pause = min(1.6, pause * 2)

    def handle_data(self, key, flow, packet):
        flow["answers"] = flow.get("answers", {})
        if packet.sequence not in flow["answers"]:
            flow["answers"][packet.sequence] = flow["next"]
            flow["next"] += len(packet.payload)
            self.write(f"runs the request of {to_text(packet.source)}:{packet.sport}")
        self.send(key, ACK, flow["answers"][packet.sequence], packet.sequence + len(packet.payload), packet.echo,
                  packet.payload)

    def send(self, key, flags, sequence, acknowledged, echo, payload=b""):
        source, sport, destination, dport = key
        if flags & RST:
            self.resets.add(key)
        is_delivered = self.filter_reply is None or self.filter_reply(key, flags)
        self.write(f"sends flags={flags} seq={sequence & 0xFFFFFFFF} echo={echo:08x} to {to_text(source)}:{sport}"
                   + ("" if is_delivered else " (lost)"))
        if is_delivered:
            self.transport.sendto(encode(destination, dport, source, sport, flags, sequence, acknowledged, echo,
                                         payload), (to_text(source), self.deployment.ports["packets"]))

    def stop(self):
        self.task.cancel()
        self.transport.close()
        self.listener.close()


class Consumer:
    """Opens a flow for each request, sends the request and closes the flow."""

    def __init__(self, deployment, address, route):
        self.deployment, self.address, self.route = deployment, address, route
        self.number = to_number(address)
        self.next_port = 1024
        self.inboxes = {}
        self.outcomes = []

    async def start(self):
        self.transport = await open_datagrams(self.address, self.deployment.ports["packets"], self.receive)

    def write(self, port, text):
        self.deployment.record.write(f"consumer {self.address}:{port} {text}")

    def receive(self, data, _):
        if len(data) >= HEADER.size:
            packet = Packet(data)
            inbox = self.inboxes.get(packet.dport)
            if inbox:
                inbox.put_nowait(packet)

    def send(self, entry, port, flags, sequence, acknowledged, echo, payload=b""):
        self.write(port, f"sends flags={flags} seq={sequence & 0xFFFFFFFF} echo={echo:08x} bytes={len(payload)} "
                         f"to {entry.name}")
        self.transport.sendto(encode(self.number, port, self.route[0], self.route[1], flags, sequence, acknowledged,
                                     echo, payload), (entry.address, self.deployment.ports["packets"]))

    async def receive_until(self, port, end):
        left = end - time.monotonic()
        if left <= 0:
            return None
        try:
            packet = await asyncio.wait_for(self.inboxes[port].get(), left)
        except asyncio.TimeoutError:
            return None
        origin = "the system" if packet.sum == 0 else "a server"
        self.write(port, f"gets flags={packet.flags} seq={packet.sequence} ack={packet.acknowledged} "
                         f"echo={packet.echo:08x} bytes={len(packet.payload)} from {origin}")
        return packet

    async def request(self, entry, time_limit=1.0):
        """One consumer attempt; returns the outcome."""
        self.next_port += 1
        port = self.next_port
        self.inboxes[port] = asyncio.Queue()
        try:
            outcome = await self.run_attempt(entry, port, time_limit)
        finally:
            del self.inboxes[port]
        self.write(port, f"outcome: {outcome}")
        self.outcomes.append(outcome)
        return outcome

    async def run_attempt(self, entry, port, time_limit):
        start = time.monotonic()
        sequence = random.getrandbits(31)
        answer = None
        for copy, limit in enumerate((0.2, 0.6, 1.4)):
            self.send(entry, port, SYN, sequence, copy, 0)
            while answer is None:
                packet = await self.receive_until(port, start + limit)
                if packet is None:
                    break
                if packet.flags & RST:
                    return "refused"
                if packet.flags & SYN and packet.flags & ACK:
                    answer = packet
            if answer:
                break
        if answer is None:
            return "not opened"
        return await self.exchange(entry, port, sequence, answer, start + time_limit)

    async def exchange(self, entry, port, sequence, answer, end):
        """Both ends place in their packets the last echo that they received on the flow."""
        echo = answer.echo
        acknowledged = answer.sequence + 1
        self.send(entry, port, ACK, sequence + 1, acknowledged, echo)
        # Packets that have arrived meanwhile come first.
        while (packet := await self.receive_until(port, time.monotonic() + 0.01)) is not None:
            echo = packet.echo
            if packet.flags & RST:
                return "reset"
        payload = f"request {self.address}:{port}".encode()
        pause = 0.2
        while time.monotonic() < end:
            self.send(entry, port, ACK, sequence + 1, acknowledged, echo, payload)
            until = min(end, time.monotonic() + pause)
            while (packet := await self.receive_until(port, until)) is not None:
                if packet.flags & RST:
                    return "reset by the system" if packet.sum == 0 else "reset by a server"
                echo = packet.echo
                if packet.payload == payload:
                    self.send(entry, port, FIN | ACK, sequence + 1 + len(payload),
                              packet.sequence + len(payload), echo)
                    return "served"
            pause = min(1.6, pause * 2)
        return "time limit"


async def send_requests(consumer, entry, per_s):
    """Opens flows through an entry at a steady rate until it is cancelled."""
    running = set()
    try:
        while True:
            task = asyncio.create_task(consumer.request(entry))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1 / per_s)
    finally:
        for task in list(running):
            task.cancel()


def most_in_one_second(times):
    return max((sum(start <= at < start + 1 for at in times) for start in times), default=0)
