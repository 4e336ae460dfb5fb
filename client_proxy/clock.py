"""The daemon's clock: monotonic time in milliseconds, and its offset to Unix time.

The time sources can be replaced, so that the emulator runs the whole daemon on virtual time.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

_monotonic_s: Callable[[], float] = time.monotonic
_unix_s: Callable[[], float] = time.time


def now_ms() -> float:
    """Returns the monotonic time in ms, at a finer resolution than the event loop's clock."""
    return _monotonic_s() * 1000.0


def unix_offset_ms() -> float:
    """Returns the current difference between Unix time and `now_ms`, in ms."""
    return _unix_s() * 1000.0 - now_ms()


@contextmanager
def use_clock(monotonic_s: Callable[[], float], unix_s: Callable[[], float]) -> Iterator[None]:
    """Replaces the clock's time sources, for the whole process, inside the `with` block.

    All daemons of the process and their event loops must use the same sources: otherwise times of events and
    of timers, which are compared, would come from different clocks.

    Args:
        monotonic_s: Returns the monotonic time in seconds.
        unix_s: Returns the Unix time in seconds.
    """
    global _monotonic_s, _unix_s
    previous = _monotonic_s, _unix_s
    _monotonic_s, _unix_s = monotonic_s, unix_s
    try:
        yield
    finally:
        _monotonic_s, _unix_s = previous
