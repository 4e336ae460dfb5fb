"""The signals of a serving process, handled without a gap from its first line to its last.

The default action of SIGHUP, SIGINT and SIGTERM ends a process at once, with every request it has. An event
loop's own handlers leave two gaps in which that is still the action: until the loop runs, and from its close
on (asyncio and uvloop put the default back; a mask of the main thread's does not hold for other threads). So
the handlers here belong to the process, and the loop is only told.

Nothing but `signal` is imported, so that a program can install the handlers before its other imports.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)

Schedule = Callable[[Callable[[], object]], object]
"""Runs a callback soon, as `loop.call_soon_threadsafe` does."""


class ProcessSignals:
    """SIGTERM and SIGINT ask for a graceful shutdown, SIGHUP for a reload.

    Attributes:
        termination_requested: SIGTERM or SIGINT has come.
    """

    def __init__(self) -> None:
        self.termination_requested = False
        self._reload_requested = False
        self._schedule: Schedule | None = None
        self._on_terminate: Callable[[], object] | None = None
        self._on_reload: Callable[[], object] | None = None

    def install(self) -> None:
        """Handle the signals from now on. Called in the main thread."""
        signal.signal(signal.SIGHUP, self._reload)
        for number in TERMINATION_SIGNALS:
            # Who starts a process in the background has it ignore the keyboard (POSIX, 2.11).
            if number != signal.SIGINT or signal.getsignal(number) is not signal.SIG_IGN:
                signal.signal(number, self._terminate)

    def attach(
        self, schedule: Schedule, on_terminate: Callable[[], object], on_reload: Callable[[], object]
    ) -> None:
        """Tell an event loop of the signals, and of those that have come before.

        Args:
            schedule: Runs a callback in the loop, and wakes it up.
            on_terminate: Called for each SIGTERM and SIGINT.
            on_reload: Called for each SIGHUP.
        """
        self._schedule, self._on_terminate, self._on_reload = schedule, on_terminate, on_reload
        if self._reload_requested:
            schedule(on_reload)
        if self.termination_requested:
            schedule(on_terminate)

    def ignore(self) -> None:
        """Ignore the signals from now on. Called once all is answered, before the loop closes."""
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
"""Those of this process."""
