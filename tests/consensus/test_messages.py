"""Tests of the encoding and decoding of messages."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.consensus.errors import MessageDecodeError
from client_proxy.consensus.messages import (
    MAX_MESSAGE_BYTES,
    Accept,
    Accepted,
    AcceptorId,
    CatchUp,
    LeaseDenied,
    LeaseGrant,
    LeaseRequest,
    Message,
    Nack,
    Prepare,
    Promise,
    ValidationReply,
    ValidationRequest,
    Version,
    Vote,
    decode,
    encode,
)
from tests.consensus.builders import ACCEPTORS, HIGH_BALLOT, LOW_BALLOT, make_decided, make_version
from tests.support.fixed_draws import fixed_draws

MESSAGES: list[Message] = [
    make_decided(make_version(), 0, 1, 2),
    Prepare(2, LOW_BALLOT),
    Promise(2, LOW_BALLOT, ACCEPTORS[0], LOW_BALLOT, make_version()),
    Accept(LOW_BALLOT, make_version()),
    Accepted(2, LOW_BALLOT, Vote(ACCEPTORS[0], bytes(64))),
    Nack(2, LOW_BALLOT, HIGH_BALLOT),
    LeaseRequest(1, 5, "one"),
    LeaseGrant(1, 5, ACCEPTORS[0]),
    LeaseDenied(1, 5),
    CatchUp(1),
    ValidationRequest("c", make_version()),
    ValidationReply("c", "why"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_a_decoded_message_equals_the_encoded_one_and_truncated_bytes_are_rejected(message: Message) -> None:
    data = encode(message)
    assert decode(data) == message
    assert len(data) < MAX_MESSAGE_BYTES
    for length in range(len(data)):
        with pytest.raises(MessageDecodeError):
            decode(data[:length])


@fixed_draws("noise_is_no_word_and_nothing_else_is_raised")
@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_decode_errors(data: bytes) -> None:
    try:
        decode(data)
    except MessageDecodeError:
        return
    assert msgspec.msgpack.decode(data)


def test_values_out_of_bounds_are_not_decoded() -> None:
    too_many = tuple(AcceptorId(member, 1) for member in range(8))
    long_digest = Version(2, "d" * 65, ACCEPTORS)
    for message in (
        ValidationReply("c", "x" * 201),
        Accept(LOW_BALLOT, long_digest),
        Accept(LOW_BALLOT, make_version(2, "d", too_many)),
    ):
        with pytest.raises(MessageDecodeError):
            decode(encode(message))
    with pytest.raises(MessageDecodeError):
        decode(bytes(MAX_MESSAGE_BYTES + 1))
