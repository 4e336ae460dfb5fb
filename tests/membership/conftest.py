"""Fixtures of the membership tests."""

from __future__ import annotations

import pytest

from client_proxy.membership.suspicions import ServerSuspicions
from tests.membership.suspicions_driver import make_suspicions


@pytest.fixture
def suspicions() -> ServerSuspicions:
    """Suspicions that know nine ready servers, without any observation or report."""
    return make_suspicions()
