"""The records of the gossip protocol as immutable types, with their limits and signed bytes.

The codec (`codec.py`) encodes and decodes them. Three record types carry an Ed25519 signature (RFC 8032), so
that other members can forward them but cannot change them: an authority signs a `Certificate`, and a member
signs its own `Alive` and `ObservationReport` records.
"""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from client_proxy.address import Address

MAX_U8, MAX_U32 = 0xFF, 0xFFFFFFFF
SIGNATURE_BYTES = 64
PUBLIC_KEY_BYTES = 32
HOST_BYTES = 16  # size of an IP address on the wire
DIGEST_BUCKETS = 16  # a member belongs to the bucket of its number modulo this
MAX_OBSERVED_SERVERS = 8  # observations in one report
MAX_BUCKET_ENTRIES = 24  # members in one bucket summary
MAX_REQUESTED_MEMBERS = 32  # members in one member request
MAX_HINTED_ADDRESSES = 10  # addresses in one record of address hints

CERTIFICATE_LAYOUT = struct.Struct(">IIHB32s64s")
ALIVE_LAYOUT = struct.Struct(">IIIBH16s")
REPORT_LAYOUT = struct.Struct(">IIIB")
OBSERVATION_LAYOUT = struct.Struct(">IBBBBBB")
_SIGNED_CERTIFICATE_LAYOUT = struct.Struct(">IIHB32s")


def name_tag(name: str) -> int:
    """Return the tag that replaces a server's or a zone's name on the wire: 4 bytes of its BLAKE2b hash.

    Among ten thousand names, two share a tag in about one fleet out of a hundred; code that looks names up by
    tag must ignore both of these names.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def class_tag(name: str) -> int:
    """Return the tag of a request class on the wire, from 1 to 255, as 0 means all classes."""
    return 1 + blake2b(name.encode(), digest_size=1).digest()[0] % MAX_U8


@lru_cache(4096)
def pack_host(host: str) -> bytes:
    """Return an IP address as 16 bytes; an IPv4 address becomes an IPv4-mapped one (RFC 4291, 2.5.5.2)."""
    address = ipaddress.ip_address(host)
    if address.version == 4:
        return b"\0" * 10 + b"\xff\xff" + address.packed
    return address.packed


@lru_cache(4096)
def unpack_host(packed: bytes) -> str:
    """Return the IP address that `pack_host` encoded, as text."""
    address = ipaddress.IPv6Address(packed)
    return str(address.ipv4_mapped or address)


@dataclass(frozen=True, slots=True)
class Ping:
    """A probe with a random nonce, to be answered by an `Ack` with the same nonce."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to a `Ping`, or to a `PingRequest` if the probed member answered."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Nack:
    """A helper's notice that the probed member has not answered it yet (Lifeguard).

    It shows the requester that its own network connection works.
    """

    nonce: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """A request to probe a member on behalf of the sender (SWIM's ping-req)."""

    nonce: int
    member: int


@dataclass(frozen=True, slots=True)
class Suspect:
    """A statement that `accuser` got no answer from `member` in this incarnation."""

    member: int
    incarnation: int
    accuser: int


@dataclass(frozen=True, slots=True)
class Certificate:
    """A member's zone and public key, signed by an authority of the operators.

    A certificate of a higher epoch replaces an earlier one.
    """

    member: int
    zone: int  # `name_tag` of the zone's name
    epoch: int
    authority: int  # number of the authority whose key signed it
    public_key: bytes
    signature: bytes

    @property
    def signed_bytes(self) -> bytes:
        """What the authority's signature covers."""
        return b"card" + _SIGNED_CERTIFICATE_LAYOUT.pack(
            self.member, self.zone, self.epoch, self.authority, self.public_key
        )


@dataclass(frozen=True, slots=True)
class Alive:
    """A member's signed statement about itself: its address, and whether it has left.

    Only the member can raise its incarnation. `boot_id` is random for each start: when a member receives its
    own record with the same incarnation and another boot id, it ran before and must raise its incarnation.
    """

    member: int
    incarnation: int
    boot_id: int
    host: str
    port: int
    has_left: bool
    signature: bytes

    @property
    def address(self) -> Address:
        """The member's IP address and port."""
        return self.host, self.port

    @property
    def signed_bytes(self) -> bytes:
        """What the member's signature covers."""
        return b"alive" + self.pack_unsigned()

    def pack_unsigned(self) -> bytes:
        """Return the record's bytes on the wire, without its signature."""
        return ALIVE_LAYOUT.pack(
            self.member, self.incarnation, self.boot_id, self.has_left, self.port, pack_host(self.host)
        )


@dataclass(frozen=True, slots=True)
class ServerObservation:
    """An observer's recent attempt counts for one server and one request class, or all classes together."""

    server_tag: int  # `name_tag` of the server's name
    class_tag: int  # `class_tag` of the request class; 0 for all classes together
    attempts: int  # number of attempts, up to 255
    failed: int  # attempts that ended in an error response, a reset or a failed connect
    unanswered: int  # attempts that timed out without an answer
    slowness: int  # mean latency of served attempts over the unloaded latency, in sixteenths; 0: none served
    age: int  # tenths of a second since the last attempt ended

    @property
    def failure_share(self) -> float:
        """The share of attempts that failed or got no answer."""
        return (self.failed + self.unanswered) / self.attempts


@dataclass(frozen=True, slots=True)
class ObservationReport:
    """An observer's signed observations of servers.

    A report with a higher `sequence` replaces an earlier one. Two different reports with the same sequence
    number prove that the observer equivocates: it sends different reports to different members.
    """

    observer: int
    incarnation: int
    sequence: int
    observations: tuple[ServerObservation, ...]
    signature: bytes

    @property
    def signed_bytes(self) -> bytes:
        """What the observer's signature covers."""
        return b"seen" + self.pack_unsigned()

    def pack_unsigned(self) -> bytes:
        """Return the record's bytes on the wire, without its signature."""
        head = REPORT_LAYOUT.pack(self.observer, self.incarnation, self.sequence, len(self.observations))
        packed_observations = (
            OBSERVATION_LAYOUT.pack(
                observation.server_tag,
                observation.class_tag,
                observation.attempts,
                observation.failed,
                observation.unanswered,
                observation.slowness,
                observation.age,
            )
            for observation in self.observations
        )
        return head + b"".join(packed_observations)


@dataclass(frozen=True, slots=True)
class MemberRequest:
    """A request for the `Certificate` and `Alive` records of these members."""

    members: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """A checksum over the known members of each bucket of member numbers."""

    checksums: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BucketSummary:
    """The known members of one bucket, each with its incarnation."""

    bucket: int
    entries: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class AddressHints:
    """Unverified addresses of members, to be contacted by a member that knows too few others."""

    addresses: tuple[Address, ...]


Record = (
    Ping
    | Ack
    | Nack
    | PingRequest
    | Suspect
    | Certificate
    | Alive
    | ObservationReport
    | MemberRequest
    | Digest
    | BucketSummary
    | AddressHints
)


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a datagram, which precedes its records."""

    group_key: int  # number of the group key that the MAC is computed with
    sender: int
    incarnation: int
    counter: int


@dataclass(frozen=True, slots=True)
class Datagram:
    """A decoded datagram with a valid MAC."""

    header: Header
    records: tuple[Record, ...]
