"""Decides the steps of a rollout: when a stage ends and which state follows.

The agreed policy file holds the whole state of a rollout: the stage, its members and its phase. For each
version of the file every acceptor creates a controller from this state. All controllers observe the outcomes;
only the acceptor with the lowest number among those that can be reached proposes the steps. A step is a
change of the policy file, based on the version that the controller was created from. So at most one step is
decided, even if two controllers propose, or one whose process was suspended meanwhile.

Not every failure is caused by the new version. While the control group, which still uses the old version,
fails more than in its baseline as well, windows are not compared and the stage does not change. If this began
with the stage, the new version may overload the servers for all instances. Then all instances use the old
version for some seconds (a probe). If the failures end during the probe, the stage is started again, and if
they return, the version is rolled back. If they do not end, the rollout waits until they are over.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import sqrt

from client_proxy.rollout.canary_analysis import Baseline, Comparison, OutcomeCount, Verdict
from client_proxy.rollout.outcome_counts import ALL_CLASSES, Window, group_total, total
from client_proxy.rollout.stages import stage_members

DEGRADED_MARGIN = 0.05
"""Difference of failure rates; the control group is degraded if it exceeds its baseline by more than this."""
DEGRADED_DEVIATIONS = 5.0
"""Standard deviations by which the control group must exceed its baseline as well to count as degraded."""
RECENT_WINDOWS = 5
"""Windows from which the present failure rate of the control group is computed."""
PROBE_WITHIN_S = 20.0
"""Seconds; a degradation within this time after the start of a stage may be caused by the stage."""
PROBE_S = 10.0
"""Seconds after the start of a probe within which a degradation ends if the stage caused it."""
NO_MEMBERS = frozenset[int]()


class Phase(StrEnum):
    """Phase of a rollout. The values are those in the agreed policy file."""

    RUNNING = "running"
    PROBING = "probing"  # all instances use the old version, to test whether the stage causes failures
    AWAITING_OPERATOR = "asks"
    PAUSED = "paused"


class UndecidedAction(StrEnum):
    """What happens if a stage is still undecided at its maximum duration."""

    ASK = "ask"
    GO_ON = "go-on"


@dataclass(frozen=True, slots=True)
class Plan:
    """The operator's plan of a rollout.

    Attributes:
        name: Name of the rollout.
        stage_shares: Share of all instances that use the new version, for each stage.
        baseline_s: How long the baseline of all instances is recorded before the first stage.
        warm_up_s: Length of the first part of each stage, whose windows are not compared.
        min_stage_s: Minimum time for which windows of a stage are compared.
        min_requests: Minimum number of requests of the canary group in a stage.
        max_stage_s: Duration of a stage after which `when_undecided` applies.
        tolerated_difference: Difference of failure rates up to which the versions count as equal.
        alpha: Probability of a false alarm over all stages and classes.
        when_undecided: What happens if a stage has no verdict after `max_stage_s`.
        confirmed_stages: Stages that begin only after an operator has confirmed them.
    """

    name: str
    stage_shares: tuple[float, ...] = (0.05, 0.25, 0.5, 1.0)
    baseline_s: float = 15.0
    warm_up_s: float = 5.0
    min_stage_s: float = 20.0
    min_requests: int = 200
    max_stage_s: float = 300.0
    tolerated_difference: float = 0.02
    alpha: float = 0.01
    when_undecided: UndecidedAction = UndecidedAction.ASK
    confirmed_stages: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The agreed state of a rollout.

    Attributes:
        stage: Number of the stage, from 1; 0 while all use the old version and the baseline is recorded.
        members: Member numbers of the canary group.
        phase: Phase of the rollout.
        reason: Why the rollout is in this phase, for operators.
        probes: Number of probes of this stage in which the failures ended.
    """

    stage: int = 0
    members: tuple[int, ...] = ()
    phase: Phase = Phase.RUNNING
    reason: str = ""
    probes: int = 0


@dataclass(frozen=True, slots=True)
class Transition:
    """The rollout goes on with another state."""

    state: RolloutState


@dataclass(frozen=True, slots=True)
class Promote:
    """The rollout ends: all instances use the new version from now on."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """The rollout ends: all instances use the old version again."""

    reason: str


Action = Transition | Promote | Rollback


@dataclass(frozen=True, slots=True)
class DifferenceEstimate:
    """Estimated difference between the failure rates of the canary and the control group.

    Attributes:
        difference: Positive if the canary group fails more.
        low: Lower confidence bound.
        high: Upper confidence bound.
        canary_requests: Requests of the canary group that were compared.
    """

    difference: float
    low: float
    high: float
    canary_requests: int


@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """State of a controller as operators see it.

    Attributes:
        control_degraded: The control group fails more than in its baseline; windows are not compared.
        compared_s: How long windows of this stage have been compared.
        estimates: By class name; those of all classes together under `ALL_CLASSES`.
    """

    control_degraded: bool
    compared_s: float
    estimates: dict[str, DifferenceEstimate]


class RolloutController:
    """Decides the next step of a rollout from one of its states.

    Args:
        plan: The operator's plan.
        state: The agreed state.
        classes: Names of the request classes. Each is compared separately, and all together.
        now_s: When this state took effect at this instance.
        baseline_windows: Windows of stage 0, in which all instances used the old version.

    Attributes:
        control_degraded: The control group fails more than in its baseline.
        without_control: All instances that report use the new version, so there is no control group.
    """

    def __init__(
        self,
        plan: Plan,
        state: RolloutState,
        classes: Sequence[str],
        now_s: float,
        baseline_windows: Sequence[Window],
    ) -> None:
        self.plan, self.state = plan, state
        self.control_degraded = False
        self.without_control = False
        self._started_s = now_s
        self._members = frozenset(state.members)
        self._baseline_windows = list(baseline_windows)
        self._baseline_position = 0
        self._comparisons = self._new_comparisons(classes)
        self._control_baseline = total(
            group_total(window, NO_MEMBERS, False, ALL_CLASSES) for window in self._baseline_windows
        )
        self._recent_control: deque[OutcomeCount] = deque(maxlen=RECENT_WINDOWS)
        self._healthy_since_s: float | None = now_s
        self._compared_s = 0.0

    def _new_comparisons(self, classes: Sequence[str]) -> dict[str, Comparison]:
        comparisons = max(1, len(self.plan.stage_shares) * (len(classes) + 1))
        alpha = self.plan.alpha / comparisons
        return {
            class_name: Comparison(alpha, Baseline(self._baseline_pairs(class_name)))
            for class_name in (ALL_CLASSES, *classes)
        }

    def _baseline_pairs(self, class_name: str) -> list[tuple[OutcomeCount, OutcomeCount]]:
        return [
            (
                group_total(window, self._members, True, class_name),
                group_total(window, self._members, False, class_name),
            )
            for window in self._baseline_windows
        ]

    def observe(
        self, now_s: float, window: Window, duration_s: float, zones: Mapping[int, str]
    ) -> Action | None:
        """Process a closed window and return the step to take, if any.

        Args:
            now_s: End of the window.
            window: Outcomes in the window.
            duration_s: Length of the window.
            zones: Zones of the members that report at present.
        """
        self._update_control_health(now_s, window)
        elapsed_s = now_s - self._started_s
        if self.state.phase is Phase.PROBING:
            return self._step_while_probing(now_s, elapsed_s)
        if self.state.phase is not Phase.RUNNING:
            return None
        if self.state.stage == 0:
            baseline_complete = elapsed_s >= self.plan.baseline_s and not self.control_degraded
            return self._next_stage(zones) if baseline_complete else None
        if self.control_degraded:
            return self._step_while_degraded(elapsed_s)
        if elapsed_s >= self.plan.warm_up_s:
            self._compare(window, duration_s, zones)
        return self._evaluate_stage(elapsed_s, zones)

    def _update_control_health(self, now_s: float, window: Window) -> None:
        canary = self._members if self.state.phase is not Phase.PROBING else NO_MEMBERS
        self._recent_control.append(group_total(window, canary, False, ALL_CLASSES))
        was_degraded, self.control_degraded = self.control_degraded, self._is_control_degraded()
        if self.control_degraded:
            self._healthy_since_s = None
        elif was_degraded or self._healthy_since_s is None:
            self._healthy_since_s = now_s

    def _is_control_degraded(self) -> bool:
        recent = total(self._recent_control)
        if not recent.requests or not self._control_baseline.requests:
            return False
        baseline_rate = self._control_baseline.failure_rate
        deviation = sqrt(baseline_rate * (1 - baseline_rate) / recent.requests)
        margin = max(DEGRADED_MARGIN, DEGRADED_DEVIATIONS * deviation)
        return recent.failures / recent.requests > baseline_rate + margin

    def _step_while_degraded(self, elapsed_s: float) -> Action | None:
        """Start a probe if the degradation began with the stage; if it returns after a probe, roll back."""
        has_enough_windows = len(self._recent_control) == RECENT_WINDOWS
        if elapsed_s > PROBE_WITHIN_S or not has_enough_windows or self.state.stage <= 1:
            return None
        if self.state.probes:
            # The first time may be a coincidence: a rack may fail when the stage begins and recover during
            # the probe.
            finding = "twice the others did worse with it as well, and not without it"
            return Rollback(f"stage {self.state.stage}: {finding}")
        reason = f"the others do worse since stage {self.state.stage} began: all by the old one"
        return self._change_phase(Phase.PROBING, reason)

    def _step_while_probing(self, now_s: float, elapsed_s: float) -> Action | None:
        """End the probe once the control group has recovered, during the probe or after its deadline."""
        deadline_s = PROBE_S + RECENT_WINDOWS
        healthy_since_s = self._healthy_since_s
        if (
            healthy_since_s is not None
            and now_s - healthy_since_s >= RECENT_WINDOWS
            and elapsed_s <= deadline_s
        ):
            reason = "the trouble ended without the stage: once more"
            return self._change_phase(Phase.RUNNING, reason, probes=1)
        if elapsed_s > deadline_s and not self.control_degraded:
            return self._change_phase(Phase.RUNNING, "the trouble went on without the stage, and is over")
        return None

    def _compare(self, window: Window, duration_s: float, zones: Mapping[int, str]) -> None:
        self._compared_s += duration_s
        # Without any report in this window nothing is known about a control group.
        self.without_control = bool(zones) and zones.keys() <= self._members
        control_window = self._control_window(window)
        for class_name, comparison in self._comparisons.items():
            comparison.add(
                group_total(window, self._members, True, class_name),
                group_total(control_window, self._members, self.without_control, class_name),
            )

    def _control_window(self, window: Window) -> Window:
        """Return the window with which the canary group is compared.

        Without a control group this is a window of the canary group's own baseline. Server faults do not
        cancel out in this comparison, so the rollout then asks the operator and is not rolled back.
        """
        if self.without_control and self._baseline_windows:
            self._baseline_position += 1
            return self._baseline_windows[self._baseline_position % len(self._baseline_windows)]
        return window

    def _evaluate_stage(self, elapsed_s: float, zones: Mapping[int, str]) -> Action | None:
        verdicts = {
            class_name: comparison.verdict(self.plan.tolerated_difference)
            for class_name, comparison in self._comparisons.items()
        }
        for class_name, verdict in verdicts.items():
            if verdict is Verdict.WORSE:
                return self._end_as_worse(class_name)
        compared_long = self._compared_s >= self.plan.min_stage_s
        canary_requests = self._comparisons[ALL_CLASSES].canary_total.requests
        has_enough_data = compared_long and canary_requests >= self.plan.min_requests
        if has_enough_data and verdicts[ALL_CLASSES] is Verdict.NOT_WORSE:
            return self._next_stage(zones)
        if self.without_control and not self._baseline_windows and compared_long:
            return self._next_stage(zones)
        if elapsed_s < self.plan.max_stage_s:
            return None
        if has_enough_data and self.plan.when_undecided is UndecidedAction.GO_ON:
            return self._next_stage(zones)
        bounds = self._comparisons[ALL_CLASSES].bounds
        reason = (
            f"stage {self.state.stage}: nothing can be said after {elapsed_s:.0f} s "
            f"({bounds.low:.3f} to {bounds.high:.3f})"
        )
        return self._change_phase(Phase.AWAITING_OPERATOR, reason)

    def _end_as_worse(self, class_name: str) -> Action:
        """Roll back as a class is worse; without a control group in the same seconds, ask the operator."""
        comparison = self._comparisons[class_name]
        bounds = comparison.bounds
        subject = f"class {class_name}" if class_name != ALL_CLASSES else "all classes together"
        if self.without_control:
            reason = f"with all by the new one {subject} lose {comparison.difference:.3f} more than before"
            return self._change_phase(Phase.AWAITING_OPERATOR, reason)
        finding = f"{subject} lose {comparison.difference:.3f} more ({bounds.low:.3f} to {bounds.high:.3f})"
        return Rollback(f"stage {self.state.stage}: {finding}")

    def _change_phase(self, phase: Phase, reason: str, probes: int = 0) -> Transition:
        return Transition(RolloutState(self.state.stage, self.state.members, phase, reason, probes))

    def _next_stage(self, zones: Mapping[int, str]) -> Action:
        stage = self.state.stage + 1
        if stage > len(self.plan.stage_shares):
            return Promote()
        if stage in self.plan.confirmed_stages:
            return self._change_phase(Phase.AWAITING_OPERATOR, f"stage {stage} is to be confirmed")
        return Transition(self._state_of_stage(stage, zones))

    def _state_of_stage(self, stage: int, zones: Mapping[int, str]) -> RolloutState:
        share = self.plan.stage_shares[stage - 1]
        return RolloutState(stage, stage_members(self.plan.name, zones, share, self.state.members))

    def resumed_state(self, zones: Mapping[int, str]) -> RolloutState | None:
        """Return the state after an operator's command to go on; None if the rollout needs none."""
        if self.state.phase is Phase.PAUSED:
            return RolloutState(self.state.stage, self.state.members)
        if self.state.phase is not Phase.AWAITING_OPERATOR:
            return None
        stage = self.state.stage + 1
        if stage > len(self.plan.stage_shares):
            return RolloutState(self.state.stage, self.state.members)
        return self._state_of_stage(stage, zones)

    def status(self) -> ControllerStatus:
        """Return the controller's state and estimates so far."""
        estimates = {}
        for class_name, comparison in self._comparisons.items():
            bounds = comparison.bounds
            estimates[class_name] = DifferenceEstimate(
                comparison.difference, bounds.low, bounds.high, comparison.canary_total.requests
            )
        return ControllerStatus(self.control_degraded, self._compared_s, estimates)


def is_first_heard_acceptor(heard: Sequence[int], acceptors: Sequence[int], member: int) -> bool:
    """Return whether `member` is the lowest-numbered acceptor among `heard` and itself."""
    return member in acceptors and member == min({*heard, member} & set(acceptors))
