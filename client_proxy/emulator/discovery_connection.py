"""A proxy's connection to the emulated discovery: one response, or a watch that stays open."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Protocol
from urllib.parse import parse_qs, urlsplit

import httptools

from client_proxy.emulator.listeners import reset_connection

Json = dict[str, Any]

HEARTBEAT_S = 2.0
"""Seconds without a change after which a watch is sent an empty line."""
ENDPOINTS_PATH = "/v1/endpoints"
SILENT = "silent"
"""The outage mode in which discovery accepts requests and sends nothing."""
UNAVAILABLE = "503"
"""The outage mode in which discovery answers with this status."""


class EndpointSource(Protocol):
    """What a connection needs from discovery.

    Attributes:
        latency_s: the time until a request is answered, in seconds.
        index: the version of the endpoint list.
        requests: the number of requests so far.
        outage_mode: how discovery fails at present; empty while it works.
        connections: all open connections; the values are unused.
    """

    latency_s: float
    index: int
    requests: int
    outage_mode: str
    connections: dict[DiscoveryConnection, None]

    def snapshot(self, proxy: int, notify: bool = True) -> Json:
        """Return the whole endpoint list for a proxy."""

    def changes_since(self, proxy: int, index: int) -> Json | None:
        """Return the changes after version `index`; None if there are none."""


class DiscoveryConnection(asyncio.Protocol):
    """One connection of a proxy to the emulated discovery.

    Attributes:
        proxy: the number of the proxy at its other end.
        watching: whether a watch is open on it.
        index: the version of the endpoint list that the watch has sent.
    """

    def __init__(self, source: EndpointSource, proxy: int) -> None:
        self.proxy = proxy
        self.watching = False
        self.index = 0
        self._source = source
        self._parser = httptools.HttpRequestParser(self)
        self._transport: Any = None
        self._url = b""
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    # asyncio's callbacks

    def connection_made(self, transport: Any) -> None:
        """Register the connection."""
        self._transport = transport
        self._source.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and end its watch."""
        self._source.connections.pop(self, None)
        self.watching = False
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Read a request."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.close()

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url

    def on_message_complete(self) -> None:
        """Answer after discovery's latency."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._source.latency_s, self._answer, self._url.decode("latin-1"))

    # Responses

    def _answer(self, url: str) -> None:
        source = self._source
        source.requests += 1
        if self._transport is None or self._transport.is_closing() or source.outage_mode == SILENT:
            return
        parts = urlsplit(url)
        query = parse_qs(parts.query)
        if source.outage_mode == UNAVAILABLE:
            self._write_empty(503)
        elif parts.path != ENDPOINTS_PATH:
            self._write_empty(404)
        elif query.get("follow") != ["1"]:
            body = json.dumps(source.snapshot(self.proxy)).encode()
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        else:
            self._begin_watch(query.get("since", [""])[0])

    def _write_empty(self, status: int) -> None:
        self._transport.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)

    def _begin_watch(self, since: str) -> None:
        """Begin a watch: send the changes after version `since`, or else the whole list."""
        source = self._source
        self._transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watching = True
        if since.isdigit() and int(since) <= source.index:
            changes = source.changes_since(self.proxy, int(since))
            if changes is not None:
                self._write_message(changes)
            else:
                self._write_line(b"")
        else:
            self._write_message(source.snapshot(self.proxy))
        self.index = source.index
        self._start_heartbeat_timer()

    def _start_heartbeat_timer(self) -> None:
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        self._heartbeat_timer = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._heartbeat)

    def _heartbeat(self) -> None:
        if self._source.outage_mode != SILENT:
            self._write_line(b"")
        self._start_heartbeat_timer()

    def _write_line(self, line: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def _write_message(self, message: Json) -> None:
        self._write_line(json.dumps(message).encode())

    def send_changes(self) -> None:
        """Send the changes after the version that the watch has sent, unless discovery has an outage."""
        source = self._source
        if not self.watching or source.outage_mode or self.index >= source.index:
            return
        changes = source.changes_since(self.proxy, self.index)
        self.index = source.index
        if changes is not None:
            self._write_message(changes)
            self._start_heartbeat_timer()

    def end(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset_connection(self._transport)
