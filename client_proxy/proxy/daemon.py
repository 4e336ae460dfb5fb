"""Assembles one proxy daemon: start, change of discovery address, change of policy, graceful shutdown.

The caller provides signal handling, configuration and event loop: `program` for the proxy process, the
emulator for a simulation, and tests.
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
from client_proxy.operators import NO_FEATURES, OperatorSettings
from client_proxy.proxy.config import Config
from client_proxy.proxy.dialling import OpenSocket, open_socket
from client_proxy.proxy.discovery import Discovery
from client_proxy.proxy.engine import Engine
from client_proxy.proxy.json_lines import Json
from client_proxy.proxy.listener import Listener
from client_proxy.proxy.memory_account import MemoryAccount, held_limit_bytes, max_endpoints
from client_proxy.proxy.upstream_pool import UpstreamPool
from client_proxy.proxy.version_handover import take_over
from client_proxy.routing.idle_timeout import IdleTimeout

if TYPE_CHECKING:
    from client_proxy.membership.gossip import Gossip

log = logging.getLogger(__name__)

# Clients may still open connections for up to 0.4 s after SIGTERM.
ACCEPT_GRACE_S = 0.5
# After the accept grace, pending requests have the longest deadline plus this margin to finish. SIGKILL
# follows 0.7 s after the longest deadline at the earliest, counted from SIGTERM.
FINISH_MARGIN_S = 0.05
MAX_RETIRED_ENGINES = 8  # earlier policy versions that still have pending requests
MIN_CONNECTIONS = 12  # connections that are allowed however few descriptors there are
UPSTREAM_QUOTA_DIVISOR = 3  # one descriptor in this many is for connections to endpoints
CLIENT_QUOTA_DIVISOR = 3  # one client process may use one descriptor in this many
IDLE_QUOTA_DIVISOR = 3  # one in this many of a client process's connections may be idle
RESERVED_DESCRIPTORS = 64  # descriptors kept for event loop, discovery, logs and closing connections


@dataclass(frozen=True, slots=True)
class ConnectionQuota:
    """Limits on the number of connections."""

    upstream_connections: int  # most connections to endpoints
    client_connections: int  # most connections from clients
    max_idle: int  # most client connections between two requests


def connection_quota(sockets: int) -> ConnectionQuota:
    """Divide a number of socket descriptors between clients and endpoints.

    Clients get the larger part: in an overload, rejected clients return on many connections at once, while
    few connections to endpoints are needed.
    """
    available = max(MIN_CONNECTIONS, sockets - RESERVED_DESCRIPTORS)
    upstream = available // UPSTREAM_QUOTA_DIVISOR
    return ConnectionQuota(
        upstream, available - upstream, sockets // CLIENT_QUOTA_DIVISOR // IDLE_QUOTA_DIVISOR
    )


class EndpointSource(Protocol):
    """Provides the endpoint list: a discovery service, or a file."""

    def start(self) -> None:
        """Start following the list."""

    def subscribe(self) -> None:
        """Request all changes since the last known list, and subscribe to later ones."""

    def move(self, address: Address) -> None:
        """Switch to the discovery service at another address."""

    def stop(self) -> None:
        """Stop following the list."""


def with_connection_bounds(
    settings: Settings, operators: OperatorSettings, seed: int, connections: int
) -> tuple[Settings, IdleTimeout | None]:
    """Apply the operators' connection limits to the settings.

    Args:
        settings: Settings of a policy.
        operators: The operators' configuration.
        seed: Seed of the jitter of idle timeouts.
        connections: Number of connections to endpoints that the descriptors allow.

    Returns:
        The settings with these limits, and the idle timeout policy if the operators configure connections.
    """
    if operators.connections is not None and operators.connections.max_connections is not None:
        connections = min(connections, operators.connections.max_connections)
    settings = replace(settings, limits=replace(settings.limits, connections=connections))
    if operators.connections is None:
        return settings, None
    idle_timeout = IdleTimeout(operators.connections, settings.limits.connection_idle_timeout_ms, seed)
    # The balancer needs the longest time that a connection stays open, whichever side closes it.
    limits = replace(settings.limits, connection_idle_timeout_ms=max(1.0, idle_timeout.stated_timeout_ms))
    return replace(settings, limits=limits), idle_timeout


EndpointSourceFactory = Callable[[EndpointDirectory, Callable[[EndpointsListed], None]], EndpointSource]
"""Makes an endpoint source that updates the directory and passes each list or watch event to the callback."""


class Daemon:
    """One client proxy without its process. Must be created and used inside a running event loop.

    Attributes:
        engine: The engine of the current policy version, which accepts new requests.
        retired: Engines of earlier policy versions that still have pending requests.
        directory: The endpoint list of `engine`.
        changes: Number of policy changes so far.
        memory_account: Counts the memory that peers make the process hold.
    """

    def __init__(
        self,
        config: Config,
        make_socket: OpenSocket = open_socket,
        quota: ConnectionQuota | None = None,
        operators: OperatorSettings = NO_FEATURES,
        gossip: Gossip | None = None,
        endpoint_source: EndpointSourceFactory | None = None,
        persistent_hooks: Sequence[BalancerHook] = (),
    ) -> None:
        """Assemble a daemon.

        Args:
            config: The platform's configuration.
            make_socket: Makes the sockets to endpoints; replaced on an in-memory network.
            quota: Limits on connections; None: derived from the configured number of descriptors.
            operators: The operators' configuration.
            gossip: Shares observations of endpoints with other instances.
            endpoint_source: Makes an endpoint source that replaces the discovery service.
            persistent_hooks: Policy hooks that stay when the balancer is replaced.

        Raises:
            ValueError: There is neither a discovery address nor an endpoint source.
        """
        quota = quota or connection_quota(config.sockets)
        self._upstream_connection_limit = quota.upstream_connections
        settings, idle_timeout = with_connection_bounds(
            config.settings, operators, config.seed, quota.upstream_connections
        )
        self._seed, self._operators, self._idle_timeout = config.seed, operators, idle_timeout
        self._listen_address = config.listen
        self.settings = settings
        self.directory = EndpointDirectory(max_entries=max_endpoints(config.memory_mb))
        self.memory_account = MemoryAccount(held_limit_bytes(config.memory_mb))
        self.upstream = UpstreamPool(
            settings.limits,
            settings.report_fields,
            settings.safety.drain_grace_ms,
            quota.upstream_connections,
            make_socket,
            idle_timeout,
            self.memory_account,
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
            self.engine, settings, self.directory.usable, quota.client_connections, quota.max_idle,
            self.memory_account,
        )  # fmt: skip

    def _make_endpoint_source(self, config: Config, factory: EndpointSourceFactory | None) -> EndpointSource:
        if factory is not None:
            return factory(self.directory, self.engine.notify_endpoints)
        if config.discovery is None:
            raise ValueError("no discovery address is configured, and no endpoint source replaces it")
        return Discovery(
            config.discovery, self.settings.subscribe, self.directory, self.engine.notify_endpoints
        )

    def _restore_known(self, known: Json) -> None:
        try:
            self.engine.notify_endpoints(self.directory.apply(known, restored=True))
        except ValueError as error:
            log.warning("configuration: known: the endpoint list is ignored: %s", error)

    async def start(self) -> int:
        """Start listening and following the endpoint list. Returns the port; raises OSError."""
        port = await self.listener.listen(*self._listen_address)
        self.engine.start()
        self.discovery.start()
        if self.gossip is not None:
            self.gossip.start()
        return port

    def adopt(
        self,
        settings: Settings,
        operators: OperatorSettings,
        message: Json,
        persistent_hooks: Sequence[BalancerHook] = (),
    ) -> None:
        """Switch to another policy version for new requests.

        Pending requests finish under the version that accepted them. The new version is built completely
        before the switch, so a failure leaves the old one in place.

        Args:
            settings: Settings of the version.
            operators: The operators' configuration of the version.
            message: The complete endpoint list of the version, as a discovery message.
            persistent_hooks: Policy hooks of the version that stay when the balancer is replaced.

        Raises:
            ValueError: The message is not an endpoint list; the current version stays.
        """
        bounded_settings, idle_timeout = with_connection_bounds(
            settings, operators, self._seed, self._upstream_connection_limit
        )
        if operators.connections == self._operators.connections and idle_timeout is not None:
            idle_timeout = self._idle_timeout  # keeps what it has learned of the endpoints' connection limits
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
            # If policies change faster than requests finish, the oldest engine fails its pending requests;
            # otherwise engines would pile up, each with a complete balancer.
            self.retired[0].fail_pending()
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
        """Remove a retired engine whose last pending request has finished."""
        if engine in self.retired:
            self.retired.remove(engine)
            self.upstream.retain_endpoints(self.engine.endpoint_names, self._retired_endpoint_names())

    def _fail_pending(self) -> None:
        for engine in (*self.retired, self.engine):
            engine.fail_pending()

    def move(self, discovery: Address) -> None:
        """Follow the discovery service at another address from now on."""
        self.discovery.move(discovery)

    async def shut_down(self, accept_grace_s: float = ACCEPT_GRACE_S) -> None:
        """Shut down gracefully: serve for `accept_grace_s` seconds, finish pending requests, and stop."""
        classes = (cls for engine in (self.engine, *self.retired) for cls in engine.classes)
        longest_ms = max((cls.deadline_ms for cls in classes), default=DEFAULT_DEADLINE_MS)
        if self.gossip is not None:
            self.gossip.leave()
        await self.listener.shut_down(
            accept_grace_s, longest_ms / 1000.0 + FINISH_MARGIN_S, self._fail_pending
        )
        self.discovery.stop()
        if self.gossip is not None:
            self.gossip.close()
