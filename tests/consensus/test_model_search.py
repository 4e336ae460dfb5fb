"""Tests with the model checker: no run violates an invariant, and each broken guard has a counterexample."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.consensus import lease_holder as lease_holder_module
from client_proxy.consensus import proposer as proposer_module
from client_proxy.consensus.acceptor import Acceptor
from client_proxy.consensus.lease_holder import LeaseHolder
from client_proxy.consensus.messages import (
    ZERO_BALLOT,
    Accept,
    Decided,
    LeaseGrant,
    Message,
    Promise,
    Version,
)
from client_proxy.consensus.model import InFlight, Model, Step, StepKind
from client_proxy.consensus.model_checker import State
from client_proxy.consensus.model_search import (
    SearchResult,
    explore_exhaustively,
    shorten_run,
    walk_randomly,
)
from client_proxy.consensus.proposer import Chosen, Proposal
from tests.support.fixed_draws import fixed_draws

MANY_FAULTS = Model(followers=2, changes=2, ticks=14, crashes=2, duplicates=2, recoveries=3, renewals=12)
NO_FAULTS = Model(followers=2, changes=1, ticks=14, recoveries=0, renewals=14)
SMALL = Model(followers=1, renewals=1, ticks=2, recoveries=0)
WALK_STEPS = 300
MAX_SHORT_RUN = 45


class GrantsWhileVoting(Acceptor):
    @property
    def pending_version(self) -> Version | None:
        return None


class ForgetsItsPromise(Acceptor):
    def _handle_accept(self, sender: int, message: Accept) -> list[Any]:
        self.state = msgspec.structs.replace(self.state, promised_ballot=ZERO_BALLOT)
        return super()._handle_accept(sender, message)


class CountsLeaseFromGrant(LeaseHolder):
    def handle(self, now_ms: float, sender: int, message: Message) -> list[Any]:
        if isinstance(message, LeaseGrant):
            self._requested_ms = now_ms
        return super().handle(now_ms, sender, message)


class NeedsOneGrant(LeaseHolder):
    def _handle_grant(self, sender: int, message: LeaseGrant) -> list[Any]:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(lease_holder_module, "majority", lambda acceptor_count: 1)
            return super()._handle_grant(sender, message)


class IgnoresLeaseEnd(LeaseHolder):
    def leased_version(self, now_ms: float) -> Version | None:
        return self.active_version


class ActivatesWithoutLease(LeaseHolder):
    def learn(self, now_ms: float, message: Decided) -> list[Any]:
        actions = super().learn(now_ms, message)
        if self.latest is message:
            self.active_version, self._lease_until_ms = message.version, now_ms + 2
        return actions


class IgnoresEarlierVotes(Proposal):
    def _handle_promise(self, sender: int, message: Promise) -> list[Any]:
        without_vote = Promise(message.number, message.ballot, message.acceptor_id)
        return super()._handle_promise(sender, without_vote)


class NeedsOneVote(Proposal):
    def handle(self, sender: int, message: Message) -> list[Any]:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(proposer_module, "majority", lambda acceptor_count: 1)
            return super().handle(sender, message)


class IsChosenByOnePromise(Proposal):
    def _handle_promise(self, sender: int, message: Promise) -> list[Any]:
        assert self.version is not None
        return [Chosen(Decided(self.version, self.ballot, ()))]


# The model with the broken guard, the violated invariant, and the first seed with a counterexample, where
# the search starts.
BROKEN_GUARDS: dict[str, tuple[Model, str, int]] = {
    "promise": (replace(MANY_FAULTS, acceptor_type=ForgetsItsPromise), "one", 1),
    "earlier votes": (replace(MANY_FAULTS, proposal_type=IgnoresEarlierVotes), "one", 472),
    "majority of votes": (replace(MANY_FAULTS, proposal_type=NeedsOneVote), "one", 115),
    "persist before send": (replace(MANY_FAULTS, sends_before_persisting=True, crashes=3), "one", 348),
    "new id after state loss": (
        replace(MANY_FAULTS, state_losses=2, crashes=0, keeps_id_after_state_loss=True), "one", 697,
    ),
    "majority of grants": (replace(NO_FAULTS, lease_holder_type=NeedsOneGrant), "atomic", 46),
    "end of a lease": (replace(NO_FAULTS, lease_holder_type=IgnoresLeaseEnd), "atomic", 6),
    "lease from its request": (replace(NO_FAULTS, lease_holder_type=CountsLeaseFromGrant), "atomic", 1092),
    "no withdrawal after a vote request": (
        replace(MANY_FAULTS, withdrawals=1, withdraws_after_vote_request=True), "nowhere", 1,
    ),
    "no grant while voting": (
        replace(NO_FAULTS, acceptor_type=GrantsWhileVoting, replaces_acceptors=True), "atomic", 58,
    ),
}  # fmt: skip


def search(model: Model, seeds: Sequence[int]) -> SearchResult | None:
    for seed in seeds:
        result = walk_randomly(model, seed, WALK_STEPS)
        if result.violation:
            return result
    return None


@pytest.mark.parametrize("guard", BROKEN_GUARDS)
def test_each_broken_guard_has_a_short_counterexample(guard: str) -> None:
    model, invariant, first_seed = BROKEN_GUARDS[guard]
    result = search(model, range(first_seed, first_seed + 3000))
    assert result is not None, "no counterexample"
    assert result.violation.startswith(invariant), result.violation
    run = shorten_run(model, result.run)
    assert len(run) <= MAX_SHORT_RUN, run
    # The intact protocol keeps the invariants in the same run; steps that are not possible in it are skipped.
    intact = replace(
        model,
        acceptor_type=Acceptor,
        lease_holder_type=LeaseHolder,
        proposal_type=Proposal,
        sends_before_persisting=False,
        keeps_id_after_state_loss=False,
        withdraws_after_vote_request=False,
    )
    state = State.start(intact)
    for step in run:
        if step in list(state.steps()):
            state = state.apply(step)
        assert not state.violation


INTACT_MODELS = [
    replace(MANY_FAULTS, withdrawals=1),
    NO_FAULTS,
    replace(NO_FAULTS, replaces_acceptors=True, changes=2),
    replace(MANY_FAULTS, state_losses=1),
]


@pytest.mark.parametrize("model", INTACT_MODELS)
def test_no_random_schedule_violates_an_invariant(model: Model) -> None:
    assert search(model, range(1000, 1030)) is None


def deliver_all_but(state: State, member: int) -> State:
    """Delivers all messages in flight in order, except those from or to one member."""
    while others := [
        delivery for delivery in state.in_flight if member not in (delivery.to, delivery.sender)
    ]:
        state = state.apply(Step(StepKind.DELIVER, others[0]))
    return state


@pytest.mark.parametrize("lease_holder_type", [LeaseHolder, ActivatesWithoutLease])
def test_a_version_that_is_learned_late_is_not_activated(lease_holder_type: type[LeaseHolder]) -> None:
    """Version 2 reaches an instance after the others have used version 3 for longer than a lease."""
    state = State.start(replace(NO_FAULTS, changes=2, lease_holder_type=lease_holder_type))
    lagging_member = state.model.acceptors  # the first follower
    for _ in range(2):
        state = deliver_all_but(state.apply(Step(StepKind.PROPOSE)), lagging_member)
        for member in state.lease_holders:
            if member != lagging_member:
                state = deliver_all_but(state.apply(Step(StepKind.RENEW, member)), lagging_member)
    assert 3 in state.first_active
    for _ in range(3):
        state = state.apply(Step(StepKind.TICK))
    decided: list[tuple[int, InFlight]] = [
        (delivery.message.version.number, delivery)
        for delivery in state.in_flight
        if delivery.to == lagging_member and isinstance(delivery.message, Decided)
    ]
    _, late_delivery = min(decided, key=lambda numbered_delivery: numbered_delivery[0])
    state = state.apply(Step(StepKind.DELIVER, late_delivery))
    assert bool(state.violation) == (lease_holder_type is ActivatesWithoutLease), state.violation


def test_exhaustive_search_finds_no_violation() -> None:
    result = explore_exhaustively(replace(SMALL, followers=0), 5)
    assert not result.violation
    assert result.states > 500


def test_symmetry_reduction_visits_fewer_states_and_finds_the_same_violation() -> None:
    reduced = explore_exhaustively(SMALL, 4)
    full = explore_exhaustively(SMALL, 4, reduce_symmetry=False)
    assert reduced.states < 0.7 * full.states
    broken = replace(SMALL, proposal_type=IsChosenByOnePromise, changes=2, renewals=0, ticks=0)
    reduced, full = explore_exhaustively(broken, 8), explore_exhaustively(broken, 8, reduce_symmetry=False)
    assert reduced.violation.startswith("one")
    assert full.violation.startswith("one")
    assert len(reduced.run) == len(full.run) >= 4
    assert reduced.states < full.states


def test_schedules_reach_the_new_version() -> None:
    """Guards against a search that passes only because no schedule decides and activates a version."""
    reached = []
    for seed in range(12):
        random, state = Random(seed), State.start(NO_FAULTS)
        for _ in range(WALK_STEPS):
            choices = [
                step for step in state.steps() if step.kind is not StepKind.TICK or random.random() < 0.1
            ]
            if not choices:
                break
            state = state.apply(random.choice(choices))
        reached.append(max(state.first_active))
    assert reached.count(2) >= 4


@fixed_draws("no_schedule_that_hypothesis_draws_breaks_it")
@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.data())
def test_no_schedule_drawn_by_hypothesis_violates_an_invariant(data: st.DataObject) -> None:
    """Steps are drawn one by one, so that Hypothesis can shrink a violating schedule."""
    replaces_acceptors = data.draw(st.booleans())
    model = replace(MANY_FAULTS, withdrawals=1, state_losses=1, replaces_acceptors=replaces_acceptors)
    state = State.start(model)
    for _ in range(data.draw(st.integers(20, 120))):
        steps = list(state.steps())
        # Deliveries are drawn more often than other steps, as in the random walk: a state has many possible
        # deliveries and only a few other steps.
        deliveries = [step for step in steps if step.kind is StepKind.DELIVER]
        delivery_choice: int = data.draw(st.integers(0, 3))
        choices = deliveries if deliveries and delivery_choice else steps
        if not choices:
            break
        index: int = data.draw(st.integers(0, len(choices) - 1))
        state = state.apply(choices[index])
        assert not state.violation, state.violation
