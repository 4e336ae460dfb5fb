"""Tests of the fault proxy: faults show at both ends, and a silenced link delivers its bytes afterwards."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from client_proxy.fault_injection.fault_proxy import Link


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.002)


async def read(reader: asyncio.StreamReader) -> bytes:
    """Read some bytes; b"" at the end of the stream and also after a reset."""
    try:
        return await reader.read(256 * 1024)
    except ConnectionError:
        return b""


class LinkedEcho:
    """A link to an echo server, with the bytes that the server received."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.received_bytes = bytearray()

    def set_faults(self, mode: str, *sides: str, **more: Any) -> None:
        order = {"mode": mode, "sides": sides or ("there", "back"), "ms": 0.0, "bytes_per_s": 1000.0}
        self.link.set_faults(order | more)

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.link.relay_listener.address)


def run_with_link(test: Callable[[LinkedEcho], Awaitable[None]]) -> None:
    async def run() -> None:
        echo_link: LinkedEcho | None = None

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await read(reader):
                assert echo_link is not None
                echo_link.received_bytes += data
                writer.write(b"<" + data)
                await writer.drain()
            writer.close()

        async with asyncio.timeout(20):
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            echo_link = LinkedEcho(Link("127.0.0.1", server.sockets[0].getsockname()))
            await test(echo_link)
            echo_link.link.relay_listener.close()
            server.close()

    asyncio.run(run())


def test_a_link_without_faults_passes_bytes_and_ends_of_stream() -> None:
    async def test(echo_link: LinkedEcho) -> None:
        reader, writer = await echo_link.dial()
        writer.write(b"hello")
        assert await reader.readexactly(6) == b"<hello"
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: not echo_link.link.relayed_connections)

    run_with_link(test)


def test_silence_in_one_direction_holds_back_only_that_direction() -> None:
    async def test(echo_link: LinkedEcho) -> None:
        reader, writer = await echo_link.dial()
        writer.write(b"1")
        assert await reader.readexactly(2) == b"<1"
        echo_link.set_faults("silent", "back")
        writer.write(b"2")
        await wait_until(lambda: echo_link.received_bytes == b"12")
        await wait_until(lambda: echo_link.link.summary()["back"]["held"] > 0)
        echo_link.set_faults("")
        assert await reader.readexactly(2) == b"<2"
        echo_link.set_faults("silent", "there")
        writer.write(b"3")
        await wait_until(lambda: echo_link.link.summary()["there"].get("held", 0) > 0)
        assert echo_link.received_bytes == b"12"
        echo_link.set_faults("")
        assert await reader.readexactly(2) == b"<3"
        writer.close()

    run_with_link(test)


def test_no_dial_completes_on_a_silent_link() -> None:
    async def test(echo_link: LinkedEcho) -> None:
        echo_link.set_faults("silent")
        dials = [asyncio.create_task(echo_link.dial()) for _ in range(3)]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await asyncio.wait_for(asyncio.shield(dials[2]), None)
        echo_link.set_faults("")
        for dial in dials:
            _, writer = await dial
            writer.close()

    run_with_link(test)


def test_a_reset_reaches_both_ends_and_new_dials() -> None:
    async def test(echo_link: LinkedEcho) -> None:
        reader, writer = await echo_link.dial()
        writer.write(b"1")
        assert await reader.readexactly(2) == b"<1"
        echo_link.set_faults("reset")
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        again, other = await echo_link.dial()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            other.write(b"2")
            await again.readexactly(1)
        assert echo_link.link.summary()["counts"]["reset"] >= 2
        assert echo_link.received_bytes == b"1"
        echo_link.set_faults("closed")
        with pytest.raises(ConnectionRefusedError):
            await echo_link.dial()

    run_with_link(test)


def test_delay_and_trickle_pass_all_bytes_in_order_and_count_them() -> None:
    async def test(echo_link: LinkedEcho) -> None:
        loop = asyncio.get_running_loop()
        reader, writer = await echo_link.dial()
        echo_link.set_faults("delay", "there", ms=60.0)
        begin_s = loop.time()
        writer.write(b"late")
        assert await reader.readexactly(5) == b"<late"
        assert loop.time() - begin_s >= 0.06
        echo_link.set_faults("trickle", "there", bytes_per_s=20_000.0)
        begin_s = loop.time()
        writer.write(bytes(range(256)) * 8)
        await wait_until(lambda: len(echo_link.received_bytes) == 4 + 2048)
        assert loop.time() - begin_s >= 1536 / 20_000  # the last chunk waits for the chunks before it
        assert echo_link.received_bytes[4:] == bytes(range(256)) * 8
        there = echo_link.link.summary()["there"]
        assert there["delayed"] == 4
        assert there["trickled"] == 2048
        writer.close()

    run_with_link(test)


def test_the_buffer_of_a_silent_link_is_bounded_and_delivered_completely() -> None:
    async def test(echo_link: LinkedEcho) -> None:
        reader, writer = await echo_link.dial()
        writer.write(b"1")
        await wait_until(lambda: echo_link.received_bytes == b"1")
        echo_link.set_faults("silent", "there")
        sent = 16 * 1024 * 1024
        writer.write(b"x" * sent)
        relayed = next(iter(echo_link.link.relayed_connections))
        await wait_until(lambda: relayed.forward_stream._reading_paused)
        assert relayed.forward_stream._buffered_bytes < 2 * 1024 * 1024
        echo_link.set_faults("")
        assert await reader.readexactly(2) == b"<1"
        while len(echo_link.received_bytes) < 1 + sent:  # the echo server blocks until its answers are read
            assert await reader.read(1024 * 1024)
        writer.close()

    run_with_link(test)
