"""Signal handlers of a serving process, active from its first line of code to its last.

The default action of SIGHUP, SIGINT and SIGTERM ends a process at once, and all its pending requests fail. An
event loop's own signal handlers leave that default in place during two periods: until the loop runs, and
after it closes (asyncio and uvloop restore the default; a signal mask of the main thread does not apply to
other threads). The handlers of this module therefore belong to the process and only notify the loop.

The module imports only `signal` at run time, so that a program can install the handlers before its other
imports.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)

Schedule = Callable[[Callable[[], object]], object]
"""Schedules a callback, as `loop.call_soon_threadsafe` does."""


class ProcessSignals:
    """Signal handlers: SIGTERM and SIGINT request a graceful shutdown, SIGHUP a reload.

    Attributes:
        termination_requested: SIGTERM or SIGINT has been received.
    """

    def __init__(self) -> None:
        self.termination_requested = False
        self._reload_requested = False
        self._schedule: Schedule | None = None
        self._on_terminate: Callable[[], object] | None = None
        self._on_reload: Callable[[], object] | None = None

    def install(self) -> None:
        """Installs the handlers. Must be called in the main thread."""
        signal.signal(signal.SIGHUP, self._reload)
        for number in TERMINATION_SIGNALS:
            # A shell starts background processes with SIGINT ignored (POSIX shell, section 2.11); that stays.
            if number != signal.SIGINT or signal.getsignal(number) is not signal.SIG_IGN:
                signal.signal(number, self._terminate)

    def attach(
        self, schedule: Schedule, on_terminate: Callable[[], object], on_reload: Callable[[], object]
    ) -> None:
        """Connects the signals to an event loop, including those that were received before.

        Args:
            schedule: Schedules a callback in the loop from a signal handler, and wakes the loop up.
            on_terminate: Called for each SIGTERM and SIGINT.
            on_reload: Called for each SIGHUP.
        """
        self._schedule, self._on_terminate, self._on_reload = schedule, on_terminate, on_reload
        if self._reload_requested:
            schedule(on_reload)
        if self.termination_requested:
            schedule(on_terminate)

    def ignore(self) -> None:
        """Ignores the signals from now on. Called after the last response, before the event loop closes."""
        for number in (signal.SIGHUP, *TERMINATION_SIGNALS):
            signal.signal(number, signal.SIG_IGN)

    def _terminate(self, number: int, frame: Any) -> None:
        self.termination_requested = True
        if self._schedule is not None and self._on_terminate is not None:
            self._schedule(self._on_terminate)

    def _reload(self, number: int, frame: Any) -> None:
        self._reload_requested = True
        if self._schedule is not None and self._on_reload is not None:
            self._schedule(self._on_reload)


PROCESS_SIGNALS = ProcessSignals()
"""The signal handlers of this process."""
