"""Follows a discovery service: the endpoint list, its changes, and failures of calls or the watch."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Generator
from typing import cast

import httptools

from client_proxy.address import Address
from client_proxy.api.events import EndpointsListed, ListKind
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.endpoint_list import ENTRIES_PER_STEP, EndpointList
from client_proxy.proxy.json_lines import JsonTexts

log = logging.getLogger(__name__)

# A change must be known within `NOTIFICATION_LIMIT_S` after discovery has it and can be reached, however
# earlier calls failed. So the rest of a call that is in any of these stages, the wait for the next call, and
# that call itself must fit into the limit (tests/proxy/test_told_in_time.py checks the sum).
NOTIFICATION_LIMIT_S = 6.0
CONNECT_TIMEOUT_S = 1.5  # a connect that takes longer has failed
RESPONSE_TIMEOUT_S = 3.5  # discovery answers a call within 3 s
WATCH_TIMEOUT_S = 3.5  # a live watch sends an empty line every 2 s if nothing changes
RETRY_DELAY_S = 0.5  # s between two calls in push mode; else the balancer decides (`MAX_RESUBSCRIBE_MS`)
NEXT_CALL_S = 1.0  # allowed for the next call's connect and response

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


class Discovery:
    """Follows the endpoint list of one discovery service, and passes on lists and watch events."""

    def __init__(
        self,
        address: Address,
        balancer_subscribes: bool,
        directory: EndpointDirectory,
        notify: Callable[[EndpointsListed], None],
    ) -> None:
        """Create a follower that has not started.

        Args:
            address: The address of the service.
            balancer_subscribes: Whether the balancer decides when to call; else (push mode) a call follows
                each failure after `RETRY_DELAY_S`.
            directory: Updated with each message.
            notify: Called with each list and watch event, and with each failure of a call or the watch.
        """
        self._address = address
        self._balancer_subscribes = balancer_subscribes
        self._directory = directory
        self._notify = notify
        self._watch: EndpointWatch | None = None
        # The watch at the previous address, which stays open until the new service has answered.
        self._former_watch: EndpointWatch | None = None
        self._retry_timer: asyncio.TimerHandle | None = None  # of the next call in push mode
        self._answered = False
        self._stopped = False

    def start(self) -> None:
        """Open the first watch in push mode; else the balancer decides when to subscribe."""
        if not self._balancer_subscribes:
            self._open_watch()

    def subscribe(self) -> None:
        """Open a watch, unless one is open.

        A subscription that the balancer scheduled before a move may come after it, and must not replace the
        watch that the move has opened.
        """
        if self._watch is None:
            self._open_watch()

    def _open_watch(self) -> None:
        self._close_watch()
        if self._stopped:
            return
        self._answered = False
        self._watch = EndpointWatch(self._directory.read_text, self._on_message, self._watch_failed)
        self._watch.open(self._address, self._directory.index)

    def move(self, address: Address) -> None:
        """Switch to the service at another address.

        The current list stays until the new service sends its own complete list, as an index of the old
        service is invalid there. A drain that the old service has written already counts as notified, so the
        old watch is read until the new service answers.
        """
        if address == self._address:
            return
        self._address = address
        self._directory.index = None
        if self._former_watch is None and self._watch is not None:
            self._former_watch, self._watch = self._watch, None
            self._former_watch.redirect(self._on_former_watch_message, self._former_watch_ended)
        self._open_watch()

    def stop(self) -> None:
        """Stop permanently: no later call opens a watch."""
        self._stopped = True
        self._close_watch()
        self._close_former_watch()

    def _close_watch(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._watch is not None:
            self._watch.close()
            self._watch = None

    def _close_former_watch(self) -> None:
        former_watch, self._former_watch = self._former_watch, None
        if former_watch is not None:
            former_watch.close()

    def _on_former_watch_message(self, message: EndpointList | None) -> bool:
        if message is not None:
            event = self._directory.apply_list(message)
            self._directory.index = None
            self._notify(event)
        return True

    def _former_watch_ended(self, reason: str, unreadable: bool) -> None:
        log.info("discovery: the watch at the previous address ended: %s", reason)
        self._former_watch = None

    def _on_message(self, message: EndpointList | None) -> bool:
        if message is not None:
            event = self._directory.apply_list(message)
            self._close_former_watch()
        elif self._answered:
            return True
        elif self._directory.index is None:
            return False  # the complete list is still due, so an empty line is no response
        else:
            event = EndpointsListed(ListKind.DELTA)  # an empty line: nothing changed since the index
        self._answered = True
        self._notify(event)
        return True

    def _watch_failed(self, reason: str, unreadable: bool) -> None:
        log.warning("discovery: the watch failed: %s", reason)
        self._watch = None
        if unreadable:
            # The unreadable message may have been a change that later ones depend on: get the complete list.
            self._directory.index = None
        if self._balancer_subscribes:
            self._notify(EndpointsListed(ListKind.FAILED))
        elif not self._stopped:
            self._retry_timer = asyncio.get_running_loop().call_later(RETRY_DELAY_S, self._open_watch)
