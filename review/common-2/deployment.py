"""Starts almondwing-node processes on loopback addresses and plays the operator.

Every machine has its own address in 127.0.0.0/8. The ports are the same on all machines, as on the platform.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target", "platform", "almondwing-node")  # `run` of deploy/system.toml.
SETTINGS_VARIABLE = "ALMONDWING_NODE_FILE"

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
CASE_LIMIT_S = 112.0


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """The protocol of one run: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def free_ports(addresses, count):
    """Returns ports that are free for TCP and UDP at all addresses."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        if port in ports:
            continue
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
        except OSError:
            continue
        ports.append(port)
    return ports


async def http_call(address, port, method, path, body=b"", timeout=1.0):
    """Returns status, headers and body; status 0 stands for no complete answer in time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\nContent-Type: application/json\r\n"
                    f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n")
            writer.write(head.encode() + body)
            await writer.drain()
            raw = await reader.read(-1)
        finally:
            writer.close()
        head, _, content = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        if int(headers.get("content-length", "0")) != len(content):
            return 0, {}, b""
        return int(lines[0].split()[1]), headers, content

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return 0, {}, b""


class Node:
    """A machine with one process of the system."""

    def __init__(self, deployment, name, domain, address, is_control):
        self.deployment, self.name, self.domain = deployment, name, domain
        self.address, self.is_control = address, is_control
        self.folder = os.path.join(deployment.folder, name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.data)
        self.process = None

    def settings(self, is_first_start):
        """What the platform makes of deploy/node-settings.toml."""
        ports = self.deployment.ports
        lines = [f'instance = "{self.name}"', f'failure_domain = "{self.domain}"',
                 f"failure_domains = {json.dumps(self.deployment.domains)}"]
        if self.is_control:
            lines += [f'control = "{self.address}:{ports["control"]}"', f'data_folder = "{self.data}"']
        else:
            lines += [f'packets = "{self.address}:{ports["packets"]}"',
                      f'readiness = "{self.address}:{ports["readiness"]}"']
        lines += [f'metrics = "{self.address}:{ports["metrics"]}"',
                  f"seeds = {json.dumps(self.deployment.seeds)}",
                  f"first_start = {'true' if is_first_start else 'false'}",
                  f"heartbeat_ms = {self.deployment.heartbeat_ms}", "stop_s = 6", "cold_flows_per_s = 5",
                  "repeat_percent = 5"]
        return "\n".join(lines) + "\n"

    def start(self, is_first_start=False):
        path = os.path.join(self.folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(is_first_start))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       SETTINGS_VARIABLE: path}
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen([PROGRAM], cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        self.deployment.record.write(f"{self.name} starts (first_start={is_first_start})")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.deployment.record.write(f"{self.name} gets {signal.Signals(number).name}")

    async def wait_for_end(self, limit):
        end = time.monotonic() + limit
        while self.process.poll() is None:
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.02)
        self.deployment.record.write(f"{self.name} has ended")
        return True

    def lose_disk(self):
        shutil.rmtree(self.data)
        os.makedirs(self.data)
        self.deployment.record.write(f"{self.name} has an empty disk")


class Deployment:
    def __init__(self, case_folder, domains, heartbeat_ms=1200):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the build of the deploy file has not been run")
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.domains, self.heartbeat_ms = domains, heartbeat_ms
        self.folder = tempfile.mkdtemp(prefix="almondwing-review-")
        self.prefix = f"127.{random.randint(20, 250)}"
        self.nodes, self.controls, self.seeds, self.ports = [], [], [], {}

    def address(self, domain_index, host):
        return f"{self.prefix}.{domain_index + 1}.{host}"

    def choose_ports(self, addresses):
        names = ("control", "packets", "readiness", "metrics", "target")
        self.ports = dict(zip(names, free_ports(addresses, len(names))))

    def add(self, name, domain_index, host, is_control):
        node = Node(self, name, self.domains[domain_index], self.address(domain_index, host), is_control)
        self.nodes.append(node)
        if is_control:
            self.controls.append(node)
        return node

    def set_seeds(self, nodes):
        self.seeds = [f'{node.address}:{self.ports["control"]}' for node in nodes]

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
        for node in self.nodes:
            if node.process:
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def order(self, method, path, body=b"", limit=10.0, nodes=None):
        """A call of the operator: picks a control instance, follows redirects twice, and sends the call again
        unchanged with increasing pauses until the answer is clear. Returns status and body; 0 after the limit."""
        end = time.monotonic() + limit
        pause = 0.05
        number = random.randrange(1 << 16)
        while time.monotonic() < end:
            address = random.choice(nodes or self.controls).address
            for _ in range(3):
                status, headers, content = await http_call(address, self.ports["control"], method, path, body)
                self.record.write(f"operator {number:04x} {method} {path} to {address}: {status}")
                if status != 307:
                    break
                address = headers["location"].split("//")[1].split(":")[0]
            if status == 200 or status in (400, 404, 409, 412, 413, 422):
                return status, content
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 2)
        return 0, b""

    async def leader(self):
        """The control instance that answers a read itself; the others redirect to it."""
        for _ in range(100):
            for node in self.controls:
                status, _, _ = await http_call(node.address, self.ports["control"], "GET", "/Configuration.Read")
                if status == 200:
                    return node
            await asyncio.sleep(0.1)
        raise CannotRun("no control instance answers a read")

    async def wait_until_ready(self, entry):
        for _ in range(200):
            status, _, _ = await http_call(entry.address, self.ports["readiness"], "GET", "/readiness")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{entry.name} did not become ready")

    async def replace_configuration(self, text, limit=10.0):
        status, _ = await self.order("POST", "/Configuration.Replace", text.encode(), limit)
        self.record.write(f"configuration {json.loads(text)['version']}: {status}")
        return status == 200


async def finish(play, case_folder, has_trouble):
    """Runs the case and ends the process at once: a task that misses its cancellation would keep the loop alive."""
    try:
        has_held = await asyncio.wait_for(play(case_folder, has_trouble), CASE_LIMIT_S)
        print("the rule held" if has_held else "the rule was broken", flush=True)
        result = EXIT_HELD if has_held else EXIT_BROKEN
    except Exception as error:  # Whatever it is, it is not the rule that was broken.
        print(f"the case could not run: {error!r}", flush=True)
        result = EXIT_NOT_RUN
    os._exit(result)


def run_case(play):
    """Runs `play(case_folder, has_trouble)`, which returns whether the rule held, and exits with the result. `play`
    ends all processes that it has started."""
    try:
        asyncio.run(finish(play, os.path.abspath(sys.argv[1]), os.environ.get("TROUBLE", "1") != "0"))
    except KeyboardInterrupt:
        sys.exit(EXIT_NOT_RUN)
