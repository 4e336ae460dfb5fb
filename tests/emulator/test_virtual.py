"""The virtual clock and the network in memory: order of events, ends of connections, killed machines."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from client_proxy.emulator.errors import SchedulerStuckError
from client_proxy.emulator.memory_socket import BUFFER_BYTES
from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.virtual import START_S, Scheduler, VirtualLoop


class SimulatedMachines:
    def __init__(self) -> None:
        self.scheduler = Scheduler()
        self.loop = self.scheduler.new_loop("world")
        self.network = MemoryNetwork(self.loop)

    def new_machine(self, name: str) -> VirtualLoop:
        return self.network.join(self.scheduler.new_loop(name))

    def run(self, main: Coroutine[Any, Any, Any], loop: VirtualLoop | None = None) -> Any:
        return self.scheduler.run(loop or self.loop, main, 1000.0)


class Peer(asyncio.Protocol):
    """Records what happens on its connection."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.received = b""
        self.calls: list[str] = []
        self.error: Exception | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.calls.append("made")

    def data_received(self, data: bytes) -> None:
        self.received += data

    def eof_received(self) -> None:
        self.calls.append("eof")

    def connection_lost(self, exc: Exception | None) -> None:
        self.error = exc
        self.calls.append("lost")

    def pause_writing(self) -> None:
        self.calls.append("pause")

    def resume_writing(self) -> None:
        self.calls.append("resume")


async def connected_pair(
    machines: SimulatedMachines, server_loop: VirtualLoop | None = None
) -> tuple[Peer, Peer]:
    server = Peer()
    listener = machines.network.listen(server_loop or machines.loop, lambda: server, ("127.0.0.1", 0))
    _, client = await machines.loop.create_connection(Peer, *listener.address)
    await asyncio.sleep(0.001)
    return client, server


def test_the_clock_jumps_to_the_next_timer_and_equal_timers_fire_in_order() -> None:
    machines = SimulatedMachines()
    fired: list[object] = []

    async def main() -> float:
        loop = asyncio.get_running_loop()
        for number in range(50):
            loop.call_later(3600.0, fired.append, number)
        loop.call_later(1800.0, fired.append, "first")
        await asyncio.sleep(7200.0)
        return loop.time()

    scheduler = machines.scheduler
    assert scheduler.run(machines.loop, main(), 1e6) == START_S + 7200.0
    assert fired == ["first", *range(50)]


def test_a_cancelled_timer_does_not_fire_and_asyncio_timeouts_work() -> None:
    machines = SimulatedMachines()

    async def main() -> None:
        asyncio.get_running_loop().call_later(1.0, pytest.fail, "fired").cancel()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(5.0):
                await asyncio.sleep(10.0)
        assert machines.loop.time() == START_S + 5.0
        done = await asyncio.gather(asyncio.sleep(1.0, "a"), asyncio.sleep(2.0, "b"))
        assert list(done) == ["a", "b"]

    machines.run(main())


def test_waiting_for_an_event_that_is_never_set_raises_an_error() -> None:
    machines = SimulatedMachines()

    async def main() -> None:
        await asyncio.Event().wait()

    with pytest.raises(SchedulerStuckError):
        machines.run(main())


def test_bytes_arrive_in_order_and_the_close_after_them() -> None:
    machines = SimulatedMachines()

    async def main() -> None:
        client, server = await connected_pair(machines)
        for number in range(300):
            client.transport.write(b"%d," % number)
        client.transport.close()
        await asyncio.sleep(0.1)
        assert server.received == b"".join(b"%d," % number for number in range(300))
        assert server.calls == ["made", "eof", "lost"]
        assert server.error is None
        assert client.calls == ["made", "lost"]

    machines.run(main())


def test_a_write_to_a_closed_connection_is_answered_by_a_reset() -> None:
    machines = SimulatedMachines()

    async def main() -> None:
        client, server = await connected_pair(machines)
        server.transport.close()
        client.transport.write(b"too late")  # sent before the close has arrived
        await asyncio.sleep(0.1)
        assert client.calls[-1] == "lost"
        assert server.received == b""
        sock = machines.network.socket(0)
        with pytest.raises(BrokenPipeError):
            sock.send(b"x")  # a socket that was never connected

    machines.run(main())


def test_dials_are_refused_kept_waiting_or_accepted() -> None:
    machines = SimulatedMachines()

    async def main() -> None:
        with pytest.raises(ConnectionRefusedError):
            await machines.loop.create_connection(Peer, "127.0.0.1", 9)
        listener = machines.network.listen(machines.loop, Peer, ("127.0.0.1", 0))
        listener.hold()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60.0):
                await machines.loop.create_connection(Peer, *listener.address)
        dial = asyncio.ensure_future(machines.loop.create_connection(Peer, *listener.address))
        await asyncio.sleep(1.0)
        assert not dial.done()
        listener.accept()
        await dial  # the dial that timed out is skipped, the one that still waits is accepted
        held = asyncio.ensure_future(machines.loop.create_connection(Peer, *listener.address))
        listener.hold()
        await asyncio.sleep(1.0)
        listener.close()
        with pytest.raises(ConnectionRefusedError):
            await held

    machines.run(main())


def test_a_paused_reader_pauses_the_writer_and_no_data_is_lost() -> None:
    machines = SimulatedMachines()

    async def main() -> None:
        client, server = await connected_pair(machines)
        server.transport.pause_reading()
        data = bytes(range(256)) * 1024 * 2
        client.transport.write(data[: BUFFER_BYTES + 1])
        await asyncio.sleep(1.0)
        assert client.calls == ["made", "pause"]
        assert server.received == b""
        server.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert client.calls == ["made", "pause", "resume"]
        client.transport.write(data[BUFFER_BYTES + 1 :])
        await asyncio.sleep(1.0)
        assert server.received == data

    machines.run(main())


def test_peeking_leaves_the_data_in_the_buffer() -> None:
    machines = SimulatedMachines()

    async def main() -> None:
        server = Peer()
        listener = machines.network.listen(machines.loop, lambda: server, ("127.0.0.1", 0))
        sock = machines.network.socket(0)
        await machines.loop.sock_connect(sock, listener.address)
        with pytest.raises(BlockingIOError):
            sock.recv(1)
        await asyncio.sleep(0.001)
        server.transport.write(b"stray")
        await asyncio.sleep(0.001)
        assert sock.recv(1) == sock.recv(1) == b"s"
        client = Peer()
        await machines.loop.create_connection(lambda: client, sock=sock)
        assert client.received == b"stray"

    machines.run(main())


def test_a_killed_machine_runs_no_callbacks_and_its_peers_are_reset() -> None:
    machines = SimulatedMachines()
    machine = machines.new_machine("m")
    ran: list[str] = []

    async def work() -> None:
        ran.append("before")
        try:
            await asyncio.sleep(5.0)
        finally:
            ran.append("after")

    async def main() -> None:
        client, server = await connected_pair(machines, machine)
        machine.create_task(work())
        machine.call_later(3.0, ran.append, "timer")
        await asyncio.sleep(1.0)
        machines.network.kill(machine)
        await asyncio.sleep(10.0)
        assert isinstance(client.error, ConnectionResetError)
        assert ran[0] == "before"
        assert "timer" not in ran
        assert "lost" not in server.calls  # a killed process gets no callbacks
        with pytest.raises(ConnectionRefusedError):
            await machines.loop.create_connection(Peer, *server.transport.sockname)
        assert machines.network.open_socket_count(machine) == 0

    machines.run(main())


def test_an_address_has_one_listener() -> None:
    machines = SimulatedMachines()
    listener = machines.network.listen(machines.loop, Peer, ("127.0.0.1", 0))
    with pytest.raises(OSError, match="address in use"):
        machines.network.listen(machines.loop, Peer, listener.address)
    listener.close()
    machines.network.listen(machines.loop, Peer, listener.address)


def test_closed_connections_leave_no_sockets_callbacks_or_timers() -> None:
    machines = SimulatedMachines()

    async def main() -> None:
        listener = machines.network.listen(machines.loop, Peer, ("127.0.0.1", 0))
        for number in range(3000):
            transport, _ = await machines.loop.create_connection(Peer, *listener.address)
            transport.reset() if number % 2 else transport.close()
        await asyncio.sleep(1.0)
        assert machines.network.open_socket_count(machines.loop) == 0
        assert not machines.scheduler._ready
        assert not machines.scheduler._timers

    machines.run(main())
