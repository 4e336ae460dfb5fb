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
        self._used_ms = 0.0  # time used for parsing; at least that of this iteration
        self._next_scheduled = False  # `_next_iteration` runs in the next iteration

    def submit(self, reader: Reader) -> None:
        """Let a reader parse: now if there is time in this iteration, else in a later one."""
        if (self._new or self._continued) and self.waiting(reader):
            reader.parsing_deferred()
        elif self._used_ms < MAX_ITERATION_MS:
            self._run(reader)
        else:
            (self._continued if reader.in_long_message() else self._new)[reader] = None
            self._schedule_next()
            reader.parsing_deferred()

    def forget(self, reader: Reader) -> None:
        """Remove a reader that has closed."""
        self._new.pop(reader, None)
        self._continued.pop(reader, None)

    def waiting(self, reader: Reader) -> bool:
        """Whether the reader parses in a later iteration."""
        return reader in self._new or reader in self._continued

    def _next_iteration(self) -> None:
        """Let queued readers parse."""
        self._used_ms = 0.0
        self._next_scheduled = False
        for queue in (self._new, self._continued):
            if queue:
                self._run(self._pop(queue))
        for queue in (self._new, self._continued):
            while queue and self._used_ms < MAX_ITERATION_MS:
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
                break
        self._used_ms += now_ms() - began_ms
        # With little to parse the time of several iterations adds up here, which saves a callback in each.
        if self._used_ms >= MAX_READER_MS or self._continued or self._new:
            self._schedule_next()

    def _schedule_next(self) -> None:
        if not self._next_scheduled:
            self._next_scheduled = True
            asyncio.get_running_loop().call_soon(self._next_iteration)
