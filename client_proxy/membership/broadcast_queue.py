"""Queue of broadcast records, each attached to a limited number of datagrams, the least sent ones first.

This is the infection-style dissemination of SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002, section 4.1), which memberlist implements as its
transmit-limited queue. A newer record of the same topic replaces the older one. Records are grouped into one
level for each number of transmissions, so that the cost of finding the least sent record doesn't depend on
the number of records; otherwise each datagram would require sorting all of them (measured by
`python -m benchmarks.gossip structures`).
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from math import ceil, log10

from client_proxy.membership.codec import pack_record
from client_proxy.membership.messages import Record

RETRANSMIT_MULTIPLIER = 4.0  # transmissions per log10 of the number of members, as in memberlist


def retransmit_limit(members: int) -> int:
    """Return how often each member sends a record, so that the record reaches nearly all members."""
    return ceil(RETRANSMIT_MULTIPLIER * log10(members + 2))


@dataclass(frozen=True, slots=True)
class Topic:
    """The subject of a record: in the queue, a record replaces an older one of the same topic."""

    record_type: type[Record]
    member: int
    accuser: int | None = None  # set for `Suspect` records only, which are kept for each accuser


class BroadcastQueue:
    """A queue of at most `max_records` packed records; when it is full, it drops the one sent most often."""

    def __init__(self, max_records: int) -> None:
        self._max_records = max_records
        self._transmits: dict[Hashable, int] = {}  # by topic
        self._levels: list[OrderedDict[Hashable, bytes]] = []  # by number of transmissions
        self._sizes: Counter[int] = Counter()  # number of records by their length in bytes

    def __len__(self) -> int:
        return len(self._transmits)

    def put(self, topic: Hashable, record: Record) -> None:
        """Add a record, replacing an older one of the same topic."""
        self.discard(topic)
        packed = pack_record(record)
        self._transmits[topic] = 0
        self._level(0)[topic] = packed
        self._sizes[len(packed)] += 1
        if len(self._transmits) > self._max_records:
            most_sent = next(level for level in reversed(self._levels) if level)
            self.discard(next(iter(most_sent)))

    def discard(self, topic: Hashable) -> None:
        """Drop the record of a topic, if there is one."""
        transmits = self._transmits.pop(topic, None)
        if transmits is not None:
            self._remove_size(len(self._levels[transmits].pop(topic)))

    def take(self, room: int, max_transmits: int) -> list[bytes]:
        """Take records to send now, the least sent ones first.

        Args:
            room: the number of bytes available for all of them.
            max_transmits: the number of transmissions after which a record is dropped.

        Returns:
            The packed records.
        """
        taken: list[tuple[Hashable, int]] = []
        packed_records: list[bytes] = []
        smallest = min(self._sizes, default=room + 1)
        for transmits, level in enumerate(self._levels):
            for topic, packed in level.items():
                if room < smallest:
                    break
                if len(packed) <= room:
                    room -= len(packed)
                    taken.append((topic, transmits))
                    packed_records.append(packed)
        for topic, transmits in taken:
            self._count_transmit(topic, transmits, max_transmits)
        return packed_records

    def _count_transmit(self, topic: Hashable, transmits: int, max_transmits: int) -> None:
        packed = self._levels[transmits].pop(topic)
        if transmits + 1 >= max_transmits:
            del self._transmits[topic]
            self._remove_size(len(packed))
        else:
            self._transmits[topic] = transmits + 1
            self._level(transmits + 1)[topic] = packed

    def _level(self, transmits: int) -> OrderedDict[Hashable, bytes]:
        while len(self._levels) <= transmits:
            self._levels.append(OrderedDict())
        return self._levels[transmits]

    def _remove_size(self, size: int) -> None:
        self._sizes[size] -= 1
        if not self._sizes[size]:
            del self._sizes[size]
