"""Parses the HTTP/1.1 stream of one client connection into complete requests of limited size."""

from __future__ import annotations

from typing import NamedTuple, Protocol

import httptools

from client_proxy.proxy.errors import BadRequestError, MessageTooLargeError
from client_proxy.proxy.message_buffer import MessageBuffer
from client_proxy.proxy.messages import MAX_BODY_BYTES, Headers

MAX_HEADER_BYTES = 16 * 1024
MAX_MESSAGE_BYTES = MAX_HEADER_BYTES + 4 * MAX_BODY_BYTES  # as sent, including the overhead of chunks
FRAMING_NAME_SIZES = frozenset(map(len, (b"content-length", b"transfer-encoding", b"expect")))


class ParsedRequest(NamedTuple):
    """A complete request before its headers are interpreted."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool  # false: the last request on its connection
    held_bytes: int  # memory of target, headers and body; an upper estimate


class RequestHandler(Protocol):
    """Receives parsed requests. An exception raised here ends the parsing, like a malformed request."""

    def continue_expected(self) -> None:
        """Called if the client waits for 100 Continue before it sends the body (RFC 9110, 10.1.1)."""

    def request_parsed(self, parsed: ParsedRequest) -> None:
        """Accept a complete request. Raises BadRequestError if it can't be accepted."""


class RequestParser:
    """Parses one request after the other, and passes each to a handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self.discard()

    def discard(self) -> None:
        """Drop the unfinished request, and what the HTTP library holds of it."""
        self._parser = httptools.HttpRequestParser(self)
        self.in_message = False  # a part of a request has been parsed
        self._reset_message()

    @property
    def held_bytes(self) -> int:
        """Memory of the unfinished request in bytes, 0 between requests; an upper estimate."""
        return len(self._target) + self._message.held_bytes if self.in_message else 0

    def _reset_message(self) -> None:
        self.message_bytes = 0
        self._target = b""
        self._message = MessageBuffer(MAX_HEADER_BYTES)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the stream, at most `PARSE_CHUNK_BYTES`.

        Raises BadRequestError; the stream is unusable then.
        """
        self.message_bytes += len(data)
        self._message.count_received(len(data))
        try:
            self._parser.feed_data(data)
            self._message.check_framing()
        except MessageTooLargeError as error:
            raise BadRequestError(error.status, str(error)) from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__  # an exception of a callback below, if one was raised
            if isinstance(cause, BadRequestError):
                raise cause from None
            if isinstance(cause, MessageTooLargeError):
                raise BadRequestError(cause.status, str(cause)) from None
            raise BadRequestError(400, "malformed request") from error
        if self.message_bytes > MAX_MESSAGE_BYTES:
            raise BadRequestError(413, "message too large")

    # Called by the HTTP library

    def on_message_begin(self) -> None:
        """Start a request."""
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        """Collect a part of the target, up to the size limit."""
        self._target += url
        if len(self._target) > MAX_HEADER_BYTES:
            raise BadRequestError(431, "target too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, up to the limit on their total size."""
        if self._message.in_head:  # trailers of a chunked body are dropped (RFC 9110, 6.5.1)
            self._message.add_header(name, value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        """Check the framing of the body, and reject a stated length over the limit."""
        self._message.end_head()
        lengths: list[bytes] = []
        codings: list[bytes] = []
        expects_continue = False
        for name, value in self._message.headers:
            # Comparing lengths first is cheaper: most headers are none of the three.
            if len(name) in FRAMING_NAME_SIZES:
                lowered = name.lower()
                if lowered == b"content-length":
                    lengths.append(value)
                elif lowered == b"transfer-encoding":
                    codings.append(value)
                elif lowered == b"expect":
                    expects_continue = expects_continue or value.lower() == b"100-continue"
        check_framing(lengths, codings)
        if expects_continue:
            self._handler.continue_expected()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body, up to the size limit."""
        self._message.add_body(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        target, message, held_bytes = self._target, self._message, self.held_bytes
        self.in_message = False
        self._reset_message()
        method: bytes = self._parser.get_method()
        keep_alive: bool = self._parser.should_keep_alive()
        self._handler.request_parsed(
            ParsedRequest(method, target, message.headers, message.body, keep_alive, held_bytes)
        )


def check_framing(lengths: list[bytes], codings: list[bytes]) -> None:
    """Check the values of Content-Length and Transfer-Encoding.

    The framing must be unambiguous: with two stated lengths, a second request could be smuggled into the body
    that only one of them covers. Raises BadRequestError.
    """
    if len(lengths) + len(codings) > 1 or any(coding.strip().lower() != b"chunked" for coding in codings):
        raise BadRequestError(400, "unclear length")
    if any(int(length) > MAX_BODY_BYTES for length in lengths):
        raise BadRequestError(413, "body too large")
