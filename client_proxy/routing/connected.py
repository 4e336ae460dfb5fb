"""Prefers endpoints with an open connection where a proxy may not hold a connection to each endpoint.

With more endpoints in use than connections, most requests would find no connection to the endpoint that is
picked. Each would close the connection that has been idle longest and dial a new one: a handshake for each
request, at any load. So where connections are short, endpoints with an idle connection are drawn first, and a
small share of the requests goes to any endpoint, so that each endpoint of the list is used in time.

Which endpoints have a connection is inferred: the transport keeps the connections that were used last, and
closes the one that has been idle longest. So the endpoints used last are connected. Where that inference is
wrong, a request dials; nothing else depends on it. All checks of the balancer still apply to the endpoints
that are drawn here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Generic, Protocol, TypeVar

from client_proxy.api.events import EndpointState, ListedEndpoint

# Endpoints that are kept, as a share of the connections that may be open. The rest is for second connections
# to an endpoint, and for requests that go to any endpoint.
KEPT_SHARE = 0.75
# Share of the requests that go to any endpoint: under one in a hundred, so that 99 in 100 need no dial.
ANY_ENDPOINT_SHARE = 1 / 200
MAX_DRAWS = 16  # random draws for two endpoints


class ConnectableEndpoint(Protocol):
    """What this module needs of an endpoint; endpoints are compared by identity."""

    listed: ListedEndpoint
    last_used_ms: float | None


EndpointT = TypeVar("EndpointT", bound=ConnectableEndpoint)


class ConnectedEndpoints(Generic[EndpointT]):
    """The endpoints that were used last, no more than there are connections kept for.

    Args:
        connections: to endpoints that may be open at once; None: not limited.
    """

    def __init__(self, connections: int | None) -> None:
        self._connections = connections
        self._capacity = None if connections is None else max(2, int(KEPT_SHARE * connections))
        self._more_in_use_than_connections = False
        self._endpoints: list[EndpointT] = []  # in no order, for random draws
        self._positions: dict[
            EndpointT, int
        ] = {}  # index in `_endpoints`, in the order of use, the latest last

    def __len__(self) -> int:
        return len(self._endpoints)

    def __contains__(self, endpoint: EndpointT) -> bool:
        return endpoint in self._positions

    def __iter__(self) -> Iterator[EndpointT]:
        """Iterate in the order of use, the latest last."""
        return iter(self._positions)

    @property
    def connections_are_short(self) -> bool:
        """Whether there are fewer connections than endpoints in use, and all that may be kept are in use."""
        return (
            self._more_in_use_than_connections
            and self._capacity is not None
            and len(self._endpoints) >= self._capacity
        )

    def endpoint_used(self, endpoint: EndpointT) -> None:
        """Take note that a request was sent to an endpoint, or that it has answered."""
        if self._capacity is None or endpoint.listed.state is not EndpointState.READY:
            return
        position = self._positions.pop(endpoint, None)
        if position is None:
            position = len(self._endpoints)
            self._endpoints.append(endpoint)
        self._positions[endpoint] = position
        if len(self._endpoints) > self._capacity:
            self._remove(next(iter(self._positions)))

    def attempt_ended(self, endpoint: EndpointT) -> None:
        """Take note of the end of an attempt; `last_used_ms` is None if no connection is left."""
        if endpoint.last_used_ms is not None:
            self.endpoint_used(endpoint)
        elif endpoint in self._positions:
            self._remove(endpoint)

    def endpoints_changed(self, changed: Iterable[EndpointT], used_endpoint_count: int) -> None:
        """Drop endpoints that are not listed as ready any more: connections to them are closed.

        Args:
            changed: the endpoints that a list has changed or removed.
            used_endpoint_count: how many endpoints this proxy uses.
        """
        self._more_in_use_than_connections = (
            self._connections is not None and used_endpoint_count > self._connections
        )
        unready = {endpoint for endpoint in changed if endpoint.listed.state is not EndpointState.READY}
        if unready:
            for endpoint in [endpoint for endpoint in self._endpoints if endpoint in unready]:
                self._remove(endpoint)

    def _remove(self, endpoint: EndpointT) -> None:
        position = self._positions.pop(endpoint)
        last = self._endpoints.pop()
        if last is not endpoint:
            self._endpoints[position] = last
            self._positions[last] = position

    def prefers_connected(self, random: Random) -> bool:
        """Return whether the next request should go to an endpoint with an idle connection, if possible."""
        return self.connections_are_short and random.random() >= ANY_ENDPOINT_SHARE

    def draw(
        self,
        random: Random,
        draw_any: Callable[[], EndpointT],
        has_idle_connection: Callable[[EndpointT], bool],
        allowed: Callable[[EndpointT], bool],
    ) -> list[EndpointT]:
        """Draw at most two different endpoints for a request.

        Args:
            random: the source of the draws.
            draw_any: draws one of all endpoints, used when fewer than two with an idle connection are found.
            has_idle_connection: whether a request to the endpoint would find an idle connection.
            allowed: whether the endpoint may take the request.
        """
        found: list[EndpointT] = []
        for _ in range(MAX_DRAWS):
            endpoint = self._endpoints[random.randrange(len(self._endpoints))]
            if endpoint not in found and has_idle_connection(endpoint) and allowed(endpoint):
                found.append(endpoint)
                if len(found) == 2:
                    return found
        for _ in range(MAX_DRAWS):
            endpoint = draw_any()
            if endpoint not in found and allowed(endpoint):
                found.append(endpoint)
                if len(found) == 2:
                    break
        return found
