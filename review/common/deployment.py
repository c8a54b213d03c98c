"""A small deployment of almondwing-node on loopback addresses, with stand-ins for the platform's parts.

Every machine, server and consumer has its own address in 127.0.0.0/8. Processes are started with the command
of the deploy file. The stand-ins follow PROTOCOL.md: servers send liveness reports and answer packets,
consumers open flows through the routers, and routers select an entry by a rendezvous hash over the entries in
rotation.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEADER = struct.Struct(">HIIHHB3xIIII")  # len, src, dst, sport, dport, flags, seq, ack, echo, sum
SYN, FIN, ACK, RST = 1, 4, 16, 128
MASK = 0xFFFFFFFF

# Values of the site file kb-almondwing and the tables of SYSTEM.md.
HEARTBEAT_MS = 1200
DRAIN_S = 3.0
STABILITY_S = 4.0
GRACE_S = 6
WARMUP_SLACK = 5


def number_of(address):
    a, b, c, d = (int(part) for part in address.split("."))
    return a << 24 | b << 16 | c << 8 | d


def text_of(number):
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


def checksum(fields, payload):
    """The keyed sum over all fields except echo, pad and BOUNCED; the key is known to the stand-ins only."""
    return zlib.crc32(repr(fields).encode() + b"key" + payload) | 1


def encode(source, sport, destination, dport, flags, sequence, acknowledged, echo, payload=b""):
    fields = (len(payload), source, destination, sport, dport, flags, sequence & MASK, acknowledged & MASK)
    return HEADER.pack(len(payload), source, destination, sport, dport, flags, sequence & MASK,
                       acknowledged & MASK, echo, checksum(fields, payload)) + payload


def is_intact(packet):
    length, source, destination, sport, dport, flags, sequence, acknowledged, _, total = HEADER.unpack(packet[:34])
    fields = (length, source, destination, sport, dport, flags, sequence, acknowledged)
    return total == checksum(fields, packet[34:])


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.handler(data, address)


async def open_datagrams(address, port, handler):
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(handler), local_addr=(address, port))
    return protocol.transport


async def http_call(address, port, method, path, body=b"", timeout=1.0):
    """Returns status, headers and body; the status is 0 without a complete response in time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\nConnection: close\r\n"
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            raw = await reader.read(-1)
        finally:
            writer.close()
        head, _, content = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
        if int(headers.get("content-length", "0")) != len(content):
            return 0, {}, b""
        return int(lines[0].split()[1]), headers, content

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return 0, {}, b""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.started

    def add(self, kind, text):
        self.file.write(f"{self.now():8.3f} {kind:<10} {text}\n")
        self.file.flush()

    def broke(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.add("BROKEN", f"{rule}: {text}")


class Node:
    """One process of the system on its own machine."""

    def __init__(self, deployment, name, zone, address, is_control):
        self.deployment, self.name, self.zone, self.address, self.is_control = deployment, name, zone, address, is_control
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(self.folder)
        self.process = None
        self.starts = 0
        self.disturbed_at = None  # When the process was last started, killed or stopped, in time of the record.
        self.failed_probes = 2
        self.is_joined = False

    def settings(self):
        d = self.deployment
        lines = [f'instance = "{self.name}"', f'failure_domain = "{self.zone}"',
                 f"failure_domains = {json.dumps(d.zones)}",
                 f"seeds = {json.dumps([f'{c.address}:{d.control_port}' for c in d.controls[:3]])}",
                 f"first_start = {'true' if self.starts == 0 and not d.is_started else 'false'}",
                 f"heartbeat_ms = {HEARTBEAT_MS}", f"stop_s = {GRACE_S}", f"cold_flows_per_s = {WARMUP_SLACK}"]
        if self.is_control:
            lines += [f'control = "{self.address}:{d.control_port}"', f'data_folder = "{self.folder}/data"']
        else:
            lines += [f'packets = "{self.address}:{d.packet_port}"', f'readiness = "{self.address}:{d.ready_port}"']
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        if self.is_control:
            os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                self.deployment.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "ALMONDWING_NODE_FILE": path})
        self.starts += 1
        self.is_joined = True
        self.disturbed_at = self.deployment.record.now()
        self.deployment.record.add("start", f"{self.name} pid {self.process.pid}")

    def signal(self, number):
        self.disturbed_at = self.deployment.record.now()
        self.deployment.record.add("signal", f"{self.name} {signal.Signals(number).name}")
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Server:
    """One boot of a server. It answers each request on a flow and sends liveness reports to one control
    machine, and to the next one after a failure."""

    def __init__(self, deployment, name, zone, address, service, first_control=None, boot_id=None, cold_s=0.0):
        self.deployment, self.name, self.zone, self.address, self.service = deployment, name, zone, address, service
        self.number = boot_id or (random.getrandbits(40) | 1)
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_s
        self.state = "ready"
        self.sequence = 0
        self.control = first_control if first_control is not None else random.randrange(len(deployment.controls))
        self.drain_acknowledged = None  # Time of the record.
        self.drain_acknowledged_by = None
        self.flows = {}
        self.is_alive = False
        self.tasks = []
        self.on_open = lambda server, key, entry: None

    async def start(self):
        self.transport = await open_datagrams(self.address, self.deployment.server_port, self.receive)
        self.listener = await asyncio.start_server(self.health, self.address, self.deployment.server_port)
        self.is_alive = True
        self.deployment.servers.append(self)
        self.deployment.record.add("server", f"{self.name} i-{self.number:010x} {self.service} in {self.zone} begins")
        self.tasks.append(asyncio.create_task(self.report()))

    async def health(self, reader, writer):
        try:
            await reader.read(1024)
            ready = self.state == "ready"
            writer.write(f"HTTP/1.1 {200 if ready else 503} x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def end(self):
        self.is_alive = False
        self.deployment.record.add("server", f"{self.name} i-{self.number:010x} ends")
        self.transport.close()
        self.listener.close()
        current = asyncio.current_task()
        for task in self.tasks:
            if task is not current:
                task.cancel()

    async def call(self, path, body):
        """Calls one control machine after the other until one acknowledges; at most one round."""
        for _ in self.deployment.controls:
            control = self.deployment.controls[self.control % len(self.deployment.controls)]
            status, _, _ = await http_call(control.address, self.deployment.control_port, "POST", path, body)
            if 200 <= status < 300:
                return control
            self.control += 1
        return None

    async def beat(self):
        self.sequence += 1
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        body = {"service": self.service, "address": f"{self.address}:{self.deployment.server_port}", "zone": self.zone,
                "version": "v1", "concurrency": 2, "state": self.state, "warmup_left_ms": left,
                "sequence": self.sequence, "born": self.born}
        return await self.call(f"/Instances.Heartbeat/i-{self.number:010x}", json.dumps(body).encode())

    async def report(self):
        while self.is_alive:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000 * random.uniform(0.95, 1.05))

    async def drain(self):
        """Reports `draining` until that is acknowledged."""
        self.state = "draining"
        self.deployment.record.add("drain", f"{self.name} i-{self.number:010x} reports draining")
        while self.is_alive:
            control = await self.beat()
            if control:
                self.drain_acknowledged = self.deployment.record.now()
                self.drain_acknowledged_by = control
                self.deployment.record.add("drain", f"{self.name} acknowledged by {control.name}")
                return
            await asyncio.sleep(0.2)

    async def leave(self, linger_s):
        """A planned shutdown: drains, serves for `drain_ms` and a little longer, deregisters and exits with the ack,
        or some seconds later without one."""
        await self.drain()
        await asyncio.sleep(DRAIN_S + linger_s)
        end = time.monotonic() + 3.0
        self.deployment.record.add("leave", f"{self.name} deregisters, {len(self.flows)} flows open")
        while time.monotonic() < end:
            control = await self.call(f"/Instances.Deregister/i-{self.number:010x}",
                                      json.dumps({"born": self.born}).encode())
            if control:
                self.deployment.record.add("leave", f"{self.name} has its ack from {control.name}")
                break
        self.end()

    def receive(self, data, sender):
        if len(data) < 8 + HEADER.size or not self.is_alive:
            return
        if int.from_bytes(data[:8], "big") not in (0, self.number):
            return
        packet = data[8:]
        _, source, destination, sport, dport, flags, sequence, acknowledged, echo, _ = HEADER.unpack(packet[:34])
        if not is_intact(packet):
            self.deployment.record.broke("UNASKED", f"{self.name} got a packet that its sender didn't write so")
            return
        key = (source, sport, destination, dport)
        payload = packet[34:]
        if flags & RST:
            self.flows.pop(key, None)
        elif flags & SYN:
            if key not in self.flows:
                self.flows[key] = {"own": random.getrandbits(31), "next": (sequence + 1) & MASK, "open": False}
                self.on_open(self, key, sender[0])
            flow = self.flows[key]
            self.send(key, SYN | ACK, flow["own"], flow["next"], echo)
        elif key not in self.flows:
            if flags & FIN:
                self.send(key, ACK, acknowledged, sequence + 1, echo)
            else:
                self.send(key, RST, acknowledged, sequence, echo)
        else:
            flow = self.flows[key]
            flow["open"] = True
            if flags & FIN:
                self.send(key, ACK, flow["own"] + 1, sequence + 1, echo)
                del self.flows[key]
            elif payload and sequence == flow["next"]:
                flow["next"] = (sequence + len(payload)) & MASK
                identifier = re.search(rb"X-Request-Id: (\S+)", payload).group(1)
                self.deployment.record.add("run", f"{self.name} runs {identifier.decode()}")
                body = b"answer " + identifier
                answer = (b"HTTP/1.1 200 OK\r\nX-Response-Seal: " + hashlib.sha1(body).hexdigest().encode()
                          + b"\r\nContent-Length: " + str(len(body)).encode() + b"\r\n\r\n" + body)
                flow["last"] = (flow["own"] + 1, answer)
                flow["own"] = (flow["own"] + len(answer)) & MASK
                self.send(key, ACK, flow["last"][0], flow["next"], echo, answer)
                if self.state == "draining":
                    self.send(key, FIN | ACK, flow["own"] + 1, flow["next"], echo)
                    flow["closing"] = True
            elif payload and "last" in flow:
                self.send(key, ACK, flow["last"][0], flow["next"], echo, flow["last"][1])

    def send(self, key, flags, sequence, acknowledged, echo, payload=b""):
        source, sport, destination, dport = key
        self.transport.sendto(encode(destination, dport, source, sport, flags, sequence, acknowledged, echo, payload),
                              (text_of(source), self.deployment.packet_port))


class Consumer:
    def __init__(self, deployment, address, zone):
        self.deployment, self.address, self.zone = deployment, address, zone
        self.inboxes = {}
        self.next_port = 20000
        self.served = self.failed = 0

    async def start(self):
        self.transport = await open_datagrams(self.address, self.deployment.packet_port, self.receive)

    def receive(self, data, _):
        if len(data) < HEADER.size:
            return
        _, source, _, sport, dport, flags, sequence, acknowledged, echo, total = HEADER.unpack(data[:34])
        inbox = self.inboxes.get((source, sport, dport))
        if inbox is not None:
            inbox.put_nowait((flags, sequence, acknowledged, echo, total, data[34:]))

    def new_flow(self, route):
        self.next_port += 1
        return Flow(self, route, self.next_port)


class Flow:
    """One flow of a consumer. `reset_by_system` is set if the consumer got a reset of the system's own."""

    def __init__(self, consumer, route, port):
        self.consumer, self.route, self.port = consumer, route, port
        self.inbox = consumer.inboxes[(route[0], route[1], port)] = asyncio.Queue()
        self.sequence = random.getrandbits(31)
        self.acknowledged = 0
        self.echo = 0
        self.requests = 0
        self.is_open = False
        self.is_closed = False
        self.reset_by_system = False
        self.key = (number_of(consumer.address), port, route[0], route[1])

    def send(self, flags, payload=b"", acknowledged=None):
        entry = self.consumer.deployment.select_entry(self.consumer.zone, self.key)
        if entry is None:
            return
        data = encode(number_of(self.consumer.address), self.port, self.route[0], self.route[1], flags, self.sequence,
                      self.acknowledged if acknowledged is None else acknowledged, self.echo, payload)
        self.consumer.transport.sendto(data, (entry.address, self.consumer.deployment.packet_port))

    def take(self, message):
        """Handles one packet; returns its payload if it is new."""
        flags, sequence, _, echo, total, payload = message
        if flags & RST:
            self.is_closed = True
            self.reset_by_system = total == 0
            return None
        if flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.echo = echo
                self.acknowledged = (sequence + 1) & MASK
                self.sequence = (self.sequence + 1) & MASK
                self.send(ACK)
            return None
        self.echo = echo
        if payload and sequence == self.acknowledged:
            self.acknowledged = (sequence + len(payload)) & MASK
            return payload
        if flags & FIN:
            self.acknowledged = (sequence + 1) & MASK
            self.send(FIN | ACK)
            self.is_closed = True
        return None

    async def wait(self, until):
        """Returns the next new payload, or None at the time `until` or when the flow ends."""
        while not self.is_closed and (left := until - time.monotonic()) > 0:
            try:
                payload = self.take(await asyncio.wait_for(self.inbox.get(), left))
            except asyncio.TimeoutError:
                return None
            if payload is not None or self.is_open and not self.requests:
                return payload
        return None

    async def wait_closed(self, seconds):
        """Handles packets without a request in progress, until the flow ends or the time is over."""
        end = time.monotonic() + seconds
        while not self.is_closed and (left := end - time.monotonic()) > 0:
            try:
                self.take(await asyncio.wait_for(self.inbox.get(), left))
            except asyncio.TimeoutError:
                return

    async def open(self):
        start = time.monotonic()
        for copy, limit in enumerate((0.2, 0.6, 1.4)):
            self.send(SYN, acknowledged=copy)
            await self.wait(start + limit)
            if self.is_open or self.is_closed:
                break
        return self.is_open

    async def request(self, limit_s=2.0):
        self.requests += 1
        identifier = f"{self.consumer.address}-{self.port}-{self.requests}"
        payload = f"GET /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: {identifier}\r\n\r\n".encode()
        record = self.consumer.deployment.record
        record.add("send", identifier)
        end = time.monotonic() + limit_s
        pause = 0.2
        answer = None
        while time.monotonic() < end and not self.is_closed and answer is None:
            self.send(ACK, payload)
            answer = await self.wait(min(end, time.monotonic() + pause))
            pause = min(1.6, pause * 2)
        if answer is not None:
            self.sequence = (self.sequence + len(payload)) & MASK
            if not answer.endswith(b"answer " + identifier.encode()):
                record.broke("MIXED", f"{identifier} got another answer")
            self.send(ACK)
            record.add("answered", identifier)
            self.consumer.served += 1
        else:
            record.add("failed", f"{identifier}{' reset by the system' if self.reset_by_system else ''}")
            self.consumer.failed += 1
        return answer is not None

    def close(self):
        if self.is_open and not self.is_closed:
            self.send(FIN | ACK)
        self.is_closed = True
        self.consumer.inboxes.pop((self.route[0], self.route[1], self.port), None)


class Deployment:
    def __init__(self, record, zones=("dar-a", "dar-b", "dar-c"), entries_per_zone=1):
        self.record = record
        self.zones = list(zones)
        self.folder = tempfile.mkdtemp(prefix="almondwing-review-")
        self.command = self.deploy_command()
        self.prefix = self.free_prefix()
        self.packet_port, self.ready_port, self.control_port, self.server_port = self.free_ports()
        self.controls, self.entries, self.servers = [], [], []
        self.is_started = False
        self.tasks = []
        self.next_server = self.next_consumer = 0
        self.version = 0
        for index, zone in enumerate(self.zones):
            self.controls.append(Node(self, f"core-{zone}-1", zone, f"127.{self.prefix}.{index + 1}.1", True))
            for copy in range(entries_per_zone):
                self.new_entry(zone)

    @staticmethod
    def deploy_command():
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "([^"]+)"', file.read(), re.M).group(1).split()
        program = os.path.join(ROOT, command[0])
        if not os.access(program, os.X_OK):
            raise RuntimeError(f"{command[0]} is not built")
        return [program, *command[1:]]

    @staticmethod
    def free_prefix():
        return random.randrange(20, 250)

    def free_ports(self):
        ports = []
        while len(ports) < 4:
            port = random.randrange(15000, 19900)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
        return ports

    def new_entry(self, zone):
        count = sum(entry.zone == zone for entry in self.entries)
        index = self.zones.index(zone)
        entry = Node(self, f"front-{zone}-{count + 1}", zone, f"127.{self.prefix}.{index + 1}.{10 + count}", False)
        self.entries.append(entry)
        return entry

    def new_server(self, zone, service, first_control=None, cold_s=0.0):
        self.next_server += 1
        index = self.zones.index(zone)
        return Server(self, f"server-{self.next_server}", zone, f"127.{self.prefix}.{index + 1}.{50 + self.next_server}",
                      service, first_control, cold_s=cold_s)

    def holder_of(self, key):
        """The living server at which the flow is open, if any."""
        return next((server for server in self.servers
                     if server.is_alive and key in server.flows and server.flows[key]["open"]), None)

    async def new_consumer(self, zone):
        self.next_consumer += 1
        consumer = Consumer(self, f"127.{self.prefix}.{self.zones.index(zone) + 101}.{self.next_consumer}", zone)
        await consumer.start()
        return consumer

    def select_entry(self, zone, key):
        own = [entry for entry in self.entries if entry.zone == zone and entry.is_joined]
        ready = [entry for entry in own if entry.failed_probes < 2]
        if len(ready) * 2 < len(own):
            ready = own
        return max(ready, key=lambda entry: hashlib.md5(repr((entry.address, key)).encode()).digest(), default=None)

    async def probe(self, entry):
        while True:
            if entry.is_joined:
                status, _, _ = await http_call(entry.address, self.ready_port, "GET", "/readiness", timeout=0.5)
                entry.failed_probes = 0 if status == 200 else entry.failed_probes + 1
            await asyncio.sleep(0.5)

    def start_entry(self, entry):
        entry.start()
        self.tasks.append(asyncio.create_task(self.probe(entry)))

    def start(self):
        for control in self.controls:
            control.start()
        for entry in self.entries:
            self.start_entry(entry)
        self.is_started = True

    async def operate(self, method, path, body=b"", limit_s=15.0):
        """An order of the operator: any node, redirects followed twice, other nodes with increasing backoff."""
        end = time.monotonic() + limit_s
        pause = 0.05
        while time.monotonic() < end:
            address = random.choice(self.controls).address
            for _ in range(3):
                status, headers, content = await http_call(address, self.control_port, method, path, body)
                if status != 307:
                    break
                address = headers["location"].split("//")[1].split(":")[0]
            if status == 200 or status in (400, 404, 409, 412, 413, 422):
                self.record.add("operator", f"{method} {path} {len(body)} bytes: {status}")
                return status, content
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 2)
        self.record.add("operator", f"{method} {path}: no clear response")
        return 0, b""

    def document(self, routes):
        """`routes` maps (address number, port) to (service, type)."""
        self.version += 1
        services = sorted({service for service, _ in routes.values()})
        return json.dumps({
            "version": self.version,
            "routes": [{"name": f"r-{index}", "host": text_of(route[0]), "path_prefix": f"/{route[1]}/", "type": kind,
                        "timeout_ms": 1000, "target_latency_ms": 100, "priority": 2, "service": service,
                        "max_attempts": 2} for index, (route, (service, kind)) in enumerate(routes.items())],
            "services": [{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False,
                          "warmup_s": 2.0, "warmup_per_s": 0.0} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}).encode()

    def core_in_touch_at(self, now):
        """Whether no control machine was killed, stopped or started in the stability window before `now`."""
        return all(now - control.disturbed_at > STABILITY_S for control in self.controls)

    def in_touch(self, entry, now):
        return now - entry.disturbed_at > STABILITY_S and self.core_in_touch_at(now)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        nodes = [node for node in self.controls + self.entries if node.process]
        for node in nodes:
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in nodes:
            node.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(scenario, folder, **options):
    """Runs `scenario(deployment, is_disrupted)` and exits with 1 if a rule was broken, 0 if all held, 2 if the
    case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    record.add("begin", f"disruption {'on' if is_disrupted else 'off'}")
    deployment = None
    code = 2
    try:
        deployment = Deployment(record, **options)
        # The loop is left with its tasks: in Python 3.11 a task can lose its cancellation in asyncio.wait_for().
        loop = asyncio.new_event_loop()
        loop.run_until_complete(asyncio.wait_for(scenario(deployment, is_disrupted), 110))
        code = 1 if record.broken else 0
    except Exception as error:  # The case couldn't run, whatever the reason.
        record.add("error", repr(error))
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
    finally:
        if deployment:
            deployment.stop()
    record.add("end", f"exit code {code}")
    for line in record.broken[:20]:
        print(line)
    print(f"exit code {code}, {len(record.broken)} breaks")
    sys.stdout.flush()
    os._exit(code)
