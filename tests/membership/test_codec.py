"""Tests of the codec: encoded records are decoded unchanged, and invalid bytes raise `WireError`."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.membership.codec import (
    MAC_BYTES,
    MAX_BODY_BYTES,
    MAX_DATAGRAM_BYTES,
    compute_mac,
    decode,
    encode,
    pack_record,
)
from client_proxy.membership.errors import WireError
from client_proxy.membership.messages import (
    DIGEST_BUCKETS,
    MAX_BUCKET_ENTRIES,
    MAX_HINTED_ADDRESSES,
    MAX_OBSERVED_SERVERS,
    MAX_REQUESTED_MEMBERS,
    Ack,
    AddressHints,
    Alive,
    BucketSummary,
    Certificate,
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
    class_tag,
    name_tag,
)
from tests.support.fixed_draws import fixed_draws

KEYS = {1: b"k" * 32, 2: b"l" * 32}
settings.register_profile("same", derandomize=True, deadline=None, max_examples=150)
settings.load_profile("same")

u8, u16, u32 = (st.integers(0, 2**bits - 1) for bits in (8, 16, 32))
hosts = st.one_of(
    st.ip_addresses(v=4).map(str),
    # An IPv4-mapped IPv6 address is decoded as its IPv4 address.
    st.ip_addresses(v=6).filter(lambda a: getattr(a, "ipv4_mapped", None) is None).map(str),
)


def fixed_size_bytes(size: int) -> st.SearchStrategy[bytes]:
    return st.binary(min_size=size, max_size=size)


@st.composite
def observations(draw: Any) -> ServerObservation:
    attempts = draw(st.integers(1, 255))
    failed = draw(st.integers(0, attempts))
    unanswered = draw(st.integers(0, attempts - failed))
    return ServerObservation(draw(u32), draw(u8), attempts, failed, unanswered, draw(u8), draw(u8))


records: st.SearchStrategy[Record] = st.one_of(
    st.builds(Ping, u32),
    st.builds(Ack, u32),
    st.builds(Nack, u32),
    st.builds(PingRequest, u32, u32),
    st.builds(Suspect, u32, u32, u32),
    st.builds(Certificate, u32, u32, u16, u8, fixed_size_bytes(32), fixed_size_bytes(64)),
    st.builds(Alive, u32, u32, u32, hosts, u16, st.booleans(), fixed_size_bytes(64)),
    st.builds(
        ObservationReport,
        u32,
        u32,
        u32,
        st.lists(observations(), max_size=MAX_OBSERVED_SERVERS).map(tuple),
        fixed_size_bytes(64),
    ),
    st.builds(MemberRequest, st.lists(u32, max_size=MAX_REQUESTED_MEMBERS).map(tuple)),
    st.builds(Digest, st.lists(u32, min_size=DIGEST_BUCKETS, max_size=DIGEST_BUCKETS).map(tuple)),
    st.builds(
        BucketSummary,
        st.integers(0, DIGEST_BUCKETS - 1),
        st.lists(st.tuples(u32, u32), max_size=MAX_BUCKET_ENTRIES).map(tuple),
    ),
)
records = st.one_of(
    records,
    st.builds(AddressHints, st.lists(st.tuples(hosts, u16), max_size=MAX_HINTED_ADDRESSES).map(tuple)),
)
headers = st.builds(Header, st.sampled_from([1, 2]), u32, u32, u32)


def encode_records(header: Header, *records_to_encode: Record) -> bytes:
    return encode(header, [pack_record(record) for record in records_to_encode], KEYS[header.group_key])


@fixed_draws("what_is_written_is_read_back")
@given(headers, st.lists(records, max_size=6))
def test_encoded_records_are_decoded(header: Header, drawn: list[Record]) -> None:
    fitting: list[Record] = []
    for record in drawn:
        if sum(len(pack_record(other)) for other in [*fitting, record]) <= MAX_BODY_BYTES:
            fitting.append(record)
    data = encode_records(header, *fitting)
    assert len(data) <= MAX_DATAGRAM_BYTES
    read = decode(data, KEYS)
    assert read.header == header
    assert list(read.records) == fitting


@fixed_draws("every_record_fits_a_datagram")
@given(records)
def test_every_record_fits_a_datagram(record: Record) -> None:
    assert len(pack_record(record)) <= MAX_BODY_BYTES


@fixed_draws("noise_is_turned_away")
@given(st.binary(max_size=300))
def test_noise_is_rejected(data: bytes) -> None:
    with pytest.raises(WireError):
        decode(data, KEYS)


@fixed_draws("noise_with_a_valid_mac_ends_in_records_or_one_error")
@given(headers, st.binary(max_size=MAX_BODY_BYTES))
def test_noise_with_a_valid_mac_is_decoded_or_rejected(header: Header, body: bytes) -> None:
    """Cover what a member with a valid group key can send."""
    data = encode(header, [body], KEYS[header.group_key])
    try:
        read = decode(data, KEYS)
    except WireError:
        return
    assert b"".join(map(pack_record, read.records)) == body


@fixed_draws("one_flipped_bit_or_a_cut_is_turned_away")
@given(headers, records, st.data())
def test_flipped_bit_or_wrong_length_is_rejected(header: Header, record: Record, data: st.DataObject) -> None:
    datagram = encode_records(header, record)
    bit = data.draw(st.integers(0, 8 * len(datagram) - 1))
    flipped = bytearray(datagram)
    flipped[bit // 8] ^= 1 << bit % 8
    length = data.draw(st.integers(0, len(datagram) - 1))
    for contradicting in (bytes(flipped), datagram[:length], datagram + b"\0"):
        with pytest.raises(WireError):
            decode(contradicting, KEYS)


def test_retired_group_key_is_rejected() -> None:
    data = encode_records(Header(2, 7, 1, 1), Ping(5))
    assert decode(data, KEYS).records == (Ping(5),)
    with pytest.raises(WireError, match="group key 2"):
        decode(data, {1: KEYS[1]})


def test_contradicting_counts_are_rejected() -> None:
    contradicting = ObservationReport(1, 1, 1, (ServerObservation(1, 0, 3, 2, 2, 0, 0),), b"s" * 64)
    empty = ObservationReport(1, 1, 1, (ServerObservation(1, 0, 0, 0, 0, 0, 0),), b"s" * 64)
    for record in (contradicting, empty):
        with pytest.raises(WireError, match="more failures"):
            decode(encode_records(Header(1, 7, 1, 1), record), KEYS)


def test_mac_covers_every_byte_before_it() -> None:
    data = encode_records(Header(1, 7, 1, 1), Ping(5))
    assert (
        data[-MAC_BYTES:]
        == compute_mac(KEYS[1], data[:-MAC_BYTES])
        != compute_mac(KEYS[2], data[:-MAC_BYTES])
    )


def test_too_long_datagram_is_not_encoded() -> None:
    with pytest.raises(ValueError, match="the datagram is 257 bytes long"):
        encode(Header(1, 1, 1, 1), [b"x" * (MAX_BODY_BYTES + 1)], KEYS[1])


def test_tags_are_stable_and_no_class_has_the_tag_of_all() -> None:
    assert name_tag("lozenets-1") == name_tag("lozenets-1") != name_tag("lozenets-2")
    assert all(class_tag(f"class {n}") for n in range(2000))
