"""After a stall of the process: requests of clients that left meanwhile are not started."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from client_proxy.clock import use_clock
from client_proxy.proxy.listener import REQUEST_TIMEOUT_MS
from client_proxy.proxy.stall_detector import HEARTBEAT_S, STALL_S, TOLERATED_LATENESS_S, StallDetector
from tests.proxy.sockets import UNSAFE_CLASS, Client, Host, proxy, run, until

STATED_EXPIRY_SLACK_S = 0.15  # by which the protocol allows X-Expires-In-Ms to exceed the time left


def request(number: int) -> bytes:
    head = f"POST /{UNSAFE_CLASS}/{number} HTTP/1.1\r\nHost: a\r\nX-Trace-Id: stall{number}\r\n"
    return f"{head}X-Expires-In-Ms: 1200\r\nContent-Length: 0\r\n\r\n".encode()


def test_after_a_stall_only_connected_clients_are_served() -> None:
    async def test() -> None:
        host = Host("a")
        async with proxy(host) as p:
            client = await Client.connect(p.port)
            assert (await client.ask(UNSAFE_CLASS))[0] == 200  # starts the listener's sweeps
            received_before = len(host.received)
            for number in range(50):
                with socket.create_connection(("127.0.0.1", p.port)) as disconnected:
                    disconnected.sendall(request(number))
            waiting_client = socket.create_connection(("127.0.0.1", p.port))
            waiting_client.sendall(request(1000))
            # The stall: the whole process is blocked.
            time.sleep(STALL_S + 0.4)
            waiting_client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(waiting_client, 4096)
            assert answer.startswith(b"HTTP/1.1 200"), answer
            assert (await client.ask(UNSAFE_CLASS))[0] == 200
            sent = [received.headers["x-trace-id"] for received in host.received[received_before:]]
            assert "stall1000" in sent
            assert not [id_ for id_ in sent if id_.startswith("stall") and id_ != "stall1000"], sent
            waiting_client.close()
            client.close()

    run(test())


def test_without_a_stall_requests_start_at_once() -> None:
    async def test() -> None:
        host = Host("a")
        async with proxy(host) as p:
            disconnected = socket.create_connection(("127.0.0.1", p.port))
            disconnected.sendall(request(1))
            await until(lambda: len(host.received) == 1)  # started at once, although its client leaves later
            disconnected.close()

    run(test())


class DrivenClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def read_s(self) -> float:
        return self.now_s


@pytest.mark.parametrize("stop_s", [0.2, 0.6, 1.2])
def test_stall_is_detected_before_the_late_timer_runs(stop_s: float) -> None:
    # The time in a stopped proxy must count. After SIGCONT the loop reads its sockets before it runs its
    # timers. If only the late timer detected the stall, requests read in that iteration would count from the
    # read, and X-Expires-In-Ms would state 8.0 s for one that has waited 1.2 s. Trace of such a request:
    #     0.000 s data_received: received_ms = now, no stall known
    #     0.000 s sweep: logs a stall of 1.0 s
    clock = DrivenClock()

    async def test() -> None:
        detector = StallDetector()
        detector.start()
        began_ms = 1000.0 * clock.now_s
        assert detector.stalled_since_ms() is None
        clock.now_s += stop_s
        # The loop has not run an iteration since the stall, so no timer has run.
        assert detector.stalled_since_ms() == began_ms
        assert detector.recovering() == (stop_s > STALL_S + HEARTBEAT_S)
        detector.stop()

    with use_clock(clock.read_s, time.time):
        run(test())


def test_undetected_stalls_stay_within_the_expiry_slack() -> None:
    assert HEARTBEAT_S + TOLERATED_LATENESS_S <= STATED_EXPIRY_SLACK_S


def test_second_stall_before_the_timer_runs_is_detected() -> None:
    clock = DrivenClock()

    async def test() -> None:
        detector = StallDetector()
        detector.start()
        clock.now_s += 1.0
        assert detector.stalled_since_ms() == 1_000_000.0
        clock.now_s += 2.0
        assert detector.recovering()
        assert detector.stalled_since_ms() == 1_001_000.0
        detector.stop()
        clock.now_s += 5.0
        assert detector.stalled_since_ms() is None

    with use_clock(clock.read_s, time.time):
        run(test())


def test_request_completed_during_a_stall_does_not_time_out() -> None:
    # The sweep must not answer 408 to a complete request because the loop has not read the rest of it yet.
    clock = DrivenClock()

    async def test() -> None:
        host = Host("a")
        async with proxy(host) as p:
            client = socket.create_connection(("127.0.0.1", p.port))
            encoded = request(7)
            client.sendall(encoded[:20])
            await until(lambda: any(c._parser.in_message for c in p.listener.connections))
            client.sendall(encoded[20:])
            clock.now_s += REQUEST_TIMEOUT_MS / 1000.0 + 1.0
            p.listener._sweep()
            client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(client, 4096)
            assert answer.startswith(b"HTTP/1.1 "), answer
            assert not answer.startswith(b"HTTP/1.1 408"), answer
            client.close()

    with use_clock(clock.read_s, time.time):
        run(test())
