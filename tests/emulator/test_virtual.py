"""The virtual clock and the network in memory: order, ends, resets, and machines that are killed."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from client_proxy.emulator.errors import SchedulerStuckError
from client_proxy.emulator.memory_socket import BUFFER_BYTES
from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.virtual import START_S, Scheduler, VirtualLoop


class World:
    def __init__(self) -> None:
        self.scheduler = Scheduler()
        self.loop = self.scheduler.new_loop("world")
        self.network = MemoryNetwork(self.loop)

    def machine(self, name: str) -> VirtualLoop:
        return self.network.join(self.scheduler.new_loop(name))

    def run(self, main: Coroutine[Any, Any, Any], loop: VirtualLoop | None = None) -> Any:
        return self.scheduler.run(loop or self.loop, main, 1000.0)


class Peer(asyncio.Protocol):
    """Writes down what happens to it."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.got = b""
        self.log: list[str] = []
        self.error: Exception | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.log.append("made")

    def data_received(self, data: bytes) -> None:
        self.got += data

    def eof_received(self) -> None:
        self.log.append("eof")

    def connection_lost(self, exc: Exception | None) -> None:
        self.error = exc
        self.log.append("lost")

    def pause_writing(self) -> None:
        self.log.append("pause")

    def resume_writing(self) -> None:
        self.log.append("resume")


async def pair(world: World, there: VirtualLoop | None = None) -> tuple[Peer, Peer]:
    server = Peer()
    listener = world.network.listen(there or world.loop, lambda: server, ("127.0.0.1", 0))
    _, client = await world.loop.create_connection(Peer, *listener.address)
    await asyncio.sleep(0.001)
    return client, server


def test_time_jumps_to_the_next_timer_and_timers_of_one_instant_keep_their_order() -> None:
    world = World()
    seen: list[object] = []

    async def main() -> float:
        loop = asyncio.get_running_loop()
        for number in range(50):
            loop.call_later(3600.0, seen.append, number)
        loop.call_later(1800.0, seen.append, "first")
        await asyncio.sleep(7200.0)
        return loop.time()

    scheduler = world.scheduler
    assert scheduler.run(world.loop, main(), 1e6) == START_S + 7200.0
    assert seen == ["first", *range(50)]


def test_a_cancelled_timer_does_not_fire_and_asyncio_timeouts_work() -> None:
    world = World()

    async def main() -> None:
        asyncio.get_running_loop().call_later(1.0, pytest.fail, "fired").cancel()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(5.0):
                await asyncio.sleep(10.0)
        assert world.loop.time() == START_S + 5.0
        done = await asyncio.gather(asyncio.sleep(1.0, "a"), asyncio.sleep(2.0, "b"))
        assert list(done) == ["a", "b"]

    world.run(main())


def test_waiting_for_what_never_comes_is_an_error_not_a_hang() -> None:
    world = World()

    async def main() -> None:
        await asyncio.Event().wait()

    with pytest.raises(SchedulerStuckError):
        world.run(main())


def test_bytes_arrive_whole_and_in_order_and_the_close_after_them() -> None:
    world = World()

    async def main() -> None:
        client, server = await pair(world)
        for number in range(300):
            client.transport.write(b"%d," % number)
        client.transport.close()
        await asyncio.sleep(0.1)
        assert server.got == b"".join(b"%d," % number for number in range(300))
        assert server.log == ["made", "eof", "lost"]
        assert server.error is None
        assert client.log == ["made", "lost"]

    world.run(main())


def test_what_is_written_to_a_closed_end_is_reset() -> None:
    world = World()

    async def main() -> None:
        client, server = await pair(world)
        server.transport.close()
        client.transport.write(b"too late")  # crosses the close
        await asyncio.sleep(0.1)
        assert client.log[-1] == "lost"
        assert server.got == b""
        sock = world.network.socket(0)
        with pytest.raises(BrokenPipeError):
            sock.send(b"x")  # never connected

    world.run(main())


def test_refused_held_and_accepted_dials() -> None:
    world = World()

    async def main() -> None:
        with pytest.raises(ConnectionRefusedError):
            await world.loop.create_connection(Peer, "127.0.0.1", 9)
        listener = world.network.listen(world.loop, Peer, ("127.0.0.1", 0))
        listener.hold()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60.0):
                await world.loop.create_connection(Peer, *listener.address)
        dial = asyncio.ensure_future(world.loop.create_connection(Peer, *listener.address))
        await asyncio.sleep(1.0)
        assert not dial.done()
        listener.accept()
        await dial  # the one that gave up is not served, the one that waits is
        held = asyncio.ensure_future(world.loop.create_connection(Peer, *listener.address))
        listener.hold()
        await asyncio.sleep(1.0)
        listener.close()
        with pytest.raises(ConnectionRefusedError):
            await held

    world.run(main())


def test_a_reader_that_pauses_stops_the_writer_and_nothing_is_lost() -> None:
    world = World()

    async def main() -> None:
        client, server = await pair(world)
        server.transport.pause_reading()
        data = bytes(range(256)) * 1024 * 2
        client.transport.write(data[: BUFFER_BYTES + 1])
        await asyncio.sleep(1.0)
        assert client.log == ["made", "pause"]
        assert server.got == b""
        server.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert client.log == ["made", "pause", "resume"]
        client.transport.write(data[BUFFER_BYTES + 1 :])
        await asyncio.sleep(1.0)
        assert server.got == data

    world.run(main())


def test_peeking_sees_what_has_come_and_leaves_it() -> None:
    world = World()

    async def main() -> None:
        server = Peer()
        listener = world.network.listen(world.loop, lambda: server, ("127.0.0.1", 0))
        sock = world.network.socket(0)
        await world.loop.sock_connect(sock, listener.address)
        with pytest.raises(BlockingIOError):
            sock.recv(1)
        await asyncio.sleep(0.001)
        server.transport.write(b"stray")
        await asyncio.sleep(0.001)
        assert sock.recv(1) == sock.recv(1) == b"s"
        client = Peer()
        await world.loop.create_connection(lambda: client, sock=sock)
        assert client.got == b"stray"

    world.run(main())


def test_a_killed_machine_runs_nothing_more_and_its_peers_are_reset() -> None:
    world = World()
    machine = world.machine("m")
    ran: list[str] = []

    async def work() -> None:
        ran.append("before")
        try:
            await asyncio.sleep(5.0)
        finally:
            ran.append("after")

    async def main() -> None:
        client, server = await pair(world, machine)
        machine.create_task(work())
        machine.call_later(3.0, ran.append, "timer")
        await asyncio.sleep(1.0)
        world.network.kill(machine)
        await asyncio.sleep(10.0)
        assert isinstance(client.error, ConnectionResetError)
        assert ran[0] == "before"
        assert "timer" not in ran
        assert "lost" not in server.log  # a dead process learns nothing
        with pytest.raises(ConnectionRefusedError):
            await world.loop.create_connection(Peer, *server.transport.sockname)
        assert world.network.open_socket_count(machine) == 0

    world.run(main())


def test_an_address_has_one_listener() -> None:
    world = World()
    listener = world.network.listen(world.loop, Peer, ("127.0.0.1", 0))
    with pytest.raises(OSError, match="address in use"):
        world.network.listen(world.loop, Peer, listener.address)
    listener.close()
    world.network.listen(world.loop, Peer, listener.address)


def test_connections_leave_nothing_behind() -> None:
    world = World()

    async def main() -> None:
        listener = world.network.listen(world.loop, Peer, ("127.0.0.1", 0))
        for number in range(3000):
            transport, _ = await world.loop.create_connection(Peer, *listener.address)
            transport.reset() if number % 2 else transport.close()
        await asyncio.sleep(1.0)
        assert world.network.open_socket_count(world.loop) == 0
        assert not world.scheduler._ready
        assert not world.scheduler._timers

    world.run(main())
