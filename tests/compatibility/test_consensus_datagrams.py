"""Consensus messages, their datagrams and the transfer of bodies have the frozen bytes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, get_args

import msgspec
import pytest

from client_proxy.config.version_store import Folder
from client_proxy.consensus.acceptor import AcceptorState, Send, is_decided
from client_proxy.consensus.body_transfer import fetch_body
from client_proxy.consensus.lease_holder import LeaseSettings
from client_proxy.consensus.messages import (
    AcceptorId,
    Ballot,
    Decided,
    LeaseRequest,
    Message,
    Promise,
    ValidationReply,
    Version,
    Vote,
    decode,
    encode,
    vote_content,
)
from client_proxy.consensus.node import Node
from client_proxy.consensus.signer import Peer, acceptor_verifier
from client_proxy.consensus.store import Store
from client_proxy.consensus.transport import ConsensusTransport
from client_proxy.emulator.simulated_keys import derive_keyring
from tests.compatibility.samples import (
    ACCEPTOR_IDS,
    ACCEPTOR_STATE,
    BALLOT,
    BODY,
    BODY_DIGEST,
    DECIDED,
    KEY_SEED,
    MESSAGES,
    MINIMAL_MESSAGES,
    VERSION,
    sample,
)

ADDRESS = ("127.0.0.1", 1)
KEYS = {acceptor_id.member: derive_keyring(KEY_SEED, acceptor_id.member, "h") for acceptor_id in ACCEPTOR_IDS}
PEERS = {member: Peer(member, ADDRESS, keys.signer.public_key) for member, keys in KEYS.items()}
ACCEPTOR_MEMBER = 1
OTHER_MEMBER = 4  # a member without an acceptor: its datagrams have zeros instead of a signature
RECEIVER = 2


class RecordingPort:
    """Replaces the UDP port and records the sent datagrams."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, datagram: bytes, to: object) -> None:
        self.sent.append(datagram)

    def close(self) -> None:
        pass


class RecordingTransport(ConsensusTransport):
    """A transport that records received messages instead of handling them."""

    def __init__(self, folder: Path, member: int) -> None:
        ring = derive_keyring(KEY_SEED, member, "h")
        verify = acceptor_verifier(PEERS, ring)
        genesis = Decided(Version(1, BODY_DIGEST, ACCEPTOR_IDS), Ballot(), ())
        acceptor_state = AcceptorState(AcceptorId(member, 1), genesis) if member in PEERS else None
        node = Node(
            member,
            genesis,
            acceptor_state,
            LeaseSettings(600.0, 100.0),
            ring.signer.sign,
            verify,
            member,
            member,
        )
        super().__init__(
            node,
            Store(Folder(folder)),
            ring,
            PEERS,
            ("127.0.0.1", 0),
            lambda body, version, proposed: "",
            lambda version, body: None,
        )
        self._port.close()
        self.port = RecordingPort()
        self._port = self.port  # type: ignore[assignment]
        self.received: list[tuple[int, Message]] = []

    def _handle(self, sender: int, message: Message) -> None:
        self.received.append((sender, message))

    def sent_datagram(self, message: Message) -> bytes:
        self._send(Send(RECEIVER, message))
        return self.port.sent.pop()

    def receive(self, datagram: bytes) -> list[tuple[int, Message]]:
        self.received.clear()
        self._on_datagram(datagram, ADDRESS)
        return list(self.received)

    def fetch(self, address: tuple[str, int], digest: str) -> Any:
        return fetch_body(address, digest)

    def answer_body(self, reader: asyncio.StreamReader, writer: Any) -> Any:
        return self._bodies.serve(reader, writer)


class RecordingWriter:
    """Replaces the stream to the instance that requested a body, and records what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    async def drain(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True


def test_every_message_type_has_a_sample() -> None:
    assert {type(message) for message in MESSAGES.values()} == set(get_args(Message))


@pytest.mark.parametrize("message", [*MESSAGES.values(), ACCEPTOR_STATE, VERSION, BALLOT, DECIDED.votes[0]])
def test_every_field_of_a_sample_differs_from_its_default(message: msgspec.Struct) -> None:
    for field in msgspec.structs.fields(message):
        assert getattr(message, field.name) != field.default, field.name


def test_every_message_type_with_a_default_has_a_minimal_sample() -> None:
    with_default = {
        name
        for name, message in MESSAGES.items()
        if any(field.default is not msgspec.NODEFAULT for field in msgspec.structs.fields(message))
    }
    assert with_default <= set(MINIMAL_MESSAGES)


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_encodes_to_and_decodes_from_its_sample(name: str) -> None:
    assert encode(MESSAGES[name]) == sample(f"message-{name}.msgpack")
    assert decode(sample(f"message-{name}.msgpack")) == MESSAGES[name]


@pytest.mark.parametrize("name", MINIMAL_MESSAGES)
def test_a_minimal_message_encodes_to_its_sample(name: str) -> None:
    assert msgspec.msgpack.encode(MINIMAL_MESSAGES[name]) == sample(f"minimal-{name}.msgpack")


def test_fields_left_out_of_a_message_get_their_defaults() -> None:
    decided = decode(sample("minimal-decided.msgpack"))
    assert isinstance(decided, Decided)
    version, ballot = decided.version, decided.ballot
    assert (version.author, version.change, version.requester, version.reason) == (0, "", "", "")
    assert (ballot.round, ballot.proposer, ballot.incarnation) == (0, 0, 0)
    assert decided.votes[0] == Vote(AcceptorId(1, 11), b"")
    promise = decode(sample("minimal-promise.msgpack"))
    assert isinstance(promise, Promise)
    assert promise.accepted_ballot == Ballot(0, 0, 0)
    assert promise.accepted_version is None
    ask, checked = decode(sample("minimal-ask.msgpack")), decode(sample("minimal-checked.msgpack"))
    assert isinstance(ask, LeaseRequest)
    assert ask.digest == ""
    assert isinstance(checked, ValidationReply)
    assert checked.reason == ""


def test_a_vote_signs_the_frozen_content() -> None:
    content = vote_content(BALLOT, VERSION, ACCEPTOR_IDS[0])
    assert content == sample("vote-signed-content.bin")
    assert KEYS[1].signer.sign(content) == sample("vote-signature.bin")
    before = Version(69, "before", ACCEPTOR_IDS)
    stored = decode(sample("message-decided.msgpack"))
    assert isinstance(stored, Decided)
    assert is_decided(stored, before, acceptor_verifier(PEERS, KEYS[1]))


@pytest.mark.parametrize("name", MESSAGES)
def test_a_signed_datagram_equals_its_sample(name: str, tmp_path: Path) -> None:
    stored = sample(f"datagram-signed-{name}.bin")
    assert RecordingTransport(tmp_path / "sender", ACCEPTOR_MEMBER).sent_datagram(MESSAGES[name]) == stored
    receiver = RecordingTransport(tmp_path / "receiver", RECEIVER)
    assert receiver.receive(stored) == [(ACCEPTOR_MEMBER, MESSAGES[name])]
    for position in (0, 10, 80, len(stored) - 1):
        corrupted = bytearray(stored)
        corrupted[position] ^= 1
        assert receiver.receive(bytes(corrupted)) == []


def test_an_unsigned_datagram_equals_its_sample(tmp_path: Path) -> None:
    stored = sample("datagram-unsigned-tally.bin")
    sender = RecordingTransport(tmp_path / "sender", OTHER_MEMBER)
    assert sender.sent_datagram(MESSAGES["tally"]) == stored
    receiver = RecordingTransport(tmp_path / "receiver", RECEIVER)
    assert receiver.receive(stored) == [(OTHER_MEMBER, MESSAGES["tally"])]


def test_a_body_is_requested_and_read_with_the_frozen_bytes(tmp_path: Path) -> None:
    async def run() -> None:
        requests: list[bytes] = []

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(await reader.readline())
            writer.write(sample("body-answer.bin"))
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        assert await RecordingTransport(tmp_path, OTHER_MEMBER).fetch(address, BODY_DIGEST) == BODY
        assert requests == [sample("body-request.bin")]
        server.close()

    asyncio.run(run())


def test_a_body_request_is_answered_with_the_frozen_bytes(tmp_path: Path) -> None:
    async def answer(transport: RecordingTransport, request: bytes) -> bytes:
        reader, writer = asyncio.StreamReader(), RecordingWriter()
        reader.feed_data(request)
        await transport.answer_body(reader, writer)
        assert writer.closed
        return writer.written

    async def run() -> None:
        Store(Folder(tmp_path)).save_body(BODY)
        transport = RecordingTransport(tmp_path, ACCEPTOR_MEMBER)
        assert await answer(transport, sample("body-request.bin")) == sample("body-answer.bin")
        assert await answer(transport, b"0" * 32 + b"\n") == b""

    asyncio.run(run())
