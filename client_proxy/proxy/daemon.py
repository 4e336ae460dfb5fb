"""One daemon put together from its parts: start, move to another discovery, change of policy, shutdown.

Signals, the environment and the kind of event loop are the caller's: `__main__` for the program, the
emulator for a simulation, the tests for theirs.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Protocol

from client_proxy.address import Address
from client_proxy.api.events import EndpointsListed
from client_proxy.api.policy_hook import BalancerHook
from client_proxy.api.settings import Settings
from client_proxy.balancer.request import DEFAULT_DEADLINE_MS
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.operators import NOTHING, Operators
from client_proxy.proxy.config import Config
from client_proxy.proxy.dialling import OpenSocket, open_socket
from client_proxy.proxy.discovery import Discovery
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.json_lines import Json
from client_proxy.proxy.listener import Listener
from client_proxy.proxy.upstream_pool import UpstreamPool
from client_proxy.proxy.version_handover import take_over
from client_proxy.routing.idle_timeout import IdleTimeout

if TYPE_CHECKING:
    from client_proxy.membership.gossip import Gossip

log = logging.getLogger(__name__)

# After SIGTERM new connections go on coming for up to 0.4 s.
ACCEPT_GRACE_S = 0.5
# Then what was accepted is finished: each request by its own deadline. SIGKILL comes 0.7 s after the longest
# deadline at the soonest, counted from SIGTERM.
FINISH_MARGIN_S = 0.05
MAX_RETIRED_ENGINES = 8  # policy versions that requests still end by, beside the one that decides
MIN_CONNECTIONS = 12
UPSTREAM_QUOTA_DIVISOR = 3  # connections to endpoints take this part of the descriptors
CLIENT_QUOTA_DIVISOR = 3  # one client process holds this part of the descriptors at most
IDLE_QUOTA_DIVISOR = 3  # and this part of its connections may be idle
RESERVED_DESCRIPTORS = 64  # for the loop, discovery, logs and connections about to close


@dataclass(frozen=True, slots=True)
class ConnectionQuota:
    """How many connections there may be."""

    upstream_connections: int  # to endpoints
    client_connections: int
    max_idle: int  # of clients, between two requests


def connection_quota(sockets: int) -> ConnectionQuota:
    """Return the quota for so many descriptors.

    Clients get the larger part: in an overload those that were rejected come back on many connections at
    once, while endpoints take few of ours.
    """
    most = max(MIN_CONNECTIONS, sockets - RESERVED_DESCRIPTORS)
    upstream = most // UPSTREAM_QUOTA_DIVISOR
    return ConnectionQuota(upstream, most - upstream, sockets // CLIENT_QUOTA_DIVISOR // IDLE_QUOTA_DIVISOR)


class EndpointSource(Protocol):
    """What lists endpoints: a discovery service, or a file."""

    def start(self) -> None:
        """Begin to follow the list."""

    def subscribe(self) -> None:
        """Ask for the changes missed, and for all that follow."""

    def move(self, address: Address) -> None:
        """Follow the service at another address from now on."""

    def stop(self) -> None:
        """Follow nothing any more."""


def with_connection_bounds(
    settings: Settings, operators: Operators, seed: int, connections: int
) -> tuple[Settings, IdleTimeout | None]:
    """Apply what operators state of connections to the settings.

    Args:
        settings: Settings of a policy.
        operators: What operators state beside them.
        seed: Seed of the random numbers that spread the idle timeouts.
        connections: How many connections to endpoints there are descriptors for.

    Returns:
        The settings within these bounds, and what decides on idle timeouts, if operators bound them.
    """
    if operators.connections is not None and operators.connections.max_connections is not None:
        connections = min(connections, operators.connections.max_connections)
    settings = replace(settings, limits=replace(settings.limits, connections=connections))
    if operators.connections is None:
        return settings, None
    idle_timeout = IdleTimeout(operators.connections, settings.limits.connection_idle_timeout_ms, seed)
    # Decisions go by when a connection is closed at the latest, whoever closes it.
    limits = replace(settings.limits, connection_idle_timeout_ms=max(1.0, idle_timeout.stated_timeout_ms))
    return replace(settings, limits=limits), idle_timeout


EndpointSourceFactory = Callable[[EndpointDirectory, Callable[[EndpointsListed], None]], EndpointSource]
"""Makes a source that keeps a directory, and reports each list and watch event to a callback."""


class Daemon:
    """All of one client proxy but its process. Made and used inside a running event loop.

    Attributes:
        engine: Decides what comes.
        retired: Engines of earlier policy versions, with requests still pending.
        directory: The endpoint list that `engine` decides by.
        changes: How often the policy has changed.
    """

    def __init__(
        self,
        config: Config,
        make_socket: OpenSocket = open_socket,
        quota: ConnectionQuota | None = None,
        operators: Operators = NOTHING,
        gossip: Gossip | None = None,
        endpoint_source: EndpointSourceFactory | None = None,
        persistent_hooks: Sequence[BalancerHook] = (),
    ) -> None:
        """Put a daemon together.

        Args:
            config: What the platform configures.
            make_socket: Makes the sockets to endpoints; replaced on a network in memory.
            quota: How many connections there may be; None: by the configured number of descriptors.
            operators: What operators state beside the settings.
            gossip: Shares observations of endpoints with other instances.
            endpoint_source: Makes what lists endpoints, in the place of a discovery service.
            persistent_hooks: Hooks that outlive a balancer.

        Raises:
            ValueError: There is neither a discovery service nor an endpoint source.
        """
        quota = quota or connection_quota(config.sockets)
        self._connections = quota.upstream_connections
        settings, idle_timeout = with_connection_bounds(
            config.settings, operators, config.seed, quota.upstream_connections
        )
        self._seed, self._operators, self._idle_timeout = config.seed, operators, idle_timeout
        self._listen_at = config.listen
        self.settings = settings
        self.directory = EndpointDirectory()
        self.upstream = UpstreamPool(
            settings.limits,
            settings.report_fields,
            settings.safety.drain_grace_ms,
            quota.upstream_connections,
            make_socket,
            idle_timeout,
        )
        self.gossip = gossip
        self._persistent_hooks = (gossip.balancer_hook,) if gossip is not None else ()
        persistent_hooks = (*persistent_hooks, *self._persistent_hooks)
        self.retired: list[Engine] = []
        self.changes = 0
        self.engine = Engine(
            settings, config.seed, self.directory, self.upstream, operators, persistent_hooks
        )
        self.discovery = self._make_endpoint_source(config, endpoint_source)
        self.engine.discovery = self.discovery
        if config.known is not None:
            self._restore_known(config.known)
        self.listener = Listener(
            self.engine, settings, self.directory.usable, quota.client_connections, quota.max_idle
        )

    def _make_endpoint_source(self, config: Config, factory: EndpointSourceFactory | None) -> EndpointSource:
        if factory is not None:
            return factory(self.directory, self.engine.notify_endpoints)
        if config.discovery is None:
            raise ValueError("no discovery service, and nothing in its place")
        return Discovery(
            config.discovery, self.settings.subscribe, self.directory, self.engine.notify_endpoints
        )

    def _restore_known(self, known: Json) -> None:
        try:
            self.engine.notify_endpoints(self.directory.apply(known, restored=True))
        except ValueError as error:
            log.warning("the known list is unusable: %s", error)

    async def start(self) -> int:
        """Listen, and follow discovery. Returns the port; raises OSError if it can't be had."""
        port = await self.listener.listen(*self._listen_at)
        self.engine.start()
        self.discovery.start()
        if self.gossip is not None:
            self.gossip.start()
        return port

    def adopt(
        self,
        settings: Settings,
        operators: Operators,
        message: Json,
        persistent_hooks: Sequence[BalancerHook] = (),
    ) -> None:
        """Let another policy version decide on requests that come from now on.

        Pending requests end by the version that they began with. All is made aside first; then one reference
        moves.

        Args:
            settings: Settings of the version.
            operators: What operators state beside them.
            message: The complete endpoint list of the version, as discovery writes it.
            persistent_hooks: Hooks of the version that outlive a balancer.

        Raises:
            ValueError: The message is no endpoint list; the earlier version stands.
        """
        bounded_settings, idle_timeout = with_connection_bounds(
            settings, operators, self._seed, self._connections
        )
        if operators.connections == self._operators.connections and idle_timeout is not None:
            idle_timeout = self._idle_timeout  # what it has learned of the endpoints' limits goes on
        directory = EndpointDirectory(self.directory)
        event = directory.apply(message)
        predecessor = self.engine
        self.changes += 1
        engine = Engine(
            bounded_settings, self._seed + self.changes, directory, self.upstream, operators,
            (*persistent_hooks, *self._persistent_hooks), predecessor,
        )  # fmt: skip
        engine.has_lease = predecessor.has_lease
        engine.on_request_ended = predecessor.on_request_ended
        engine.discovery = self.discovery
        if len(self.retired) >= MAX_RETIRED_ENGINES:
            # Policies that change faster than requests end would pile up, each with a complete balancer.
            self.retired[0].give_up()
        engine.retired_endpoint_names = self._retired_endpoint_names
        self.retired.append(predecessor)
        self.upstream.apply_limits(bounded_settings.limits, idle_timeout)
        in_flight_handover = take_over(engine, predecessor, event)
        for retired in self.retired:
            retired.retire(in_flight_handover, partial(self._engine_drained, retired))
        if not predecessor.pending_count:
            self.retired.remove(predecessor)
            self.upstream.retain_endpoints(engine.endpoint_names, self._retired_endpoint_names())
        self.engine, self.directory, self.settings = engine, directory, bounded_settings
        self._operators, self._idle_timeout = operators, idle_timeout
        self.listener.adopt(engine, bounded_settings, directory.usable)

    def _retired_endpoint_names(self) -> set[str]:
        return {name for engine in self.retired for name in engine.endpoint_names}

    def _engine_drained(self, engine: Engine) -> None:
        """Forget a retired engine, whose last request has its answer."""
        if engine in self.retired:
            self.retired.remove(engine)
            self.upstream.retain_endpoints(self.engine.endpoint_names, self._retired_endpoint_names())

    def _give_up(self) -> None:
        for engine in (*self.retired, self.engine):
            engine.give_up()

    def move(self, discovery: Address) -> None:
        """Follow the discovery service at another address from now on."""
        self.discovery.move(discovery)

    async def shut_down(self, accept_grace_s: float = ACCEPT_GRACE_S) -> None:
        """Serve on for `accept_grace_s` seconds, finish what is pending, and stop."""
        classes = (cls for engine in (self.engine, *self.retired) for cls in engine.classes)
        longest_ms = max((cls.deadline_ms for cls in classes), default=DEFAULT_DEADLINE_MS)
        if self.gossip is not None:
            self.gossip.leave()
        await self.listener.shut_down(accept_grace_s, longest_ms / 1000.0 + FINISH_MARGIN_S, self._give_up)
        self.discovery.stop()
        if self.gossip is not None:
            self.gossip.close()
