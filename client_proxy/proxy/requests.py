"""Interprets the target and headers of a client's request as the properties that decisions use."""

from __future__ import annotations

import re
from urllib.parse import unquote

from client_proxy.api.settings import Idempotency, RequestClass, Settings
from client_proxy.proxy.errors import BadRequestError
from client_proxy.proxy.messages import ClientRequest, Headers

REWRITTEN_HEADERS = (b"x-expires-in-ms", b"expect")  # written or answered by the proxy itself
# Headers that the proxy interprets. Of two with one name, proxy and endpoint might use different ones.
SINGLE_VALUE_HEADERS = frozenset(
    (b"x-trace-id", b"x-customer", b"x-expires-in-ms", b"x-second-try", b"x-size-hint", b"idempotency-key")
)
# Endpoints close a connection on control characters, and other requests on it would be lost.
UNREADABLE_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
ABSOLUTE_FORM = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)
UNREADABLE_TARGET = re.compile(rb"[^\x21-\x7e]")


def origin_form(target: bytes) -> bytes:
    """Return path and query of a target, which may be in absolute form (RFC 9112, 3.2.2)."""
    match = ABSOLUTE_FORM.match(target)
    if match is None:
        return target
    path_and_query = target[match.end() :]
    return path_and_query if path_and_query.startswith(b"/") else b"/" + path_and_query


def parse_decimal(value: bytes | None) -> float | None:
    """Parse a plain decimal number.

    Other number forms that Python accepts are rejected, as endpoints may read them differently. Raises
    BadRequestError.
    """
    if value is None:
        return None
    if not DECIMAL.fullmatch(value):
        raise BadRequestError(400, "malformed figure")
    return float(value)


def _split_headers(headers: Headers) -> tuple[dict[bytes, bytes], Headers]:
    """Return the header values by lower-case name, and the headers to forward. Raises BadRequestError."""
    values_by_name: dict[bytes, bytes] = {}
    forwarded: Headers = []
    for header in headers:
        lowered = header[0].lower()
        if lowered in values_by_name and lowered in SINGLE_VALUE_HEADERS:
            raise BadRequestError(400, "repeated header")
        values_by_name[lowered] = header[1].strip()
        if lowered not in REWRITTEN_HEADERS:
            forwarded.append(header)
    # One search over all values, joined by a character that is allowed.
    if UNREADABLE_VALUE.search(b" ".join([value for _, value in headers])):
        raise BadRequestError(400, "unreadable header")
    if not values_by_name.get(b"x-trace-id"):
        raise BadRequestError(400, "no X-Trace-Id")
    return values_by_name, forwarded


def _path_parts(target: bytes) -> list[bytes]:
    """Return the non-empty segments of a target's path, at least one. Raises BadRequestError."""
    parts = [part for part in target.split(b"?", 1)[0].split(b"/") if part]
    if not target.startswith(b"/") or not parts or UNREADABLE_TARGET.search(target):
        raise BadRequestError(400, "no class in the path")
    return parts


def _find_class(
    class_name: str, method: bytes, settings: Settings, values_by_name: dict[bytes, bytes]
) -> RequestClass:
    """Return the request's class. Raises BadRequestError if it is unknown or the request does not fit it."""
    cls = next((candidate for candidate in settings.classes if candidate.name == class_name), None)
    if cls is None:
        raise BadRequestError(404, "no such class")
    if method != (b"GET" if cls.idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise BadRequestError(405, "not the method of this class")
    if cls.idempotency is Idempotency.IDEMPOTENCY_KEY and not values_by_name.get(b"idempotency-key"):
        raise BadRequestError(400, "no Idempotency-Key")
    return cls


def read_request(
    method: bytes, target: bytes, headers: Headers, body: bytes, settings: Settings, received_ms: float
) -> ClientRequest:
    """Interpret a request.

    Args:
        method: The HTTP method.
        target: The target in origin form.
        headers: The headers as sent.
        body: The body.
        settings: The settings that define the request classes.
        received_ms: Earliest known arrival time of its last byte.

    Raises:
        BadRequestError: The request violates the protocol, so no endpoint could use it.
    """
    values_by_name, forwarded = _split_headers(headers)
    parts = _path_parts(target)
    class_name = unquote(parts[0].decode("latin-1"))
    cls = _find_class(class_name, method, settings, values_by_name)
    expires_in_ms = parse_decimal(values_by_name.get(b"x-expires-in-ms"))
    hint_us = parse_decimal(values_by_name.get(b"x-size-hint"))
    return ClientRequest(
        method=method,
        target=target,
        headers=forwarded,
        body=body,
        received_ms=received_ms,
        class_name=class_name,
        # A client waits no longer than its class's deadline, even if it states more.
        expires_in_ms=min(cls.deadline_ms, expires_in_ms) if expires_in_ms is not None else None,
        tenant=values_by_name[b"x-customer"].decode("latin-1") if values_by_name.get(b"x-customer") else None,
        key=unquote(parts[-1].decode("latin-1")) if len(parts) > 1 else None,
        work_hint_ms=hint_us / 1000.0 if hint_us else None,
        client_retry=values_by_name.get(b"x-second-try") == b"1",
        trace_id=values_by_name[b"x-trace-id"],
    )
