"""Each change at a reachable discovery service is known within the notification limit.

On a virtual clock: the service fails in one of several ways for some time, then has a change and answers each
later call. Earlier calls stay unanswered."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from client_proxy.api.events import EndpointState
from client_proxy.balancer.balancer import MAX_RESUBSCRIBE_MS
from client_proxy.clock import use_clock
from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.virtual import Scheduler, VirtualLoop
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.proxy import discovery as module
from client_proxy.proxy import endpoint_watch
from client_proxy.proxy.discovery import Discovery
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.upstream_pool import UpstreamPool
from client_proxy.settings import read_settings
from tests.proxy.sockets import settings_json

DISCOVERY_ADDRESS = ("127.0.0.1", 8500)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Time until the recovered service answers a call; less than the second that is allowed for the next call.
RESPONSE_DELAY_S = 0.3


def list_message(status: str, index: int) -> bytes:
    entry = {"name": "a", "address": "127.0.0.1:1", "zone": "z", "group": 1, "status": status}
    return json.dumps({"index": index, "snapshot": True, "endpoints": [entry]}, indent=1).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Call(asyncio.Protocol):
    """The service's side of one connection."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.service.called(self)


class Service:
    """A discovery service that fails in one way until it comes back. It first sends a list to the proxy."""

    def __init__(self, loop: VirtualLoop, network: MemoryNetwork, failure: str) -> None:
        self.loop, self.network, self.failure = loop, network, failure
        self.back = False
        self.calls = 0
        self.watches: list[Call] = []
        self.listener = network.listen(loop, lambda: Call(self), DISCOVERY_ADDRESS)

    def called(self, call: Call) -> None:
        self.calls += 1
        transport = call.transport
        if self.back:
            self.loop.call_later(
                RESPONSE_DELAY_S, lambda: transport.write(HEAD + chunk(list_message("draining", 2)))
            )
        elif self.calls == 1:
            transport.write(HEAD + chunk(list_message("ready", 1)))
            self.watches.append(call)
            self.loop.call_later(0.1, self.become_unavailable)
        elif self.failure == "reset":
            transport.reset()
        elif self.failure == "503":
            transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif self.failure == "half a line":
            transport.write(HEAD + chunk(list_message("draining", 2)[:40]))
        elif self.failure == "empty lines":
            transport.write(HEAD)
            self.send_empty_line(call)
        # "silent": no response

    def send_empty_line(self, call: Call) -> None:
        if not self.back:
            call.transport.write(chunk(b"\n"))
            self.loop.call_later(2.0, self.send_empty_line, call)

    def become_unavailable(self) -> None:
        if self.failure not in ("silent watch", "half a line"):
            for call in self.watches:
                call.transport.reset()
        if self.failure == "refused":
            self.listener.close()
        elif self.failure == "no dial":
            self.listener.hold()

    def come_back(self) -> None:
        self.back = True
        if self.failure == "refused":
            self.listener = self.network.listen(self.loop, lambda: Call(self), DISCOVERY_ADDRESS)
        elif self.failure == "no dial":
            self.listener.waiting.clear()  # connects during the failure are lost
            self.listener.accepting = True


FAILURES = ["refused", "no dial", "silent", "silent watch", "reset", "503", "half a line", "empty lines"]


def notification_delay_s(
    failure: str, balancer_subscribes: bool, away_s: float, seed: int, max_poll_interval_ms: float
) -> float:
    """Return the time from the recovery of the service until the change is known."""
    scheduler = Scheduler()
    with use_clock(scheduler.time, scheduler.time):
        world = scheduler.new_loop("world")
        network = MemoryNetwork(world)
        service = Service(world, network, failure)
        machine = network.join(scheduler.new_loop("proxy"))
        raw = settings_json()
        raw["safety"]["must_ask_in_ms"] = max_poll_interval_ms
        raw["discovery"] = "subscribe" if balancer_subscribes else "automatic"
        settings = read_settings(raw)
        directory = EndpointDirectory()
        upstream = UpstreamPool(settings.limits, (), 1000.0, 100)

        async def main() -> float:
            engine = Engine(settings, seed, directory, upstream)
            engine.discovery = discovery = Discovery(
                DISCOVERY_ADDRESS, balancer_subscribes, directory, engine.notify_endpoints
            )
            engine.start()
            discovery.start()
            while not directory.usable():
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1 + away_s)
            service.come_back()
            back_s = scheduler.time()
            while directory.entries["a"].state is not EndpointState.DRAINING:
                await asyncio.sleep(0.01)
                assert scheduler.time() < back_s + 60.0, "the change never became known"
            delay_s = scheduler.time() - back_s
            discovery.stop()
            return delay_s

        return scheduler.run(machine, main(), 1000.0)


@pytest.mark.parametrize("balancer_subscribes", [True, False], ids=["asked", "pushed"])
@pytest.mark.parametrize("failure", FAILURES)
def test_change_is_known_within_the_notification_limit(failure: str, balancer_subscribes: bool) -> None:
    # Short failures meet the first retry delays, long ones the longest; any poll interval may be configured.
    cases = [
        (0.57 * step, max_poll_interval_ms)
        for step in range(24)
        for max_poll_interval_ms in (3_000.0, 120_000.0)
    ]
    late = [
        (away_s, max_poll_interval_ms, delay_s)
        for number, (away_s, max_poll_interval_ms) in enumerate(cases)
        if (
            delay_s := notification_delay_s(
                failure, balancer_subscribes, away_s, number, max_poll_interval_ms
            )
        )
        > module.NOTIFICATION_LIMIT_S
    ]
    assert not late


def test_call_stages_fit_into_the_notification_limit() -> None:
    stage_s = max(
        endpoint_watch.CONNECT_TIMEOUT_S, endpoint_watch.RESPONSE_TIMEOUT_S, endpoint_watch.WATCH_TIMEOUT_S
    )
    wait_s = max(module.RETRY_DELAY_S, MAX_RESUBSCRIBE_MS / 1000.0)
    assert stage_s + wait_s + module.NEXT_CALL_S <= module.NOTIFICATION_LIMIT_S
    assert RESPONSE_DELAY_S < module.NEXT_CALL_S


MOVE_LIMIT_S = 4.0  # after SIGHUP the list of the new service must be known by then
LONGEST_RESPONSE_DELAY_S = 3.0  # discovery answers a call within this time


def answer_after_longest_delay(loop: VirtualLoop, call: Call) -> None:
    loop.call_later(
        LONGEST_RESPONSE_DELAY_S, lambda: call.transport.write(HEAD + chunk(list_message("draining", 1)))
    )


class NewService:
    """The service at the new address, which answers each call after the longest delay."""

    def __init__(self, loop: VirtualLoop, network: MemoryNetwork, address: tuple[str, int]) -> None:
        self.loop = loop
        network.listen(loop, lambda: Call(self), address)  # type: ignore[arg-type]

    def called(self, call: Call) -> None:
        answer_after_longest_delay(self.loop, call)


def move_delay_s(failure: str, balancer_subscribes: bool, away_s: float, seed: int) -> float:
    """Return the time from a move, `away_s` after the old service failed, until the new list is known."""
    scheduler = Scheduler()
    with use_clock(scheduler.time, scheduler.time):
        world = scheduler.new_loop("world")
        network = MemoryNetwork(world)
        Service(world, network, failure)
        new_address = ("127.0.0.1", 8501)
        NewService(world, network, new_address)
        machine = network.join(scheduler.new_loop("proxy"))
        raw = settings_json()
        raw["discovery"] = "subscribe" if balancer_subscribes else "automatic"
        settings = read_settings(raw)
        directory = EndpointDirectory()
        upstream = UpstreamPool(settings.limits, (), 1000.0, 100)

        async def main() -> float:
            engine = Engine(settings, seed, directory, upstream)
            engine.discovery = discovery = Discovery(
                DISCOVERY_ADDRESS, balancer_subscribes, directory, engine.notify_endpoints
            )
            engine.start()
            discovery.start()
            while not directory.usable():
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1 + away_s)
            moved_s = scheduler.time()
            discovery.move(new_address)
            while directory.entries["a"].state is not EndpointState.DRAINING:
                await asyncio.sleep(0.01)
                assert scheduler.time() < moved_s + 60.0, "the change never became known"
            delay_s = scheduler.time() - moved_s
            discovery.stop()
            return delay_s

        return scheduler.run(machine, main(), 1000.0)


@pytest.mark.parametrize("balancer_subscribes", [True, False], ids=["asked", "pushed"])
@pytest.mark.parametrize("failure", FAILURES)
def test_list_of_a_new_service_is_known_in_time_after_a_move(failure: str, balancer_subscribes: bool) -> None:
    # The move happens at any stage of the old watch, of a call to it, or of a retry delay.
    late = [
        (0.57 * step, delay_s)
        for step in range(16)
        if (delay_s := move_delay_s(failure, balancer_subscribes, 0.57 * step, step)) > MOVE_LIMIT_S
    ]
    assert not late
