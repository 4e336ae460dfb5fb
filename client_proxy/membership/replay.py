"""Protection against replayed datagrams by a sliding window over a sender's counter, without a clock.

Like IPsec's anti-replay window (RFC 4303, 3.4.3), it accepts each counter once and rejects counters that are
too far below the highest one. The counter restarts with each incarnation of a sender; datagrams of an older
incarnation are rejected as replays.
"""

from __future__ import annotations

WINDOW_BITS = 64


class ReplayWindow:
    """The anti-replay window of one sender: which of its latest 64 counters were accepted."""

    __slots__ = ("_accepted", "_highest", "incarnation")

    def __init__(self) -> None:
        self.incarnation = -1
        self._highest = -1
        self._accepted = 0  # bit n is set if the counter `highest - n` was accepted

    def is_new(self, incarnation: int, counter: int) -> bool:
        """Whether `accept` would accept this counter; doesn't change the window."""
        if incarnation != self.incarnation:
            return incarnation > self.incarnation
        behind = self._highest - counter
        return behind < 0 or (behind < WINDOW_BITS and not self._accepted >> behind & 1)

    def accept(self, incarnation: int, counter: int) -> bool:
        """Mark an authenticated datagram as received; returns false if it is a replay or too old."""
        if not self.is_new(incarnation, counter):
            return False
        if incarnation != self.incarnation:
            self.incarnation, self._highest, self._accepted = incarnation, counter, 1
            return True
        ahead = counter - self._highest
        if ahead > 0:
            mask = (1 << WINDOW_BITS) - 1
            self._accepted = (self._accepted << ahead | 1) & mask if ahead < WINDOW_BITS else 1
            self._highest = counter
        else:
            self._accepted |= 1 << -ahead
        return True
