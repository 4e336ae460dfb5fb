"""A client that sends raw bytes to an emulated server, and runs of a test script on both clocks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from client_proxy.emulator.emulated_server import EmulatedServer
from client_proxy.emulator.event_log import ClientAttempt
from client_proxy.emulator.listeners import MemoryListener, SocketListener
from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.simulation import Simulation
from client_proxy.emulator.virtual import Scheduler
from tests.support.days import UNSAFE, day

TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.005


class RawClient:
    """A connection to an emulated server; tests write bytes to its transport."""

    def __init__(self, reader: asyncio.StreamReader, transport: Any) -> None:
        self.reader, self.transport = reader, transport

    @classmethod
    async def dial(cls, address: tuple[str, int]) -> RawClient:
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(lambda: asyncio.StreamReaderProtocol(reader), *address)
        return cls(reader, transport)

    async def answer(self) -> int:
        """Reads one response and returns its status code."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        await self.reader.readexactly(length)
        return int(head.split()[1])


def request(id_: str, cls: str = UNSAFE) -> bytes:
    """Returns the bytes of a request of class `cls` with the trace id `id_`."""
    return f"POST /{cls}/1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {id_}\r\nContent-Length: 4\r\n\r\nform".encode()


Script = Callable[[Simulation, EmulatedServer], Awaitable[None]]


def on_both_clocks(script: Script, **given: object) -> None:
    """Runs the script against server east-1 of a small scenario, on the virtual and then on the real clock.

    `given` are the arguments of `tests.support.days.text`. Attempts t0 to t7 are registered beforehand."""
    scenario = day(**given)

    async def run_script(simulation: Simulation) -> None:
        simulation.prepare()
        server = simulation.servers["east-1"]
        server.start(cold=False)
        for number in range(8):
            simulation.event_log.attempts[f"t{number}"] = ClientAttempt(
                f"t{number}", 0, number, UNSAFE, "k", 10.0
            )
        try:
            await script(simulation, server)
        finally:
            for emulated_server in simulation.servers.values():
                emulated_server.close()

    scheduler = Scheduler()
    loop = scheduler.new_loop("world")
    network = MemoryNetwork(loop)
    simulated = Simulation(scenario, loop)
    simulated.new_listener = lambda factory: MemoryListener(loop, network, factory)
    scheduler.run(loop, run_script(simulated), 1000.0)

    async def run_on_real_clock() -> None:
        running_loop = asyncio.get_running_loop()
        simulation = Simulation(scenario, running_loop)
        simulation.new_listener = lambda factory: SocketListener(running_loop, factory, ("127.0.0.1", 0))
        async with asyncio.timeout(TIMEOUT_S):
            await run_script(simulation)

    asyncio.run(run_on_real_clock())


async def until(condition: Callable[[], bool]) -> None:
    """Waits until the condition holds, without a time limit of its own."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
