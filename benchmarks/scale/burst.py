"""Datagrams that a port keeps while its event loop is busy, by the number that arrive at once.

Uses a real port of the agreement (`UdpPort`) on the loopback interface. The event loop is blocked while one
datagram per sender arrives, each as long as a lease request; then it reads what the system has buffered. In
production this happens while an instance reads the file of a new version, after which every instance requests
a lease on it."""

from __future__ import annotations

import asyncio
import socket

from benchmarks.scale.cost import Cost, Quantity, Readings
from client_proxy.address import Address
from client_proxy.membership.link import UdpPort

SENDERS = (34, 68, 136, 340, 680)
BYTES = 140  # length of a lease request in its frame
HOST = "127.0.0.1"
READ_S = 0.2  # time for the event loop to read the buffered datagrams


async def _measure(senders: int) -> Readings:
    kept = 0

    def received(datagram: bytes, source: Address) -> float:
        nonlocal kept
        kept += 1
        return 0.0

    port = UdpPort((HOST, 0))
    port.start(received)
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(senders):
                sender.sendto(bytes(BYTES), port.address)
        await asyncio.sleep(READ_S)
    finally:
        port.close()
    return {"lost": 1.0 - kept / senders, "kept": float(kept)}


def measure(senders: int) -> Readings:
    return asyncio.run(_measure(senders))


COST = Cost(
    name="burst",
    axis="datagrams at once",
    sizes=SENDERS,
    basis="counted",
    quantities=(Quantity("lost", "of the datagrams"), Quantity("kept", "datagrams")),
    measure=measure,
)
