"""Tests of a rollout at one instance: its reports, when it proposes steps, and operators' commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import pytest

from client_proxy.config.models import RolloutTable
from client_proxy.config.policy import Policy, read_policy
from client_proxy.consensus.messages import MAX_MESSAGE_BYTES, OutcomeReport, decode, encode
from client_proxy.rollout.errors import NoRolloutError, OrderNotApplicableError, RolloutInProgressError
from client_proxy.rollout.file import with_rollout
from client_proxy.rollout.outcome_counts import MAX_MEMBERS
from client_proxy.rollout.rollout_controller import is_first_heard_acceptor
from client_proxy.rollout.rollout_executor import MAX_CLASSES, RequestCounter, RolloutExecutor

SERVERS = '[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n'
POLICY = '[policy]\nattempts = {}\n[[class]]\nname = "c"\naim_ms = 1\ndeadline_ms = 2\n'
OLD_POLICY, NEW_POLICY = POLICY.format(3) + SERVERS, POLICY.format(2) + SERVERS
TABLE = RolloutTable(
    name="try",
    new=NEW_POLICY,
    past_s=3.0,
    warm_s=0.0,
    least_s=2.0,
    least_requests=10,
    most_s=30.0,
    borne=0.2,
)
REQUESTS_PER_SECOND = 40

Failures = Callable[[int], int]
"""Returns how many requests of an instance fail in a second, by the instance's number."""


def no_failures(member: int) -> int:
    return 0


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change of the policy that the executor proposed."""

    policy: Policy
    content: bytes
    reason: str


class SimulatedInstances:
    """Four instances whose reports the executor of one acceptor receives."""

    def __init__(self) -> None:
        self.now_s, self.is_active, self.is_busy = 100.0, True, False
        self.sent: list[OutcomeReport] = []
        self.proposals: list[Proposal] = []
        self.counters = {member: RequestCounter() for member in range(1, 5)}
        self.executor = RolloutExecutor(
            "h", 5, lambda: self.now_s, self.sent.append, self._propose, lambda: self.is_active
        )
        self.version = 2

    def _propose(self, content: bytes, reason: str) -> None:
        if self.is_busy:
            raise ValueError("a change is under way here")
        self.proposals.append(Proposal(read_policy(content, "x"), content, reason))

    def decide(self, content: bytes) -> None:
        """Put a policy file into effect as the next version."""
        self.version += 1
        self.executor.activate_version(self.version, read_policy(content, "x"), content)

    def pass_second(self, failures: Failures = no_failures, duration_s: float = 1.0) -> None:
        for member, counter in self.counters.items():
            counter.requests += REQUESTS_PER_SECOND
            counter.failures += failures(member)
            counts = {"c": (counter.requests, counter.failures)}
            report = OutcomeReport(self.version, member, f"h{member % 2}", counts)
            self.executor.receive_counts(member, report)
        self.now_s += duration_s
        if self.executor._timer is not None:
            self.executor._timer.cancel()
        self.executor._tick()

    def next_proposal(self, failures: Failures = no_failures) -> Proposal:
        """Simulate seconds until the executor proposes a change; return it."""
        before = len(self.proposals)
        for _ in range(200):
            if len(self.proposals) > before:
                return self.proposals[-1]
            self.pass_second(failures)
        raise AssertionError("no change was proposed in 200 s")


def run(test: Callable[[SimulatedInstances], Coroutine[Any, Any, None]]) -> None:
    """Run a test with a rollout that has just started."""

    async def with_instances() -> None:
        instances = SimulatedInstances()
        instances.decide(with_rollout(OLD_POLICY, TABLE).encode())
        try:
            await test(instances)
        finally:
            instances.executor.close()

    asyncio.run(with_instances())


def test_a_rollout_reaches_all_instances_by_versions_each_based_on_the_one_before() -> None:
    async def test(instances: SimulatedInstances) -> None:
        sizes = []
        while True:
            proposal = instances.next_proposal()
            rollout = proposal.policy.rollout
            if rollout is None:
                break
            sizes.append(len(rollout.members))
            assert proposal.reason.startswith(f"rollout try: stage {rollout.stage} of 4")
            instances.decide(proposal.content)
        assert sizes == [1, 1, 2, 4]
        assert proposal.content == NEW_POLICY.encode()
        instances.decide(proposal.content)
        assert instances.executor.table is None
        assert instances.executor.status() is None

    run(test)


def test_a_worse_version_is_rolled_back_to_the_file_before_the_rollout() -> None:
    async def test(instances: SimulatedInstances) -> None:
        first = instances.next_proposal()
        instances.decide(first.content)
        assert first.policy.rollout is not None
        (canary,) = first.policy.rollout.members
        second = instances.next_proposal(lambda member: 30 if member == canary else 0)
        assert second.policy.rollout is None
        assert "back. stage 1" in second.reason
        assert second.content.decode().strip() == OLD_POLICY.strip()

    run(test)


def test_an_inactive_instance_observes_and_acts_once_it_is_active() -> None:
    async def test(instances: SimulatedInstances) -> None:
        instances.is_active = False
        for _ in range(10):
            instances.pass_second()
        assert not instances.proposals
        instances.is_active, instances.is_busy = True, True
        instances.pass_second()
        assert (
            not instances.proposals
        )  # another change is in progress: the executor tries again at its next tick
        instances.is_busy = False
        instances.pass_second()
        assert len(instances.proposals) == 1

    run(test)


def test_a_window_that_lasted_a_minute_is_not_compared() -> None:
    async def test(instances: SimulatedInstances) -> None:
        instances.decide(instances.next_proposal().content)
        controller = instances.executor.controller
        assert controller is not None
        instances.pass_second(lambda member: 40, duration_s=60.0)
        assert controller._compared_s == 0.0
        assert len(instances.proposals) == 1

    run(test)


def test_operators_pause_resume_and_roll_back() -> None:
    async def test(instances: SimulatedInstances) -> None:
        executor = instances.executor
        with pytest.raises(RolloutInProgressError, match="is on"):
            executor.make_file_with_rollout(OLD_POLICY, TABLE)
        with pytest.raises(OrderNotApplicableError, match="nothing to let go on"):
            executor.apply_order("go-on")
        content, _ = executor.apply_order("pause")
        instances.decide(content)
        for _ in range(20):
            instances.pass_second()
        assert not instances.proposals
        assert (executor.status() or {})["what"] == "paused"
        with pytest.raises(OrderNotApplicableError, match="paused already"):
            executor.apply_order("pause")
        content, reason = executor.apply_order("go-on")
        instances.decide(content)
        assert "goes on" in reason
        assert instances.next_proposal().policy.rollout is not None
        content, _ = executor.apply_order("back")
        assert content.decode().strip() == OLD_POLICY.strip()
        instances.decide(content)
        with pytest.raises(NoRolloutError, match="no rollout"):
            executor.apply_order("back")

    run(test)


def test_counts_are_bounded_and_fit_one_datagram() -> None:
    async def test(instances: SimulatedInstances) -> None:
        for number in range(1000):
            class_name = f"class-{number:04d}-of-a-name-that-is-not-short"
            instances.executor.record_outcome(class_name, number % 2 == 0)
        instances.pass_second()
        message = instances.sent[-1]
        assert len(message.counts) == MAX_CLASSES
        assert sum(requests for requests, _ in message.counts.values()) == MAX_CLASSES
        datagram = encode(message)
        assert len(datagram) <= MAX_MESSAGE_BYTES
        assert decode(datagram) == message

    run(test)


def test_state_kept_for_members_and_classes_is_bounded_and_expires() -> None:
    async def test(instances: SimulatedInstances) -> None:
        executor = instances.executor
        for member in range(5000):
            executor.receive_counts(member, OutcomeReport(instances.version, 1, "h", {}))
        assert len(executor._last_report_s) == MAX_MEMBERS
        instances.now_s += 60.0
        assert executor.present_zones() == {} == executor._last_report_s
        for number in range(30):
            executor.record_outcome(f"old-{number}", True)
        instances.decide(with_rollout(OLD_POLICY, TABLE.model_copy(update={"stage": 1})).encode())
        executor.record_outcome("c", False)  # the class of the new policy is counted
        assert executor.counters == {"c": RequestCounter(1, 1)}

    run(test)


def test_the_lowest_numbered_reachable_acceptor_acts() -> None:
    assert is_first_heard_acceptor((1, 2, 9), (1, 2, 3), 1)
    assert not is_first_heard_acceptor((1, 2), (1, 2, 3), 2)
    assert is_first_heard_acceptor((7, 3), (1, 2, 3), 2)
    assert not is_first_heard_acceptor((), (1, 2), 9)
