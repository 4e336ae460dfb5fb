"""Which servers of a long list a proxy goes on using, where it may not hold a connection to each. No I/O, no
clock.

Danger: with more servers in use than connections, most calls find no connection to the server that they draw.
Each closes the one that has been idle longest and dials: a handshake for a call, at any load. Where they are
short, servers with an idle connection are drawn first, and a small share of the calls goes anywhere, so that
each server of the list is met in time.

What is connected is inferred: the transport keeps the connections used last and closes the one idle longest.
So the servers used last are those that have one. Where the inference is wrong, a call dials; nothing else
depends on it. Every guard of the decisions stands behind what is drawn here."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import TYPE_CHECKING

from cedarcross.interface import EndpointState

if TYPE_CHECKING:
    from cedarcross.balance import Endpoint

# Of the connections that may be held. The rest is for second ones to a server, and calls that go anywhere.
KEPT_PART = 0.75
# Share of the calls that go anywhere: under one in a hundred, so that 99 in 100 pay for no dial.
ANYWHERE = 1 / 200
DRAWS = 16


class ConnectedServers:
    """The servers that were used last, no more than connections are kept to."""

    def __init__(self, connections: int | None) -> None:
        """`connections`: to servers, that may be open at once; None: not told, and never short."""
        self._most = None if connections is None else max(2, int(KEPT_PART * connections))
        self._used: dict[Endpoint, None] = {}  # the latest used last

    def __len__(self) -> int:
        return len(self._used)

    def __contains__(self, endpoint: Endpoint) -> bool:
        return endpoint in self._used

    @property
    def short(self) -> bool:
        """Are there as many servers in use as connections are kept to?"""
        return self._most is not None and len(self._used) >= self._most

    def used(self, endpoint: Endpoint) -> None:
        """Something was sent to it, or it has answered."""
        if self._most is None or endpoint.listed.state is not EndpointState.READY:
            return
        self._used.pop(endpoint, None)
        self._used[endpoint] = None
        if len(self._used) > self._most:
            del self._used[next(iter(self._used))]

    def ended(self, endpoint: Endpoint) -> None:
        """An attempt at it has ended, and its `used_ms` tells whether a connection is left."""
        if endpoint.used_ms is None:
            self._used.pop(endpoint, None)
        else:
            self.used(endpoint)

    def listed(self, endpoints: Iterable[Endpoint]) -> None:
        """All servers known by now; connections to any that may not get new work are closed."""
        ready = {endpoint for endpoint in endpoints if endpoint.listed.state is EndpointState.READY}
        self._used = {endpoint: None for endpoint in self._used if endpoint in ready}

    def prefers(self, random: Random) -> bool:
        """Does the next call go to a server with an idle connection, if it can?"""
        return self.short and random.random() >= ANYWHERE

    def draw(
        self,
        draw: Callable[[], Endpoint],
        tried: Sequence[Endpoint],
        idle: Callable[[Endpoint], bool],
        allowed: Callable[[Endpoint], bool],
    ) -> list[Endpoint]:
        """At most two different servers for a call, none of `tried`, all of them `allowed`: with an idle
        connection if the draws find such."""
        with_idle: list[Endpoint] = []
        others: list[Endpoint] = []
        for _ in range(DRAWS):
            endpoint = draw()
            if endpoint in tried or endpoint in with_idle or endpoint in others:
                continue
            group = with_idle if endpoint in self._used and idle(endpoint) else others
            if len(group) < 2 and allowed(endpoint):
                group.append(endpoint)
                if len(with_idle) == 2:
                    break
        return (with_idle + others)[:2]
