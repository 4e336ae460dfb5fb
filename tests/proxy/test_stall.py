"""A process that stood still goes on: what its clients have given up meanwhile is not begun any more."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from client_proxy.clock import driven
from client_proxy.proxy.listener import REQUEST_TIMEOUT_MS
from client_proxy.proxy.stall_detector import HEARTBEAT_S, STALL_S, TOLERATED_LATENESS_S, StallDetector
from tests.proxy.sockets import UNSAFE_CLASS, Client, Host, proxy, run, until

TOLD_TIME_SLACK_S = 0.15  # the protocol's


def request(number: int) -> bytes:
    head = f"POST /{UNSAFE_CLASS}/{number} HTTP/1.1\r\nHost: a\r\nX-Trace-Id: stall{number}\r\n"
    return f"{head}X-Expires-In-Ms: 1200\r\nContent-Length: 0\r\n\r\n".encode()


def test_after_a_stop_who_has_left_is_not_served_and_who_waits_is() -> None:
    async def test() -> None:
        host = Host("a")
        async with proxy(host) as made:
            client = await Client.connect(made.port)
            assert (await client.ask(UNSAFE_CLASS))[0] == 200  # the sweeps are on
            before = len(host.received)
            for number in range(50):
                with socket.create_connection(("127.0.0.1", made.port)) as gone:
                    gone.sendall(request(number))
            waits = socket.create_connection(("127.0.0.1", made.port))
            waits.sendall(request(1000))
            # The stop: nothing of this process runs.
            time.sleep(STALL_S + 0.4)
            waits.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(waits, 4096)
            assert answer.startswith(b"HTTP/1.1 200"), answer
            assert (await client.ask(UNSAFE_CLASS))[0] == 200
            sent = [got.headers["x-trace-id"] for got in host.received[before:]]
            assert "stall1000" in sent
            assert not [id_ for id_ in sent if id_.startswith("stall") and id_ != "stall1000"], sent
            waits.close()
            client.close()

    run(test())


def test_without_a_stop_nothing_waits() -> None:
    async def test() -> None:
        host = Host("a")
        async with proxy(host) as made:
            gone = socket.create_connection(("127.0.0.1", made.port))
            gone.sendall(request(1))
            await until(lambda: len(host.received) == 1)  # begun although its client will leave
            gone.close()

    run(test())


class DrivenClock:
    """A clock that stands until the test moves it."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def read_s(self) -> float:
        return self.now_s


@pytest.mark.parametrize("stop_s", [0.2, 0.6, 1.2])
def test_a_stop_is_known_before_the_late_timer_has_run(stop_s: float) -> None:
    # Callers saw: a server told 8.0 s for a request that had waited 1.2 s in a stopped proxy.
    # Why: after SIGCONT the loop reads its sockets before it runs its timers, and only the late timer told of
    # the stop. What was read in that turn counted from the moment of reading. The trace of one request:
    #     0.000 s data_received, received_ms = now, no stop known
    #     0.000 s sweep: "stood still for 1.0 s"
    clock = DrivenClock()

    async def test() -> None:
        detector = StallDetector()
        detector.start()
        began_ms = 1000.0 * clock.now_s
        assert detector.stalled_since_ms() is None
        clock.now_s += stop_s
        # The loop has not turned: no timer has run.
        assert detector.stalled_since_ms() == began_ms
        assert detector.recovering() == (stop_s > STALL_S + HEARTBEAT_S)
        detector.stop()

    with driven(clock.read_s, time.time):
        run(test())


def test_no_stop_is_missed_that_the_slack_of_told_times_does_not_cover() -> None:
    assert HEARTBEAT_S + TOLERATED_LATENESS_S <= TOLD_TIME_SLACK_S


def test_a_second_stop_before_the_timer_has_run_is_noted_too() -> None:
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

    with driven(clock.read_s, time.time):
        run(test())


def test_a_request_whose_end_came_during_a_stop_is_not_timed_out() -> None:
    # The sweep would answer 408 to what has come whole, before the loop has read the rest of it.
    clock = DrivenClock()

    async def test() -> None:
        host = Host("a")
        async with proxy(host) as made:
            client = socket.create_connection(("127.0.0.1", made.port))
            whole = request(7)
            client.sendall(whole[:20])
            await until(lambda: any(c._parser.in_message for c in made.listener.connections))
            client.sendall(whole[20:])
            clock.now_s += REQUEST_TIMEOUT_MS / 1000.0 + 1.0
            made.listener._sweep()
            client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(client, 4096)
            assert answer.startswith(b"HTTP/1.1 "), answer
            assert not answer.startswith(b"HTTP/1.1 408"), answer
            client.close()

    with driven(clock.read_s, time.time):
        run(test())
