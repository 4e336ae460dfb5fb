"""Model checking of the protocol: all orders of message deliveries, losses, crashes and ticks of time.

A `State` holds the real `Acceptor`s, `LeaseHolder`s and `Proposal`s, their stored state, and all messages in
flight. A message that is never delivered counts as lost, so loss needs no step of its own; a message may be
delivered twice, up to a bound. Time advances in ticks, between any two other steps or not at all.
`model_search` explores the states. These invariants must hold in each state:

1. *atomic*: no instance may use a version when the length of a lease has passed since another instance could
   first use a newer one;
2. *one*: no two versions with the same number are ever decided;
3. *nowhere*: no instance may ever use a version that was not decided, and a version that its author has
   withdrawn is never decided.

To break a guard of the protocol on purpose, a test passes other classes or sets flags of `Model`. A run that
then violates an invariant is the counterexample that shows why the guard is needed.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from client_proxy.consensus.acceptor import Acceptor, AcceptorState, Persist, Send
from client_proxy.consensus.lease_holder import LeaseHolder, LeaseSettings, PrepareVersion
from client_proxy.consensus.messages import AcceptorId, Ballot, Decided, Version
from client_proxy.consensus.model import InFlight, Model, Step, StepKind
from client_proxy.consensus.proposer import Chosen, Phase, Proposal
from client_proxy.consensus.unsigned import accept_any_signature, sign_nothing

GENESIS = "genesis"  # the digest of the first version
INCARNATION_STRIDE = 100  # an incarnation is this times the number of earlier crashes, plus the member


@dataclass
class State:
    """A state of the model. Instances are numbered from 0; those with an acceptor come first.

    Attributes:
        model: The explored model.
        now: The time, in ticks.
        acceptors: The acceptors, by instance.
        stored: The stored state of each acceptor, by instance.
        lease_holders: The lease holders, by instance.
        proposals: All proposals, in the order in which they were made.
        in_flight: Messages that may be delivered, with the number of their copies.
        crashes: Number of crashes so far.
        state_losses: Number of state losses so far.
        duplicates: Number of duplicated messages so far.
        renewals: Number of lease renewals so far, by instance.
        changes: Number of proposed changes so far.
        recoveries: Number of recoveries so far.
        withdrawals: Number of withdrawals so far.
        withdrawn: Digests of the withdrawn versions.
        first_active: Tick at which the first instance could use a version, by version number.
        decided: Decided versions, by number.
        violation: The violated invariant, with details; empty if none is violated.
    """

    model: Model
    now: int = 0
    acceptors: dict[int, Acceptor] = field(default_factory=dict)
    stored: dict[int, AcceptorState] = field(default_factory=dict)
    lease_holders: dict[int, LeaseHolder] = field(default_factory=dict)
    proposals: list[Proposal] = field(default_factory=list)
    in_flight: dict[InFlight, int] = field(default_factory=dict)
    crashes: int = 0
    state_losses: int = 0
    duplicates: int = 0
    renewals: dict[int, int] = field(default_factory=dict)
    changes: int = 0
    recoveries: int = 0
    withdrawals: int = 0
    withdrawn: frozenset[str] = frozenset()
    first_active: dict[int, int] = field(default_factory=dict)
    decided: dict[int, Version] = field(default_factory=dict)
    violation: str = ""

    # Creation and copies

    @classmethod
    def start(cls, model: Model, leased: bool = True) -> State:
        """Returns the initial state, in which all instances know the first version.

        With `leased` each instance holds a lease on it, requested at tick 0.
        """
        acceptor_ids = tuple(AcceptorId(member, 1) for member in range(model.acceptors))
        genesis = Decided(Version(1, GENESIS, acceptor_ids), Ballot(), ())
        state = cls(model)
        state.decided[1] = genesis.version
        for member in range(model.acceptors + model.followers):
            state.stored[member] = AcceptorState(AcceptorId(member, 1), genesis)
            state._start_instance(member, state.stored[member], incarnation=member)
            state.renewals[member] = 0
        if leased:
            for member, lease_holder in state.lease_holders.items():
                state._execute(member, lease_holder.on_prepared(0.0, 1))
            while state.in_flight:
                state.deliver(next(iter(state.in_flight)))
        state.check_invariants()
        return state

    def clone(self) -> State:
        """Returns a copy that can be changed independently of this state."""
        other = replace(self)
        other.acceptors = {member: copy.copy(acceptor) for member, acceptor in self.acceptors.items()}
        other.lease_holders = {
            member: _copy_lease_holder(lease_holder) for member, lease_holder in self.lease_holders.items()
        }
        other.proposals = [_copy_proposal(proposal) for proposal in self.proposals]
        other.stored = dict(self.stored)
        other.in_flight = dict(self.in_flight)
        other.renewals = dict(self.renewals)
        other.first_active = dict(self.first_active)
        other.decided = dict(self.decided)
        return other

    def key(self) -> object:
        """Returns a key that is equal only for states from which the same runs can follow."""
        lease_holders = tuple(
            (
                holder.latest, holder.active_version, holder.prepared_number, holder.lease_until_ms,
                holder._nonce, holder._requested_ms, holder._requested_number, *sorted(holder._granted_by),
            )
            for holder in self.lease_holders.values()
        )  # fmt: skip
        proposals = tuple(
            (
                proposal.ballot, proposal.phase, proposal.chosen, frozenset(proposal.promises.items()),
                frozenset(proposal.votes.items()),
            )
            for proposal in self.proposals
        )  # fmt: skip
        counts = (
            self.now, self.crashes, self.state_losses, self.duplicates, self.changes, self.recoveries,
        )  # fmt: skip
        in_flight = frozenset(self.in_flight.items())
        stored = tuple(self.stored.values())
        acceptor_states = tuple(acceptor.state for acceptor in self.acceptors.values())
        rest = tuple(self.renewals.values()), frozenset(self.first_active.items()), self.withdrawn
        return lease_holders, proposals, counts, in_flight, stored, acceptor_states, rest

    # Steps

    def steps(self) -> Iterator[Step]:
        """Yields the steps that are possible in this state, in a deterministic order."""
        model = self.model
        yield from self._delivery_steps()
        if self.now < model.ticks:
            yield Step(StepKind.TICK)
        yield from self._renewal_steps()
        if self.changes < model.changes:
            yield Step(StepKind.PROPOSE)
        yield from self._withdrawal_steps()
        yield from self._recovery_steps()
        if self.crashes < model.crashes:
            yield from (Step(StepKind.CRASH, member) for member in range(model.acceptors))
        if self.state_losses < model.state_losses:
            yield from (Step(StepKind.LOSE_STATE, member) for member in range(model.acceptors))

    def _delivery_steps(self) -> Iterator[Step]:
        may_duplicate = self.duplicates < self.model.duplicates
        for delivery in self.in_flight:
            yield Step(StepKind.DELIVER, delivery)
            if may_duplicate:
                yield Step(StepKind.DUPLICATE, delivery)

    def _renewal_steps(self) -> Iterator[Step]:
        for member in self.lease_holders:
            if self.renewals[member] < self.model.renewals:
                yield Step(StepKind.RENEW, member)

    def _withdrawal_steps(self) -> Iterator[Step]:
        if self.withdrawals >= self.model.withdrawals:
            return
        may_withdraw_late = self.model.withdraws_after_vote_request
        for index, proposal in enumerate(self.proposals):
            before_vote_request = proposal.phase in (Phase.VALIDATE, Phase.PREPARE)
            if proposal.version is None or not (before_vote_request or may_withdraw_late):
                continue
            if proposal.phase is not Phase.REJECTED and not self._was_decided(proposal.version):
                yield Step(StepKind.WITHDRAW, index)

    def _recovery_steps(self) -> Iterator[Step]:
        if self.recoveries >= self.model.recoveries:
            return
        for member, acceptor in self.acceptors.items():
            if acceptor.pending_version is not None:
                yield Step(StepKind.RECOVER, member)

    def apply(self, step: Step) -> State:
        """Returns the state after the step."""
        state = self.clone()
        state._apply(step)
        state.check_invariants()
        return state

    def _apply(self, step: Step) -> None:
        target = step.target
        match step.kind:
            case StepKind.DELIVER:
                self.deliver(target)
            case StepKind.DUPLICATE:
                self.duplicates += 1
                self.in_flight[target] += 1
                self.deliver(target)
            case StepKind.TICK:
                self.now += 1
            case StepKind.RENEW:
                self.renewals[target] += 1
                self._execute(target, self.lease_holders[target].on_timer(float(self.now)))
            case StepKind.PROPOSE:
                self.changes += 1
                # Followers are numbered after the acceptors; the author is the last of them.
                self._propose(max(self.lease_holders), f"change {self.changes}")
            case StepKind.WITHDRAW:
                self._withdraw(self.proposals[target])
            case StepKind.RECOVER:
                self.recoveries += 1
                self._propose(target, "")
            case StepKind.CRASH:
                self.crashes += 1
                self._restart(target)
            case StepKind.LOSE_STATE:
                self._lose_state(target)

    def _withdraw(self, proposal: Proposal) -> None:
        assert proposal.version is not None
        self.withdrawals += 1
        proposal.phase = Phase.REJECTED
        self.withdrawn |= {proposal.version.digest}

    def _lose_state(self, member: int) -> None:
        self.state_losses += 1
        genesis = Decided(self.decided[1], Ballot(), ())
        storage_id = self.stored[member].acceptor_id.storage_id
        if not self.model.keeps_id_after_state_loss:
            storage_id += 1
        self.stored[member] = AcceptorState(AcceptorId(member, storage_id), genesis)
        self._restart(member)

    def _restart(self, member: int) -> None:
        incarnation = INCARNATION_STRIDE * self.crashes + member
        self._start_instance(member, self.stored[member], incarnation)

    def _start_instance(self, member: int, stored: AcceptorState, incarnation: int) -> None:
        settings = LeaseSettings(float(self.model.lease), 1.0)
        self.acceptors[member] = self.model.acceptor_type(stored, sign_nothing, accept_any_signature)
        self.lease_holders[member] = self.model.lease_holder_type(
            member, stored.decided, settings, accept_any_signature, incarnation
        )

    def _propose(self, member: int, change: str) -> None:
        latest = self.lease_holders[member].latest.version
        round_ = 1 + len(self.proposals)
        acceptors = latest.acceptors
        voting_members = {acceptor_id.member for acceptor_id in acceptors}
        free = [other for other in self.lease_holders if other not in voting_members]
        if self.model.replaces_acceptors and free:
            acceptors = (*acceptors[1:], self.acceptors[free[0]].acceptor_id)
        version = None
        if change:
            version = Version(latest.number + 1, f"body of {change}", acceptors, member, change)
        proposal = self.model.proposal_type(latest, Ballot(round_, member, 0), version)
        self.proposals.append(proposal)
        self._execute(member, proposal.start())

    def deliver(self, delivery: InFlight) -> None:
        """Delivers a message to the acceptor, the lease holder and the open proposals of its receiver."""
        to, sender, message = delivery
        count = self.in_flight.pop(delivery)
        if count > 1:
            self.in_flight[delivery] = count - 1
        if to in self.acceptors:
            self._execute(to, self.acceptors[to].handle(sender, message))
        if to in self.lease_holders:
            self._execute(to, self.lease_holders[to].handle(float(self.now), sender, message))
        for proposal in self.proposals:
            under_way = proposal.phase not in (Phase.DECIDED, Phase.REJECTED)
            if proposal.ballot.proposer == to and under_way:
                self._execute(to, proposal.handle(sender, message))

    def _execute(self, member: int, actions: Iterable[object]) -> None:
        for action in actions:
            match action:
                case Persist(state):
                    if not self.model.sends_before_persisting:
                        self.stored[member] = state
                case Send(to, message):
                    self._send(InFlight(to, member, message))
                case PrepareVersion(version):
                    lease_holder = self.lease_holders[member]
                    self._execute(member, lease_holder.on_prepared(float(self.now), version.number))
                case Chosen(decided):
                    self._decide(decided.version)
                    for to in self.lease_holders:
                        self._send(InFlight(to, member, decided))

    def _send(self, delivery: InFlight) -> None:
        self.in_flight[delivery] = self.in_flight.get(delivery, 0) + 1

    # Invariants

    def _was_decided(self, version: Version) -> bool:
        return self.decided.get(version.number) == version

    def _decide(self, version: Version) -> None:
        if version.digest in self.withdrawn:
            self.violation = f"nowhere: {version.digest!r} is decided, but its author has withdrawn it"
        before = self.decided.setdefault(version.number, version)
        if before != version:
            self.violation = (
                f"one: {before.digest!r} and {version.digest!r} are both version {version.number}"
            )

    def check_invariants(self) -> None:
        """Sets `violation` if an instance may use a version that it must not use."""
        now = float(self.now)
        active = [
            (member, version)
            for member, holder in self.lease_holders.items()
            if (version := holder.leased_version(now)) is not None
        ]
        for member, version in active:
            if not self._was_decided(version):
                self.violation = f"nowhere: {member} may use {version.digest!r}, which is not decided"
            self.first_active.setdefault(version.number, self.now)
        for member, version in active:
            newer = [at for number, at in self.first_active.items() if number > version.number]
            if newer and self.now >= min(newer) + self.model.lease and not self.violation:
                late = self.now - min(newer)
                self.violation = f"atomic: {member} may use an old version {late} ticks after a newer one"


def _copy_lease_holder(lease_holder: LeaseHolder) -> LeaseHolder:
    copied = copy.copy(lease_holder)
    copied._granted_by = set(lease_holder._granted_by)
    copied._past_versions = dict(lease_holder._past_versions)
    copied.rejected = dict(lease_holder.rejected)
    copied.lagging_acceptors = dict(lease_holder.lagging_acceptors)
    return copied


def _copy_proposal(proposal: Proposal) -> Proposal:
    return replace(
        proposal,
        approving=set(proposal.approving),
        rejections=dict(proposal.rejections),
        promises=dict(proposal.promises),
        votes=dict(proposal.votes),
    )
