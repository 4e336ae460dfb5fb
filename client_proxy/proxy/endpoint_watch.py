"""One call to discovery: connects, parses the response in steps, and passes on its messages."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Generator
from typing import cast

import httptools

from client_proxy.address import Address
from client_proxy.endpoint_list import ENTRIES_PER_STEP, EndpointList
from client_proxy.proxy.json_lines import JsonTexts

# The sum of the longest of these, the wait for the next call and that call itself is limited; see
# `discovery.NOTIFICATION_LIMIT_S`.
CONNECT_TIMEOUT_S = 1.5  # a connect that takes longer has failed
RESPONSE_TIMEOUT_S = 3.5  # discovery answers a call within 3 s
WATCH_TIMEOUT_S = 3.5  # a live watch sends an empty line every 2 s if nothing changes
MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # largest size of one JSON message of a watch
MAX_FRAMING_BYTES = 32 * 1024  # bytes of a head, a chunk's size line or a trailer
PARSE_STEP_BYTES = 4 * 1024  # received bytes that are parsed before other work gets its turn

ReadListText = Callable[[bytes], Generator[None, None, EndpointList]]
"""Reads the text of a message in steps. Raises ValueError if it is not an endpoint list."""
OnMessage = Callable[[EndpointList | None], bool]
"""Takes a message, or None for an empty line; returns whether it shows that the watch is alive.

Raises ValueError for a message that can't be applied.
"""
OnEnd = Callable[[str, bool], None]
"""Takes the reason for which a watch has ended, and whether it was an unreadable message."""


class EndpointWatch(asyncio.Protocol):
    """One call to discovery, from its connect to its end, which it reports once through `on_end`.

    What has been received is parsed and passed on in steps, one in each iteration of the event loop, so that
    a long list, or one that comes in very small pieces, does not delay requests. Meanwhile no more is read.
    """

    def __init__(self, read_text: ReadListText, on_message: OnMessage, on_end: OnEnd) -> None:
        """Create a watch that is not open yet.

        Args:
            read_text: Reads the text of a message.
            on_message: Called with each message.
            on_end: Called once at the end.
        """
        self._read_text = read_text
        self._on_message = on_message
        self._on_end: OnEnd | None = on_end
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()  # not parsed yet
        self._framing_bytes = 0  # parsed since the last byte of the body; the parser may hold all of them
        self._unparsable = False  # what follows can't be parsed
        self._texts = JsonTexts(MAX_MESSAGE_BYTES)
        self._complete_texts: deque[bytes | None] = deque()  # not read yet
        self._work: Generator[None, None, None] | None = None  # what is left to do of what has been received
        # Why the watch ends once that is done, and whether because of an unreadable message.
        self._pending_end: tuple[str, bool] | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def redirect(self, on_message: OnMessage, on_end: OnEnd) -> None:
        """Replace the callbacks, unless the watch has ended."""
        if self._on_end is not None:
            self._on_message, self._on_end = on_message, on_end

    def open(self, address: Address, index: int | None) -> None:
        """Connect, and request the changes since `index`, or the complete list if it is None."""
        self._set_timeout(CONNECT_TIMEOUT_S)
        self._task = asyncio.get_running_loop().create_task(self._dial(address, index))

    async def _dial(self, address: Address, index: int | None) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, *address)
        except OSError as error:
            self.close(f"connect failed: {error}")
            return
        if self._transport is not None and self._on_end is not None:
            self._set_timeout(RESPONSE_TIMEOUT_S)
            since = "" if index is None else f"&since={index}"
            host = f"{address[0]}:{address[1]}"
            self._transport.write(
                f"GET /v1/endpoints?follow=1{since} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
            )

    def close(self, reason: str | None = None, unreadable: bool = False) -> None:
        """End the watch. With a reason, report it, and whether it was an unreadable message."""
        on_end, self._on_end = self._on_end, None
        if self._timeout is not None:
            self._timeout.cancel()
        if self._task is not None and not self._task.done():
            self._task.cancel()
        if self._transport is not None:
            self._transport.abort()
        if on_end is not None and reason is not None:
            on_end(reason, unreadable)

    def _set_timeout(self, seconds: float) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = asyncio.get_running_loop().call_later(seconds, self.close, "silence")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; abort it if the watch has already ended."""
        # A cast, not a check: the transports of uvloop do not derive from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        if self._on_end is None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch, once what it has received before is passed on."""
        self._end_after_work(f"connection closed: {exc or 'EOF'}")

    def data_received(self, data: bytes) -> None:
        """Begin to parse the next bytes of the response."""
        if self._on_end is None:
            return
        self._received += data
        if self._work is None:
            self._work = self._process_received()
            self._do_step()

    # What has been received

    def _do_step(self) -> None:
        """Do a step of the work; the next one follows in the next iteration of the loop."""
        if self._on_end is None or self._work is None:
            return
        try:
            next(self._work)
        except StopIteration:
            self._work = None
            self._work_done()
        else:
            if self._transport is not None and self._transport.is_reading():
                self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._do_step)

    def _work_done(self) -> None:
        if self._pending_end is not None:
            self.close(*self._pending_end)
        elif self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()

    def _stop_parsing(self, reason: str, unreadable: bool = False) -> None:
        """End the watch once complete messages are passed on; what is behind them can't be parsed."""
        self._received.clear()
        self._unparsable = True
        self._end_after_work(reason, unreadable)

    def _end_after_work(self, reason: str, unreadable: bool = False) -> None:
        if self._pending_end is None:
            self._pending_end = (reason, unreadable)
        if self._work is None:
            self.close(*self._pending_end)

    def _process_received(self) -> Generator[None, None, None]:
        """Parse the received bytes and pass on complete messages; yields where a step ends."""
        entries = 0  # passed on in this step
        while self._received:
            self._parse_step()
            while self._complete_texts:
                entries += yield from self._pass_on(self._complete_texts.popleft())
                if self._on_end is None:
                    return
                if entries >= ENTRIES_PER_STEP:
                    entries = 0
                    yield
            if self._received:
                yield

    def _parse_step(self) -> None:
        data = bytes(self._received[:PARSE_STEP_BYTES])
        del self._received[:PARSE_STEP_BYTES]
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._stop_parsing(f"malformed HTTP response: {error}")
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._stop_parsing("malformed HTTP response: head or trailer too long")

    def _pass_on(self, text: bytes | None) -> Generator[None, None, int]:
        """Read a message and pass it on; returns the number of its entries, at least 1."""
        try:
            message = None if text is None else (yield from self._read_text(text))
            # Only complete messages restart the timeout, not a partial line.
            if self._on_end is not None and self._on_message(message) and self._on_end is not None:
                self._set_timeout(WATCH_TIMEOUT_S)
        except ValueError as error:
            self.close(f"unreadable message: {error}", unreadable=True)
            return 1
        return 1 if message is None else max(1, len(message.endpoints))

    # Called by the parser

    def on_headers_complete(self) -> None:
        """End the watch on any status but 200."""
        status = self._parser.get_status_code()
        if status != 200:
            self.close(f"response status {status}, expected 200")

    def on_body(self, body: bytes) -> None:
        """Collect the texts of complete messages."""
        self._framing_bytes = 0
        if self._on_end is None or self._unparsable:
            return
        try:
            self._complete_texts.extend(self._texts.feed(body))
        except ValueError as error:
            self._stop_parsing(f"unreadable message: {error}", unreadable=True)

    def on_message_complete(self) -> None:
        """End the watch: the service has ended its response."""
        self._end_after_work("the service ended the watch")
