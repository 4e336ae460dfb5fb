"""The one clock of the daemon: monotonic milliseconds, and what Unix time they stand for.

Another source can be put in its place, so that the whole daemon runs on a clock that does not wait.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

_monotonic_s: Callable[[], float] = time.monotonic
_unix_s: Callable[[], float] = time.time


def now_ms() -> float:
    """Return monotonic milliseconds, finer than the event loop's own clock."""
    return _monotonic_s() * 1000.0


def unix_offset_ms() -> float:
    """Return what to add to `now_ms` for Unix time in milliseconds, as it stands now."""
    return _unix_s() * 1000.0 - now_ms()


@contextmanager
def use_clock(monotonic_s: Callable[[], float], unix_s: Callable[[], float]) -> Iterator[None]:
    """Let the clock read these sources (seconds) inside the block, for the whole process.

    Events with one clock's time would be compared with timers of another's, so all daemons of the process and
    their event loops must go by the same source.
    """
    global _monotonic_s, _unix_s
    before = _monotonic_s, _unix_s
    _monotonic_s, _unix_s = monotonic_s, unix_s
    try:
        yield
    finally:
        _monotonic_s, _unix_s = before
