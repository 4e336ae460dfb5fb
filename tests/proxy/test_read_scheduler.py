"""What hundreds of clients send at once, or one at full speed, does not keep the others waiting."""

from __future__ import annotations

import asyncio

import pytest

from client_proxy.proxy import read_scheduler
from client_proxy.proxy.client_connection import MAX_UNPARSED_BYTES, PARSE_SLICE_BYTES
from client_proxy.proxy.read_scheduler import MAX_ITERATION_MS, MAX_READER_MS, ReadScheduler
from tests.proxy.sockets import UNSAFE_CLASS, Client, Host, proxy, run, until
from tests.proxy.test_front import encode_head

READY = b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
CHECKS = 3000  # readiness checks that one client sends at once


class SlowReader:
    """Takes 1 ms of a scripted clock for each slice, and notes when it parsed."""

    def __init__(
        self, log: list[str], clock: list[float], name: str, slices: int, long: bool = False
    ) -> None:
        self._log, self._clock, self._name = log, clock, name
        self.slices, self._long = slices, long

    def parse_slice(self) -> bool:
        self._log.append(self._name)
        self._clock[0] += 1.0
        self.slices -= 1
        return self.slices > 0

    def parsing_deferred(self) -> None:
        pass

    def in_long_message(self) -> bool:
        return self._long


def test_readers_share_an_iteration_and_who_has_just_received_goes_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log: list[str] = []
    clock = [0.0]
    monkeypatch.setattr(read_scheduler, "now_ms", lambda: clock[0])
    assert (MAX_ITERATION_MS, MAX_READER_MS) == (4.0, 1.0)

    async def test() -> None:
        scheduler = ReadScheduler()
        scheduler.submit(SlowReader(log, clock, "flood", 100))
        for number in range(3):
            scheduler.submit(SlowReader(log, clock, f"a{number}", 1))
        assert log == ["flood", "a0", "a1", "a2"]
        log.clear()
        # The time of this iteration is over.
        for number in range(6):
            scheduler.submit(SlowReader(log, clock, f"b{number}", 1))
        scheduler.submit(SlowReader(log, clock, "long", 2, long=True))
        assert not log
        await asyncio.sleep(0)
        # One that had its time gets on in each iteration, the others of that kind behind the new ones.
        assert log == ["b0", "flood", "b1", "b2"]
        log.clear()
        await asyncio.sleep(0)
        assert log == ["b3", "long", "b4", "b5"]
        log.clear()
        await asyncio.sleep(0)
        assert log == ["flood", "long", "flood", "flood"]

    run(test())


def test_a_closed_reader_is_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    log: list[str] = []
    clock = [0.0]
    monkeypatch.setattr(read_scheduler, "now_ms", lambda: clock[0])

    async def test() -> None:
        scheduler = ReadScheduler()
        first, second = SlowReader(log, clock, "first", 9), SlowReader(log, clock, "second", 9)
        scheduler.submit(first)
        for _ in range(int(MAX_ITERATION_MS)):
            scheduler.submit(SlowReader([], clock, "other", 1))
        scheduler.submit(second)
        assert scheduler.waiting(first)
        assert scheduler.waiting(second)
        scheduler.forget(first)
        scheduler.forget(second)
        for _ in range(3):
            await asyncio.sleep(0)
        assert log == ["first"]

    run(test())


def test_readiness_checks_of_one_client_do_not_keep_another_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against picture (b) of the users' runs: a client that sent readiness checks at full speed held
    # the process up for seconds, since each answer had all that had come parsed once more.
    monkeypatch.setattr(read_scheduler, "MAX_ITERATION_MS", 0.0)  # one slice in each iteration
    monkeypatch.setattr(read_scheduler, "MAX_READER_MS", 0.0)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            flood, sound = await Client.connect(p.port), await Client.connect(p.port)
            assert (await sound.ask())[0] == 200
            checks = 0

            def ready() -> bool:
                nonlocal checks
                checks += 1
                return True

            p.listener.ready = ready
            flood.writer.write(READY * CHECKS)
            await until(lambda: checks > 0)
            assert (await sound.ask())[0] == 200
            assert checks < CHECKS / 2
            for _ in range(CHECKS):
                assert (await flood.answer())[0] == 200
            flood.close()
            sound.close()

    run(test())


def test_clients_with_very_small_chunks_do_not_keep_another_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against picture (a): hundreds of bodies in chunks of two bytes took all the time there was.
    monkeypatch.setattr(read_scheduler, "MAX_ITERATION_MS", 0.0)
    monkeypatch.setattr(read_scheduler, "MAX_READER_MS", 0.0)

    async def test() -> None:
        async with proxy(Host("h")) as p:
            sound = await Client.connect(p.port)
            assert (await sound.ask())[0] == 200
            body = b"2\r\nxx\r\n" * 8000
            clients = [await Client.connect(p.port) for _ in range(20)]
            for client in clients:
                client.writer.write(encode_head(UNSAFE_CLASS, "Transfer-Encoding: chunked") + body)
            await until(lambda: sum(one.waiting_bytes for one in p.listener.connections) > 20 * len(body) / 2)
            assert (await sound.ask())[0] == 200
            # By then most of the other bytes were not parsed.
            unparsed = sum(len(one._unread) for one in p.listener.connections)
            assert unparsed > 20 * len(body) / 2
            for client in [*clients, sound]:
                client.close()

    run(test())


def test_what_is_too_much_ahead_is_turned_away_behind_the_rest() -> None:
    # All that fits is answered in order; what is behind it gets one error, and its bytes are not kept.
    async def test() -> None:
        async with proxy(Host("h")) as p:
            client = await Client.connect(p.port)
            await until(lambda: bool(p.listener.connections))
            (connection,) = p.listener.connections
            fitting = MAX_UNPARSED_BYTES // len(READY)
            connection.data_received(READY * (fitting + 1000))
            assert len(connection._unread) <= MAX_UNPARSED_BYTES
            statuses = [(await client.answer())[0] for _ in range(fitting)]
            assert statuses == fitting * [200]
            assert (await client.answer())[0] in (400, 413)
            assert await client.reader.read() == b""
            client.close()

    run(test())


def test_a_slice_is_smaller_than_what_is_parsed_ahead() -> None:
    assert PARSE_SLICE_BYTES <= 1024  # as small chunks, some tenths of a millisecond
