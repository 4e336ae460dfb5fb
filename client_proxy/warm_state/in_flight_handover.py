"""Counts attempts in flight of earlier balancers of an instance at its active balancer.

After a policy change, requests in flight end under the version with which they began, at an earlier balancer.
Their attempts still occupy the servers. If the new balancer did not count them, it would treat the servers as
idle and send each up to its whole limit in addition; if it counted them without their answers, it would treat
the servers as stalled.
"""

from __future__ import annotations

from client_proxy.api.events import Outcome
from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.endpoint import Endpoint

NO_CREDIT = -1e18  # slow-start credit in units of work; so low that no rate earns it back
ANSWERED = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.UNUSABLE)  # the server has sent an answer


class InFlightHandover:
    """Counts attempts of earlier balancers at one balancer, until the next balancer replaces it."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer

    def take_over(self, predecessor: Balancer) -> None:
        """Take over all attempts in flight of `predecessor`, including those that it took over itself."""
        endpoint_set = self._balancer.endpoint_set
        for name, endpoint in endpoint_set.endpoints.items():
            old = predecessor.endpoint_set.endpoints.get(name)
            if old is not None and old.listed.started_ms == endpoint.listed.started_ms:
                endpoint.in_flight = old.in_flight
                endpoint.awaiting_since_ms = old.awaiting_since_ms
                endpoint.last_used_ms = old.last_used_ms
        self._keep_connections(predecessor)
        self._end_slow_start(predecessor)

    def _keep_connections(self, predecessor: Balancer) -> None:
        # Otherwise requests to a long list of servers would open new connections after each policy change,
        # until as many servers were in use again.
        for old in predecessor.connected_endpoints:
            endpoint = self._find(old.listed.name, old.listed.started_ms)
            if endpoint is not None:
                self._balancer.connected_endpoints.endpoint_used(endpoint)

    def _end_slow_start(self, predecessor: Balancer) -> None:
        # Otherwise a cold server would get requests from two balancers of one instance, each within its
        # slow-start limit. The new balancer has the credit; remaining retries of the predecessor go to warm
        # servers.
        for old in predecessor.endpoint_set.endpoints.values():
            old.slow_start_credit, old.slow_start_credit_ms = NO_CREDIT, predecessor.now_ms

    def sent(self, name: str, started_ms: float | None) -> None:
        """Count an attempt that an earlier balancer sends.

        Args:
            name: Name of the server.
            started_ms: Start time of the server process; the attempt is ignored if the server has restarted.
        """
        endpoint = self._find(name, started_ms)
        if endpoint is None:
            return
        if not endpoint.in_flight:
            endpoint.awaiting_since_ms = self._balancer.now_ms
        endpoint.in_flight += 1

    def ended(self, name: str, started_ms: float | None, outcome: Outcome) -> None:
        """Count the end of an attempt of an earlier balancer; arguments as for `sent`."""
        endpoint = self._find(name, started_ms)
        if endpoint is None:
            return
        # The count stays at zero or above: a server that was missing from the list of one version started at
        # zero there.
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        if outcome in ANSWERED:
            endpoint.awaiting_since_ms = self._balancer.now_ms

    def _find(self, name: str, started_ms: float | None) -> Endpoint | None:
        endpoint = self._balancer.endpoint_set.endpoints.get(name)
        if endpoint is None or endpoint.listed.started_ms != started_ms:
            return None
        return endpoint
