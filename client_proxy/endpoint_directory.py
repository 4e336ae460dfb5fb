"""The current endpoint list of discovery as the balancer's types, with the address of each endpoint."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from client_proxy.address import Address
from client_proxy.api.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from client_proxy.clock import unix_offset_ms
from client_proxy.endpoint_list import EndpointList, read_list, read_list_text

Json = dict[str, Any]

DEFAULT_MAX_ENTRIES = 16384  # endpoints that may be known at once


class EndpointDirectory:
    """The endpoint list, updated by the messages of discovery.

    Attributes:
        entries: The endpoints, by name.
        addresses: The address of each endpoint, by name.
        index: Discovery's index of the last message; None: the complete list is needed next.
    """

    def __init__(
        self, predecessor: EndpointDirectory | None = None, max_entries: int = DEFAULT_MAX_ENTRIES
    ) -> None:
        """Makes an empty list.

        Args:
            predecessor: A list whose clock offset to Unix time and `max_entries` are kept.
            max_entries: Most endpoints that may be known at once.
        """
        self._max_entries: int = max_entries if predecessor is None else predecessor._max_entries
        # Determined once: the balancer treats a changed start time as a restart of the endpoint.
        self._unix_offset_ms: float = unix_offset_ms() if predecessor is None else predecessor._unix_offset_ms
        self.entries: dict[str, ListedEndpoint] = {}
        self.addresses: dict[str, Address] = {}
        self._ready_count = 0
        self.index: int | None = None

    def usable(self) -> bool:
        """Whether any endpoint is ready."""
        return self._ready_count > 0

    def apply(self, message: Json, restored: bool = False) -> EndpointsListed:
        """Applies a message of discovery, completely or not at all.

        Args:
            message: The message.
            restored: The message is the last known list of before a restart, not a current one.

        Returns:
            The change as an event for the balancer.

        Raises:
            ValueError: The message is not a list of endpoints; nothing has changed.
        """
        return self.apply_list(read_list(message, self._unix_offset_ms), restored)

    def _check_count(self, message: EndpointList) -> None:
        """Raises ValueError if more endpoints would be known than may be."""
        known = frozenset() if message.full else self.entries.keys()
        count = len(known) + len(message.endpoints)
        if count > self._max_entries:  # counted exactly only where it matters
            named = {entry.name for entry in message.endpoints}
            gone = {entry.name for entry in message.endpoints if entry.state is EndpointState.GONE}
            count = len((known | named) - gone)
        if count > self._max_entries:
            raise ValueError(f"{count} endpoints, {self._max_entries} at most")

    def read_text(self, text: bytes) -> Generator[None, None, EndpointList]:
        """Reads the text of a message in steps, without applying it; see `read_list_text`."""
        return read_list_text(text, self._unix_offset_ms)

    def apply_list(self, message: EndpointList, restored: bool = False) -> EndpointsListed:
        """Applies a message that has been read; for the rest see `apply`."""
        self._check_count(message)
        if message.full:
            self.entries.clear()
            self.addresses.clear()
            self._ready_count = 0
        for entry, address in zip(message.endpoints, message.addresses, strict=True):
            previous = self.entries.get(entry.name)
            self._ready_count -= previous is not None and previous.state is EndpointState.READY
            self._ready_count += entry.state is EndpointState.READY
            if entry.state is EndpointState.GONE:
                self.entries.pop(entry.name, None)
                self.addresses.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
                self.addresses[entry.name] = address
        self.index = message.index
        kind = ListKind.RESTORED if restored else ListKind.FULL if message.full else ListKind.DELTA
        return EndpointsListed(kind, message.endpoints)
