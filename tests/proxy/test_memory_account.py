"""All that peers make the process hold is counted in one account; what is over its limit is turned away."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from client_proxy.clock import now_ms
from client_proxy.proxy import trace_ids as trace_ids_module
from client_proxy.proxy.errors import BadRequestError
from client_proxy.proxy.memory_account import (
    MIB,
    MIN_LIMIT_BYTES,
    HeldBytes,
    HeldKind,
    MemoryAccount,
    held_limit_bytes,
)
from client_proxy.proxy.messages import MAX_BODY_BYTES
from client_proxy.proxy.trace_ids import CONNECTION_SHARE, TraceIdQuota, TraceIds
from client_proxy.proxy.waiting_clients import WaitingClients
from tests.proxy.sockets import (
    Client,
    Host,
    ReceivedRequest,
    Registry,
    entry,
    http_response,
    proxy,
    run,
    start_process,
    until,
)
from tests.proxy.test_before_the_write import settings_without_timeouts
from tests.proxy.test_program import connect_with_retry, free_port, write_config

CLIENTS = 300  # unsound ones
MEMORY_MB = 88  # a small limit of the short days
SHORT_LINES = b"".join(b"X-%d: 1\r\n" % number for number in range(120))


def peak_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(line.split()[1]) / 1024.0 for line in lines if line.startswith("VmHWM"))


async def send_at_once(port: int, data: bytes, stay: asyncio.Event | None) -> None:
    """Send bytes on a new connection, and go, or stay until the event."""
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        if stay is None:
            await writer.drain()
        else:
            await stay.wait()
        writer.transport.abort()


def with_short_lines(request: bytes) -> bytes:
    return request.replace(b"Host:", SHORT_LINES + b"Host:", 1)


def many_requests(client: Client) -> bytes:
    return b"".join(with_short_lines(client.encode_request()) for _ in range(33))


def unfinished_body(client: Client) -> bytes:
    return client.encode_request(body=b"x" * MAX_BODY_BYTES)[:-1]


def unfinished_head(client: Client) -> bytes:
    return with_short_lines(client.encode_request(body=b""))[:-4]


def large_bodies(client: Client) -> bytes:
    return b"".join(client.encode_request(body=b"x" * MAX_BODY_BYTES) for _ in range(4))


def small_chunks(client: Client) -> bytes:
    head = client.encode_request(body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"2\r\nxx\r\n" * (MAX_BODY_BYTES // 2 - 100)


@pytest.mark.parametrize(
    "kinds",
    [
        (many_requests,),
        # Their buffers left holes in the heap that stayed resident.
        (large_bodies,),
        (small_chunks,),
        (many_requests, unfinished_body, unfinished_head, large_bodies, small_chunks),
    ],
)
def test_hundreds_of_clients_do_not_take_the_process_over_its_memory(
    kinds: tuple[Callable[[Client], bytes], ...], tmp_path: Path
) -> None:
    # Guards against review case 7: requests of a connection were queued before any of them was counted, so
    # clients that sent 33 requests at once and went took the process over its memory.
    async def test() -> None:
        host, registry, port = await Host("a").start(), await Registry().start(), free_port()
        env = write_config(
            tmp_path,
            listen=f"127.0.0.1:{port}",
            discovery=f"127.0.0.1:{registry.port}",
            limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        )
        process = await start_process(sys.executable, "-m", "client_proxy.proxy", env=os.environ | env)
        await until(lambda: bool(registry.watches))
        registry.send_chunk(registry.change(entry(host), full=True))
        encoder = await connect_with_retry(port)
        stay = asyncio.Event()
        unsound = []
        for kind in (kinds[number % len(kinds)] for number in range(CLIENTS)):
            waits_for = None if kind is many_requests else stay
            unsound.append(asyncio.create_task(send_at_once(port, kind(encoder), waits_for)))
        for _ in range(20):
            sound = await Client.connect(port)
            assert (await sound.ask(expires_ms=8000))[0] in (200, 503)
            sound.close()
        stay.set()
        await asyncio.gather(*unsound)
        assert process.returncode is None
        assert peak_mb(process.pid) <= MEMORY_MB
        encoder.close()
        host.stop()
        registry.stop()

    run(test())


def test_requests_are_rejected_while_those_being_served_take_their_share() -> None:
    release = asyncio.Event()

    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200))

    async def test() -> None:
        host = Host("h", answer_when_released)
        async with proxy(host, settings=settings_without_timeouts()) as p:
            account = p.listener.limits.account
            account.limit_bytes = 4 * MAX_BODY_BYTES
            large, small = await Client.connect(p.port), await Client.connect(p.port)
            large.send(body=b"x" * MAX_BODY_BYTES, expires_ms=600_000)
            await until(lambda: account.held(HeldKind.IN_PROGRESS) > 2 * MAX_BODY_BYTES)
            assert account.full
            assert (await small.ask(expires_ms=600_000))[0] == 503
            await until(lambda: bool(host.received))
            assert len(host.received) == 1
            release.set()
            assert (await large.answer())[0] == 200
            assert (await small.ask(expires_ms=600_000))[0] == 200
            large.close()
            small.close()
            await until(lambda: not p.listener.connections)
            assert account.total_bytes == 0

    run(test())


def test_large_clients_get_their_answers_when_their_waiting_requests_are_turned_away() -> None:
    # The newest client is not the one that pays for what others have sent ahead.
    release = asyncio.Event()

    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200))

    async def test() -> None:
        async with proxy(Host("h", answer_when_released), settings=settings_without_timeouts()) as p:
            account = p.listener.limits.account
            account.limit_bytes = 200_000
            ahead, later = await Client.connect(p.port), await Client.connect(p.port)
            for _ in range(8):
                ahead.send(body=b"x" * 10_000, expires_ms=600_000)
            await until(lambda: account.held(HeldKind.PIPELINED) > 70_000)
            for _ in range(4):
                later.send(body=b"x" * 10_000, expires_ms=600_000)
            await until(lambda: p.engine.pending_count == 2 and account.waiting_bytes < 50_000)
            release.set()
            assert [(await ahead.answer())[0] for _ in range(8)] == [200] + 7 * [503]
            assert [(await later.answer())[0] for _ in range(4)] == 4 * [200]
            ahead.close()
            later.close()

    run(test())


def test_the_limit_follows_from_the_memory_of_the_process() -> None:
    assert held_limit_bytes(1.0) == MIN_LIMIT_BYTES
    assert held_limit_bytes(40.0 + 90.0) == 30 * MIB
    assert held_limit_bytes(2048.0) > held_limit_bytes(192.0) > held_limit_bytes(88.0)


def test_held_bytes_of_each_kind_add_up() -> None:
    account = MemoryAccount(1000)
    parts = {kind: HeldBytes(account, kind) for kind in HeldKind}
    for number, part in enumerate(parts.values()):
        part.set(number + 1)
    assert [account.held(kind) for kind in HeldKind] == [1, 2, 3, 4, 5, 6]
    assert (account.total_bytes, account.waiting_bytes) == (21, 6)
    parts[HeldKind.UNSENT].set(507)
    assert account.full
    assert not account.too_much_waiting
    parts[HeldKind.PIPELINED].set(600)
    parts[HeldKind.UNSENT].set(0)
    assert account.too_much_waiting
    assert not account.full


@given(sizes=st.lists(st.tuples(st.integers(0, 5), st.integers(0, 5000)), max_size=30))
def test_the_client_that_holds_most_is_found_by_a_factor_of_two(sizes: list[tuple[int, int]]) -> None:
    clients: WaitingClients[int] = WaitingClients()
    held: dict[int, int] = {}
    for client, byte_count in sizes:
        clients.resize(client, held.get(client, 0), byte_count)
        held[client] = byte_count
        most = max(held.values())
        largest = clients.largest()
        assert (largest is None) == (most == 0)
        if largest is not None:
            assert 2 * held[largest] > most
            assert clients.is_in_largest_group(most)


def test_ids_of_requests_are_limited_and_one_client_gets_a_part_of_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An id that is forgotten early could run twice; one that is kept for each request grows without end.
    time_ms = now_ms()
    monkeypatch.setattr(trace_ids_module, "now_ms", lambda: time_ms)
    ids = TraceIds((), 100)
    quotas = [TraceIdQuota() for _ in range(8)]
    part = int(CONNECTION_SHARE * 100)

    def status_of(trace_id: bytes, quota: TraceIdQuota) -> int:
        try:
            ids.register(trace_id, quota)
        except BadRequestError as error:
            return error.status
        return 0

    def register(client: int, first: int, count: int) -> int:
        """Returns how many of so many new ids were accepted."""
        statuses = [status_of(b"%d" % number, quotas[client]) for number in range(first, first + count)]
        assert set(statuses) <= {0, 503}
        return statuses.count(0)

    assert register(0, 0, 200) == part
    assert [register(client, 1000 * client, 50) for client in range(1, 6)] == [part, part, part, 0, 0]
    assert len(ids) == 100
    time_ms += ids.lifetime_ms
    assert register(0, 0, 200) == part
    assert quotas[1].count == 0
