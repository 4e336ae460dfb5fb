"""The acceptor role: promises, votes and lease grants.

Each version is decided by one instance of Paxos (Lamport, "Paxos Made Simple", 2001). Leases (Gray and
Cheriton, 1989) need no clock at the acceptor: it grants a lease on version n only as long as it has not voted
for version n+1. Both a lease on n and the decision on n+1 need a majority, so at least one acceptor took part
in both, and it granted the lease before it voted. Therefore every holder of a lease on n requested it before
n+1 was chosen, and the lease runs from the request. Once n+1 has been chosen for the length of one lease, as
measured by the holder's clock, no instance uses n any more; and no instance used n+1 before it was chosen.

Each change of `AcceptorState` is returned as a `Persist` action before the messages that depend on it. If
persisting fails, the caller must not send those messages, and must not use the acceptor until its state has
been loaded again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from client_proxy.consensus.messages import (
    ZERO_BALLOT,
    Accept,
    Accepted,
    AcceptorId,
    ArrayStruct,
    Ballot,
    CatchUp,
    Decided,
    LeaseDenied,
    LeaseGrant,
    LeaseRequest,
    Message,
    Nack,
    Prepare,
    Promise,
    Version,
    Vote,
    majority,
    vote_content,
)


class AcceptorState(ArrayStruct, frozen=True):
    """The state of an acceptor that must survive a restart of the process.

    Attributes:
        acceptor_id: The acceptor that the state belongs to.
        decided: The latest decided version that the acceptor knows.
        promised_ballot: The highest ballot that it has promised for the next version.
        accepted_ballot: The ballot of its latest vote for the next version.
        accepted_version: The version that it voted for in that ballot; None if it has not voted.
    """

    acceptor_id: AcceptorId
    decided: Decided
    promised_ballot: Ballot = ZERO_BALLOT
    accepted_ballot: Ballot = ZERO_BALLOT
    accepted_version: Version | None = None


@dataclass(frozen=True, slots=True)
class Persist:
    """Action: write the state to the disk and sync it before executing any later action."""

    state: AcceptorState


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send the message to the instance whose number is `to`."""

    to: int
    message: Message


Action = Persist | Send

Sign = Callable[[bytes], bytes]
"""Returns the signature of the content by this instance's key."""

Verify = Callable[[AcceptorId, bytes, bytes], bool]
"""Returns whether the last argument is the acceptor's valid signature of the content."""


def is_decided(message: Decided, before: Version, verify: Verify) -> bool:
    """Returns whether the message proves that its version is the successor of `before`.

    It does if the version has the next number and a majority of the acceptors of `before` signed votes for
    it.
    """
    if message.version.number != before.number + 1:
        return False
    voters = {vote.acceptor_id for vote in message.votes}
    if len(voters) < majority(len(before.acceptors)) or not voters <= set(before.acceptors):
        return False
    return all(
        verify(
            vote.acceptor_id, vote_content(message.ballot, message.version, vote.acceptor_id), vote.signature
        )
        for vote in message.votes
    )


class Acceptor:
    """The acceptor of one instance. The latest decided version lists the acceptors that may vote."""

    def __init__(self, state: AcceptorState, sign: Sign, verify: Verify) -> None:
        self.state = state
        self._sign = sign
        self._verify = verify

    @property
    def acceptor_id(self) -> AcceptorId:
        """The acceptor's id: the instance's number and the id of its durable state."""
        return self.state.acceptor_id

    @property
    def decided(self) -> Version:
        """The latest decided version that the acceptor knows."""
        return self.state.decided.version

    @property
    def can_vote(self) -> bool:
        """Whether this acceptor may vote on the next version."""
        return self.acceptor_id in self.decided.acceptors

    @property
    def pending_version(self) -> Version | None:
        """The version that it has voted for without knowing yet whether it was decided."""
        return self.state.accepted_version

    def handle(self, sender: int, message: Message) -> list[Action]:
        """Handles a message, which may be late, duplicated or forged, and returns the resulting actions."""
        match message:
            case Decided():
                return self.learn(message)
            case Prepare():
                return self._handle_prepare(sender, message)
            case Accept():
                return self._handle_accept(sender, message)
            case LeaseRequest():
                return self._handle_lease_request(sender, message)
        return []

    def learn(self, message: Decided) -> list[Action]:
        """Adopts a decided version if the message proves it, and returns the resulting actions."""
        if not is_decided(message, self.decided, self._verify):
            return []
        # The promise and the vote were for this number; there are none for the next number yet.
        self.state = AcceptorState(self.acceptor_id, message)
        return [Persist(self.state)]

    def _answer_if_not_next(self, sender: int, number: int) -> list[Action] | None:
        """Returns the answer to a message about another version than the next; None if it is the next one."""
        if number <= self.decided.number:
            return [Send(sender, self.state.decided)]
        if number > self.decided.number + 1:
            return [Send(sender, CatchUp(self.decided.number))]
        return None

    def _handle_prepare(self, sender: int, message: Prepare) -> list[Action]:
        answer = self._answer_if_not_next(sender, message.number)
        if answer is not None or not self.can_vote:
            return answer or []
        state = self.state
        if message.ballot < state.promised_ballot:
            return [Send(sender, Nack(message.number, message.ballot, state.promised_ballot))]
        self.state = msgspec.structs.replace(state, promised_ballot=message.ballot)
        promise = Promise(
            message.number,
            message.ballot,
            self.acceptor_id,
            state.accepted_ballot,
            state.accepted_version,
        )
        return [Persist(self.state), Send(sender, promise)]

    def _handle_accept(self, sender: int, message: Accept) -> list[Action]:
        number = message.version.number
        answer = self._answer_if_not_next(sender, number)
        if answer is not None or not self.can_vote:
            return answer or []
        state = self.state
        if message.ballot < state.promised_ballot:
            return [Send(sender, Nack(number, message.ballot, state.promised_ballot))]
        if message.ballot == state.accepted_ballot and message.version != state.accepted_version:
            return []  # The proposer is faulty: it proposes two versions in one ballot.
        self.state = msgspec.structs.replace(
            state,
            promised_ballot=message.ballot,
            accepted_ballot=message.ballot,
            accepted_version=message.version,
        )
        signature = self._sign(vote_content(message.ballot, message.version, self.acceptor_id))
        accepted = Accepted(number, message.ballot, Vote(self.acceptor_id, signature))
        return [Persist(self.state), Send(sender, accepted)]

    def _handle_lease_request(self, sender: int, message: LeaseRequest) -> list[Action]:
        if message.number < self.decided.number:
            return [Send(sender, self.state.decided)]
        if message.number > self.decided.number:
            return [Send(sender, CatchUp(self.decided.number))]
        if not self.can_vote or message.digest != self.decided.digest:
            # An instance of another fleet, or with another first version, has a policy never decided here.
            return []
        if self.pending_version is not None:
            return [Send(sender, LeaseDenied(message.number, message.nonce))]
        return [Send(sender, LeaseGrant(message.number, message.nonce, self.acceptor_id))]
