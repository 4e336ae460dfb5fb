"""The scenario's time line: schedules actions by scenario time and records marks for reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class TimeLine:
    """Schedules actions in seconds from the scenario's start.

    Attributes:
        start_s: the scenario's start on the loop's clock; it has to be set before anything is scheduled.
        marks: what happened, each with its time in seconds from the scenario's start.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.start_s = 0.0
        self.marks: list[tuple[float, str]] = []

    def mark(self, text: str) -> None:
        """Record a mark at the present time."""
        self.marks.append((self._loop.time() - self.start_s, text))

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action for a time in seconds from the scenario's start."""
        self._loop.call_at(self.start_s + at_s, action)

    def mark_at(self, at_s: float, text: str) -> None:
        """Schedule a mark for a time in seconds from the scenario's start."""
        self.call_at(at_s, lambda: self.mark(text))
