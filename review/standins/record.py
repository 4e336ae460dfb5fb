"""The record of a run: a line for each thing sent, answered or run, with its time."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass
class Record:
    """Lines with the ms since the start of the run; written to a file at the end."""

    path: Path
    started_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def now_ms(self) -> float:
        """Return the time since the start of the run, in ms."""
        return (time.monotonic() - self.started_s) * 1000.0

    def add(self, what: str, **details: Any) -> float:
        """Record an event; return its time in ms."""
        at_ms = self.now_ms()
        self.lines.append(f"{at_ms:10.1f} {what} {json.dumps(details, default=str)}")
        return at_ms

    def write(self, verdict: list[str]) -> None:
        """Write the file, the verdict first."""
        self.path.write_text("\n".join([*verdict, "", *self.lines]) + "\n", encoding="utf-8")
