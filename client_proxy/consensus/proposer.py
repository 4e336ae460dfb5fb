"""The proposer role: one ballot of a change's author, or of an acceptor that completes another's vote.

The author first asks all live instances to validate the change (`ValidationRequest`); an instance that cannot
use it rejects it with a reason, which ends the proposal. Then follows one instance of Paxos: `Prepare` to the
acceptors and, after promises of a majority, `Accept` with the version that one of them voted for in the
highest ballot or, if none has voted, with the author's own version. So a version that may have been chosen is
completed and never replaced, and the author recognizes by `Version.change` whether its own change was chosen.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from client_proxy.consensus.acceptor import Send
from client_proxy.consensus.messages import (
    ZERO_BALLOT,
    Accept,
    Accepted,
    AcceptorId,
    Ballot,
    Decided,
    Message,
    Nack,
    Prepare,
    Promise,
    ValidationReply,
    ValidationRequest,
    Version,
    Vote,
    majority,
)


class Phase(Enum):
    """Progress of a proposal."""

    VALIDATE = "validate"
    PREPARE = "prepare"
    ACCEPT = "accept"
    VALIDATED = "validated"  # A dry run has ended without a rejection.
    DECIDED = "decided"
    REJECTED = "rejected"  # By a validator, before any vote was requested; or there was no vote to complete.
    PREEMPTED = "preempted"  # By a higher ballot: the proposal is repeated with one above `preempted_by`.


@dataclass(frozen=True, slots=True)
class Chosen:
    """Action: the version is decided; send `message` to all instances."""

    message: Decided


Action = Send | Chosen


@dataclass
class Proposal:
    """One ballot of a proposal.

    Attributes:
        previous_version: The latest decided version; the proposal is for the number after it.
        ballot: The ballot's number.
        version: The author's version; None to complete the vote of another proposer.
        validators: Instances that are asked whether they could use the version.
        phase: The proposal's progress.
        approving: Validators that could use the version.
        rejections: Reasons of the validators that could not use it, by instance number.
        promises: Received promises, by acceptor.
        votes: Received votes, by acceptor.
        preempted_by: The higher ballot that an acceptor has promised.
        chosen: The version that the acceptors are asked to vote for.
        dry_run: End after the validation.
    """

    previous_version: Version
    ballot: Ballot
    version: Version | None
    validators: tuple[int, ...] = ()
    phase: Phase = Phase.VALIDATE
    approving: set[int] = field(default_factory=set)
    rejections: dict[int, str] = field(default_factory=dict)
    promises: dict[AcceptorId, Promise] = field(default_factory=dict)
    votes: dict[AcceptorId, Vote] = field(default_factory=dict)
    preempted_by: Ballot = ZERO_BALLOT
    chosen: Version | None = None
    dry_run: bool = False

    @property
    def number(self) -> int:
        """The number of the proposed version."""
        return self.previous_version.number + 1

    @property
    def unanswered(self) -> tuple[int, ...]:
        """Validators that have not answered, for example because they are down, stopped or partitioned."""
        return tuple(
            member
            for member in self.validators
            if member not in self.approving and member not in self.rejections
        )

    def start(self) -> list[Action]:
        """Returns the requests to the validators, or to the acceptors if there are no validators."""
        if self.version is None or not self.validators:
            return self.prepare()
        # No acceptor is contacted yet, so the change can still be withdrawn without leaving any state.
        return [*self._validation_requests(self.validators)]

    def retry_validation(self) -> list[Send]:
        """Returns requests to the validators that have not answered, as messages may have been lost."""
        return self._validation_requests(self.unanswered) if self.phase is Phase.VALIDATE else []

    def _validation_requests(self, members: tuple[int, ...]) -> list[Send]:
        if self.version is None:
            return []
        request = ValidationRequest(self.version.change, self.version)
        return [Send(member, request) for member in members]

    def prepare(self) -> list[Action]:
        """Starts the vote when all validators have answered or the time for answers is over."""
        if self.phase is not Phase.VALIDATE or self.rejections:
            return []
        if self.dry_run:
            self.phase = Phase.VALIDATED
            return []
        self.phase = Phase.PREPARE
        return self._send_to_acceptors(Prepare(self.number, self.ballot))

    def _send_to_acceptors(self, message: Message) -> list[Action]:
        return [Send(acceptor_id.member, message) for acceptor_id in self.previous_version.acceptors]

    def handle(self, sender: int, message: Message) -> list[Action]:
        """Handles a message and returns the resulting actions."""
        match message:
            case ValidationReply() if self.phase is Phase.VALIDATE:
                return self._handle_validation_reply(sender, message)
            case Promise() if self.phase is Phase.PREPARE:
                return self._handle_promise(sender, message)
            case Accepted() if self.phase is Phase.ACCEPT:
                return self._handle_accepted(sender, message)
            case Nack() if message.ballot == self.ballot and message.number == self.number:
                if self.phase in (Phase.PREPARE, Phase.ACCEPT):
                    self.phase, self.preempted_by = Phase.PREEMPTED, message.promised_ballot
        return []

    def _handle_validation_reply(self, sender: int, message: ValidationReply) -> list[Action]:
        if self.version is None or message.change != self.version.change or sender not in self.validators:
            return []
        if message.reason:
            self.rejections[sender] = message.reason
            self.phase = Phase.REJECTED
            return []
        self.approving.add(sender)
        return self.prepare() if self.approving == set(self.validators) else []

    def _is_for_this_ballot(self, sender: int, message: Promise | Accepted, acceptor_id: AcceptorId) -> bool:
        if message.number != self.number or message.ballot != self.ballot:
            return False
        return acceptor_id.member == sender and acceptor_id in self.previous_version.acceptors

    def _handle_promise(self, sender: int, message: Promise) -> list[Action]:
        if not self._is_for_this_ballot(sender, message, message.acceptor_id):
            return []
        self.promises[message.acceptor_id] = message
        if len(self.promises) < majority(len(self.previous_version.acceptors)):
            return []
        promises_with_vote = [
            promise for promise in self.promises.values() if promise.accepted_version is not None
        ]
        # A majority may have voted for it: replacing it could decide two versions of one number.
        highest = max(promises_with_vote, key=lambda promise: promise.accepted_ballot, default=None)
        self.chosen = highest.accepted_version if highest is not None else self.version
        if self.chosen is None:
            self.phase = Phase.REJECTED  # There was no vote to complete.
            return []
        self.phase = Phase.ACCEPT
        return self._send_to_acceptors(Accept(self.ballot, self.chosen))

    def _handle_accepted(self, sender: int, message: Accepted) -> list[Action]:
        if not self._is_for_this_ballot(sender, message, message.vote.acceptor_id) or self.chosen is None:
            return []
        self.votes[message.vote.acceptor_id] = message.vote
        if len(self.votes) < majority(len(self.previous_version.acceptors)):
            return []
        self.phase = Phase.DECIDED
        votes = tuple(sorted(self.votes.values(), key=lambda vote: vote.acceptor_id))
        return [Chosen(Decided(self.chosen, self.ballot, votes))]
