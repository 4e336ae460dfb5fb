"""Encodes typed records as gossip datagrams and decodes them.

A datagram is at most 256 bytes, which is the platform's limit:

    version u8 | group key u8 | sender u32 | incarnation u32 | counter u32 | records ... | MAC, 16 bytes

All numbers are big-endian. The MAC is keyed BLAKE2b (RFC 7693) over everything before it. It proves that the
sender holds a group key, but not its identity: any member could write another's number. Therefore a member
signs its statements about itself and about servers separately (`messages.py`). No datagram contains a time of
day.

`decode` returns all records or raises `WireError`; it never returns part of a datagram.
"""

from __future__ import annotations

import hmac
import struct
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from client_proxy.membership.errors import DatagramTooLongError, WireError
from client_proxy.membership.messages import (
    ALIVE_LAYOUT,
    CERTIFICATE_LAYOUT,
    DIGEST_BUCKETS,
    HOST_BYTES,
    MAX_BUCKET_ENTRIES,
    MAX_HINTED_ADDRESSES,
    MAX_OBSERVED_SERVERS,
    MAX_REQUESTED_MEMBERS,
    OBSERVATION_LAYOUT,
    REPORT_LAYOUT,
    SIGNATURE_BYTES,
    Ack,
    AddressHints,
    Alive,
    BucketSummary,
    Certificate,
    Datagram,
    Digest,
    Header,
    MemberRequest,
    Nack,
    ObservationReport,
    Ping,
    PingRequest,
    Record,
    ServerObservation,
    Suspect,
    pack_host,
    unpack_host,
)

VERSION = 1
MAX_DATAGRAM_BYTES = 256
MAC_BYTES = 16
_HEADER = struct.Struct(">BBIII")
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - _HEADER.size - MAC_BYTES  # bytes available for the records

_U32 = struct.Struct(">I")
_PORT = struct.Struct(">H")
_U32_PAIR = struct.Struct(">II")
_U32_TRIPLE = struct.Struct(">III")


class _Reader:
    """Reads a datagram's body sequentially."""

    def __init__(self, data: bytes) -> None:
        self._data, self._position = data, 0

    @property
    def has_more(self) -> bool:
        return self._position < len(self._data)

    def take(self, size: int) -> bytes:
        taken = self._data[self._position : self._position + size]
        if len(taken) < size:
            raise WireError("truncated record")
        self._position += size
        return taken

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        return layout.unpack(self.take(layout.size))

    def u8(self) -> int:
        return self.take(1)[0]

    def u32(self) -> int:
        number: int = self.unpack(_U32)[0]
        return number


# Encoding and decoding of each record type's body


def _write_nonce(record: Ping | Ack | Nack) -> bytes:
    return _U32.pack(record.nonce)


def _read_ping(reader: _Reader) -> Ping:
    return Ping(reader.u32())


def _read_ack(reader: _Reader) -> Ack:
    return Ack(reader.u32())


def _read_nack(reader: _Reader) -> Nack:
    return Nack(reader.u32())


def _write_ping_request(record: PingRequest) -> bytes:
    return _U32_PAIR.pack(record.nonce, record.member)


def _read_ping_request(reader: _Reader) -> PingRequest:
    return PingRequest(*reader.unpack(_U32_PAIR))


def _write_suspect(record: Suspect) -> bytes:
    return _U32_TRIPLE.pack(record.member, record.incarnation, record.accuser)


def _read_suspect(reader: _Reader) -> Suspect:
    return Suspect(*reader.unpack(_U32_TRIPLE))


def _write_certificate(record: Certificate) -> bytes:
    return CERTIFICATE_LAYOUT.pack(
        record.member, record.zone, record.epoch, record.authority, record.public_key, record.signature
    )


def _read_certificate(reader: _Reader) -> Certificate:
    return Certificate(*reader.unpack(CERTIFICATE_LAYOUT))


def _write_with_signature(record: Alive | ObservationReport) -> bytes:
    return record.pack_unsigned() + record.signature


def _read_alive(reader: _Reader) -> Alive:
    member, incarnation, boot_id, has_left, port, host = reader.unpack(ALIVE_LAYOUT)
    if has_left > 1:
        raise WireError(f"Alive record: the has_left flag is {has_left}, not 0 or 1")
    signature = reader.take(SIGNATURE_BYTES)
    return Alive(member, incarnation, boot_id, unpack_host(host), port, bool(has_left), signature)


def _read_report(reader: _Reader) -> ObservationReport:
    observer, incarnation, sequence, count = reader.unpack(REPORT_LAYOUT)
    if count > MAX_OBSERVED_SERVERS:
        raise WireError(f"observation report: {count} servers, at most {MAX_OBSERVED_SERVERS} are allowed")
    observations = tuple(ServerObservation(*reader.unpack(OBSERVATION_LAYOUT)) for _ in range(count))
    if any(
        observation.failed + observation.unanswered > observation.attempts or not observation.attempts
        for observation in observations
    ):
        raise WireError("observation report: no attempts, or more failures than attempts")
    return ObservationReport(observer, incarnation, sequence, observations, reader.take(SIGNATURE_BYTES))


def _write_member_request(record: MemberRequest) -> bytes:
    return bytes([len(record.members)]) + b"".join(map(_U32.pack, record.members))


def _read_member_request(reader: _Reader) -> MemberRequest:
    count = reader.u8()
    if count > MAX_REQUESTED_MEMBERS:
        raise WireError(f"member request: {count} members, at most {MAX_REQUESTED_MEMBERS} are allowed")
    return MemberRequest(tuple(reader.u32() for _ in range(count)))


def _write_digest(record: Digest) -> bytes:
    return b"".join(map(_U32.pack, record.checksums))


def _read_digest(reader: _Reader) -> Digest:
    return Digest(tuple(reader.u32() for _ in range(DIGEST_BUCKETS)))


def _write_bucket_summary(record: BucketSummary) -> bytes:
    pairs = (_U32_PAIR.pack(member, incarnation) for member, incarnation in record.entries)
    return bytes([record.bucket, len(record.entries)]) + b"".join(pairs)


def _read_bucket_summary(reader: _Reader) -> BucketSummary:
    bucket, count = reader.u8(), reader.u8()
    if bucket >= DIGEST_BUCKETS or count > MAX_BUCKET_ENTRIES:
        raise WireError(f"bucket summary: bucket {bucket} with {count} members is out of range")
    pairs = (reader.unpack(_U32_PAIR) for _ in range(count))
    return BucketSummary(bucket, tuple((member, incarnation) for member, incarnation in pairs))


def _write_address_hints(record: AddressHints) -> bytes:
    packed = (pack_host(host) + _PORT.pack(port) for host, port in record.addresses)
    return bytes([len(record.addresses)]) + b"".join(packed)


def _read_address_hints(reader: _Reader) -> AddressHints:
    count = reader.u8()
    if count > MAX_HINTED_ADDRESSES:
        raise WireError(f"address hints: {count} addresses, at most {MAX_HINTED_ADDRESSES} are allowed")
    return AddressHints(
        tuple((unpack_host(reader.take(HOST_BYTES)), reader.unpack(_PORT)[0]) for _ in range(count))
    )


@dataclass(frozen=True, slots=True)
class _RecordCodec:
    record_type: type
    write: Callable[[Any], bytes]
    read: Callable[[_Reader], Record]


_CODECS = (
    _RecordCodec(Ping, _write_nonce, _read_ping),
    _RecordCodec(Ack, _write_nonce, _read_ack),
    _RecordCodec(Nack, _write_nonce, _read_nack),
    _RecordCodec(PingRequest, _write_ping_request, _read_ping_request),
    _RecordCodec(Suspect, _write_suspect, _read_suspect),
    _RecordCodec(Certificate, _write_certificate, _read_certificate),
    _RecordCodec(Alive, _write_with_signature, _read_alive),
    _RecordCodec(ObservationReport, _write_with_signature, _read_report),
    _RecordCodec(MemberRequest, _write_member_request, _read_member_request),
    _RecordCodec(Digest, _write_digest, _read_digest),
    _RecordCodec(BucketSummary, _write_bucket_summary, _read_bucket_summary),
    _RecordCodec(AddressHints, _write_address_hints, _read_address_hints),
)
"""The order is part of the wire format: a record's first byte is its position here, counted from 1."""

_CODEC_BY_KIND = dict(enumerate(_CODECS, start=1))
_KIND_BY_TYPE = {codec.record_type: kind for kind, codec in _CODEC_BY_KIND.items()}


def pack_record(record: Record) -> bytes:
    """Return the encoded record, which begins with its kind.

    Raises:
        struct.error: a number is out of the range of its field.
    """
    kind = _KIND_BY_TYPE[type(record)]
    return bytes([kind]) + _CODEC_BY_KIND[kind].write(record)


def _read_record(reader: _Reader) -> Record:
    kind = reader.u8()
    codec = _CODEC_BY_KIND.get(kind)
    if codec is None:
        raise WireError(f"unknown record kind {kind}")
    return codec.read(reader)


def compute_mac(key: bytes, data: bytes) -> bytes:
    """Return the MAC of `data` under a group key."""
    return blake2b(data, key=key, digest_size=MAC_BYTES).digest()


def encode(header: Header, packed_records: Sequence[bytes], key: bytes) -> bytes:
    """Return a datagram of records that were encoded by `pack_record`.

    Raises:
        DatagramTooLongError: the datagram would be longer than `MAX_DATAGRAM_BYTES`.
    """
    head = _HEADER.pack(VERSION, header.group_key, header.sender, header.incarnation, header.counter)
    data = head + b"".join(packed_records)
    if len(data) + MAC_BYTES > MAX_DATAGRAM_BYTES:
        raise DatagramTooLongError(
            f"the datagram is {len(data) + MAC_BYTES} bytes long, at most {MAX_DATAGRAM_BYTES} are allowed"
        )
    return data + compute_mac(key, data)


def parse_header(data: bytes) -> Header:
    """Return the header of a datagram without checking its MAC.

    Raises:
        WireError: the datagram's length or protocol version is not allowed.
    """
    if not _HEADER.size + MAC_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        raise WireError(f"invalid datagram length of {len(data)} bytes")
    version, group_key, sender, incarnation, counter = _HEADER.unpack_from(data)
    if version != VERSION:
        raise WireError(f"unsupported protocol version {version}, expected {VERSION}")
    return Header(group_key, sender, incarnation, counter)


def decode(data: bytes, group_keys: Mapping[int, bytes]) -> Datagram:
    """Check a datagram's MAC and parse its records.

    Args:
        data: the datagram.
        group_keys: the currently valid group keys, by number.

    Raises:
        WireError: the datagram is malformed, or no valid group key authenticates it.
    """
    header = parse_header(data)
    key = group_keys.get(header.group_key)
    if key is None:
        raise WireError(f"group key {header.group_key} is not known")
    body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
    if not hmac.compare_digest(compute_mac(key, body), mac):
        raise WireError("the MAC is wrong")
    reader = _Reader(body[_HEADER.size :])
    records = []
    while reader.has_more:
        records.append(_read_record(reader))
    return Datagram(header, tuple(records))
