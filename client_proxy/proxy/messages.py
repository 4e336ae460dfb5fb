"""Requests and responses inside the proxy, and their encoding."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from hashlib import blake2b

MAX_BODY_BYTES = 64 * 1024  # largest body of a request or a response

# Hop-by-hop headers (RFC 9110, 7.6.1), and Content-Length, which the proxy writes itself.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)

# Forwarded even if `Connection` names them: endpoints deduplicate and identify requests by these.
ALWAYS_FORWARDED = frozenset((b"x-trace-id", b"idempotency-key"))

Headers = list[tuple[bytes, bytes]]

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def end_to_end_headers(headers: Headers, excluded: Collection[bytes] = ()) -> Headers:
    """Return the headers to forward (RFC 9110, 7.6.1).

    Args:
        headers: The headers of one message.
        excluded: Further names to leave out, in lower case.
    """
    kept: Headers = []
    connection_options: set[bytes] | None = None
    for name, value in headers:
        lowered = name.lower()
        if lowered == b"connection":
            connection_options = connection_options or set()
            connection_options.update(token.strip().lower() for token in value.split(b","))
        elif lowered not in HOP_BY_HOP and lowered not in excluded:
            kept.append((name, value))
    if connection_options is None:  # the usual case, without a Connection header
        return kept
    connection_options -= ALWAYS_FORWARDED
    return [(name, value) for name, value in kept if name.lower() not in connection_options]


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A complete request of a client, with its headers interpreted."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_ms: float  # earliest known arrival time of its last byte
    class_name: str
    expires_in_ms: float | None = None
    tenant: str | None = None
    key: str | None = None
    work_hint_ms: float | None = None
    client_retry: bool = False
    trace_id: bytes = b""
    held_bytes: int = 0  # memory of target, headers and body as sent; an upper estimate
    head: bytes = field(default=b"")  # cached encoding up to the X-Expires-In-Ms header

    def fingerprint(self) -> bytes:
        """Return a 16-byte hash that is equal for a client's request and its client retries.

        Keeping thousands of bodies to compare them would take too much memory.
        """
        idempotency_key = next(
            (value for name, value in self.headers if name.lower() == b"idempotency-key"), b""
        )
        digest = blake2b(digest_size=16)
        for part in (self.method, self.target, idempotency_key, self.body):
            digest.update(b"%d:" % len(part) + part)
        return digest.digest()

    def encode(self, remaining_ms: float) -> bytes:
        """Encode the request for an endpoint. `remaining_ms`: time until the attempt's deadline."""
        if not self.head:
            lines = [self.method + b" " + self.target + b" HTTP/1.1"]
            lines += [name + b": " + value for name, value in end_to_end_headers(self.headers)]
            if self.body or self.method != b"GET":
                lines.append(b"Content-Length: %d" % len(self.body))
            self.head = b"\r\n".join(lines)
        return b"%b\r\nX-Expires-In-Ms: %d\r\n\r\n%b" % (self.head, max(1, int(remaining_ms)), self.body)


@dataclass(slots=True, eq=False)
class UpstreamResponse:
    """A complete response of an endpoint."""

    status: int
    headers: Headers
    body: bytes


def encode_response(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    """Encode a response for a client. `close`: it is the last on its connection."""
    lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b"Unknown"))]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"Content-Length: %d" % len(body))
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
