"""Tests of a node: its proposals and its start from stored state."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from client_proxy.consensus.acceptor import AcceptorState
from client_proxy.consensus.changes import ChangeOutcome, ChangeResult, check_acceptor_change
from client_proxy.consensus.errors import AcceptorChangeError, ProposalError
from client_proxy.consensus.lease_holder import LeaseSettings
from client_proxy.consensus.messages import (
    ZERO_BALLOT,
    Accept,
    AcceptorId,
    Promise,
    ValidationReply,
    ValidationRequest,
)
from client_proxy.consensus.node import Node
from tests.consensus.builders import (
    ACCEPTORS,
    FIRST,
    LOW_BALLOT,
    make_decided,
    make_version,
    sent_messages,
    verify,
)

A, B, C = ACCEPTORS
D, E = AcceptorId(3, 8), AcceptorId(4, 8)
OTHER_C = AcceptorId(2, 99)


def results(actions: Sequence[object]) -> list[ChangeResult]:
    return [action for action in actions if isinstance(action, ChangeResult)]


def test_a_change_can_be_withdrawn_until_a_vote_is_requested(node: Node) -> None:
    node.propose(0.0, "two", "c", (1, 2))
    assert results(node.withdraw("c"))[0].outcome is ChangeOutcome.WITHDRAWN
    assert node.handle(1.0, 1, ValidationReply("c")) == []
    assert node.attempt is None
    # A promise is not a vote, but after promises of a majority votes are requested.
    node.propose(2.0, "two", "d", ())
    ballot = node.attempt.proposal.ballot if node.attempt is not None else ZERO_BALLOT
    node.handle(3.0, 1, Promise(2, ballot, B))
    messages = sent_messages(node.handle(3.0, 2, Promise(2, ballot, C)))
    assert any(isinstance(message, Accept) for message in messages)
    with pytest.raises(ProposalError, match="may be decided"):
        node.withdraw("d")
    with pytest.raises(ProposalError, match="no change"):
        node.withdraw("other")


def test_a_dry_run_contacts_validators_and_no_acceptor(node: Node) -> None:
    actions = node.propose(0.0, "two", "c", (1, 2, 7), dry_run=True)
    assert {type(message) for message in sent_messages(actions)} == {ValidationRequest}
    node.handle(1.0, 1, ValidationReply("c"))
    node.handle(1.0, 2, ValidationReply("c"))
    (result,) = results(node.on_timer(2000.0))
    assert (result.outcome, result.approved_by, result.unanswered) == ("could", (1, 2), (7,))
    node.propose(9000.0, "two", "d", (1, 2), dry_run=True)
    (result,) = results(node.handle(9001.0, 2, ValidationReply("d", "no such hall")))
    assert (result.outcome, result.rejections) == ("refused", {2: "no such hall"})


def test_only_one_acceptor_at_a_time_is_added_removed_or_replaced() -> None:
    for after in ((A, B, C, D), (A, B), (A, B, OTHER_C), (A, B, D)):
        check_acceptor_change(ACCEPTORS, after)
    for not_allowed in ((A, B, C, D, E), (A,), (A, D, E), (A, B, C, OTHER_C)):
        with pytest.raises(AcceptorChangeError, match=r"one at a time|one seat at the most"):
            check_acceptor_change(ACCEPTORS, not_allowed)
    with pytest.raises(AcceptorChangeError, match="the last seat"):
        check_acceptor_change((A,), ())


def test_a_later_stored_version_clears_the_acceptors_vote() -> None:
    newer = make_decided(make_version(), 0, 1)
    state = AcceptorState(A, FIRST, LOW_BALLOT, LOW_BALLOT, make_version(2, "other"))
    node = Node(0, newer, state, LeaseSettings(), lambda content: b"", verify, 1, 0)
    assert node.acceptor is not None
    assert node.acceptor.state == AcceptorState(A, newer)
