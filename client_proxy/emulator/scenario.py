"""Models of a scenario: servers, clients, discovery, network and faults of one simulated run.

Names ending in `_s` are in seconds, names ending in `_ms` in milliseconds; points in time count from the
scenario's start. Work is given as milliseconds on a core of speed 1. `scenario_reader` reads scenarios from
files and `scenario_writer` writes them; docs/operators/rehearsal.md describes every key of the file.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from itertools import pairwise
from math import ceil
from typing import Any

from client_proxy.api.settings import Idempotency
from client_proxy.emulator.random_streams import uniform_draw

EFFECTS = {
    "safe": (Idempotency.IDEMPOTENT, "retryable"),
    "keyed": (Idempotency.IDEMPOTENCY_KEY, "dedup"),
    "unsafe": (Idempotency.NOT_IDEMPOTENT, "fragile"),
}
"""Maps an effect's name in the file to the idempotency and to its name in a proxy's settings."""

SERVER_FAULTS = (
    "fail",
    "freeze",
    "pauses",
    "slow",
    "vanish",
    "die",
    "restart",
    "drain",
    "replace",
    "lies",
)
"""Kinds of faults that affect servers."""
OTHER_FAULTS = ("costly", "load", "discovery", "proxy_restart", "proxy_kill", "cut")
"""Kinds of faults that affect requests, discovery, proxies or the network."""
FAIL_MODES = ("error", "reset", "silent", "spoilt", "lost")
"""How a `fail` fault affects a request; the first is the default."""
DISCOVERY_MODES = ("503", "silent", "reset")
"""How discovery behaves during a `discovery` fault; the first is the default."""


@dataclass(frozen=True, slots=True)
class RequestClassSpec:
    """A class of requests.

    Attributes:
        share: the weight of this class among all requests, relative to the other classes' shares.
        work_ms: the mean work of a request.
        latency_objective_ms: the time within which a response counts as served; a later one counts as late.
        deadline_ms: the time after which a client no longer waits for the response.
        effect: a key of `EFFECTS`.
        work_variation: the coefficient of variation of the work between requests.
        attempt_noise: the coefficient of variation of the work between attempts of one request.
        priority_weight: the weight of a request of this class in the served share.
        idempotency_scope: which servers deduplicate together: `all`, those of a `zone`, or those of a `cell`
            (a rack).
        idempotency_window_ms: how long servers remember an idempotency key.
    """

    name: str
    share: float
    work_ms: float
    latency_objective_ms: float
    deadline_ms: float
    effect: str = "unsafe"
    work_variation: float = 0.0
    attempt_noise: float = 0.0
    priority_weight: float = 1.0
    idempotency_scope: str = "all"
    idempotency_window_ms: float = 0.0

    @property
    def idempotency(self) -> Idempotency:
        """Whether and how a request of this class may be repeated."""
        return EFFECTS[self.effect][0]


@dataclass(frozen=True, slots=True)
class ServerType:
    """A type of server.

    Attributes:
        cores: the number of cores.
        speed: the speed of a core; work of 1 ms takes 1 ms on a core of speed 1.
        slots_per_core: the number of requests per core that run at the same time.
        queue_per_core: the number of requests per core that may wait for a slot.
        max_connections: the number of connections whose requests are accepted; requests on further
            connections are rejected.
        handshake_ms: the work that opening a connection costs.
        idle_timeout_s: the time after which an idle connection is closed.
        cold_capacity: the share of its capacity that a server has when it starts.
        warm_up_s: the time after its start at which a server has its full capacity.
        warm_up_requests: the number of requests after which a server has its full capacity; 0: the warm-up
            depends on time alone.
        congestion_threshold: a server becomes congested when it has more requests than
            cores + this x the square root of cores; 0: never.
        congestion_window_s: the time over which the number of requests is averaged for this.
        congestion_slowdown: the factor by which work takes longer on a congested server.
        congestion_exit_use: the share of busy cores below which a congested server recovers.
        congestion_exit_s: the time that it has to stay below this share to recover.
        congestion_max_s: the time after which congestion ends in any case.
        cancellation: `queued` if a server drops queued work whose connection has closed, else `none`.
        drops_expired: whether work whose deadline has passed is dropped before it starts.
        pause_interval_s: the time between two pauses, each of `pause_ms`; 0: no pauses.
    """

    name: str
    cores: int = 4
    speed: float = 1.0
    slots_per_core: float = 1.0
    queue_per_core: float = 15.0
    max_connections: int = 76
    handshake_ms: float = 15.0
    idle_timeout_s: float = 60.0
    cold_capacity: float = 1.0
    warm_up_s: float = 0.0
    warm_up_requests: int = 0
    congestion_threshold: float = 0.0
    congestion_window_s: float = 2.0
    congestion_slowdown: float = 2.5
    congestion_exit_use: float = 0.3
    congestion_exit_s: float = 3.0
    congestion_max_s: float = 20.0
    cancellation: str = "none"
    drops_expired: bool = False
    pause_interval_s: float = 0.0
    pause_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """One server; with a `start_s` of 0 it runs and is warm when the scenario starts."""

    name: str
    server_type: ServerType
    zone: str
    rack: int
    start_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerGroup:
    """A number of equal servers, as stated in the file; `server_type` is the name of their type."""

    server_type: str
    zone: str
    count: int = 1
    rack: int = 0
    start_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault, or a change of load, on the time line.

    Attributes:
        at_s: the time at which it begins.
        kind: one of `SERVER_FAULTS` or `OTHER_FAULTS`.
        duration_s: how long it lasts.
        servers: the names of the servers that it affects; empty: all servers, or those of `zone`.
        zone: the zone whose servers it affects, or that is partitioned from the others; empty: any zone.
        server_share: the share of these servers that is drawn at random; 0: all of them.
        stagger_s: the delay from one affected server or proxy to the next.
        share: the share of requests that it affects.
        mode: one of `FAIL_MODES` or `DISCOVERY_MODES`, for faults of these two kinds.
        classes: the request classes that it affects; empty: all.
        factor: the factor by which work, load or running time is multiplied.
        pause_interval_ms: the time between two pauses, each of `pause_ms`.
        delay_ms: the time after which a failing request is answered.
        downtime_s: the time from the end of a process to its next start.
        proxies: the proxies that it affects; empty: all.
    """

    at_s: float
    kind: str
    duration_s: float = 0.0
    servers: tuple[str, ...] = ()
    zone: str = ""
    server_share: float = 0.0
    stagger_s: float = 0.0
    share: float = 1.0
    mode: str = ""
    classes: tuple[str, ...] = ()
    factor: float = 1.0
    pause_interval_ms: float = 1000.0
    pause_ms: float = 100.0
    delay_ms: float = 2.0
    downtime_s: float = 1.0
    proxies: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of the clients of all proxies.

    Attributes:
        proxies: the number of proxies.
        rate_per_s: the rate of requests of all clients together.
        relative_rates: the relative rate of each proxy's clients; empty: the same for all.
        rate_curve: points (second, factor) of the rate over time; the factor is interpolated linearly.
        max_retries: the number of retries after the first attempt of a request.
        backoff_ms: the delay before a retry.
        attempt_deadline_share: the share of the class's deadline after which a client gives up an attempt.
        honours_retry_after: whether clients wait for a response's Retry-After, `max_retry_after_ms` at most.
        distinct_keys: the number of different keys in requests.
        max_connections: the number of connections that the clients of one proxy open at most.
    """

    proxies: int = 3
    rate_per_s: float = 60.0
    relative_rates: tuple[float, ...] = ()
    rate_curve: tuple[tuple[float, float], ...] = ()
    max_retries: int = 2
    backoff_ms: float = 50.0
    attempt_deadline_share: float = 1.0
    honours_retry_after: bool = True
    max_retry_after_ms: float = 750.0
    distinct_keys: int = 100_000
    max_connections: int = 128


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """One-way delays within a zone and between zones, and the round trips and time limit of a handshake."""

    same_zone_ms: float = 0.25
    cross_zone_ms: float = 2.0
    handshake_round_trips: float = 2.0
    connect_timeout_ms: float = 250.0


@dataclass(frozen=True, slots=True)
class LoadReportSettings:
    """Servers' load reports: their fields, interval of measurement, delay, and relative noise."""

    fields: tuple[str, ...] = ("inflight", "queue", "latency_ms")
    period_ms: float = 700.0
    delay_ms: float = 200.0
    noise: float = 0.05


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """Settings of discovery.

    Attributes:
        subscribes: whether proxies watch the endpoint list themselves.
        start_delay_ms: the delay from a server's start until discovery lists it.
        removal_delay_ms: the delay until discovery knows that a server is draining or has ended.
        stall_delay_ms: the delay until discovery knows that a server no longer answers.
        latency_ms: the latency of discovery's responses.
    """

    subscribes: bool = True
    start_delay_ms: float = 1200.0
    removal_delay_ms: float = 1500.0
    stall_delay_ms: float = 6000.0
    latency_ms: float = 2.0


@dataclass(frozen=True, slots=True)
class RuleSettings:
    """Limits of the rules that a run is checked against, and of the proxies' settings.

    Attributes:
        drain_grace_ms: the time for which new work may reach a server after the proxy was notified that the
            server is draining.
        crash_multiple: a cold server crashes when it gets this many times the work that it can do within
            `crash_window_ms`.
        crash_window_ms: the length of the window over which that work is counted.
        slow_start_share: the share of its capacity that a proxy assumes for a server that has just started.
        slow_start_ms: the time after a server's start from which a proxy assumes its full capacity.
        answer_grace_ms: the time that a client waits after its deadline before the attempt counts as lost.
        max_attempts: the number of attempts that a proxy makes for one client attempt at most.
        hedged_requests: whether proxies may send hedged requests.
        retry_after: whether proxies add Retry-After to rejections.
        max_poll_interval_ms: the longest time between two requests of a proxy to discovery.
    """

    drain_grace_ms: float = 1000.0
    crash_multiple: float = 3.0
    crash_window_ms: float = 2000.0
    slow_start_share: float = 0.3
    slow_start_ms: float = 7500.0
    answer_grace_ms: float = 50.0
    max_attempts: int = 3
    hedged_requests: bool = True
    retry_after: bool = False
    max_poll_interval_ms: float = 10_000.0


@dataclass(frozen=True, slots=True)
class ExplorationSettings:
    """The ranges in which `explore` varies a scenario.

    Attributes:
        max_shift_s: the time by which a fault begins earlier or later at most.
        duration_factors: the least and the greatest factor of a fault's duration.
        rate_factors: the least and the greatest factor of the clients' rate.
        size_factors: the least and the greatest factor of a fault's share, server share, factor or pause.
        min_served_share: the least share of the requests' priority weight that has to be served in time;
            a run with less is a finding.
    """

    max_shift_s: float = 5.0
    duration_factors: tuple[float, ...] = (0.5, 2.0)
    rate_factors: tuple[float, ...] = (0.8, 1.2)
    size_factors: tuple[float, ...] = (0.5, 1.5)
    min_served_share: float = 0.8


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole scenario.

    Attributes:
        duration_s: the time for which clients make requests.
        seed: the seed of all random draws.
        window_s: the length of the windows in which the report counts requests.
    """

    name: str
    duration_s: float
    seed: int
    zones: tuple[str, ...]
    classes: tuple[RequestClassSpec, ...]
    server_types: tuple[ServerType, ...]
    server_groups: tuple[ServerGroup, ...]
    description: str = ""
    window_s: float = 5.0
    clients: ClientSettings = field(default_factory=ClientSettings)
    network: NetworkSettings = field(default_factory=NetworkSettings)
    load_reports: LoadReportSettings = field(default_factory=LoadReportSettings)
    discovery: DiscoverySettings = field(default_factory=DiscoverySettings)
    rules: RuleSettings = field(default_factory=RuleSettings)
    exploration: ExplorationSettings = field(default_factory=ExplorationSettings)
    faults: tuple[Fault, ...] = ()

    def servers(self) -> tuple[ServerSpec, ...]:
        """Return all servers in the order of the file, each named after its zone and its number in it."""
        types = {server_type.name: server_type for server_type in self.server_types}
        count_by_zone: dict[str, int] = {}
        servers = []
        for group in self.server_groups:
            for _ in range(group.count):
                count_by_zone[group.zone] = count_by_zone.get(group.zone, 0) + 1
                name = f"{group.zone}-{count_by_zone[group.zone]}"
                servers.append(
                    ServerSpec(name, types[group.server_type], group.zone, group.rack, group.start_s)
                )
        return tuple(servers)

    def zone_of(self, proxy: int) -> str:
        """Return the zone of a proxy; proxies are assigned to the zones round robin."""
        return self.zones[proxy % len(self.zones)]

    def fault_targets(self, index: int, fault: Fault) -> tuple[str, ...]:
        """Return the servers that a fault affects, in the order of the file.

        Args:
            index: the fault's position in the scenario, which seeds the draw of a share of the servers.
            fault: the fault.
        """
        servers = [server for server in self.servers() if not fault.servers or server.name in fault.servers]
        servers = [server for server in servers if not fault.zone or server.zone == fault.zone]
        if fault.server_share:
            ranked = sorted(servers, key=lambda server: uniform_draw(self.seed, "part", index, server.name))
            drawn = {server.name for server in ranked[: ceil(fault.server_share * len(servers) - 1e-9)]}
            servers = [server for server in servers if server.name in drawn]
        return tuple(server.name for server in servers)

    def partitioned_proxies(self, index: int, fault: Fault, server: ServerSpec) -> tuple[int, ...]:
        """Return the proxies that a partition separates from a server.

        A partition that names proxies separates these proxies from the servers that it names. The partition
        of a zone separates proxies in the zone from servers outside it, and other proxies from its servers.
        """
        if fault.proxies:
            return fault.proxies if server.name in self.fault_targets(index, fault) else ()
        inside = server.zone == fault.zone
        return tuple(
            proxy for proxy in range(self.clients.proxies) if (self.zone_of(proxy) == fault.zone) != inside
        )

    def rate_factor(self, at_s: float, class_name: str = "") -> float:
        """Return the clients' rate at a time as a multiple of `rate_per_s`.

        Args:
            at_s: the time.
            class_name: a class; `load` faults limited to this class are counted too. Empty: only the faults
                that affect all classes are counted.
        """
        rate_factor = self._curve_factor(at_s)
        for fault in self.faults:
            if fault.kind != "load" or (fault.classes and class_name not in fault.classes):
                continue
            if fault.at_s <= at_s < fault.at_s + fault.duration_s:
                rate_factor *= fault.factor
        return rate_factor

    def _curve_factor(self, at_s: float) -> float:
        points = self.clients.rate_curve
        if not points:
            return 1.0
        factor = points[0][1] if at_s <= points[0][0] else points[-1][1]
        for (before_s, low), (after_s, high) in pairwise(points):
            if before_s <= at_s < after_s:
                factor = low + (high - low) * (at_s - before_s) / (after_s - before_s)
        return factor

    def with_changes(self, **changes: Any) -> Scenario:
        """Return a copy with these attributes replaced."""
        return replace(self, **changes)
