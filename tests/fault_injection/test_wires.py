"""The relays: each fault is seen at both ends, and what a wire held comes when it is whole."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from client_proxy.fault_injection.fault_proxy import Link


async def until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not holds():
            await asyncio.sleep(0.002)


async def read(reader: asyncio.StreamReader) -> bytes:
    """b"" also for a reset."""
    try:
        return await reader.read(256 * 1024)
    except ConnectionError:
        return b""


class Wired:
    """A link to an echo, with what came at the far end."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.came = bytearray()

    def set(self, mode: str, *sides: str, **more: Any) -> None:
        order = {"mode": mode, "sides": sides or ("there", "back"), "ms": 0.0, "bytes_per_s": 1000.0}
        self.link.set_faults(order | more)

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.link.listener.address)


def wired(test: Callable[[Wired], Awaitable[None]]) -> None:
    async def run() -> None:
        made: Wired | None = None

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await read(reader):
                assert made is not None
                made.came += data
                writer.write(b"<" + data)
                await writer.drain()
            writer.close()

        async with asyncio.timeout(20):
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            made = Wired(Link("127.0.0.1", server.sockets[0].getsockname()))
            await test(made)
            made.link.listener.close()
            server.close()

    asyncio.run(run())


def test_a_whole_wire_passes_all_and_its_ends() -> None:
    async def test(made: Wired) -> None:
        reader, writer = await made.dial()
        writer.write(b"hello")
        assert await reader.readexactly(6) == b"<hello"
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()
        await until(lambda: not made.link.relayed_connections)

    wired(test)


def test_a_cut_there_is_not_heard_and_a_cut_back_is_heard_and_not_answered() -> None:
    async def test(made: Wired) -> None:
        reader, writer = await made.dial()
        writer.write(b"1")
        assert await reader.readexactly(2) == b"<1"
        made.set("silent", "back")
        writer.write(b"2")
        await until(lambda: made.came == b"12")
        await until(lambda: made.link.summary()["back"]["held"] > 0)
        made.set("")
        assert await reader.readexactly(2) == b"<2"
        made.set("silent", "there")
        writer.write(b"3")
        await until(lambda: made.link.summary()["there"].get("held", 0) > 0)
        assert made.came == b"12"
        made.set("")
        assert await reader.readexactly(2) == b"<3"
        writer.close()

    wired(test)


def test_no_dial_comes_up_on_a_silent_wire() -> None:
    async def test(made: Wired) -> None:
        made.set("silent")
        dials = [asyncio.create_task(made.dial()) for _ in range(3)]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await asyncio.wait_for(asyncio.shield(dials[2]), None)
        made.set("")
        for dial in dials:
            _, writer = await dial
            writer.close()

    wired(test)


def test_a_reset_reaches_both_ends_and_new_dials_too() -> None:
    async def test(made: Wired) -> None:
        reader, writer = await made.dial()
        writer.write(b"1")
        assert await reader.readexactly(2) == b"<1"
        made.set("reset")
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        again, other = await made.dial()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            other.write(b"2")
            await again.readexactly(1)
        assert made.link.summary()["counts"]["reset"] >= 2
        assert made.came == b"1"
        made.set("closed")
        with pytest.raises(ConnectionRefusedError):
            await made.dial()

    wired(test)


def test_delay_and_trickle_pass_all_in_order_and_are_counted() -> None:
    async def test(made: Wired) -> None:
        loop = asyncio.get_running_loop()
        reader, writer = await made.dial()
        made.set("delay", "there", ms=60.0)
        begin_s = loop.time()
        writer.write(b"late")
        assert await reader.readexactly(5) == b"<late"
        assert loop.time() - begin_s >= 0.06
        made.set("trickle", "there", bytes_per_s=20_000.0)
        begin_s = loop.time()
        writer.write(bytes(range(256)) * 8)
        await until(lambda: len(made.came) == 4 + 2048)
        assert loop.time() - begin_s >= 1536 / 20_000  # the last chunk goes when those before have gone
        assert made.came[4:] == bytes(range(256)) * 8
        there = made.link.summary()["there"]
        assert there["delayed"] == 4
        assert there["trickled"] == 2048
        writer.close()

    wired(test)


def test_what_a_silent_wire_keeps_is_bounded_and_all_of_it_comes() -> None:
    async def test(made: Wired) -> None:
        reader, writer = await made.dial()
        writer.write(b"1")
        await until(lambda: made.came == b"1")
        made.set("silent", "there")
        sent = 16 * 1024 * 1024
        writer.write(b"x" * sent)
        relayed = next(iter(made.link.relayed_connections))
        await until(lambda: relayed.forward_stream._reading_paused)
        assert relayed.forward_stream._buffered_bytes < 2 * 1024 * 1024
        made.set("")
        assert await reader.readexactly(2) == b"<1"
        while len(made.came) < 1 + sent:  # the echo waits for who reads it
            assert await reader.read(1024 * 1024)
        writer.close()

    wired(test)
