"""The record of a case: what was sent, answered and run, one line an event, in order of time."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines with their time since the start, and writes them to a file."""

    def __init__(self) -> None:
        self._start_s = time.monotonic()
        self._lines: list[str] = []

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start_s

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self._lines.append(f"{self.now_s():9.4f} {text}")

    def say(self, text: str) -> None:
        """Add a line, and print it."""
        self.add(text)
        print(text, flush=True)

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
