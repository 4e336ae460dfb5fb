"""Reads the endpoint lists of discovery: whole messages, or texts of which a part is read at a time."""

from __future__ import annotations

import json
import re
from collections.abc import Generator
from dataclasses import dataclass
from math import isfinite
from typing import Any

from client_proxy.address import Address, read_address
from client_proxy.api.events import EndpointState, ListedEndpoint

Json = dict[str, Any]

STATES = {state.value: state for state in EndpointState}
ENTRIES_PER_STEP = 128  # entries that are read or applied before other work gets its turn
MAX_ENTRY_CHARS = 4096  # length of one entry's text
MAX_VALUE_CHARS = 65536  # length of any other value's text
MALFORMED = (KeyError, TypeError, AttributeError, ValueError, OverflowError, RecursionError)
WHITESPACE = re.compile(r"[ \t\n\r]*")
DECODER = json.JSONDecoder()


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A message of discovery: the complete list, or the changes since an earlier one."""

    index: int  # discovery's index of the list
    full: bool  # whether endpoints that are not in it are gone
    endpoints: tuple[ListedEndpoint, ...]
    addresses: tuple[Address, ...]  # of the endpoints, in their order


def read_entry(raw: Json, unix_offset_ms: float) -> tuple[ListedEndpoint, Address]:
    """Reads one endpoint and its address.

    Args:
        raw: The entry as sent.
        unix_offset_ms: Unix time less the time of the process's clock, in ms.

    Raises:
        ValueError: A value is out of range; other exceptions of `MALFORMED` if one has another type.
    """
    since_ms = float(raw.get("since_ms") or 0)
    weight = float(raw.get("weight", 1.0))
    if not isfinite(since_ms) or not 0 <= weight < float("inf"):
        raise ValueError(f"weight or since_ms is not a valid number: {weight}, {since_ms}")
    endpoint = ListedEndpoint(
        name=str(raw["name"]),
        zone=str(raw.get("zone", "")),
        cell=int(raw.get("group", 0)),
        weight=weight,
        # An unknown status, which a later version may add, counts as not ready.
        state=STATES.get(raw.get("status", "ready"), EndpointState.DRAINING),
        started_ms=since_ms - unix_offset_ms if since_ms else None,
    )
    return endpoint, read_address(str(raw["address"]))


def read_list(message: Json, unix_offset_ms: float) -> EndpointList:
    """Reads a decoded message at once. Raises ValueError; for the arguments see `read_entry`."""
    try:
        entries = [read_entry(raw, unix_offset_ms) for raw in message["endpoints"]]
        return _make_list(message["index"], message.get("snapshot"), entries)
    except MALFORMED as error:
        raise ValueError(f"not a list of endpoints: {error!r}") from None


def read_list_text(text: bytes, unix_offset_ms: float) -> Generator[None, None, EndpointList]:
    """Reads the text of a message, and yields after each `ENTRIES_PER_STEP` entries.

    Neither the time between two yields nor the memory beyond the text and what is returned grows with the
    length of the text. Raises ValueError; for the arguments see `read_entry`.
    """
    try:
        return (yield from _ListText(text.decode(), unix_offset_ms).read())
    except MALFORMED as error:
        raise ValueError(f"not a list of endpoints: {error!r}") from None


def _make_list(index: Any, snapshot: Any, entries: list[tuple[ListedEndpoint, Address]]) -> EndpointList:
    endpoints = tuple(endpoint for endpoint, _ in entries)
    return EndpointList(int(index), bool(snapshot), endpoints, tuple(address for _, address in entries))


class _ListText:
    """The text of one message, decoded value by value from its begin."""

    def __init__(self, text: str, unix_offset_ms: float) -> None:
        self._text = text
        self._unix_offset_ms = unix_offset_ms
        self._position = 0

    def read(self) -> Generator[None, None, EndpointList]:
        """Reads the message; yields after each `ENTRIES_PER_STEP` entries."""
        facts: Json = {}
        entries: list[tuple[ListedEndpoint, Address]] | None = None
        self._expect("{")
        more = not self._accept("}")
        while more:
            key = self._value(MAX_VALUE_CHARS)
            self._expect(":")
            if key == "endpoints":
                entries = yield from self._read_entries()
            elif key in ("index", "snapshot"):
                facts[key] = self._value(MAX_VALUE_CHARS)
            else:
                self._value(MAX_VALUE_CHARS)
            more = self._accept(",")
            if not more:
                self._expect("}")
        self._skip_whitespace()
        if self._position != len(self._text):
            raise ValueError("text behind the object")
        if entries is None:
            raise KeyError("endpoints")
        return _make_list(facts["index"], facts.get("snapshot"), entries)

    def _read_entries(self) -> Generator[None, None, list[tuple[ListedEndpoint, Address]]]:
        entries: list[tuple[ListedEndpoint, Address]] = []
        self._expect("[")
        more = not self._accept("]")
        while more:
            entries.append(read_entry(self._value(MAX_ENTRY_CHARS), self._unix_offset_ms))
            if len(entries) % ENTRIES_PER_STEP == 0:
                yield
            more = self._accept(",")
            if not more:
                self._expect("]")
        return entries

    def _skip_whitespace(self) -> None:
        match = WHITESPACE.match(self._text, self._position)
        if match is not None:
            self._position = match.end()

    def _accept(self, char: str) -> bool:
        """Skips a character if it is the next one."""
        self._skip_whitespace()
        if not self._text.startswith(char, self._position):
            return False
        self._position += 1
        return True

    def _expect(self, char: str) -> None:
        if not self._accept(char):
            raise ValueError(f"no {char!r} at character {self._position}")

    def _value(self, max_chars: int) -> Any:
        """Decodes the next value, whose text may have `max_chars` characters."""
        self._skip_whitespace()
        value, length = DECODER.raw_decode(self._text[self._position : self._position + max_chars])
        self._position += length
        return value
