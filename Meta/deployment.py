#!/usr/bin/env python3
"""Writes the files of a small deployment on loopback: the settings of six instances in three failure domains, three of
them control instances, and the given manifest with free ports. Prints shell variables with the names and addresses;
FABRIC_CONTROL is the control address of the stand-in for the network fabric."""

import json
import pathlib
import socket
import sys

DOMAINS = ["dar-a", "dar-b", "dar-c"]
INSTANCES_PER_DOMAIN = 2


def free_ports(count):
    """Returns ports that are free for both TCP and UDP. The sockets stay bound until all ports are found, so that no
    port is returned twice."""
    sockets, ports = [], []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        try:
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for bound_socket in sockets:
        bound_socket.close()
    return ports


def settings(folder, instance, instances, token_hash):
    peers = "".join(
        f"""
[[peers]]
name = "{peer['name']}"
failure_domain = "{peer['domain']}"
peer = "127.0.0.1:{peer['ports'][2]}"
http = "127.0.0.1:{peer['ports'][3]}"
control = {str(peer['control']).lower()}
"""
        for peer in instances
        if peer is not instance
    )
    data = f'data_folder = "{folder}/data-{instance["name"]}"\n' if instance["control"] else ""
    entry, target, peer_port, http = instance["ports"]
    return f"""cluster = "tz-dar"
instance = "{instance['name']}"
failure_domain = "{instance['domain']}"
threads = 4
{data}
[listen]
entry = "127.0.0.1:{entry}"
target = "127.0.0.1:{target}"
peer = "127.0.0.1:{peer_port}"
http = "127.0.0.1:{http}"
{peers}
[[operators]]
name = "quickstart"
token_hash = "{token_hash}"

[log]
folder = "{folder}/log-{instance['name']}"
level = "information"
"""


def main():
    folder = pathlib.Path(sys.argv[1])
    example, token_hash = pathlib.Path(sys.argv[2]), sys.argv[3]
    manifest = json.loads(example.read_text())
    names = [(domain, number) for domain in DOMAINS for number in range(1, INSTANCES_PER_DOMAIN + 1)]
    ports = free_ports(4 * len(names) + len(manifest["services"]) + 1)
    instances = [
        {"name": f"{domain}-{number}", "domain": domain, "control": number == 1, "ports": ports[4 * i : 4 * i + 4]}
        for i, (domain, number) in enumerate(names)
    ]
    rest = ports[4 * len(names) :]
    for service, port in zip(manifest["services"], rest):
        service["address"] = f"127.0.0.1:{port}"
        print(f"SERVICE_{service['name'].replace('-', '_').upper()}=127.0.0.1:{port}")
    (folder / "manifest.json").write_text(json.dumps(manifest, indent=2))
    for instance in instances:
        (folder / f"log-{instance['name']}").mkdir(parents=True, exist_ok=True)
        (folder / f"{instance['name']}.toml").write_text(settings(folder, instance, instances, token_hash))
    print("INSTANCES='" + " ".join(i["name"] for i in instances) + "'")
    print("ENTRIES='" + " ".join(f"127.0.0.1:{i['ports'][0]}" for i in instances) + "'")
    print("HTTP='" + " ".join(f"127.0.0.1:{i['ports'][3]}" for i in instances) + "'")
    for domain in DOMAINS:
        https = " ".join(f"127.0.0.1:{i['ports'][3]}" for i in instances if i["domain"] == domain)
        print(f"HTTP_{domain.replace('-', '_').upper()}='{https}'")
    print(f"FABRIC_CONTROL=127.0.0.1:{rest[-1]}")


main()
