"""One rack of the emulator's servers as a process of a drill, which records the requests that arrive.

Each instance has a listener of its own at each server, so that the record says who sent a request.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from client_proxy.emulator.event_log import Arrival, ClientAttempt, ServerOutcome
from client_proxy.emulator.listeners import SocketListener
from client_proxy.emulator.scenario_reader import parse_scenario
from client_proxy.emulator.simulation import Simulation
from client_proxy.fault_injection.helper import Json, Order, serve
from client_proxy.fault_injection.history import Writer

SWEEP_S = 0.05  # between two searches for requests that have ended
FINAL_OUTCOMES = (
    ServerOutcome.COMPLETED,
    ServerOutcome.DEDUPLICATED,
    ServerOutcome.FAILED,
    ServerOutcome.REJECTED,
    ServerOutcome.CANCELLED,
    ServerOutcome.INVALID,
)


class ArrivalLog(list[Arrival]):
    """Writes each arrival to the history at once, so that it survives a kill -9, and its outcome later."""

    def __init__(self, writer: Writer) -> None:
        super().__init__()
        self._writer = writer
        self._open: dict[int, Arrival] = {}
        self._number = 0

    def append(self, arrival: Arrival) -> None:
        self._number += 1
        self._open[self._number] = arrival
        self._writer.write(
            "arrival", arrival.arrived_s, n=self._number, server=arrival.server, life=started_s,
            instance=f"i{arrival.proxy}", id=arrival.attempt_id, **{"class": arrival.class_name},
            key=arrival.idempotency_key, first=round(arrival.first_byte_s, 6),
        )  # fmt: skip

    def write_outcomes(self) -> None:
        """Write the outcomes of requests that have ended since the last call."""
        for number, arrival in list(self._open.items()):
            if arrival.outcome in FINAL_OUTCOMES:
                del self._open[number]
                self._writer.write(
                    "fate", time.monotonic(), n=number, life=started_s, server=arrival.server,
                    fate=arrival.outcome.value, started=arrival.started_s, ended=arrival.ended_s,
                )  # fmt: skip


started_s = round(time.monotonic(), 6)  # identifies this process among the rack's restarts


class Rack(Simulation):
    """A simulation whose clients are other processes.

    The last part of a request's path is its idempotency key.
    """

    def foreign_attempt(self, attempt_id: str, url: bytes) -> ClientAttempt | None:
        attempt = super().foreign_attempt(attempt_id, url)
        if attempt is not None:
            attempt.idempotency_key = url.rpartition(b"/")[2].decode("latin-1")
        return attempt


def make_handlers() -> dict[str, Order]:
    state: dict[str, Any] = {}

    async def begin(order: Json) -> Json:
        loop = asyncio.get_running_loop()
        simulation = Rack(parse_scenario(order["day"], "rack"), loop)
        simulation.accepts_foreign_requests = True
        simulation.new_listener = lambda factory: SocketListener(loop, factory, (order["host"], 0))
        writer = Writer(Path(order["history"]))
        arrivals = simulation.event_log.arrivals = ArrivalLog(writer)
        for server in simulation.servers.values():
            server.prepare()
            server.start(cold=order["cold"], since_ms=simulation.unix_ms())
        state["stage"] = simulation

        async def sweep_periodically() -> None:
            while True:
                await asyncio.sleep(SWEEP_S)
                arrivals.write_outcomes()
                for crash in simulation.event_log.overload_crashes:
                    writer.write("fall", crash.at_s, server=crash.server)
                simulation.event_log.overload_crashes.clear()
                simulation.event_log.attempts.clear()

        state["sweeps"] = loop.create_task(sweep_periodically())
        return {
            "doors": {
                rack_server.name: [list(listener.address) for listener in rack_server.listeners]
                for rack_server in simulation.servers.values()
            }
        }

    return {"begin": begin}


if __name__ == "__main__":
    serve(make_handlers)
