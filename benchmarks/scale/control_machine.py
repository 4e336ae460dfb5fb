"""A control machine's processor time, memory and traffic by the number of instances that request leases.

The control machine is a real `client-proxy serve` with a vote, in a process of its own. One socket stands for
the instances: it sends their signed lease requests (`LeaseRequest`) under as many member numbers, at the rate
of that many instances, each of which sends one per quarter of the lease. There are no changes. The other
control machines are named in the file but don't run, so this one grants leases and holds none itself."""

from __future__ import annotations

import asyncio
import base64
import random
import socket
import struct
import tempfile
from hashlib import blake2b
from pathlib import Path
from typing import Any

from benchmarks.scale.cost import Cost, Quantity, Readings
from benchmarks.scale.data_path import cpu_s
from benchmarks.scale.processes import children, free_port, proportional_kb, serve, serve_text, servers_text
from client_proxy.cli.instance_file import load_instance_file
from client_proxy.consensus.bootstrap import first_version, initialize_acceptor
from client_proxy.consensus.messages import LeaseRequest, Version, encode
from client_proxy.membership.codec import MAC_BYTES
from client_proxy.membership.keys import Ed25519, format_keyring, issue_certificate, write_private_file
from client_proxy.membership.messages import SIGNATURE_BYTES

INSTANCES = (34, 68, 136, 340, 680)
CONTROL_MACHINES = 5
LEASE_MS = 3000.0
REQUESTS_PER_LEASE = 4  # `ConsensusPolicySource` sends a request after each quarter of the lease
LENGTH_S = 4.0
SETTLE_S = 1.0  # load before the measurement begins
HOST = "127.0.0.1"
GROUP = 1
GROUP_SECRET = bytes(range(32))
FIRST_MEMBER = 1000  # member number of the first simulated instance
IP_UDP_BYTES = 28  # headers of one datagram
SERVERS = 10
RECEIVE_BUFFER = 4 * 1024 * 1024


def _secret(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=32).digest()


def write_files(folder: Path, lease_ms: float, port: int) -> Path:
    """Writes the files of member 1, which has a vote, and returns the path of its settings file."""
    authority = Ed25519(_secret("authority"))
    secret = _secret("member 1")
    card = issue_certificate(authority, 1, 1, "", 1, Ed25519(secret).public_key)
    write_private_file(
        folder / "member.keys",
        format_keyring(card, "", secret, {GROUP: GROUP_SECRET}, {1: authority.public_key}),
    )
    (folder / "first.toml").write_text(servers_text([f"10.0.0.{1 + n}:8000" for n in range(SERVERS)]))
    lines = [
        "[agreement]",
        'keys = "member.keys"',
        f'listen = "{HOST}:{port}"',
        'first = "first.toml"',
        'keep = "kept"',
        f"lease_ms = {lease_ms}",
    ]
    for member in range(1, CONTROL_MACHINES + 1):
        public = base64.b64encode(Ed25519(_secret(f"member {member}")).public_key).decode()
        # Nothing listens at the addresses of the other control machines.
        address = f"{HOST}:{port}" if member == 1 else f"127.0.0.{1 + member}:9"
        lines += [
            "[[agreement.seat]]",
            f"member = {member}",
            f'address = "{address}"',
            f'public = "{public}"',
        ]
    config = folder / "control.toml"
    config.write_text(serve_text("control", f"{HOST}:{free_port(HOST)}", 2000.0, "\n".join(lines)))
    table = load_instance_file(config).file.agreement
    assert table is not None
    initialize_acceptor(table, folder, 1)
    return config


def read_first_version(folder: Path) -> Version:
    table = load_instance_file(folder / "control.toml").file.agreement
    assert table is not None
    return first_version(table, (folder / table.first).read_bytes()).version


class LeaseRequester(asyncio.DatagramProtocol):
    """Sends the lease requests of many instances from one socket and counts the grants."""

    def __init__(self, instances: int, version: Version) -> None:
        self._instances, self._version = instances, version
        self.sent = self.granted = self.bytes = 0

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.granted += 1
        self.bytes += len(data) + IP_UDP_BYTES

    def send_request(self) -> None:
        member = FIRST_MEMBER + self.sent % self._instances
        request = LeaseRequest(self._version.number, random.getrandbits(60), self._version.digest)
        body = struct.pack(">I", member) + bytes(SIGNATURE_BYTES) + encode(request)
        datagram = body + blake2b(body, key=GROUP_SECRET, digest_size=MAC_BYTES).digest()
        self.sent += 1
        self.bytes += len(datagram) + IP_UDP_BYTES
        self._transport.sendto(datagram)


async def _offer(requester: LeaseRequester, per_s: float, length_s: float) -> None:
    """Sends `per_s` requests a second, evenly spaced, for `length_s`."""
    loop = asyncio.get_running_loop()
    begin_s, before = loop.time(), requester.sent
    while (now_s := loop.time() - begin_s) < length_s:
        while requester.sent - before < now_s * per_s:
            requester.send_request()
        await asyncio.sleep(0.001)
    await asyncio.sleep(0.1)  # time for the last responses


async def _measure(instances: int, lease_ms: float, length_s: float) -> Readings:
    per_s = 1000.0 * instances * REQUESTS_PER_LEASE / lease_ms
    port = free_port(HOST)
    with tempfile.TemporaryDirectory(prefix="control-") as folder_name:
        folder = Path(folder_name)
        config = write_files(folder, lease_ms, port)
        async with children() as started:
            child = await serve("control", folder, config.read_text())
            started.append(child)
            await child.wait_until_listening(port)
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            sock.connect((HOST, port))
            transport, requester = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: LeaseRequester(instances, read_first_version(folder)), sock=sock
            )
            try:
                await _offer(requester, per_s, SETTLE_S)
                sent, granted, byte_count = requester.sent, requester.granted, requester.bytes
                before_s = cpu_s(child.pid)
                await _offer(requester, per_s, length_s)
                spent_s = cpu_s(child.pid) - before_s
                return {
                    "cpu": spent_s / length_s,
                    "bytes": (requester.bytes - byte_count) / length_s,
                    "unanswered": 1.0 - (requester.granted - granted) / max(1, requester.sent - sent),
                    "memory": proportional_kb(child.pid) / 1024.0,
                }
            finally:
                transport.close()


def measure(instances: int, lease_ms: float = LEASE_MS, length_s: float = LENGTH_S) -> Readings:
    return asyncio.run(_measure(instances, lease_ms, length_s))


COST = Cost(
    name="control_machine",
    axis="instances",
    sizes=INSTANCES,
    basis="real processes",
    quantities=(
        Quantity("cpu", "of a core"),
        Quantity("bytes", "bytes a second, both ways"),
        Quantity("unanswered", "of the requests for a lease"),
        Quantity("memory", "MB"),
    ),
    measure=measure,
)
