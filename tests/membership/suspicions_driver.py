"""Helpers for the tests of server suspicions: a fleet, reports on it, and own observations."""

from __future__ import annotations

from dataclasses import replace

from client_proxy.api.events import ListedEndpoint, Outcome
from client_proxy.api.settings import RequestClass
from client_proxy.membership.messages import ObservationReport, ServerObservation, name_tag
from client_proxy.membership.suspicions import (
    ServerSuspicions,
)
from tests.driver import SAFE, SETTINGS, endpoint

SERVERS = tuple(f"s{n}" for n in range(9))
ENDPOINTS = tuple(endpoint(name) for name in SERVERS)
OWN_ZONE, OTHER_ZONE = name_tag("a"), name_tag("b")


def make_suspicions(fleet: tuple[ListedEndpoint, ...] = ENDPOINTS) -> ServerSuspicions:
    suspicions = ServerSuspicions(replace(SETTINGS, proxies=20), 1, OWN_ZONE)
    suspicions.endpoints_listed(0.0, fleet)
    return suspicions


def observation(
    server: str, failed: int = 20, attempts: int = 20, cls: int = 0, slowness: int = 0
) -> ServerObservation:
    return ServerObservation(name_tag(server), cls, attempts, failed, 0, slowness, 0)


def deliver_report(
    suspicions: ServerSuspicions,
    now_ms: float,
    observer: int,
    *observations: ServerObservation,
    zone: int = OWN_ZONE,
    sequence: int = 1,
) -> None:
    suspicions.receive_report(now_ms, ObservationReport(observer, 1, sequence, observations, b""), zone)


def observe(
    suspicions: ServerSuspicions, now_ms: float, server: str, outcome: Outcome, cls: RequestClass = SAFE
) -> None:
    suspicions.attempt_ended(now_ms, endpoint(server), outcome, 1.0, outcome is Outcome.OK, None, 10.0, cls)


def score_factor(
    suspicions: ServerSuspicions, now_ms: float, server: str = "s0", cls: str = "unsafe"
) -> float:
    return suspicions.score_factor(now_ms, server, cls)
