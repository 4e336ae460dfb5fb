"""Builds balancers with and without warm state for the tests."""

from __future__ import annotations

from client_proxy.api.events import Outcome
from client_proxy.balancer.balancer import Balancer
from tests.driver import SETTINGS, Driver, endpoint, full

SLOW_SERVER, FAILING_SERVER = "s3", "s2"
SLOW_MS, USUAL_MS = 200.0, 20.0


def make_warm_driver(seed: int = 1) -> Driver:
    """Return a driver whose balancer has learned which server is slow and which one fails."""
    driver = Driver(seed=seed)
    for _ in range(150):
        request, _ = driver.request()
        server = driver.sent[request][-1] if request in driver.sent else ""
        if not server:
            driver.wait(5)
            continue
        latency_ms = SLOW_MS if server == SLOW_SERVER else USUAL_MS
        driver.wait(latency_ms)
        driver.end(request, Outcome.ERROR if server == FAILING_SERVER else Outcome.OK, latency_ms)
        driver.wait(1)
    return driver


def make_cold_balancer(
    driver: Driver, after_ms: float = 0.0, slow_started_ms: float | None = None
) -> Balancer:
    """Return a new balancer for the driver's servers, without statistics.

    Args:
        driver: Its time is the start of the balancer's time.
        after_ms: Added to the driver's time.
        slow_started_ms: Start time of the slow server; None: unknown.
    """
    balancer = Balancer(SETTINGS, 9)
    servers = (endpoint("s1"), endpoint(FAILING_SERVER), endpoint(SLOW_SERVER, started_ms=slow_started_ms))
    balancer.handle(driver.now_ms + after_ms, [full(*servers)])
    return balancer
