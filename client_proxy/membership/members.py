"""Bounded table of known members and their states, and cache of their certificates.

If the fleet is larger than the table, each instance keeps the members whose number, hashed together with its
own number, ranks highest (rendezvous hashing: Thaler, Ravishankar, 1998). An instance always keeps the same
members and different instances keep different ones, so that all instances together know the whole fleet and
no member can choose who is kept.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from zlib import crc32

from client_proxy.membership.messages import DIGEST_BUCKETS, MAX_BUCKET_ENTRIES, Alive, Certificate
from client_proxy.membership.replay import ReplayWindow

MAX_CERTIFICATES = 2048  # more than members, so that members without room in the table are included
_NUMBER_PAIR = struct.Struct(">II")


class MemberState(Enum):
    """The state of a member as this instance sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True)
class Member:
    """A known member, with its records and state."""

    certificate: Certificate
    alive: Alive
    state: MemberState = MemberState.ALIVE
    state_since_ms: float = 0.0
    suspected_by: set[int] = field(default_factory=set)
    replay_window: ReplayWindow = field(default_factory=ReplayWindow)
    is_verified: bool = False  # it answered a nonce of this instance, so its records are not replayed ones

    @property
    def number(self) -> int:
        """The member number that the operators assigned."""
        return self.certificate.member

    @property
    def is_present(self) -> bool:
        """Whether it is alive or suspected."""
        return self.state in PRESENT_STATES


class MemberTable:
    """All known members, without this instance itself."""

    def __init__(self, own_number: int, max_members: int) -> None:
        self._own_number, self._max_members = own_number, max_members
        self._members: dict[int, Member] = {}
        self.overflowed = False  # whether a member was rejected or evicted for lack of room

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, number: int) -> Member | None:
        """Return a member, or None if it is not in the table."""
        return self._members.get(number)

    def rank(self, number: int) -> bytes:
        """Return a member's rank for this instance; members of higher rank are kept."""
        return blake2b(_NUMBER_PAIR.pack(self._own_number, number), digest_size=8).digest()

    def add(self, member: Member) -> Member | None:
        """Add a member if there is room, or if it can replace a member that is not present or ranks lower.

        Returns:
            The member that was rejected or evicted, or None if there was room.
        """
        if len(self._members) < self._max_members:
            self._members[member.number] = member
            return None
        self.overflowed = True
        # Dead members are evicted first; otherwise they would exclude living ones.
        lowest = min(self, key=lambda known: (known.is_present, self.rank(known.number)))
        if lowest.is_present and self.rank(lowest.number) > self.rank(member.number):
            return member
        del self._members[lowest.number]
        self._members[member.number] = member
        return lowest

    def remove(self, number: int) -> None:
        """Remove a member if it is in the table."""
        self._members.pop(number, None)

    def present_members(self) -> list[Member]:
        """Return the members that are alive or suspected."""
        return [member for member in self._members.values() if member.is_present]

    def checksums(self, own_incarnation: int) -> tuple[int, ...]:
        """Return for each bucket a checksum over its known members, including this instance."""
        sums = [0] * DIGEST_BUCKETS
        sums[self._own_number % DIGEST_BUCKETS] ^= _checksum(self._own_number, own_incarnation)
        for member in self:
            sums[member.number % DIGEST_BUCKETS] ^= _checksum(member.number, member.alive.incarnation)
        return tuple(sums)

    def bucket_entries(self, bucket: int, own_incarnation: int) -> tuple[tuple[int, int], ...]:
        """Return number and incarnation of the members in a bucket, including this instance."""
        entries = [
            (member.number, member.alive.incarnation)
            for member in self
            if member.number % DIGEST_BUCKETS == bucket
        ]
        if self._own_number % DIGEST_BUCKETS == bucket:
            entries.append((self._own_number, own_incarnation))
        return tuple(sorted(entries)[:MAX_BUCKET_ENTRIES])


def _checksum(number: int, incarnation: int) -> int:
    return crc32(_NUMBER_PAIR.pack(number, incarnation))


class CertificateCache:
    """Bounded cache of verified certificates; the least recently used one is dropped first.

    It includes certificates of members that the table has no room for, since these may be observers too.
    """

    def __init__(self, max_certificates: int = MAX_CERTIFICATES) -> None:
        self._max_certificates = max_certificates
        self._certificates: OrderedDict[int, Certificate] = OrderedDict()  # by member

    def __len__(self) -> int:
        return len(self._certificates)

    def get(self, number: int) -> Certificate | None:
        """Return a member's certificate, or None if it is not known."""
        certificate = self._certificates.get(number)
        if certificate is not None:
            self._certificates.move_to_end(number)
        return certificate

    def put(self, certificate: Certificate) -> None:
        """Store a certificate, replacing an earlier one of the same member."""
        self._certificates[certificate.member] = certificate
        self._certificates.move_to_end(certificate.member)
        if len(self._certificates) > self._max_certificates:
            self._certificates.popitem(last=False)

    def retain_authorities(self, authorities: set[int]) -> None:
        """Drop all certificates except those of the given authorities."""
        retired = [
            number
            for number, certificate in self._certificates.items()
            if certificate.authority not in authorities
        ]
        for number in retired:
            del self._certificates[number]
