"""Every change that discovery has, and that can be reached, is acted on before it counts as told.

On a clock that does not wait: the service is away in one of many ways until some moment, has a change then,
and answers each call that is made from then on. What was called before stays lost."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from client_proxy.api.events import EndpointState
from client_proxy.balancer.balancer import MAX_RESUBSCRIBE_MS
from client_proxy.clock import driven
from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.virtual import Scheduler, VirtualLoop
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.proxy import discovery as module
from client_proxy.proxy.discovery import Discovery
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.upstream_pool import UpstreamPool
from client_proxy.settings import read_settings
from tests.proxy.sockets import settings_json

AT = ("127.0.0.1", 8500)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# How long a call waits its turn once the service is back. A second is what is set aside for the next call.
TURN_S = 0.3


def listed(status: str, index: int) -> bytes:
    entry = {"name": "a", "address": "127.0.0.1:1", "zone": "z", "group": 1, "status": status}
    return json.dumps({"index": index, "snapshot": True, "endpoints": [entry]}, indent=1).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Call(asyncio.Protocol):
    """One connection to the service."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.service.called(self)


class Service:
    """Discovery: away in one way until it is back. It begins with a list that everybody has heard."""

    def __init__(self, loop: VirtualLoop, network: MemoryNetwork, way: str) -> None:
        self.loop, self.network, self.way = loop, network, way
        self.back = False
        self.calls = 0
        self.watches: list[Call] = []
        self.listener = network.listen(loop, lambda: Call(self), AT)

    def called(self, call: Call) -> None:
        self.calls += 1
        transport = call.transport
        if self.back:
            self.loop.call_later(TURN_S, lambda: transport.write(HEAD + chunk(listed("draining", 2))))
        elif self.calls == 1:
            transport.write(HEAD + chunk(listed("ready", 1)))
            self.watches.append(call)
            self.loop.call_later(0.1, self.leave)
        elif self.way == "reset":
            transport.reset()
        elif self.way == "503":
            transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif self.way == "half a line":
            transport.write(HEAD + chunk(listed("draining", 2)[:40]))
        elif self.way == "empty lines":
            transport.write(HEAD)
            self.beat(call)
        # "silent": it says nothing

    def beat(self, call: Call) -> None:
        if not self.back:
            call.transport.write(chunk(b"\n"))
            self.loop.call_later(2.0, self.beat, call)

    def leave(self) -> None:
        if self.way not in ("silent watch", "half a line"):
            for call in self.watches:
                call.transport.reset()
        if self.way == "refused":
            self.listener.close()
        elif self.way == "no dial":
            self.listener.hold()

    def come_back(self) -> None:
        self.back = True
        if self.way == "refused":
            self.listener = self.network.listen(self.loop, lambda: Call(self), AT)
        elif self.way == "no dial":
            self.listener.waiting.clear()  # those were lost on the way
            self.listener.accepting = True


WAYS = ["refused", "no dial", "silent", "silent watch", "reset", "503", "half a line", "empty lines"]


def heard_after_s(way: str, asked: bool, away_s: float, seed: int, max_poll_interval_ms: float) -> float:
    """From the moment when the service could be reached to that at which the change was known."""
    scheduler = Scheduler()
    with driven(scheduler.time, scheduler.time):
        world = scheduler.new_loop("world")
        network = MemoryNetwork(world)
        service = Service(world, network, way)
        machine = network.join(scheduler.new_loop("proxy"))
        raw = settings_json()
        raw["safety"]["must_ask_in_ms"] = max_poll_interval_ms
        raw["discovery"] = "subscribe" if asked else "automatic"
        settings = read_settings(raw)
        directory = EndpointDirectory()
        upstream = UpstreamPool(settings.limits, (), 1000.0, 100)

        async def main() -> float:
            engine = Engine(settings, seed, directory, upstream)
            engine.discovery = discovery = Discovery(AT, asked, directory, engine.notify_endpoints)
            engine.start()
            discovery.start()
            while not directory.usable():
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1 + away_s)
            service.come_back()
            back_s = scheduler.time()
            while directory.entries["a"].state is not EndpointState.DRAINING:
                await asyncio.sleep(0.01)
                assert scheduler.time() < back_s + 60.0, "it never heard"
            heard_s = scheduler.time() - back_s
            discovery.stop()
            return heard_s

        return scheduler.run(machine, main(), 1000.0)


@pytest.mark.parametrize("asked", [True, False], ids=["asked", "pushed"])
@pytest.mark.parametrize("way", WAYS)
def test_a_change_is_known_before_it_counts_as_told(way: str, asked: bool) -> None:
    # Short absences meet the first waits, long ones the longest; customers may state any time to ask in.
    cases = [
        (0.57 * step, max_poll_interval_ms)
        for step in range(24)
        for max_poll_interval_ms in (3_000.0, 120_000.0)
    ]
    late = [
        (away_s, max_poll_interval_ms, heard_s)
        for number, (away_s, max_poll_interval_ms) in enumerate(cases)
        if (heard_s := heard_after_s(way, asked, away_s, number, max_poll_interval_ms))
        > module.NOTIFICATION_LIMIT_S
    ]
    assert not late


def test_the_stages_of_a_call_add_up() -> None:
    stage_s = max(module.CONNECT_TIMEOUT_S, module.RESPONSE_TIMEOUT_S, module.WATCH_TIMEOUT_S)
    again_s = max(module.RETRY_DELAY_S, MAX_RESUBSCRIBE_MS / 1000.0)
    assert stage_s + again_s + module.NEXT_CALL_S <= module.NOTIFICATION_LIMIT_S
    assert TURN_S < module.NEXT_CALL_S


MOVED_S = 4.0  # after SIGHUP what the new service has counts as told
LONGEST_TURN_S = 3.0  # a call waits for so long at discovery at most


def answer_late(loop: VirtualLoop, call: Call) -> None:
    loop.call_later(LONGEST_TURN_S, lambda: call.transport.write(HEAD + chunk(listed("draining", 1))))


class Elsewhere:
    """The service that a new configuration names. Each call waits its longest turn."""

    def __init__(self, loop: VirtualLoop, network: MemoryNetwork, at: tuple[str, int]) -> None:
        self.loop = loop
        network.listen(loop, lambda: Call(self), at)  # type: ignore[arg-type]

    def called(self, call: Call) -> None:
        answer_late(self.loop, call)


def moved_after_s(way: str, asked: bool, away_s: float, seed: int) -> float:
    """From a move, `away_s` after the old service has left, to the moment at which the new list is known."""
    scheduler = Scheduler()
    with driven(scheduler.time, scheduler.time):
        world = scheduler.new_loop("world")
        network = MemoryNetwork(world)
        Service(world, network, way)
        elsewhere_at = ("127.0.0.1", 8501)
        Elsewhere(world, network, elsewhere_at)
        machine = network.join(scheduler.new_loop("proxy"))
        raw = settings_json()
        raw["discovery"] = "subscribe" if asked else "automatic"
        settings = read_settings(raw)
        directory = EndpointDirectory()
        upstream = UpstreamPool(settings.limits, (), 1000.0, 100)

        async def main() -> float:
            engine = Engine(settings, seed, directory, upstream)
            engine.discovery = discovery = Discovery(AT, asked, directory, engine.notify_endpoints)
            engine.start()
            discovery.start()
            while not directory.usable():
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1 + away_s)
            moved_s = scheduler.time()
            discovery.move(elsewhere_at)
            while directory.entries["a"].state is not EndpointState.DRAINING:
                await asyncio.sleep(0.01)
                assert scheduler.time() < moved_s + 60.0, "it never heard"
            heard_s = scheduler.time() - moved_s
            discovery.stop()
            return heard_s

        return scheduler.run(machine, main(), 1000.0)


@pytest.mark.parametrize("asked", [True, False], ids=["asked", "pushed"])
@pytest.mark.parametrize("way", WAYS)
def test_after_a_move_the_new_list_is_known_in_time_whatever_the_old_service_did(
    way: str, asked: bool
) -> None:
    # Whatever the old watch, a call to it or the wait for the next one was at.
    late = [
        (0.57 * step, heard_s)
        for step in range(16)
        if (heard_s := moved_after_s(way, asked, 0.57 * step, step)) > MOVED_S
    ]
    assert not late
