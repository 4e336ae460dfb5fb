"""Shares each iteration of the event loop among the connections that have something to parse.

Without it the bytes of all connections that the loop has read are parsed in one iteration: those of one
client that sends at full speed, or of hundreds that send at once, would keep timers and all other requests
waiting.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from client_proxy.clock import now_ms

MAX_ITERATION_MS = 4.0  # time for parsing in one iteration of the loop
MAX_READER_MS = 1.0  # of it for one connection, before others get their turn


class Reader(Protocol):
    """A connection that parses what it has received."""

    def parse_slice(self) -> bool:
        """Parse a small part; returns whether there is more that can be parsed now."""

    def parsing_deferred(self) -> None:
        """Take note that the rest is parsed in a later iteration. The reader may give up its turn here."""

    def in_long_message(self) -> bool:
        """Whether the message that it is parsing is already longer than usual ones."""


class ReadScheduler:
    """Lets readers parse, each for a bounded time in an iteration. Used inside a running event loop.

    Who has just received something goes before those that had their time already, or are in the middle of a
    long message. Of both at least one gets on in each iteration, however long its slice takes.
    """

    def __init__(self) -> None:
        # Both in the order of their arrival.
        self._new: dict[Reader, None] = {}
        self._continued: dict[Reader, None] = {}
        self._iteration_began_ms: float | None = None  # None: nothing was parsed in this iteration

    def submit(self, reader: Reader) -> None:
        """Let a reader parse: now if there is time in this iteration, else in a later one."""
        if self.waiting(reader):
            reader.parsing_deferred()
        elif self._has_time():
            self._run(reader)
        else:
            self._queue(reader)

    def forget(self, reader: Reader) -> None:
        """Remove a reader that has closed."""
        self._new.pop(reader, None)
        self._continued.pop(reader, None)

    def waiting(self, reader: Reader) -> bool:
        """Whether the reader parses in a later iteration."""
        return reader in self._new or reader in self._continued

    def _queue(self, reader: Reader) -> None:
        (self._continued if reader.in_long_message() else self._new)[reader] = None
        reader.parsing_deferred()

    def _has_time(self) -> bool:
        at_ms = now_ms()
        if self._iteration_began_ms is None:
            self._iteration_began_ms = at_ms
            asyncio.get_running_loop().call_soon(self._next_iteration)
        return at_ms - self._iteration_began_ms < MAX_ITERATION_MS

    def _next_iteration(self) -> None:
        """Let queued readers parse. Runs once in each iteration behind one in which anything was parsed."""
        self._iteration_began_ms = None
        if not self._new and not self._continued:
            return
        self._has_time()  # begins the iteration
        for queue in (self._new, self._continued):
            if queue:
                self._run(self._pop(queue))
        for queue in (self._new, self._continued):
            while queue and self._has_time():
                self._run(self._pop(queue))

    @staticmethod
    def _pop(queue: dict[Reader, None]) -> Reader:
        reader = next(iter(queue))
        del queue[reader]
        return reader

    def _run(self, reader: Reader) -> None:
        began_ms = now_ms()
        while reader.parse_slice():
            if now_ms() - began_ms >= MAX_READER_MS:
                self._continued[reader] = None
                reader.parsing_deferred()
                return
