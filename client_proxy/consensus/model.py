"""The model that the model checker explores: cluster size, bounds on faults, and kinds of steps."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from client_proxy.consensus.acceptor import Acceptor
from client_proxy.consensus.lease_holder import LeaseHolder
from client_proxy.consensus.messages import Message
from client_proxy.consensus.proposer import Proposal


@dataclass(frozen=True)
class Model:
    """Cluster size, bounds on the events of a run, and the protocol classes, intact or deliberately broken.

    Attributes:
        acceptors: Number of instances with an acceptor.
        followers: Number of instances without an acceptor.
        changes: Most proposals of new versions.
        ticks: Most ticks of time.
        lease: Length of a lease, in ticks.
        crashes: Most restarts of acceptors' instances with their stored state.
        state_losses: Most restarts of acceptors' instances after the loss of their state.
        duplicates: Most messages that are delivered twice.
        recoveries: Most proposals that complete the vote of another proposer.
        renewals: Most lease requests of each instance.
        acceptor_type: The class of acceptors.
        lease_holder_type: The class of lease holders.
        proposal_type: The class of proposals.
        withdrawals: Most changes that their author withdraws.
        replaces_acceptors: Each change also replaces one acceptor by that of an instance without a vote.
        sends_before_persisting: Broken guard: messages are sent before the state they depend on is stored.
        withdraws_after_vote_request: Broken guard: a change may be withdrawn after a vote was requested.
        keeps_id_after_state_loss: Broken guard: an acceptor that lost its state continues with the same id.
    """

    acceptors: int = 3
    followers: int = 1
    changes: int = 1
    ticks: int = 8
    lease: int = 2
    crashes: int = 0
    state_losses: int = 0
    duplicates: int = 0
    recoveries: int = 1
    renewals: int = 3
    acceptor_type: type[Acceptor] = Acceptor
    lease_holder_type: type[LeaseHolder] = LeaseHolder
    proposal_type: type[Proposal] = Proposal
    withdrawals: int = 0
    replaces_acceptors: bool = False
    sends_before_persisting: bool = False
    withdraws_after_vote_request: bool = False
    keeps_id_after_state_loss: bool = False


class InFlight(NamedTuple):
    """A message that was sent and not delivered yet."""

    to: int
    sender: int
    message: Message


class StepKind(Enum):
    """The kind of event in a step."""

    DELIVER = "deliver"
    DUPLICATE = "duplicate"
    TICK = "tick"
    RENEW = "renew"
    PROPOSE = "propose"
    WITHDRAW = "withdraw"
    RECOVER = "recover"
    CRASH = "crash"
    LOSE_STATE = "lose state"


class Step(NamedTuple):
    """A transition from one state to the next.

    Attributes:
        kind: The kind of event.
        target: The delivered `InFlight`, the number of the instance, or the index of the proposal.
    """

    kind: StepKind
    target: Any = None
