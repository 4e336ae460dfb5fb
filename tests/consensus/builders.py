"""Builders of versions, proofs and protocol roles for tests that deliver single messages."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from client_proxy.consensus.acceptor import Acceptor, AcceptorState, Send
from client_proxy.consensus.lease_holder import LeaseHolder, LeaseSettings
from client_proxy.consensus.messages import (
    AcceptorId,
    Ballot,
    Decided,
    LeaseGrant,
    LeaseRequest,
    Version,
    Vote,
    vote_content,
)
from client_proxy.consensus.node import Node
from client_proxy.consensus.proposer import Proposal

STORAGE_ID = 7
ACCEPTORS = tuple(AcceptorId(member, STORAGE_ID) for member in range(3))
FIRST = Decided(Version(1, "one", ACCEPTORS), Ballot(), ())
LOW_BALLOT, HIGH_BALLOT = Ballot(1, 9, 1), Ballot(2, 3, 1)
LEASE_SETTINGS = LeaseSettings(lease_ms=1000.0, renew_ms=300.0)
FOLLOWER = 9


def sign(acceptor_id: AcceptorId, content: bytes) -> bytes:
    return bytes([acceptor_id.member]) + blake2b(content, digest_size=8).digest()


def verify(acceptor_id: AcceptorId, content: bytes, signature: bytes) -> bool:
    return signature == sign(acceptor_id, content)


def make_version(
    number: int = 2, digest: str = "two", acceptors: tuple[AcceptorId, ...] = ACCEPTORS
) -> Version:
    return Version(number, digest, acceptors, 9, "change")


def make_decided(version: Version, *voters: int, ballot: Ballot = LOW_BALLOT) -> Decided:
    """Returns the version as decided by votes of these members."""
    votes = (
        Vote(ACCEPTORS[member], sign(ACCEPTORS[member], vote_content(ballot, version, ACCEPTORS[member])))
        for member in voters
    )
    return Decided(version, ballot, tuple(votes))


def make_acceptor(state: AcceptorState | None = None) -> Acceptor:
    return Acceptor(
        state or AcceptorState(ACCEPTORS[0], FIRST), lambda content: sign(ACCEPTORS[0], content), verify
    )


def make_lease_holder(settings: LeaseSettings = LEASE_SETTINGS) -> LeaseHolder:
    return LeaseHolder(FOLLOWER, FIRST, settings, verify, incarnation=3)


def make_leased_holder(now_ms: float = 0.0) -> LeaseHolder:
    """Returns a lease holder that requested a lease on version 1 at `now_ms` and got it 60 ms later."""
    holder = make_lease_holder()
    nonce = requested_nonce(holder.on_prepared(now_ms, 1))
    holder.handle(now_ms + 50, 0, LeaseGrant(1, nonce, ACCEPTORS[0]))
    holder.handle(now_ms + 60, 1, LeaseGrant(1, nonce, ACCEPTORS[1]))
    return holder


def make_proposal(validators: tuple[int, ...] = ()) -> Proposal:
    return Proposal(FIRST.version, LOW_BALLOT, make_version(), validators)


def make_node(member: int = 0) -> Node:
    state = AcceptorState(ACCEPTORS[member], FIRST)
    return Node(
        member, FIRST, state, LeaseSettings(), lambda content: sign(ACCEPTORS[member], content), verify,
        incarnation=1, seed=member,
    )  # fmt: skip


def sent_messages(actions: Sequence[object]) -> list[object]:
    """Returns the messages that the actions send."""
    return [action.message for action in actions if isinstance(action, Send)]


def requested_nonce(actions: Sequence[object]) -> int:
    return next(message.nonce for message in sent_messages(actions) if isinstance(message, LeaseRequest))
