"""The current endpoint list of discovery as the balancer's types, with the address of each endpoint."""

from __future__ import annotations

from math import isfinite
from typing import Any

from client_proxy.address import Address, read_address
from client_proxy.api.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from client_proxy.clock import unix_offset_ms

Json = dict[str, Any]

STATES = {state.value: state for state in EndpointState}


class EndpointDirectory:
    """The endpoint list, updated by the messages of discovery.

    Attributes:
        entries: The endpoints, by name.
        addresses: The address of each endpoint, by name.
        index: Discovery's index of the last message; None: the complete list is needed next.
    """

    def __init__(self, predecessor: EndpointDirectory | None = None) -> None:
        """Makes an empty list. `predecessor`: a list whose clock offset to Unix time is kept."""
        # Determined once: the balancer treats a changed start time as a restart of the endpoint.
        self._unix_offset_ms: float = unix_offset_ms() if predecessor is None else predecessor._unix_offset_ms
        self.entries: dict[str, ListedEndpoint] = {}
        self.addresses: dict[str, Address] = {}
        self.index: int | None = None

    def usable(self) -> bool:
        """Whether any endpoint is ready."""
        return any(entry.state is EndpointState.READY for entry in self.entries.values())

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
        try:
            entries = [
                (self._read_entry(raw), read_address(str(raw["address"]))) for raw in message["endpoints"]
            ]
            full = bool(message.get("snapshot"))
            index = int(message["index"])
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            raise ValueError(f"not a list of endpoints: {error!r}") from None
        if full:
            self.entries.clear()
            self.addresses.clear()
        for entry, address in entries:
            if entry.state is EndpointState.GONE:
                self.entries.pop(entry.name, None)
                self.addresses.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
                self.addresses[entry.name] = address
        self.index = index
        kind = ListKind.RESTORED if restored else ListKind.FULL if full else ListKind.DELTA
        return EndpointsListed(kind, tuple(entry for entry, _ in entries))

    def _read_entry(self, raw: Json) -> ListedEndpoint:
        since_ms = float(raw.get("since_ms") or 0)
        weight = float(raw.get("weight", 1.0))
        if not isfinite(since_ms) or not 0 <= weight < float("inf"):
            raise ValueError(f"weight or since_ms is not a valid number: {weight}, {since_ms}")
        return ListedEndpoint(
            name=str(raw["name"]),
            zone=str(raw.get("zone", "")),
            cell=int(raw.get("group", 0)),
            weight=weight,
            # An unknown status, which a later version may add, counts as not ready.
            state=STATES.get(raw.get("status", "ready"), EndpointState.DRAINING),
            started_ms=since_ms - self._unix_offset_ms if since_ms else None,
        )
