"""Splits a byte stream into the texts of JSON objects and empty lines. No I/O."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

from client_proxy.proxy.errors import MalformedMessageError

Json = dict[str, Any]

ESCAPED_BYTE = re.compile(rb"\\.", re.DOTALL)


def read_object(text: bytes) -> Json:
    """Parse a text that must be exactly one JSON object. Raises ValueError."""
    try:
        value = json.loads(text)
    except RecursionError:
        raise MalformedMessageError("JSON is nested too deeply") from None
    if not isinstance(value, dict):
        raise MalformedMessageError("not a JSON object")
    return value


class JsonTexts:
    """Collects the texts of JSON objects, which may span several lines; chunks may end anywhere.

    The work for each byte is constant, however small the chunks are: a byte is scanned once, when it comes.
    """

    def __init__(self, max_object_bytes: int) -> None:
        """Start a stream. `max_object_bytes`: maximum size of one object."""
        self._max_object_bytes = max_object_bytes
        self._text = bytearray()  # of the incomplete object
        self._open_brackets = 0  # outside of strings
        self._in_string = False
        self._after_backslash = False

    def feed(self, data: bytes) -> Iterator[bytes | None]:
        """Yield the text of each object that the next bytes complete, and None for each empty line between.

        An object ends at the line break behind its last bracket. Its text is not checked beyond that.

        Raises:
            ValueError: The stream is malformed or an object is too long; the stream is unusable then.
        """
        start = 0
        while (end := data.find(b"\n", start)) >= 0:
            self._add(data[start:end])
            start = end + 1
            if self._in_string:
                raise MalformedMessageError("a line break in a string")  # RFC 8259, 7
            if self._open_brackets > 0:
                self._text += b"\n"  # empty lines count too, or they would grow without limit
                self._check_size()
                continue
            text = bytes(self._text).strip()
            self._text.clear()
            self._open_brackets = 0
            yield text or None
        self._add(data[start:])

    def _add(self, fragment: bytes) -> None:
        """Add a part of a line."""
        self._text += fragment
        self._check_size()
        if self._after_backslash or b"\\" in fragment:
            fragment = self._without_escapes(fragment)
        parts = fragment.split(b'"')  # each quotation mark that is left begins or ends a string
        outside = b"".join(parts[1 if self._in_string else 0 :: 2])
        self._open_brackets += outside.count(b"{") + outside.count(b"[")
        self._open_brackets -= outside.count(b"}") + outside.count(b"]")
        if len(parts) % 2 == 0:
            self._in_string = not self._in_string

    def _without_escapes(self, fragment: bytes) -> bytes:
        """Return a fragment without escape sequences, of which one may span two fragments."""
        if self._after_backslash and fragment:
            fragment = fragment[1:]
            self._after_backslash = False
        fragment = ESCAPED_BYTE.sub(b"", fragment)
        if fragment.endswith(b"\\"):
            self._after_backslash = True
        return fragment

    def _check_size(self) -> None:
        if len(self._text) > self._max_object_bytes:
            raise MalformedMessageError("object too long")


class JsonLines:
    """Collects JSON objects from a stream."""

    def __init__(self, max_object_bytes: int) -> None:
        """Start a stream. `max_object_bytes`: maximum size of one object."""
        self._texts = JsonTexts(max_object_bytes)

    def feed(self, data: bytes) -> Iterator[Json | None]:
        """Yield the objects that the next bytes complete, and None for each empty line between objects.

        Raises ValueError if the stream is malformed or an object is too long; the stream is unusable then.
        """
        for text in self._texts.feed(data):
            yield None if text is None else read_object(text)
