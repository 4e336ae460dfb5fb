"""Splits a byte stream into JSON objects and empty lines. No I/O."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

from client_proxy.proxy.errors import MalformedMessageError

Json = dict[str, Any]

# JSON strings contain no raw line breaks (RFC 8259, 7), so each line can be tokenized by itself.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')


def nesting(line: bytes) -> int:
    """Return the number of brackets that a line opens, less those that it closes."""
    tokens = [token for token in TOKEN.findall(line) if token[:1] != b'"']
    return sum(1 if token in b"{[" else -1 for token in tokens)


def read_object(text: bytes) -> Json:
    """Parse a text that must be exactly one JSON object. Raises ValueError."""
    try:
        value = json.loads(text)
    except RecursionError:
        raise MalformedMessageError("JSON is nested too deeply") from None
    if not isinstance(value, dict):
        raise MalformedMessageError("not a JSON object")
    return value


class JsonLines:
    """Collects JSON objects, which may span several lines; chunks may end anywhere."""

    def __init__(self, max_object_bytes: int) -> None:
        """Start a stream. `max_object_bytes`: maximum size of one object."""
        self._max_object_bytes = max_object_bytes
        self._line = bytearray()  # received bytes after the last line break
        # Complete lines of an incomplete object. A list of short lines would take many times their size.
        self._object = bytearray()
        self._open_brackets = 0

    def feed(self, data: bytes) -> Iterator[Json | None]:
        """Yield the objects that the next bytes complete, and None for each empty line between objects.

        Raises ValueError if the stream is malformed or an object is too long; the stream is unusable then.
        """
        self._line += data
        *lines, incomplete_line = self._line.split(b"\n")
        self._line = bytearray(incomplete_line)
        for line in lines:
            stripped = bytes(line).strip()
            if not self._object:
                if not stripped:
                    yield None
                    continue
                try:
                    parsed: Json | None = read_object(stripped)
                except ValueError:
                    if nesting(stripped) <= 0:  # all brackets are closed, so no further line can complete it
                        raise
                    parsed = None
                if parsed is not None:
                    yield parsed
                    continue
            self._object += stripped + b"\n"  # empty lines count too, or they would grow without limit
            self._open_brackets += nesting(stripped)
            self._check_size()
            if self._open_brackets <= 0:
                text, self._object = bytes(self._object), bytearray()
                self._open_brackets = 0
                yield read_object(text)
        self._check_size()

    def _check_size(self) -> None:
        if len(self._object) + len(self._line) > self._max_object_bytes:
            raise MalformedMessageError("object too long")
