"""Collects the parts of one HTTP message as the HTTP library reports them, within limits on their sizes."""

from __future__ import annotations

from client_proxy.proxy.errors import MessageTooLargeError
from client_proxy.proxy.messages import MAX_BODY_BYTES, Headers

PARSE_CHUNK_BYTES = 4096  # bytes given to the HTTP library at a time
# Most memory of a header line beyond its name and value: a tuple, two byte strings and an entry of a list.
HEADER_LINE_OVERHEAD_BYTES = 160
MAX_HEADER_LINES = 128  # header lines of a message, with those of its trailer


class MessageBuffer:
    """The parts of one HTTP message that have been received so far.

    The HTTP library reports a header line only once it is complete, and holds its bytes until then. So the
    bytes outside of the body are counted as they are received, and not only when they are reported: those of
    the head, of each chunk's size line, and of the trailer.
    """

    __slots__ = (
        "_body",
        "_framing_bytes",
        "_header_bytes",
        "_header_limit",
        "_max_header_bytes",
        "ends_with_stream",
        "headers",
        "in_head",
    )

    def __init__(self, max_header_bytes: int) -> None:
        """Start a message.

        Args:
            max_header_bytes: Most bytes of the head (with the heads of interim responses), of a chunk's size
                line, and of the trailer.
        """
        self._max_header_bytes = max_header_bytes
        self.in_head = True
        self.ends_with_stream = False  # the head is complete and states no length
        self.headers: Headers = []
        self._body = bytearray()  # one object for each chunk would take many times the size of small chunks
        self._header_bytes = 0  # bytes of all names and values
        self._header_limit = max_header_bytes  # most of these at the end of the current head or trailer
        # Bytes received since the start of the message, the end of its head, or the last byte of its body.
        self._framing_bytes = 0

    @property
    def body(self) -> bytes:
        """The part of the body that has been received."""
        return bytes(self._body)

    @property
    def held_bytes(self) -> int:
        """Memory in bytes of what has been received, with incomplete lines; an upper estimate."""
        header_bytes = self._header_bytes + HEADER_LINE_OVERHEAD_BYTES * len(self.headers)
        return self._framing_bytes + header_bytes + len(self._body)

    def count_received(self, byte_count: int) -> None:
        """Count bytes that the HTTP library gets next: at most `PARSE_CHUNK_BYTES`."""
        self._framing_bytes += byte_count

    def check_framing(self) -> None:
        """Check the bytes outside of the body, those of incomplete lines included.

        Raises:
            MessageTooLargeError: There are more than the limit allows.
        """
        if self._framing_bytes > self._max_header_bytes:
            if self.in_head:
                raise MessageTooLargeError(431, "headers too large")
            raise MessageTooLargeError(413, "message too large")

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header line of the head or the trailer. Raises MessageTooLargeError."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._header_limit or len(self.headers) >= MAX_HEADER_LINES:
            raise MessageTooLargeError(431, "headers too large")
        self.headers.append((name, value))

    def end_head(self) -> None:
        """Start the body."""
        self.in_head = False
        self._framing_bytes = 0
        self._header_limit = self._header_bytes + self._max_header_bytes

    def add_body(self, part: bytes) -> None:
        """Add a part of the body. Raises MessageTooLargeError."""
        self._framing_bytes = 0
        self._body += part
        if len(self._body) > MAX_BODY_BYTES:
            raise MessageTooLargeError(413, "body too large")
