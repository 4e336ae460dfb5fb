"""The order in which members are probed: randomized round robin (SWIM, section 4.3)."""

from __future__ import annotations

from client_proxy.membership.members import Member
from client_proxy.membership.swim_state import SwimState


class ProbeOrder:
    """Randomized round robin: each member is probed once before any member is probed again.

    This bounds the time until a member's death is detected.
    """

    def __init__(self, state: SwimState) -> None:
        self._state = state
        self._numbers: list[int] = []

    def insert(self, number: int) -> None:
        """Insert a new member at a random position of the current round."""
        self._numbers.insert(self._state.random.randint(0, len(self._numbers)), number)

    def next(self) -> Member | None:
        """Return the next member to probe, or None if no member is present."""
        members = self._state.members
        while self._numbers:
            member = members.get(self._numbers.pop())
            if member is not None and member.is_present:
                return member
        self._numbers = [member.number for member in members.present_members()]
        self._state.random.shuffle(self._numbers)
        return members.get(self._numbers.pop()) if self._numbers else None
