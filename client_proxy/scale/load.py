"""Process of clients that call the real instances.

Uses the clients of the fault-injection rig, but counts calls instead of writing a line for each."""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from typing import Any

from client_proxy.fault_injection.helper import Json, Order, serve
from client_proxy.fault_injection.load import Clients


class CallTally:
    """Counts how calls ended and keeps the durations of served calls, in place of the rig's history file."""

    def __init__(self) -> None:
        self._counts_by_ending: dict[str, Counter[str]] = defaultdict(Counter)
        self._durations_ms: dict[str, list[float]] = defaultdict(list)
        self._refused_s: dict[str, tuple[float, float]] = {}  # first and last refusal, monotonic seconds

    def write(self, kind: str, t: float, **fields: Any) -> None:
        """Counts an entry of the kind `op`, which stands for one call; other kinds are ignored."""
        if kind != "op":
            return
        name, ending = fields["instance"], fields["ending"]
        self._counts_by_ending[name][ending] += 1
        if ending == "served":
            self._durations_ms[name].append(1000.0 * (fields["end"] - fields["begin"]))
        elif ending == "refused":
            self._refused_s[name] = self._refused_s.get(name, (t, t))[0], t

    def collect(self) -> Json:
        """Returns the counts per instance since the last call, and resets them."""
        counts = {
            name: {
                "endings": dict(endings),
                "p50_ms": _quantile(self._durations_ms[name], 0.5),
                "p99_ms": _quantile(self._durations_ms[name], 0.99),
                "refused_between": self._refused_s.get(name),
            }
            for name, endings in self._counts_by_ending.items()
        }
        self._counts_by_ending.clear()
        self._durations_ms.clear()
        self._refused_s.clear()
        return counts


def _quantile(values: list[float], share: float) -> float | None:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3) if ordered else None


def orders() -> dict[str, Order]:
    running: dict[str, Clients] = {}
    tally = CallTally()

    async def begin(order: Json) -> None:
        clients = Clients({**order, "history": "/dev/null"})
        clients._writer = tally  # type: ignore[assignment]
        running["clients"] = clients

    async def look(order: Json) -> Json:
        return running["clients"].ready()

    async def take(order: Json) -> Json:
        return {"instances": tally.collect(), "cpu_s": time.process_time()}

    async def end(order: Json) -> Json:
        return await running["clients"].end()

    return {"begin": begin, "look": look, "take": take, "end": end}


if __name__ == "__main__":
    serve(orders)
