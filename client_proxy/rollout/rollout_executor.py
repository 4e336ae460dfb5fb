"""A rollout at one instance: it reports counts, closes windows and proposes the controller's steps.

The decisions are made in `rollout_controller`; this module has the timer, the messages and the policy file.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from client_proxy.config.models import RolloutTable
from client_proxy.config.policy import Policy
from client_proxy.consensus.messages import OutcomeReport
from client_proxy.rollout.errors import NoRolloutError, OrderNotApplicableError, RolloutInProgressError
from client_proxy.rollout.file import with_rollout, without_rollout
from client_proxy.rollout.outcome_counts import (
    ALL_CLASSES,
    MAX_MEMBERS,
    CumulativeCounts,
    OutcomeCounts,
    Window,
)
from client_proxy.rollout.rollout_controller import (
    Action,
    ControllerStatus,
    Phase,
    Plan,
    Promote,
    Rollback,
    RolloutController,
    RolloutState,
    Transition,
    UndecidedAction,
)

log = logging.getLogger(__name__)

WINDOW_S = 1.0  # seconds from one report, and from one closed window, to the next
MAX_WINDOW_S = 3 * WINDOW_S  # seconds; a window that lasted longer is not evaluated
MAX_CLASSES = 20  # classes with counters at one instance; outcomes of further ones are not counted
MAX_REASON_CHARACTERS = 300  # what the policy file's `reason` key may hold
MEMBER_TIMEOUT_S = 5.0
"""Seconds; a member whose last report is older does not count as present."""

Propose = Callable[[bytes, str], None]
"""Proposes a policy file, with a reason for the history.

Raises ValueError if it cannot be proposed now, such as while another change is in progress, or OSError.
"""


def plan_from_table(table: RolloutTable) -> Plan:
    """Return the plan in the policy file's `[rollout]` table."""
    return Plan(
        name=table.name,
        stage_shares=table.shares,
        baseline_s=table.past_s,
        warm_up_s=table.warm_s,
        min_stage_s=table.least_s,
        min_requests=table.least_requests,
        max_stage_s=table.most_s,
        tolerated_difference=table.borne,
        alpha=table.alpha,
        when_undecided=UndecidedAction(table.undecided),
        confirmed_stages=table.confirm,
    )


def state_from_table(table: RolloutTable) -> RolloutState:
    """Return the rollout state in the policy file's `[rollout]` table."""
    return RolloutState(table.stage, table.members, Phase(table.what), table.reason, table.probes)


def table_with_state(table: RolloutTable, state: RolloutState) -> RolloutTable:
    """Return a copy of the table with its state replaced by `state`."""
    return table.model_copy(
        update={
            "stage": state.stage,
            "members": state.members,
            "what": state.phase.value,
            "reason": state.reason[:MAX_REASON_CHARACTERS],
            "probes": state.probes,
        }
    )


def status_fields(status: ControllerStatus) -> dict[str, object]:
    """Return the controller's keys of the answer on the control socket."""
    estimates = {
        "all" if class_name == ALL_CLASSES else class_name: [
            round(estimate.difference, 4),
            round(estimate.low, 4),
            round(estimate.high, 4),
            estimate.canary_requests,
        ]
        for class_name, estimate in status.estimates.items()
    }
    return {
        "troubled": status.control_degraded,
        "judged_s": round(status.compared_s, 1),
        "lose_more": estimates,
    }


@dataclass(slots=True)
class RequestCounter:
    """Requests of one class that ended at this instance, and those of them not served in time."""

    requests: int = 0
    failures: int = 0


class RolloutExecutor:
    """Takes part in rollouts for one instance.

    Args:
        zone: Zone of this instance.
        incarnation: Distinguishes this process from earlier ones of the same instance.
        now_s: Monotonic clock, in seconds.
        send_counts: Sends this instance's counts to the acceptors.
        propose: Proposes a change of the policy file.
        is_active: Returns whether this instance is the one that proposes the controller's steps.

    Attributes:
        counters: By class name, since the policy version in effect was activated.
        table: The `[rollout]` table of the version in effect; None without a rollout.
        controller: Decides the steps of the rollout; None without a rollout.
    """

    def __init__(
        self,
        zone: str,
        incarnation: int,
        now_s: Callable[[], float],
        send_counts: Callable[[OutcomeReport], None],
        propose: Propose,
        is_active: Callable[[], bool],
    ) -> None:
        self._zone, self._incarnation, self._now_s = zone, incarnation, now_s
        self._send_counts, self._propose, self._is_active = send_counts, propose, is_active
        self.counters: dict[str, RequestCounter] = {}
        self.table: RolloutTable | None = None
        self.controller: RolloutController | None = None
        self._policy_text, self._version = "", 0
        self._outcomes = OutcomeCounts()
        self._baseline_windows: list[Window] = []
        self._last_report_s: dict[int, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._window_closed_s = 0.0

    def record_outcome(self, class_name: str, in_time: bool) -> None:
        """Count a request that has ended at this instance, if its class has a counter or can get one."""
        counter = self.counters.get(class_name)
        if counter is None:
            if len(self.counters) >= MAX_CLASSES:
                return
            counter = self.counters[class_name] = RequestCounter()
        counter.requests += 1
        counter.failures += not in_time

    def activate_version(self, version: int, policy: Policy, content: bytes) -> None:
        """Start or continue the rollout, if any, of a policy version that takes effect at this instance.

        Args:
            version: Number of the version.
            policy: The policy read from `content`.
            content: The policy file.
        """
        previous, self.table = self.table, policy.rollout
        self._version = version
        self.counters.clear()  # so that classes of earlier policies do not use up `MAX_CLASSES`
        if self.table is None:
            if previous is not None:
                log.info("rollout %s has ended", previous.name)
            self.close()
            return
        self._policy_text = content.decode()
        self._update_baseline(previous, self.table)
        now_s = self._now_s()
        classes = [request_class.name for request_class in policy.classes]
        self.controller = RolloutController(
            plan_from_table(self.table), state_from_table(self.table), classes, now_s, self._baseline_windows
        )
        if self._timer is None:
            self._window_closed_s = now_s
            self._start_timer()

    def _update_baseline(self, previous: RolloutTable | None, table: RolloutTable) -> None:
        """Start recording a baseline for a new rollout; store it when the first stage begins."""
        if previous is None or previous.name != table.name:
            log.info("rollout %s: recording the baseline of all instances", table.name)
            self._outcomes, self._baseline_windows = OutcomeCounts(), []
        elif previous.stage == 0 and table.stage > 0:
            self._baseline_windows = list(self._outcomes.windows)
        if previous is None or (previous.stage, previous.what) != (table.stage, table.what):
            log.info("rollout %s: stage %d, %s %s", table.name, table.stage, table.what, table.reason)

    def close(self) -> None:
        """Stop taking part in a rollout; cancels the timer."""
        self.table = self.controller = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def receive_counts(self, member: int, message: OutcomeReport) -> None:
        """Record a member's counts if they belong to the version in effect at this instance."""
        if self.table is None or message.version != self._version:
            return
        report = CumulativeCounts(message.incarnation, message.version, message.counts)
        self._outcomes.record(member, message.zone, report)
        self._last_report_s.pop(member, None)
        self._last_report_s[member] = self._now_s()
        if len(self._last_report_s) > MAX_MEMBERS:
            del self._last_report_s[next(iter(self._last_report_s))]

    def present_zones(self) -> dict[int, str]:
        """Return the zones of the members that reported within `MEMBER_TIMEOUT_S`."""
        since_s = self._now_s() - MEMBER_TIMEOUT_S
        self._last_report_s = {
            member: reported_s for member, reported_s in self._last_report_s.items() if reported_s >= since_s
        }
        zones = self._outcomes.zones
        return {member: zones[member] for member in self._last_report_s if member in zones}

    def _start_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(WINDOW_S, self._tick)

    def _tick(self) -> None:
        """Report this instance's counts, close the window and propose the controller's step, if any."""
        self._timer = None
        if self.table is None or self.controller is None:
            return
        now_s = self._now_s()
        counts = {name: (counter.requests, counter.failures) for name, counter in self.counters.items()}
        self._send_counts(OutcomeReport(self._version, self._incarnation, self._zone, counts))
        window, duration_s = self._outcomes.close_window(), now_s - self._window_closed_s
        self._window_closed_s = now_s
        action = None
        # After a process was suspended, its window holds the reports of a much longer time than a second.
        if duration_s < MAX_WINDOW_S:
            action = self.controller.observe(now_s, window, duration_s, self.present_zones())
        if action is not None and self._is_active():
            self._propose_action(self.table, action)
        self._start_timer()

    def _propose_action(self, table: RolloutTable, action: Action) -> None:
        reason = _history_text(table, action)
        try:
            self._propose(self._policy_file_after(table, action), reason)
            log.info("%s", reason)
        except (ValueError, OSError) as error:
            log.info("rollout %s: the step could not be proposed: %s", table.name, error)

    def _policy_file_after(self, table: RolloutTable, action: Action) -> bytes:
        """Return the policy file that carries out the action."""
        if isinstance(action, Promote):
            return table.new.encode()
        if isinstance(action, Rollback):
            return without_rollout(self._policy_text).encode()
        return with_rollout(self._policy_text, table_with_state(table, action.state)).encode()

    # Operators' commands

    def make_file_with_rollout(self, policy_text: str, table: RolloutTable) -> bytes:
        """Return the policy file that starts a rollout.

        Raises:
            RolloutInProgressError: Another rollout is in progress.
        """
        if self.table is not None:
            raise RolloutInProgressError(f"rollout {self.table.name} is on")
        return with_rollout(policy_text, table).encode()

    def apply_order(self, order: str) -> tuple[bytes, str]:
        """Return the policy file after an operator's command, and the reason for the policy history.

        Args:
            order: The command: `pause`, `go-on` or `back`.

        Raises:
            NoRolloutError: No rollout is in progress.
            OrderNotApplicableError: The rollout is already paused, or does not wait for a command to go on.
        """
        if self.table is None or self.controller is None:
            raise NoRolloutError("no rollout is on")
        table, state = self.table, state_from_table(self.table)
        if order == "back":
            return self._policy_file_after(table, Rollback("")), f"rollout {table.name}: back"
        if order == "pause":
            if state.phase is Phase.PAUSED:
                raise OrderNotApplicableError("it is paused already")
            paused = RolloutState(state.stage, state.members, Phase.PAUSED, "by hand")
            return self._policy_file_after(table, Transition(paused)), f"rollout {table.name}: pause"
        resumed = self.controller.resumed_state(self.present_zones())
        if resumed is None:
            raise OrderNotApplicableError(f"it is {state.phase.value}: there is nothing to let go on")
        text = f"rollout {table.name}: goes on, stage {resumed.stage}"
        return self._policy_file_after(table, Transition(resumed)), text

    def status(self) -> dict[str, Any] | None:
        """Return the rollout's keys of the answer on the control socket; None without a rollout."""
        if self.table is None or self.controller is None:
            return None
        table = self.table
        return {
            "name": table.name,
            "stage": table.stage,
            "of": len(table.shares),
            "what": table.what,
            "reason": table.reason,
            "members": list(table.members),
            "there": len(self.present_zones()),
            **status_fields(self.controller.status()),
        }


def _history_text(table: RolloutTable, action: Action) -> str:
    """Return the reason that the policy history records for an action."""
    if isinstance(action, Transition):
        state = action.state
        stages = len(table.shares)
        return f"rollout {table.name}: stage {state.stage} of {stages}, {state.phase.value} {state.reason}"
    if isinstance(action, Promote):
        return f"rollout {table.name}: all go by the new one"
    return f"rollout {table.name}: back. {action.reason}"
