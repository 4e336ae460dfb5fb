"""Symmetry reduction: states of the model that differ only in the numbers of acceptors count as one.

Acceptors are sorted by properties that do not depend on their numbers, and renumbered in this order. Any
numbering is correct: two states get the same key only if they are equal except for the numbers. If acceptors
tie in the order, equivalent states may get different keys, which only makes the search visit more states.
"""

from __future__ import annotations

import copy
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import msgspec

from client_proxy.consensus.acceptor import Acceptor
from client_proxy.consensus.lease_holder import LeaseHolder
from client_proxy.consensus.messages import (
    AcceptorId,
    Ballot,
    Decided,
    LeaseDenied,
    LeaseGrant,
    LeaseRequest,
    Version,
)
from client_proxy.consensus.model import InFlight
from client_proxy.consensus.model_checker import INCARNATION_STRIDE, State
from client_proxy.consensus.proposer import Proposal

NONCE_COUNT_BITS = 32  # low bits of a lease request's nonce, which count; the incarnation is above

Numbers = Mapping[int, int]
"""New instance numbers, by old number."""


def symmetric_key(state: State) -> object:
    """Returns the key of the equivalent state in which acceptors are numbered in the order of `_rank_key`."""
    # The last instance is the author of all changes; if it has an acceptor, that acceptor keeps its number.
    model = state.model
    members = range(model.acceptors if model.followers else model.acceptors - 1)
    order = sorted(members, key=lambda member: (_rank_key(state, member), member))
    if order == list(members):
        return state.key()
    numbers = {old: new for new, old in enumerate(order)}
    numbers |= {member: member for member in state.lease_holders if member not in numbers}
    return _renumber_state(state, numbers).key()


def _rank_key(state: State, member: int) -> tuple[object, ...]:
    """Returns a sort key of an instance that does not depend on its number."""
    acceptor_state, lease_holder = state.acceptors[member].state, state.lease_holders[member]
    received = sum(count for delivery, count in state.in_flight.items() if delivery.to == member)
    sent = sum(count for delivery, count in state.in_flight.items() if delivery.sender == member)
    return (
        acceptor_state.decided.version.number, acceptor_state.promised_ballot.round,
        acceptor_state.accepted_ballot.round, lease_holder.prepared_number,
        lease_holder.latest.version.number, lease_holder._requested_number, lease_holder._requested_ms,
        lease_holder.lease_until_ms, len(lease_holder._granted_by), state.renewals[member],
        state.stored[member] == acceptor_state, received, sent, acceptor_state.acceptor_id.storage_id,
    )  # fmt: skip


def _renumber_state(state: State, numbers: Numbers) -> State:
    other = state.clone()
    other.acceptors = _rekey_members(
        {member: _renumber_acceptor(acceptor, numbers) for member, acceptor in state.acceptors.items()},
        numbers,
    )
    other.stored = _rekey_members(
        {member: _renumber(stored, numbers) for member, stored in state.stored.items()}, numbers
    )
    other.renewals = _rekey_members(state.renewals, numbers)
    for lease_holder in other.lease_holders.values():
        _renumber_lease_holder(lease_holder, numbers)
    other.lease_holders = _rekey_members(other.lease_holders, numbers)
    other.proposals = [_renumber_proposal(proposal, numbers) for proposal in state.proposals]
    other.in_flight = {
        InFlight(numbers[to], numbers[sender], _renumber(message, numbers)): count
        for (to, sender, message), count in state.in_flight.items()
    }
    return other


def _rekey_members(values: Mapping[int, Any], numbers: Numbers) -> dict[int, Any]:
    return dict(sorted({numbers[member]: value for member, value in values.items()}.items()))


def _renumber(value: Any, numbers: Numbers) -> Any:
    """Returns a message, or a part of one, with members, proposers and nonces renumbered."""
    match value:
        case AcceptorId(member, storage_id):
            return AcceptorId(numbers[member], storage_id)
        case Ballot(round_, proposer, incarnation):
            return Ballot(round_, numbers[proposer], incarnation) if round_ else value
        case Version():
            acceptors = tuple(sorted(_renumber(acceptor_id, numbers) for acceptor_id in value.acceptors))
            return msgspec.structs.replace(value, acceptors=acceptors, author=numbers[value.author])
        case Decided():
            votes = (_renumber(vote, numbers) for vote in value.votes)
            return Decided(
                _renumber(value.version, numbers),
                _renumber(value.ballot, numbers),
                tuple(sorted(votes, key=lambda vote: vote.acceptor_id)),
            )
        case LeaseGrant():
            return msgspec.structs.replace(
                value,
                nonce=_renumber_nonce(value.nonce, numbers),
                acceptor_id=_renumber(value.acceptor_id, numbers),
            )
        case LeaseRequest() | LeaseDenied():
            return msgspec.structs.replace(value, nonce=_renumber_nonce(value.nonce, numbers))
        case msgspec.Struct():
            fields = {name: _renumber(getattr(value, name), numbers) for name in value.__struct_fields__}
            return type(value)(**fields)
    return value


def _renumber_nonce(nonce: int, numbers: Numbers) -> int:
    """Returns the nonce with a renumbered incarnation, which contains the instance's number in the model."""
    incarnation, count = nonce >> NONCE_COUNT_BITS, nonce & ((1 << NONCE_COUNT_BITS) - 1)
    crashes, member = divmod(incarnation, INCARNATION_STRIDE)
    return (INCARNATION_STRIDE * crashes + numbers[member]) << NONCE_COUNT_BITS | count


def _renumber_acceptor(acceptor: Acceptor, numbers: Numbers) -> Acceptor:
    renumbered = copy.copy(acceptor)
    renumbered.state = _renumber(acceptor.state, numbers)
    return renumbered


def _renumber_lease_holder(lease_holder: LeaseHolder, numbers: Numbers) -> None:
    """Renumbers a lease holder in place; the caller passes a copy."""
    lease_holder.latest = _renumber(lease_holder.latest, numbers)
    lease_holder.active_version = _renumber(lease_holder.active_version, numbers)
    lease_holder._granted_by = {_renumber(acceptor_id, numbers) for acceptor_id in lease_holder._granted_by}
    lease_holder._nonce = _renumber_nonce(lease_holder._nonce, numbers)


def _renumber_proposal(proposal: Proposal, numbers: Numbers) -> Proposal:
    return replace(
        proposal,
        ballot=_renumber(proposal.ballot, numbers),
        chosen=_renumber(proposal.chosen, numbers),
        promises={
            _renumber(acceptor_id, numbers): _renumber(promise, numbers)
            for acceptor_id, promise in proposal.promises.items()
        },
        votes={
            _renumber(acceptor_id, numbers): _renumber(vote, numbers)
            for acceptor_id, vote in proposal.votes.items()
        },
    )
