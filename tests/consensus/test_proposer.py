"""Tests of one ballot of a proposal with single messages."""

from __future__ import annotations

from client_proxy.consensus.acceptor import Send, is_decided
from client_proxy.consensus.messages import (
    Accepted,
    Ballot,
    Nack,
    Promise,
    ValidationReply,
    ValidationRequest,
)
from client_proxy.consensus.proposer import Chosen, Phase, Proposal
from tests.consensus.builders import (
    ACCEPTORS,
    FIRST,
    HIGH_BALLOT,
    LOW_BALLOT,
    make_decided,
    make_proposal,
    make_version,
    sent_messages,
    verify,
)


def test_a_version_is_chosen_by_votes_of_a_majority(proposal: Proposal) -> None:
    assert len(proposal.start()) == 3
    assert proposal.handle(0, Promise(2, LOW_BALLOT, ACCEPTORS[0])) == []
    actions = proposal.handle(1, Promise(2, LOW_BALLOT, ACCEPTORS[1]))
    assert [action.to for action in actions if isinstance(action, Send)] == [0, 1, 2]
    vote = make_decided(make_version(), 0).votes[0]
    assert proposal.handle(1, Accepted(2, LOW_BALLOT, vote)) == []  # the vote of member 0, sent by member 1
    assert proposal.handle(0, Accepted(2, LOW_BALLOT, vote)) == []
    other_vote = make_decided(make_version(), 2).votes[0]
    (chosen,) = proposal.handle(2, Accepted(2, LOW_BALLOT, other_vote))
    assert isinstance(chosen, Chosen)
    assert is_decided(chosen.message, FIRST.version, verify)
    assert proposal.phase is Phase.DECIDED


def test_a_version_that_may_have_been_chosen_is_not_replaced(proposal: Proposal) -> None:
    older, newer = make_version(digest="older"), make_version(digest="newer")
    proposal.start()
    proposal.handle(0, Promise(2, LOW_BALLOT, ACCEPTORS[0], Ballot(0, 1), older))
    proposal.handle(1, Promise(2, LOW_BALLOT, ACCEPTORS[1], Ballot(0, 2), newer))
    assert proposal.chosen == newer


def test_a_validator_that_cannot_use_the_version_ends_the_proposal() -> None:
    proposal = make_proposal(validators=(4, 5, 6))
    assert set(sent_messages(proposal.start())) == {ValidationRequest("change", make_version())}
    assert proposal.handle(4, ValidationReply("change")) == []
    assert proposal.unanswered == (5, 6)
    assert proposal.handle(7, ValidationReply("change", "not asked")) == []
    assert proposal.handle(5, ValidationReply("change", "key halls: unknown")) == []
    assert proposal.phase is Phase.REJECTED
    assert proposal.rejections == {5: "key halls: unknown"}
    assert proposal.prepare() == [] == proposal.handle(0, Promise(2, LOW_BALLOT, ACCEPTORS[0]))


def test_the_vote_starts_without_validators_that_do_not_answer() -> None:
    proposal = make_proposal(validators=(4, 5))
    proposal.start()
    proposal.handle(4, ValidationReply("change"))
    assert len(proposal.prepare()) == 3
    assert proposal.unanswered == (5,)


def test_a_preempted_proposal_records_the_higher_ballot(proposal: Proposal) -> None:
    proposal.start()
    proposal.handle(0, Nack(2, LOW_BALLOT, HIGH_BALLOT))
    assert proposal.phase is Phase.PREEMPTED
    assert proposal.preempted_by == HIGH_BALLOT
