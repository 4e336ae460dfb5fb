"""Fixtures of the tests of outlier detection."""

from __future__ import annotations

import pytest

from client_proxy.outlier.ejection import OutlierDetector
from tests.outlier.detectors import make_detector


@pytest.fixture
def detector() -> OutlierDetector:
    """A detector that knows a fleet in three zones and has ejected nothing."""
    return make_detector()
