"""Messages between instances, encoded and decoded with msgspec.

A message is encoded as a MessagePack array that starts with the tag of its type. Field names are not on the
wire, but the order of the fields and the tags are. `decode` returns one of the types of `Message` or raises.
The types contain the bounds of the values: a message with a value out of bounds is not decoded.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from client_proxy.consensus.errors import MessageDecodeError

MAX_MESSAGE_BYTES = 1200  # bytes of an encoded message; policy bodies are transferred separately, over TCP
MAX_ACCEPTORS = 7
MAX_ERROR_CHARACTERS = 200

Number = Annotated[int, Meta(ge=0, le=2**31)]
Nonce = Annotated[int, Meta(ge=0, le=2**62)]
Text = Annotated[str, Meta(max_length=200)]
Digest = Annotated[str, Meta(max_length=64)]
Zone = Annotated[str, Meta(max_length=128)]
ClassName = Annotated[str, Meta(max_length=128)]


class ArrayStruct(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Base class of everything encoded as an array: messages, their parts and stored state."""


class AcceptorId(ArrayStruct, frozen=True, order=True):
    """The id of an acceptor: an instance's number and the id of its durable state.

    An instance that lost its state draws another `storage_id`. It is a new acceptor then, and may not vote
    until a decided version includes it.

    Attributes:
        member: The instance's number.
        storage_id: The id of the durable state.
    """

    member: Number
    storage_id: Number


AcceptorIds = Annotated[tuple[AcceptorId, ...], Meta(min_length=1, max_length=MAX_ACCEPTORS)]


class Version(ArrayStruct, frozen=True):
    """A version of the fleet's policy.

    Attributes:
        number: Consecutive within an epoch.
        digest: BLAKE2b digest of the policy's body, in hexadecimal.
        acceptors: The acceptors that vote on the next version.
        author: The instance that proposed it.
        change: The author's name for the change, by which it recognizes whether its own change was chosen.
        requester: The person or program that asked for the change; for operators.
        reason: The reason for the change; for operators.
    """

    number: Number
    digest: Digest
    acceptors: AcceptorIds
    author: Number = 0
    change: Text = ""
    requester: Text = ""
    reason: Text = ""


class Ballot(ArrayStruct, frozen=True, order=True):
    """A ballot number. It is unique to one attempt, as `incarnation` is drawn at each start of the process.

    Attributes:
        round: Increases with each attempt.
        proposer: The proposing instance.
        incarnation: Random number of the proposer's run of its process.
    """

    round: Number = 0
    proposer: Number = 0
    incarnation: Number = 0


ZERO_BALLOT = Ballot()


class Vote(ArrayStruct, frozen=True):
    """An acceptor's signature of `vote_content`."""

    acceptor_id: AcceptorId
    signature: bytes = b""


class Decided(ArrayStruct, frozen=True, tag="D"):
    """A chosen version with its proof: votes of a majority of the previous version's acceptors."""

    version: Version
    ballot: Ballot
    votes: Annotated[tuple[Vote, ...], Meta(max_length=MAX_ACCEPTORS)]


class Prepare(ArrayStruct, frozen=True, tag="P"):
    """Phase 1a of Paxos: asks for a promise to ignore lower ballots."""

    number: Number
    ballot: Ballot


class Promise(ArrayStruct, frozen=True, tag="p"):
    """Phase 1b of Paxos: the acceptor will not vote in ballots below `ballot` any more.

    Attributes:
        number: The number of the version that is voted on.
        ballot: The promised ballot.
        acceptor_id: The acceptor that promises.
        accepted_ballot: The highest ballot in which it has voted so far.
        accepted_version: The version that it voted for in that ballot; None if it has not voted.
    """

    number: Number
    ballot: Ballot
    acceptor_id: AcceptorId
    accepted_ballot: Ballot = ZERO_BALLOT
    accepted_version: Version | None = None


class Accept(ArrayStruct, frozen=True, tag="A"):
    """Phase 2a of Paxos: asks for a vote."""

    ballot: Ballot
    version: Version


class Accepted(ArrayStruct, frozen=True, tag="a"):
    """Phase 2b of Paxos: the vote."""

    number: Number
    ballot: Ballot
    vote: Vote


class Nack(ArrayStruct, frozen=True, tag="o"):
    """The answer of an acceptor that has promised a higher ballot than the requested one.

    Attributes:
        number: The number of the version that is voted on.
        ballot: The requested ballot.
        promised_ballot: The higher ballot that it has promised.
    """

    number: Number
    ballot: Ballot
    promised_ballot: Ballot


class LeaseRequest(ArrayStruct, frozen=True, tag="L"):
    """Requests a lease on a version. The lease runs from the time at which the request was sent."""

    number: Number
    nonce: Nonce
    digest: Digest = ""


class LeaseGrant(ArrayStruct, frozen=True, tag="g"):
    """One acceptor's grant of a `LeaseRequest`. Grants of a majority of acceptors make a lease."""

    number: Number
    nonce: Nonce
    acceptor_id: AcceptorId


class LeaseDenied(ArrayStruct, frozen=True, tag="b"):
    """The acceptor grants no lease now: it has voted for the next version and does not know the result."""

    number: Number
    nonce: Nonce


class CatchUp(ArrayStruct, frozen=True, tag="B"):
    """The sender knows no version after `latest_number` and requests the next one."""

    latest_number: Number


class ValidationRequest(ArrayStruct, frozen=True, tag="C"):
    """Asks whether the receiver could use this version. It changes no state."""

    change: Text
    version: Version


class ValidationReply(ArrayStruct, frozen=True, tag="c"):
    """The answer to a `ValidationRequest`.

    Attributes:
        change: The name of the validated change.
        reason: Why the instance could not use the version; empty if it could.
    """

    change: Text
    reason: Text = ""


class OutcomeReport(ArrayStruct, frozen=True, tag="T"):
    """Counts of an instance's requests since its start, sent only during a rollout.

    Attributes:
        version: The number of the version that the instance uses.
        incarnation: Random number of the run of its process.
        zone: The zone of the instance.
        counts: By request class: requests that ended, and how many of these were not served in time.
    """

    version: Number
    incarnation: Nonce
    zone: Zone
    counts: Annotated[dict[ClassName, tuple[Nonce, Nonce]], Meta(max_length=20)]


Message = (
    Decided
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Nack
    | LeaseRequest
    | LeaseGrant
    | LeaseDenied
    | CatchUp
    | ValidationRequest
    | ValidationReply
    | OutcomeReport
)


def truncate_utf8(text: str, max_bytes: int) -> str:
    """Returns the longest prefix of complete characters that takes at most `max_bytes` in UTF-8."""
    return text.encode()[:max_bytes].decode(errors="ignore")


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the encoded message as it is sent."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message that the bytes encode.

    Raises:
        MessageDecodeError: The bytes exceed `MAX_MESSAGE_BYTES` or do not encode a valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageDecodeError(f"the message is longer than allowed: {len(data)} bytes")
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageDecodeError(str(error)[:MAX_ERROR_CHARACTERS]) from error


def vote_content(ballot: Ballot, version: Version, acceptor_id: AcceptorId) -> bytes:
    """Returns the bytes that an acceptor signs with its vote."""
    return b"vote" + _encoder.encode((ballot, version, acceptor_id))


def majority(acceptor_count: int) -> int:
    """Returns the size of a majority of `acceptor_count` acceptors."""
    return acceptor_count // 2 + 1
