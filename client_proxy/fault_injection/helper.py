"""The main loop of the drill's own processes: JSON orders on standard input, answers on standard output.

A helper ends at the end of its standard input, so that none outlives the drill, however the drill ended.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

Json = dict[str, Any]
Order = Callable[[Json], Awaitable[Json | None]]
TICK_S = 0.02  # period of the timer whose lateness is measured
MAX_ORDER_BYTES = 4 * 1024 * 1024  # of one line


class Lateness:
    """How late this process's timers are, which shows when the drill itself is the bottleneck."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        self.sum_s = 0.0
        self.ticks = 0

    async def watch(self) -> None:
        """Measure the lateness of a timer of `TICK_S` until cancelled."""
        while True:
            due_s = time.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            late_s = time.monotonic() - due_s
            self.worst_s = max(self.worst_s, late_s)
            self.sum_s += max(0.0, late_s)
            self.ticks += 1

    def summary(self) -> Json:
        """Return the largest and the mean lateness, in seconds."""
        return {"worst_s": round(self.worst_s, 4), "mean_s": round(self.sum_s / max(1, self.ticks), 5)}


def serve(make_handlers: Callable[[], dict[str, Order]]) -> None:
    """Carry out orders until standard input ends.

    Args:
        make_handlers: Returns the handler of each order; called inside the event loop.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        handlers = make_handlers()
        lateness = Lateness()
        watch_task = loop.create_task(lateness.watch())
        reader = asyncio.StreamReader(limit=MAX_ORDER_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            order = json.loads(line)
            try:
                if order["do"] == "late":
                    answer: Json | None = lateness.summary()
                else:
                    answer = await handlers[order["do"]](order)
                reply = {"n": order["n"], "ok": True, **(answer or {})}
            except Exception as error:  # goes to the drill, which reports it with the order's name
                reply = {"n": order["n"], "ok": False, "why": f"{type(error).__name__}: {error}"}
            sys.stdout.write(json.dumps(reply) + "\n")
            sys.stdout.flush()
        watch_task.cancel()

    asyncio.run(run())
