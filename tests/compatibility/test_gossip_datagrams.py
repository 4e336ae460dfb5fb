"""Gossip datagrams, the signed bytes of records and the key file are those of the frozen samples."""

from __future__ import annotations

import typing

import pytest

from client_proxy.membership import codec, keys, messages
from tests.compatibility import edge_objects as objects

RECORDS = objects.gossip_records() | objects.gossip_variants()


def encoded(record: messages.Record) -> bytes:
    return codec.encode(objects.gossip_header(), [codec.pack_record(record)], objects.GROUP_KEY)


def test_every_record_type_has_a_sample() -> None:
    assert {type(record) for record in objects.gossip_records().values()} == set(
        typing.get_args(messages.Record)
    )


def test_record_types_are_numbered_from_one_in_the_order_of_the_samples() -> None:
    kinds = [codec.pack_record(record)[0] for record in objects.gossip_records().values()]
    assert kinds == list(range(1, 13))


@pytest.mark.parametrize("name", RECORDS)
def test_a_record_encodes_to_its_sample(name: str) -> None:
    assert encoded(RECORDS[name]) == objects.sample(f"gossip_{name}.bin")


@pytest.mark.parametrize("name", RECORDS)
def test_a_sample_decodes_to_its_record(name: str) -> None:
    datagram = codec.decode(
        objects.sample(f"gossip_{name}.bin"), {objects.GROUP_KEY_NUMBER: objects.GROUP_KEY}
    )
    assert datagram == messages.Datagram(objects.gossip_header(), (RECORDS[name],))


def test_a_datagram_with_several_records_equals_its_sample() -> None:
    names = ("ping", "suspect", "have")
    packed = [codec.pack_record(RECORDS[name]) for name in names]
    data = objects.sample("gossip_several.bin")
    assert codec.encode(objects.gossip_header(), packed, objects.GROUP_KEY) == data
    decoded = codec.decode(data, {objects.GROUP_KEY_NUMBER: objects.GROUP_KEY})
    assert decoded.records == tuple(RECORDS[name] for name in names)


def test_an_empty_datagram_has_only_the_header_and_the_mac() -> None:
    data = objects.sample("gossip_empty.bin")
    assert codec.encode(objects.gossip_header(), [], objects.GROUP_KEY) == data
    assert data[:14].hex() == "01070102030405060708090a0b0c"
    assert len(data) == 30


def test_signed_bytes_of_records_equal_the_sample() -> None:
    card, alive, testimony = RECORDS["card"], RECORDS["alive"], RECORDS["testimony"]
    assert isinstance(card, messages.Certificate)
    assert isinstance(alive, messages.Alive)
    assert isinstance(testimony, messages.ObservationReport)
    signed = card.signed_bytes + b"\n" + alive.signed_bytes + b"\n" + testimony.signed_bytes + b"\n"
    assert signed == objects.sample("gossip_signed_parts.bin")


def test_names_and_classes_have_the_frozen_tags() -> None:
    assert (
        messages.name_tag("east"),
        messages.name_tag(""),
        messages.class_tag("read"),
        messages.class_tag(""),
    ) == NAME_TAGS


NAME_TAGS = (1391489393, 309448485, 120, 47)


def test_datagram_limits_are_frozen() -> None:
    assert (
        codec.VERSION,
        codec.MAX_DATAGRAM_BYTES,
        codec.MAC_BYTES,
        messages.SIGNATURE_BYTES,
        messages.PUBLIC_KEY_BYTES,
    ) == (1, 256, 16, 64, 32)
    list_limits = (
        messages.DIGEST_BUCKETS,
        messages.MAX_OBSERVED_SERVERS,
        messages.MAX_BUCKET_ENTRIES,
        messages.MAX_REQUESTED_MEMBERS,
        messages.MAX_HINTED_ADDRESSES,
    )
    assert list_limits == (16, 8, 24, 32, 10)


def test_the_key_file_is_written_as_the_sample() -> None:
    assert objects.gossip_keyring_text().encode() == objects.sample("gossip_keys.toml")


def test_the_key_file_parses_to_the_objects_it_was_written_from() -> None:
    text = objects.sample("gossip_keys.toml").decode()
    card, public, groups, authorities, sends_with = objects.gossip_keyring_fields(text)
    assert card == objects.gossip_card()
    assert public == keys.Ed25519(objects.MEMBER_SECRET).public_key
    assert groups == objects.gossip_group_keys()
    assert list(groups) == [7, 8]
    assert authorities == objects.gossip_authorities()
    assert sends_with == 7
