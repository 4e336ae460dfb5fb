"""Tests of an acceptor with single messages."""

from __future__ import annotations

from client_proxy.consensus.acceptor import Acceptor, AcceptorState, Persist, Send, is_decided
from client_proxy.consensus.messages import (
    Accept,
    AcceptorId,
    CatchUp,
    Decided,
    LeaseDenied,
    LeaseGrant,
    LeaseRequest,
    Nack,
    Prepare,
    Promise,
    Vote,
    vote_content,
)
from tests.consensus.builders import (
    ACCEPTORS,
    FIRST,
    HIGH_BALLOT,
    LOW_BALLOT,
    make_acceptor,
    make_decided,
    make_version,
    sent_messages,
    sign,
    verify,
)


def test_state_is_persisted_before_the_message_that_depends_on_it(acceptor: Acceptor) -> None:
    for message in (Prepare(2, LOW_BALLOT), Accept(LOW_BALLOT, make_version())):
        persist, send = acceptor.handle(9, message)
        assert isinstance(persist, Persist)
        assert isinstance(send, Send)
        # An acceptor restored from the persisted state has the same state.
        assert Acceptor(persist.state, lambda _: b"", verify).state == acceptor.state
    assert sent_messages(acceptor.handle(9, LeaseRequest(1, 5, "one"))) == [LeaseDenied(1, 5)]


def test_a_promise_rejects_lower_ballots_and_reports_the_earlier_vote(acceptor: Acceptor) -> None:
    acceptor.handle(9, Accept(LOW_BALLOT, make_version()))
    promise = Promise(2, HIGH_BALLOT, ACCEPTORS[0], LOW_BALLOT, make_version())
    assert sent_messages(acceptor.handle(3, Prepare(2, HIGH_BALLOT))) == [promise]
    nack = Nack(2, LOW_BALLOT, HIGH_BALLOT)
    assert sent_messages(acceptor.handle(9, Accept(LOW_BALLOT, make_version()))) == [nack]
    assert sent_messages(acceptor.handle(9, Prepare(2, LOW_BALLOT))) == [nack]


def test_an_acceptor_votes_for_one_version_per_ballot(acceptor: Acceptor) -> None:
    assert len(sent_messages(acceptor.handle(9, Accept(LOW_BALLOT, make_version())))) == 1
    assert acceptor.handle(9, Accept(LOW_BALLOT, make_version(digest="other"))) == []


def test_a_decided_version_needs_signed_votes_of_a_majority_of_the_previous_acceptors() -> None:
    version = make_version()
    assert is_decided(make_decided(version, 0, 2), FIRST.version, verify)
    assert not is_decided(make_decided(version, 0), FIRST.version, verify)
    assert not is_decided(make_decided(version, 0, 0), FIRST.version, verify)
    assert not is_decided(make_decided(make_version(3), 0, 1), FIRST.version, verify)
    other = make_decided(make_version(digest="other"), 0, 1)
    votes_for_other_version = Decided(version, other.ballot, other.votes)
    assert not is_decided(votes_for_other_version, FIRST.version, verify)
    votes_of_other_ballot = Decided(version, HIGH_BALLOT, make_decided(version, 0, 1).votes)
    assert not is_decided(votes_of_other_ballot, FIRST.version, verify)
    unknown_acceptor = AcceptorId(5, 7)
    unknown_vote = Vote(
        unknown_acceptor, sign(unknown_acceptor, vote_content(LOW_BALLOT, version, unknown_acceptor))
    )
    votes = (make_decided(version, 0).votes[0], unknown_vote)
    assert not is_decided(Decided(version, LOW_BALLOT, votes), FIRST.version, verify)


def test_an_acceptor_that_lost_its_state_neither_votes_nor_grants() -> None:
    acceptor = make_acceptor(AcceptorState(AcceptorId(0, 8), FIRST))
    for message in (
        Prepare(2, LOW_BALLOT),
        Accept(LOW_BALLOT, make_version()),
        LeaseRequest(1, 5, "one"),
    ):
        assert acceptor.handle(9, message) == []


def test_an_instance_with_another_first_version_gets_no_lease(acceptor: Acceptor) -> None:
    assert acceptor.handle(9, LeaseRequest(1, 5, "another")) == []


def test_a_lagging_instance_is_sent_the_latest_version_and_one_ahead_is_asked_for_it(
    acceptor: Acceptor,
) -> None:
    decided = make_decided(make_version(), 0, 1)
    assert sent_messages(acceptor.handle(9, LeaseRequest(2, 5, "two"))) == [CatchUp(1)]
    assert isinstance(acceptor.handle(9, decided)[0], Persist)
    assert acceptor.pending_version is None
    assert acceptor.decided.number == 2
    lagging_request, lagging_prepare = LeaseRequest(1, 5, "one"), Prepare(2, HIGH_BALLOT)
    assert (
        sent_messages(acceptor.handle(9, lagging_request))
        == [decided]
        == sent_messages(acceptor.handle(9, lagging_prepare))
    )
    assert sent_messages(acceptor.handle(9, LeaseRequest(2, 6, "two"))) == [LeaseGrant(2, 6, ACCEPTORS[0])]
