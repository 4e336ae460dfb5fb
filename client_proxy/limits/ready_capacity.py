"""The capacity of all ready endpoints, as they are listed and while they warm up."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush

from client_proxy.api.settings import Safety
from client_proxy.rates import warmed_up_share


class ReadyCapacity:
    """The sum of the warmed-up shares of the ready endpoints, at a cost that does not grow with their number.

    The share of an endpoint that warms up grows linearly, so the sum over all of them follows from their
    number and the sum of their start times. Times passed to the methods must not decrease.

    Args:
        safety: states how long slow start lasts and at which share it begins.
    """

    def __init__(self, safety: Safety) -> None:
        self._safety = safety
        self._started_ms: dict[str, float | None] = {}  # of all ready endpoints, by name
        self._warming: dict[str, float] = {}  # those that have started and are not warm yet
        self._warming_sum_ms = 0.0  # sum of the values of `_warming`
        self._starts: list[tuple[float, str]] = []  # heap of starts in the future, some of them outdated
        self._ends: list[tuple[float, str]] = []  # heap of ends of slow start, some of them outdated
        self._future: dict[str, float] = {}  # endpoints whose stated start is in the future

    def __len__(self) -> int:
        return len(self._started_ms)

    def __contains__(self, name: object) -> bool:
        return name in self._started_ms

    def __iter__(self) -> Iterator[str]:
        return iter(self._started_ms)

    def update(self, name: str, started_ms: float | None) -> None:
        """Add a ready endpoint, or change the start time of one."""
        if name in self._started_ms:
            if self._started_ms[name] == started_ms:
                return
            self.remove(name)
        self._started_ms[name] = started_ms
        if started_ms is not None and self._safety.slow_start_ms > 0:
            self._future[name] = started_ms
            heappush(self._starts, (started_ms, name))

    def remove(self, name: str) -> None:
        """Remove an endpoint that is not ready any more; does nothing if it is unknown."""
        self._started_ms.pop(name, None)
        self._future.pop(name, None)
        self._remove_warming(name)

    def _remove_warming(self, name: str) -> None:
        started_ms = self._warming.pop(name, None)
        if started_ms is not None:
            # The sum of no values is exactly 0: rounding errors do not add up over the days.
            self._warming_sum_ms = self._warming_sum_ms - started_ms if self._warming else 0.0

    def share_of(self, now_ms: float, name: str) -> float:
        """The warmed-up share of one endpoint; 0 if it is not ready."""
        if name not in self._started_ms:
            return 0.0
        return warmed_up_share(now_ms, self._started_ms[name], self._safety)

    def total(self, now_ms: float) -> float:
        """The capacity now, in warmed-up endpoints."""
        self._advance(now_ms)
        safety = self._safety
        share = safety.slow_start_share
        warm = len(self._started_ms) - len(self._warming) - len(self._future)
        capacity = warm + share * len(self._future)
        if self._warming:
            elapsed_ms = len(self._warming) * now_ms - self._warming_sum_ms
            capacity += share * len(self._warming) + (1 - share) * elapsed_ms / safety.slow_start_ms
        return capacity

    def _advance(self, now_ms: float) -> None:
        """Move on the endpoints that have started or finished slow start by now."""
        while self._starts and self._starts[0][0] <= now_ms:
            started_ms, name = heappop(self._starts)
            if self._future.get(name) == started_ms:
                del self._future[name]
                self._warming[name] = started_ms
                self._warming_sum_ms += started_ms
                heappush(self._ends, (started_ms + self._safety.slow_start_ms, name))
        while self._ends and self._ends[0][0] <= now_ms:
            end_ms, name = heappop(self._ends)
            started_ms = self._warming.get(name, float("inf"))
            if started_ms + self._safety.slow_start_ms <= end_ms:
                self._remove_warming(name)
