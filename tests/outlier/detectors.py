"""Helpers for tests of outlier detection: a fleet in three zones, and a detector that knows it."""

from __future__ import annotations

from client_proxy.api.events import ListedEndpoint
from client_proxy.outlier.ejection import OutlierDetector
from tests.driver import endpoint

ZONES = ("a", "b", "c")
FLEET = [endpoint(f"{zone}{number}", zone=zone) for zone in ZONES for number in range(6)]


def make_detector(
    fleet: list[ListedEndpoint] | None = None, max_ejected_share: float = 0.8
) -> OutlierDetector:
    detector = OutlierDetector(1000.0, 4000.0, max_ejected_share, seed=3)
    detector.update_endpoints(FLEET if fleet is None else fleet)
    return detector
