"""One rack of the emulator's record servers as a process, with its own record of what came.

Each instance has a door of its own at each server, so that the record tells who sent."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from client_proxy.emulator.event_log import Arrival, ClientAttempt, ServerOutcome
from client_proxy.emulator.listeners import SocketListener
from client_proxy.emulator.scenario_reader import parse_scenario as read_day
from client_proxy.emulator.simulation import Simulation
from client_proxy.fault_injection.helper import Json, Order, serve
from client_proxy.fault_injection.history import Writer

SWEEP_S = 0.05
OVER = (
    ServerOutcome.COMPLETED,
    ServerOutcome.DEDUPLICATED,
    ServerOutcome.FAILED,
    ServerOutcome.REJECTED,
    ServerOutcome.CANCELLED,
    ServerOutcome.INVALID,
)


class Arrivals(list[Arrival]):
    """Writes down each arrival at once, and its fate when it has one: a kill -9 leaves what came."""

    def __init__(self, writer: Writer) -> None:
        super().__init__()
        self._writer = writer
        self._open: dict[int, Arrival] = {}
        self._number = 0

    def append(self, arrival: Arrival) -> None:
        self._number += 1
        self._open[self._number] = arrival
        self._writer.write(
            "arrival", arrival.arrived_s, n=self._number, server=arrival.server, life=time_of_birth,
            instance=f"i{arrival.proxy}", id=arrival.attempt_id, **{"class": arrival.class_name},
            key=arrival.idempotency_key, first=round(arrival.first_byte_s, 6),
        )  # fmt: skip

    def sweep(self) -> None:
        for number, arrival in list(self._open.items()):
            if arrival.outcome in OVER:
                del self._open[number]
                self._writer.write(
                    "fate", time.monotonic(), n=number, life=time_of_birth, server=arrival.server,
                    fate=arrival.outcome.value, started=arrival.started_s, ended=arrival.ended_s,
                )  # fmt: skip


time_of_birth = round(time.monotonic(), 6)  # tells the lives of a rack's process apart


class Rack(Simulation):
    """A stage whose clients are processes of their own: the last part of a path is the request's key."""

    def foreign_attempt(self, attempt_id: str, url: bytes) -> ClientAttempt | None:
        tried = super().foreign_attempt(attempt_id, url)
        if tried is not None:
            tried.idempotency_key = url.rpartition(b"/")[2].decode("latin-1")
        return tried


def orders() -> dict[str, Order]:
    made: dict[str, Any] = {}

    async def begin(order: Json) -> Json:
        loop = asyncio.get_running_loop()
        stage = Rack(read_day(order["day"], "rack"), loop)
        stage.accepts_foreign_requests = True
        stage.new_listener = lambda factory: SocketListener(loop, factory, (order["host"], 0))
        writer = Writer(Path(order["history"]))
        arrivals = stage.event_log.arrivals = Arrivals(writer)
        for server in stage.servers.values():
            server.prepare()
            server.start(cold=order["cold"], since_ms=stage.unix_ms())
        made["stage"] = stage

        async def sweeps() -> None:
            while True:
                await asyncio.sleep(SWEEP_S)
                arrivals.sweep()
                for fall in stage.event_log.overload_crashes:
                    writer.write("fall", fall.at_s, server=fall.server)
                stage.event_log.overload_crashes.clear()
                stage.event_log.attempts.clear()

        made["sweeps"] = loop.create_task(sweeps())
        return {"doors": {s.name: [list(d.address) for d in s.listeners] for s in stage.servers.values()}}

    return {"begin": begin}


if __name__ == "__main__":
    serve(orders)
