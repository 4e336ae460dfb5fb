"""Byzantine reporters in simulations: instances that follow the protocol, sign correctly and report falsely.

Fault schedules name these classes in their texts, so the class names must not change.
"""

from __future__ import annotations

from client_proxy.membership.broadcast_queue import Topic
from client_proxy.membership.budget import SendPriority
from client_proxy.membership.messages import (
    MAX_OBSERVED_SERVERS,
    ObservationReport,
    ServerObservation,
    name_tag,
)
from client_proxy.membership.node import GossipNode

REPORT_INTERVAL_MS = 500.0
REPORTED_ATTEMPTS = 20  # attempts in each false observation
UNLOADED_SLOWNESS = 16  # in sixteenths of the usual latency: a server without any delay by load
EQUIVOCATION_FANOUT = 6  # members that receive the contradicting reports each time


def failing_observation(server: str) -> ServerObservation:
    """Return the observation that all attempts at a server fail."""
    return ServerObservation(
        name_tag(server),
        class_tag=0,
        attempts=REPORTED_ATTEMPTS,
        failed=REPORTED_ATTEMPTS,
        unanswered=0,
        slowness=0,
        age=0,
    )


def healthy_observation(server: str) -> ServerObservation:
    """Return the observation that all attempts at a server are served without delay."""
    return ServerObservation(
        name_tag(server),
        class_tag=0,
        attempts=REPORTED_ATTEMPTS,
        failed=0,
        unanswered=0,
        slowness=UNLOADED_SLOWNESS,
        age=0,
    )


class ByzantineReporter(GossipNode):
    """Reports the result of `fabricated_observations` every `REPORT_INTERVAL_MS`."""

    def fabricated_observations(self) -> tuple[ServerObservation, ...]:
        """Return the false observations to report."""
        raise NotImplementedError

    def server_names(self) -> list[str]:
        """Return the names of all ready servers."""
        return self.suspicions.ready_servers()

    def _is_report_due(self, now_ms: float) -> bool:
        return now_ms - self._reported_ms >= REPORT_INTERVAL_MS

    def _report_observations(self, now_ms: float) -> None:
        if not self._is_report_due(now_ms):
            return
        self._reported_ms = now_ms
        self._sequence += 1
        report = self.sign_report(self._sequence, self.fabricated_observations())
        self.swim.broadcasts.put(Topic(ObservationReport, self.swim.own_number), report)


class AccusesAll(ByzantineReporter):
    """Reports failures of as many servers as fit into one report."""

    def fabricated_observations(self) -> tuple[ServerObservation, ...]:
        """Return observations that these servers fail."""
        return tuple(failing_observation(name) for name in self.server_names()[:MAX_OBSERVED_SERVERS])


class AccusesFirst(ByzantineReporter):
    """Reports failures of one server, the first one; several such reporters agree without communication."""

    def fabricated_observations(self) -> tuple[ServerObservation, ...]:
        """Return an observation that the first server fails."""
        return tuple(failing_observation(name) for name in self.server_names()[:1])


class AccusesTwo(ByzantineReporter):
    """Reports failures of two servers, as many as one may without loss of weight in a fleet of nine."""

    def fabricated_observations(self) -> tuple[ServerObservation, ...]:
        """Return observations that the first two servers fail."""
        return tuple(failing_observation(name) for name in self.server_names()[:2])


class PraisesAll(ByzantineReporter):
    """Reports all servers to be healthy."""

    def fabricated_observations(self) -> tuple[ServerObservation, ...]:
        """Return observations that these servers are healthy."""
        return tuple(healthy_observation(name) for name in self.server_names()[:MAX_OBSERVED_SERVERS])


class Equivocates(ByzantineReporter):
    """Sends contradicting reports under one sequence number.

    Half of the members receive that one server fails, the others that it is healthy.
    """

    def fabricated_observations(self) -> tuple[ServerObservation, ...]:
        """Return an observation that the first server fails."""
        return tuple(failing_observation(name) for name in self.server_names()[:1])

    def _report_observations(self, now_ms: float) -> None:
        if not self._is_report_due(now_ms) or not self.server_names():
            return
        self._reported_ms = now_ms
        self._sequence += 1
        versions = (
            self.fabricated_observations(),
            tuple(healthy_observation(name) for name in self.server_names()[:1]),
        )
        for position, member in enumerate(self.swim.random_members(EQUIVOCATION_FANOUT)):
            report = self.sign_report(self._sequence, versions[position % 2])
            self._enqueue(SendPriority.BROADCAST, member.alive.address, [report])
