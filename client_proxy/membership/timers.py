"""Timer queue without a clock: the caller passes the current time, and timers that are due are run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

TimerAction = Callable[[float], None]
"""Called with the time at which the timer is run."""


@dataclass(frozen=True, slots=True, order=True)
class _Timer:
    due_ms: float
    number: int  # makes timers that are due at the same time run in the order in which they were set
    action: TimerAction = field(compare=False)


class TimerQueue:
    """Timers in the order of their due times."""

    def __init__(self) -> None:
        self._timers: list[_Timer] = []
        self._set_count = 0

    def __len__(self) -> int:
        return len(self._timers)

    @property
    def due_ms(self) -> float:
        """The time at which the next timer is due; infinite if there is none."""
        return self._timers[0].due_ms if self._timers else float("inf")

    def set(self, due_ms: float, action: TimerAction) -> None:
        """Set a timer that runs `action` at `due_ms`."""
        self._set_count += 1
        heapq.heappush(self._timers, _Timer(due_ms, self._set_count, action))

    def run_due(self, now_ms: float) -> None:
        """Run all timers that are due, including those that these timers set."""
        while self._timers and self._timers[0].due_ms <= now_ms:
            heapq.heappop(self._timers).action(now_ms)
