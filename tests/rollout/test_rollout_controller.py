"""Tests of the controller's steps with a simulated fleet, without processes and with a simulated clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise
from random import Random

from client_proxy.rollout.canary_analysis import OutcomeCount
from client_proxy.rollout.outcome_counts import Window
from client_proxy.rollout.rollout_controller import (
    Action,
    Phase,
    Plan,
    Promote,
    Rollback,
    RolloutController,
    RolloutState,
    Transition,
)
from client_proxy.rollout.stages import stage_members

ZONES = {member: f"h{member % 3}" for member in range(1, 13)}
PLAN = Plan(
    "try",
    baseline_s=10.0,
    warm_up_s=0.0,
    min_stage_s=5.0,
    min_requests=50,
    max_stage_s=60.0,
    tolerated_difference=0.05,
)
REQUESTS_PER_SECOND = 40  # of one instance
CLASSES = ("a", "b")

FailureRate = Callable[[int, bool, int], float]
"""Returns an instance's failure rate: by its number, whether it uses the new version, and the stage."""


class SimulatedFleet:
    """Twelve instances whose requests fail at a given rate, and the controller of their rollout."""

    def __init__(self, failure_rate: FailureRate, plan: Plan = PLAN, seed: int = 1) -> None:
        self.random, self.failure_rate, self.plan = Random(seed), failure_rate, plan
        self.state, self.now_s = RolloutState(), 0.0
        self.baseline_windows = list[Window]()
        self.controller = self.new_controller()
        self.actions: list[Action] = []

    @property
    def transitions(self) -> list[RolloutState]:
        """The states that the rollout has gone through."""
        return [action.state for action in self.actions if isinstance(action, Transition)]

    def new_controller(self) -> RolloutController:
        return RolloutController(self.plan, self.state, CLASSES, self.now_s, self.baseline_windows)

    def next_window(self) -> Window:
        probing = self.state.phase is Phase.PROBING
        stage = self.state.stage - 1 if probing else self.state.stage
        requests = REQUESTS_PER_SECOND // 2
        window = {}
        for member in ZONES:
            uses_new = member in self.state.members and not probing
            rate = self.failure_rate(member, uses_new, stage)
            window[member] = {
                name: OutcomeCount(requests, sum(self.random.random() < rate for _ in range(requests)))
                for name in CLASSES
            }
        return window

    def run(self, seconds: int = 400) -> Action | None:
        """Simulate seconds until the rollout ends; return its last action, or None if it has not ended."""
        for _ in range(seconds):
            self.now_s += 1.0
            window = self.next_window()
            if self.state.stage == 0:
                self.baseline_windows.append(window)
            action = self.controller.observe(self.now_s, window, 1.0, ZONES)
            if action is None:
                continue
            self.actions.append(action)
            if not isinstance(action, Transition):
                return action
            self.state = action.state
            self.controller = self.new_controller()
        return None


class FaultDuringStageThree:
    """A fault of all servers from `begin_s` to `end_s` after the start of the third stage."""

    def __init__(self, begin_s: float, end_s: float) -> None:
        self.begin_s, self.end_s = begin_s, end_s
        self.stage_began_s: float | None = None
        self.fleet = SimulatedFleet(self.failure_rate)

    def failure_rate(self, member: int, uses_new: bool, stage: int) -> float:
        if self.fleet.state.stage >= 3 and self.stage_began_s is None:
            self.stage_began_s = self.fleet.now_s
        if self.stage_began_s is None:
            return 0.01
        elapsed_s = self.fleet.now_s - self.stage_began_s
        return 0.35 if self.begin_s <= elapsed_s < self.end_s else 0.01


def test_an_equal_version_is_promoted_stage_by_stage() -> None:
    fleet = SimulatedFleet(lambda member, uses_new, stage: 0.01)
    assert isinstance(fleet.run(), Promote)
    states = fleet.transitions
    assert [state.stage for state in states] == [1, 2, 3, 4]
    assert [len(state.members) for state in states] == [1, 3, 6, 12]
    for earlier, later in pairwise(states):
        assert set(earlier.members) < set(later.members)


def test_a_worse_version_is_rolled_back_at_its_first_instance() -> None:
    fleet = SimulatedFleet(lambda member, uses_new, stage: 0.3 if uses_new else 0.01)
    end = fleet.run()
    assert isinstance(end, Rollback)
    assert "stage 1" in end.reason
    assert fleet.now_s < 30


def test_an_instance_that_was_always_worse_does_not_stop_the_rollout() -> None:
    """The instance is in a zone far from the servers, and fails more before the rollout as well."""
    first_member = stage_members("try", ZONES, 0.05)[0]
    fleet = SimulatedFleet(lambda member, uses_new, stage: 0.12 if member == first_member else 0.01)
    assert isinstance(fleet.run(), Promote)


def test_a_server_fault_pauses_the_rollout_and_is_not_attributed_to_the_version() -> None:
    fleet = SimulatedFleet(lambda member, uses_new, stage: 0.4 if 22 <= fleet.now_s <= 52 else 0.01)
    assert isinstance(fleet.run(), Promote)
    assert not [state for state in fleet.transitions if state.phase is Phase.AWAITING_OPERATOR]
    assert fleet.now_s > 52


def test_a_version_that_harms_all_instances_once_half_use_it_is_detected_by_two_probes() -> None:
    fleet = SimulatedFleet(lambda member, uses_new, stage: 0.35 if stage >= 3 else 0.01)
    end = fleet.run()
    assert isinstance(end, Rollback)
    assert "twice" in end.reason
    phases = [state.phase for state in fleet.transitions]
    assert phases[-3:] == [Phase.RUNNING, Phase.PROBING, Phase.RUNNING]


def test_a_fault_that_begins_with_a_stage_and_ends_in_its_probe_is_not_attributed_to_the_version() -> None:
    fleet = FaultDuringStageThree(begin_s=2, end_s=9).fleet
    assert isinstance(fleet.run(), Promote)
    assert Phase.PROBING in [state.phase for state in fleet.transitions]


def test_the_rollout_waits_until_a_fault_that_outlasts_the_probe_has_ended() -> None:
    fleet = FaultDuringStageThree(begin_s=0, end_s=40).fleet
    assert isinstance(fleet.run(), Promote)
    steps = [(state.stage, state.phase) for state in fleet.transitions]
    assert (3, Phase.PROBING) in steps
    assert steps.index((3, Phase.RUNNING)) < steps.index((3, Phase.PROBING))


def test_an_undecided_stage_awaits_the_operator() -> None:
    plan = replace(PLAN, max_stage_s=20.0, min_requests=10**9)
    fleet = SimulatedFleet(lambda member, uses_new, stage: 0.01, plan)
    fleet.run(60)
    assert fleet.state.phase is Phase.AWAITING_OPERATOR
    assert "nothing can be said" in fleet.state.reason
    resumed = fleet.controller.resumed_state(ZONES)
    assert resumed is not None
    assert resumed.stage == 2


def test_a_stage_that_needs_confirmation_awaits_the_operator() -> None:
    fleet = SimulatedFleet(lambda member, uses_new, stage: 0.01, replace(PLAN, confirmed_stages=(3,)))
    fleet.run(200)
    assert fleet.state.phase is Phase.AWAITING_OPERATOR
    assert fleet.state.stage == 2
    expected = RolloutState(3, stage_members("try", ZONES, 0.5, fleet.state.members))
    assert fleet.controller.resumed_state(ZONES) == expected


def test_a_version_that_all_use_and_that_is_worse_than_the_baseline_awaits_the_operator() -> None:
    plan = replace(PLAN, stage_shares=(1.0,))
    fleet = SimulatedFleet(lambda member, uses_new, stage: 0.045 if uses_new else 0.01, plan)
    fleet.run(100)
    assert fleet.state.phase is Phase.AWAITING_OPERATOR
    assert "more than before" in fleet.state.reason


def test_a_new_controller_continues_from_the_agreed_state() -> None:
    fleet = SimulatedFleet(lambda member, uses_new, stage: 0.3 if uses_new and stage >= 3 else 0.01)
    fleet.run(30)
    assert fleet.state.stage >= 2
    fleet.controller = (
        fleet.new_controller()
    )  # as created at another acceptor, which has observed stage 0 as well
    end = fleet.run()
    assert isinstance(end, Rollback)
    assert "stage 3" in end.reason
