"""The backoff before a retry: decorrelated jitter."""

from __future__ import annotations

from random import Random

BACKOFF_BASE_MS = 100.0
BACKOFF_CAP_MS = 30_000.0


def backoff_ms(previous_ms: float, random: Random) -> float:
    """Draw the next backoff by decorrelated jitter: from the previous backoff, not the number of attempts."""
    return min(BACKOFF_CAP_MS, BACKOFF_BASE_MS + random.random() * (previous_ms * 3 - BACKOFF_BASE_MS))
