"""The drill's own processes: orders come as JSON lines on standard input, answers go to standard output.

A helper ends when its standard input does, so that none outlives the drill, however that ended."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

Json = dict[str, Any]
Order = Callable[[Json], Awaitable[Json | None]]
TICK_S = 0.02
MOST_ORDER = 4 * 1024 * 1024


class Lateness:
    """By how much this process's timers are late: where the rig itself becomes the limit."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        self.sum_s = 0.0
        self.ticks = 0

    async def watch(self) -> None:
        while True:
            due_s = time.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            late_s = time.monotonic() - due_s
            self.worst_s = max(self.worst_s, late_s)
            self.sum_s += max(0.0, late_s)
            self.ticks += 1

    def summary(self) -> Json:
        return {"worst_s": round(self.worst_s, 4), "mean_s": round(self.sum_s / max(1, self.ticks), 5)}


def serve(make: Callable[[], dict[str, Order]]) -> None:
    """Carry out orders until standard input ends. `make` is called inside the event loop."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        orders = make()
        lateness = Lateness()
        watching = loop.create_task(lateness.watch())
        reader = asyncio.StreamReader(limit=MOST_ORDER)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            order = json.loads(line)
            try:
                if order["do"] == "late":
                    answer: Json | None = lateness.summary()
                else:
                    answer = await orders[order["do"]](order)
                said = {"n": order["n"], "ok": True, **(answer or {})}
            except Exception as error:  # the drill tells of it, with the order's name
                said = {"n": order["n"], "ok": False, "why": f"{type(error).__name__}: {error}"}
            sys.stdout.write(json.dumps(said) + "\n")
            sys.stdout.flush()
        watching.cancel()

    asyncio.run(run())
