"""The clients that make the process hold something that waits, grouped by size.

The one that holds most is found at a constant cost, however many there are.
"""

from __future__ import annotations

from typing import Generic, TypeVar

PeerT = TypeVar("PeerT")


class WaitingClients(Generic[PeerT]):
    """Clients by the power of two of the bytes that they make the process hold."""

    def __init__(self) -> None:
        # Index: number of bits of the size. A dictionary for its order: who has stopped first is first.
        self._groups: list[dict[PeerT, None]] = []

    def resize(self, client: PeerT, old_bytes: int, new_bytes: int) -> None:
        """Change the bytes of a client; 0: it holds nothing."""
        old_group, new_group = old_bytes.bit_length(), new_bytes.bit_length()
        if old_group == new_group:
            return
        if old_bytes:
            del self._groups[old_group][client]
        if new_bytes:
            while len(self._groups) <= new_group:
                self._groups.append({})
            self._groups[new_group][client] = None

    def largest(self) -> PeerT | None:
        """Return a client that holds at least half as much as the one that holds most; None: none holds."""
        while self._groups and not self._groups[-1]:
            self._groups.pop()
        return next(iter(self._groups[-1])) if self._groups else None

    def is_in_largest_group(self, byte_count: int) -> bool:
        """Whether a client with so many bytes may be the one that holds most, by a factor of two."""
        return self.largest() is None or byte_count.bit_length() >= len(self._groups) - 1
