"""Reads a scenario from a TOML file and checks all of it.

Each error in the file is reported with its line and key. Messages use the file's keys; the dataclasses of
`scenario` name some attributes differently, and `scenario_writer.FILE_KEYS` maps these to the keys.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace
from itertools import pairwise
from pathlib import Path

from client_proxy.api.settings import IdempotencyScope
from client_proxy.emulator.proxy_settings import proxy_settings
from client_proxy.emulator.scenario import (
    DISCOVERY_MODES,
    EFFECTS,
    FAIL_MODES,
    OTHER_FAULTS,
    SERVER_FAULTS,
    ClientSettings,
    DiscoverySettings,
    ExplorationSettings,
    Fault,
    LoadReportSettings,
    NetworkSettings,
    RequestClassSpec,
    RuleSettings,
    Scenario,
    ServerGroup,
    ServerType,
)
from client_proxy.settings import read_settings
from client_proxy.toml_table import File, Table, TomlError, read_text

MAX_DURATION_S = 7 * 24 * 3600
"""Longest scenario that is accepted: a week."""
LASTING_FAULTS = ("fail", "freeze", "pauses", "slow", "lies", "costly", "load", "discovery", "cut")
"""Kinds of faults that need a duration."""
REPORT_FIELDS = ("inflight", "queue", "latency_ms", "util")
"""Fields that servers can include in their load reports."""


@dataclass(frozen=True, slots=True)
class KnownNames:
    """The scenario's duration and the names that a fault's table may refer to."""

    duration_s: float
    zones: tuple[str, ...]
    servers: Collection[str] = ()
    classes: Collection[str] = ()


def load_scenario(path: str | Path) -> Scenario:
    """Read a scenario from a file.

    Raises:
        TomlError: the file can't be read or is not a scenario.
    """
    return parse_scenario(read_text(path), str(path))


def parse_scenario(text: str, name: str = "day") -> Scenario:
    """Read a scenario from a file's text.

    Raises:
        TomlError: the text is not a scenario; the message has a line for each error, with file, line and key.
    """
    file = File(text, name)
    top = file.top()
    scenario = _read_without_faults(top)
    _check_names(top, scenario)
    fault_tables = top.tables("incident")
    if not file.faults:
        scenario = _with_faults(scenario, fault_tables)
    top.reject_unknown_keys()
    file.raise_faults()
    try:
        read_settings(proxy_settings(scenario, 0, scenario.clients.proxies))
    except (ValueError, KeyError) as error:
        raise TomlError(f"{name}:1: the proxies' settings would be refused: {error}") from None
    return scenario


def _read_without_faults(top: Table) -> Scenario:
    duration_s = top.bounded_number("length_s", least=0.1, most=MAX_DURATION_S)
    zones = top.texts("halls", ("hall",))
    if not zones or len(set(zones)) != len(zones):
        top.fault("halls", "at least one, each once")
    classes = tuple(_read_class(table) for table in top.tables("class", 1))
    server_types = tuple(_read_server_type(table) for table in top.tables("kind", 1))
    type_names = {server_type.name for server_type in server_types}
    groups = tuple(_read_group(table, zones, type_names) for table in top.tables("servers", 1))
    network, reports, discovery = top.table("net"), top.table("reports"), top.table("discovery")
    return Scenario(
        network=_read_network(network),
        load_reports=_read_load_reports(reports),
        discovery=_read_discovery(discovery),
        name=top.text("name"),
        duration_s=duration_s,
        seed=top.integer("seed", 1),
        zones=zones,
        classes=classes,
        server_types=server_types,
        server_groups=groups,
        description=top.text("about", ""),
        window_s=top.bounded_number("window_s", 5.0, 0.1),
        clients=_read_clients(top.table("clients")),
        rules=_read_rules(top.table("rules")),
        exploration=_read_exploration(top.table("explore")),
    )


def _check_names(top: Table, scenario: Scenario) -> None:
    class_names = [request_class.name for request_class in scenario.classes]
    type_names = [server_type.name for server_type in scenario.server_types]
    for key, names in (("class", class_names), ("kind", type_names)):
        if len(set(names)) != len(names):
            top.fault(key, "two share a name")
    if scenario.classes and not sum(request_class.share for request_class in scenario.classes):
        top.fault("class", "all shares are zero")


def _with_faults(scenario: Scenario, tables: list[Table]) -> Scenario:
    """Return the scenario with the faults that these tables describe, checked against the scenario."""
    known = KnownNames(
        duration_s=scenario.duration_s,
        zones=scenario.zones,
        servers={server.name for server in scenario.servers()},
        classes={request_class.name for request_class in scenario.classes},
    )
    scenario = replace(scenario, faults=tuple(_read_fault(table, known) for table in tables))
    for index, (table, fault) in enumerate(zip(tables, scenario.faults, strict=True)):
        if any(not 0 <= proxy < scenario.clients.proxies for proxy in fault.proxies):
            table.fault("proxies", f"they are numbered from 0 to {scenario.clients.proxies - 1}")
        if fault.kind in SERVER_FAULTS and not scenario.fault_targets(index, fault):
            table.fault("what", "befalls no server")
    return scenario


def _read_class(table: Table) -> RequestClassSpec:
    request_class = RequestClassSpec(
        name=table.text("name"),
        share=table.bounded_number("share", 1.0),
        work_ms=table.bounded_number("work_ms", least=0.001),
        latency_objective_ms=table.bounded_number("aim_ms", least=1),
        deadline_ms=table.bounded_number("deadline_ms", least=1, most=600_000),
        effect=table.text("effect", "unsafe", tuple(EFFECTS)),
        work_variation=table.bounded_number("cv", 0.0, most=10),
        attempt_noise=table.bounded_number("attempt_noise", 0.0, most=10),
        priority_weight=table.bounded_number("worth", 1.0),
        idempotency_scope=table.text("group", "all", tuple(scope.value for scope in IdempotencyScope)),
        idempotency_window_ms=table.bounded_number("window_ms", 0.0),
    )
    if request_class.latency_objective_ms > request_class.deadline_ms:
        objective_ms, deadline_ms = request_class.latency_objective_ms, request_class.deadline_ms
        table.fault("aim_ms", f"{objective_ms:g} is past the deadline, {deadline_ms:g}")
    table.reject_unknown_keys()
    return request_class


def _read_server_type(table: Table) -> ServerType:
    default = ServerType("")
    server_type = ServerType(
        name=table.text("name"),
        cores=table.integer("cores", default.cores, 1, 1024),
        speed=table.bounded_number("speed", default.speed, 0.001, 1000),
        slots_per_core=table.bounded_number("slots_per_core", default.slots_per_core, 0.01, 1000),
        queue_per_core=table.bounded_number("queue_per_core", default.queue_per_core, 0, 100_000),
        max_connections=table.integer("connections", default.max_connections, 1, 100_000),
        handshake_ms=table.bounded_number("handshake_ms", default.handshake_ms),
        idle_timeout_s=table.bounded_number("idle_s", default.idle_timeout_s, 0.01),
        cold_capacity=table.bounded_number("cold_from", default.cold_capacity, 0.01, 1),
        warm_up_s=table.bounded_number("cold_s", default.warm_up_s),
        warm_up_requests=table.integer("cold_requests", default.warm_up_requests),
        congestion_threshold=table.bounded_number("choke_at", default.congestion_threshold),
        congestion_window_s=table.bounded_number("choke_over_s", default.congestion_window_s, 0.01),
        congestion_slowdown=table.bounded_number("choke_slower", default.congestion_slowdown, 1),
        congestion_exit_use=table.bounded_number("choke_below", default.congestion_exit_use, 0, 1),
        congestion_exit_s=table.bounded_number("choke_rest_s", default.congestion_exit_s),
        congestion_max_s=table.bounded_number("choke_most_s", default.congestion_max_s),
        cancellation=table.text("cancel", default.cancellation, ("none", "queued")),
        drops_expired=table.flag("drops_expired", default.drops_expired),
        pause_interval_s=table.bounded_number("pause_every_s", default.pause_interval_s),
        pause_ms=table.bounded_number("pause_ms", default.pause_ms),
    )
    table.reject_unknown_keys()
    return server_type


def _read_group(table: Table, zones: tuple[str, ...], type_names: set[str]) -> ServerGroup:
    group = ServerGroup(
        server_type=table.text("kind"),
        zone=table.text("hall"),
        count=table.integer("count", 1, 1, 1000),
        rack=table.integer("rack", 0),
        start_s=table.bounded_number("from_s", 0.0),
    )
    if group.zone not in zones:
        table.fault("hall", f"{group.zone!r} is not one of the halls")
    if group.server_type not in type_names:
        table.fault("kind", f"no [[kind]] is named {group.server_type!r}")
    table.reject_unknown_keys()
    return group


def _read_fault(table: Table, known: KnownNames) -> Fault:
    default = Fault(0.0, "")
    kind = table.text("what", among=SERVER_FAULTS + OTHER_FAULTS)
    modes = FAIL_MODES if kind == "fail" else DISCOVERY_MODES if kind == "discovery" else ("",)
    fault = Fault(
        at_s=table.bounded_number("at_s", most=max(known.duration_s, 0.0)),
        kind=kind,
        duration_s=table.bounded_number("for_s", default.duration_s),
        servers=table.texts("servers", ()),
        zone=table.text("hall", ""),
        server_share=table.bounded_number("part", default.server_share, 0, 1),
        stagger_s=table.bounded_number("stagger_s", default.stagger_s),
        share=table.bounded_number("share", default.share, 0, 1),
        mode=table.text("mode", modes[0], modes),
        classes=table.texts("classes", ()),
        factor=table.bounded_number("times", default.factor, 0, 1000),
        pause_interval_ms=table.bounded_number("every_ms", default.pause_interval_ms, 1),
        pause_ms=table.bounded_number("pause_ms", default.pause_ms, 0),
        delay_ms=table.bounded_number("after_ms", default.delay_ms),
        downtime_s=table.bounded_number("down_s", default.downtime_s),
        proxies=tuple(int(proxy) for proxy in table.numbers("proxies", ())),
    )
    _check_fault_names(table, fault, known)
    _check_fault_values(table, fault)
    table.reject_unknown_keys()
    return fault


def _check_fault_names(table: Table, fault: Fault, known: KnownNames) -> None:
    if fault.zone and fault.zone not in known.zones:
        table.fault("hall", f"{fault.zone!r} is not one of the halls")
    for name in fault.servers:
        if name not in known.servers:
            table.fault("servers", f"there is no server {name!r}")
    for name in fault.classes:
        if name not in known.classes:
            table.fault("classes", f"no [[class]] is named {name!r}")


def _check_fault_values(table: Table, fault: Fault) -> None:
    if fault.kind in LASTING_FAULTS and not fault.duration_s:
        table.fault("for_s", f"missing: how long {fault.kind!r} lasts")
    if fault.kind == "cut" and not fault.zone and not fault.proxies:
        table.fault("hall", "missing: the hall that is cut off, or the proxies that lose touch with servers")
    if fault.kind == "pauses" and fault.pause_ms >= fault.pause_interval_ms:
        table.fault("pause_ms", "as long as every_ms or longer: the server would never run")


def _read_clients(table: Table) -> ClientSettings:
    default = ClientSettings()
    clients = ClientSettings(
        proxies=table.integer("proxies", default.proxies, 1, 500),
        rate_per_s=table.bounded_number("rate_per_s", default.rate_per_s, 0, 100_000),
        relative_rates=table.numbers("rates", ()),
        rate_curve=table.points("shape", ()),
        max_retries=table.integer("retries", default.max_retries, 0, 20),
        backoff_ms=table.bounded_number("backoff_ms", default.backoff_ms),
        attempt_deadline_share=table.bounded_number("try_share", default.attempt_deadline_share, 0.01, 1),
        honours_retry_after=table.flag("honour", default.honours_retry_after),
        max_retry_after_ms=table.bounded_number("most_honoured_ms", default.max_retry_after_ms),
        distinct_keys=table.integer("keys", default.distinct_keys, 1),
        max_connections=table.integer("connections", default.max_connections, 1, 10_000),
    )
    _check_rates(table, clients)
    table.reject_unknown_keys()
    return clients


def _check_rates(table: Table, clients: ClientSettings) -> None:
    rates = clients.relative_rates
    if rates and len(rates) != clients.proxies:
        table.fault("rates", f"{len(rates)} figures for {clients.proxies} proxies")
    if any(rate < 0 for rate in rates) or (rates and not sum(rates)):
        table.fault("rates", "must not be negative, nor all zero")
    if any(later[0] <= earlier[0] for earlier, later in pairwise(clients.rate_curve)):
        table.fault("shape", "the seconds must rise from point to point")
    if any(factor < 0 for _, factor in clients.rate_curve):
        table.fault("shape", "a factor must not be negative")


def _read_rules(table: Table) -> RuleSettings:
    default = RuleSettings()
    rules = RuleSettings(
        drain_grace_ms=table.bounded_number("drain_grace_ms", default.drain_grace_ms),
        crash_multiple=table.bounded_number("fall_multiple", default.crash_multiple, 0.1),
        crash_window_ms=table.bounded_number("fall_ms", default.crash_window_ms, 1),
        slow_start_share=table.bounded_number("cold_share", default.slow_start_share, 0.01, 1),
        slow_start_ms=table.bounded_number("cold_ms", default.slow_start_ms),
        answer_grace_ms=table.bounded_number("answer_grace_ms", default.answer_grace_ms),
        max_attempts=table.integer("max_attempts", default.max_attempts, 1, 100),
        hedged_requests=table.flag("second_copies", default.hedged_requests),
        retry_after=table.flag("retry_after", default.retry_after),
        max_poll_interval_ms=table.bounded_number("must_ask_ms", default.max_poll_interval_ms, 1),
    )
    table.reject_unknown_keys()
    return rules


def _read_exploration(table: Table) -> ExplorationSettings:
    default = ExplorationSettings()
    exploration = ExplorationSettings(
        max_shift_s=table.bounded_number("shift_s", default.max_shift_s),
        duration_factors=table.numbers("lasts", default.duration_factors, 2),
        rate_factors=table.numbers("rate", default.rate_factors, 2),
        size_factors=table.numbers("sizes", default.size_factors, 2),
        min_served_share=table.bounded_number("least_served", default.min_served_share, 0, 1),
    )
    table.reject_unknown_keys()
    return exploration


def _read_network(table: Table) -> NetworkSettings:
    default = NetworkSettings()
    network = NetworkSettings(
        same_zone_ms=table.bounded_number("same_ms", default.same_zone_ms),
        cross_zone_ms=table.bounded_number("cross_ms", default.cross_zone_ms),
        handshake_round_trips=table.bounded_number("handshake_rtts", default.handshake_round_trips),
        connect_timeout_ms=table.bounded_number("connect_timeout_ms", default.connect_timeout_ms, 1),
    )
    table.reject_unknown_keys()
    return network


def _read_load_reports(table: Table) -> LoadReportSettings:
    default = LoadReportSettings()
    reports = LoadReportSettings(
        fields=table.texts("fields", default.fields),
        period_ms=table.bounded_number("period_ms", default.period_ms, 1),
        delay_ms=table.bounded_number("delay_ms", default.delay_ms),
        noise=table.bounded_number("noise", default.noise, 0, 1),
    )
    for name in reports.fields:
        if name not in REPORT_FIELDS:
            table.fault("fields", f"{name!r} is not a figure that servers report")
    table.reject_unknown_keys()
    return reports


def _read_discovery(table: Table) -> DiscoverySettings:
    default = DiscoverySettings()
    discovery = DiscoverySettings(
        subscribes=table.flag("asked", default.subscribes),
        start_delay_ms=table.bounded_number("add_ms", default.start_delay_ms),
        removal_delay_ms=table.bounded_number("notice_ms", default.removal_delay_ms),
        stall_delay_ms=table.bounded_number("silent_notice_ms", default.stall_delay_ms),
        latency_ms=table.bounded_number("latency_ms", default.latency_ms),
    )
    table.reject_unknown_keys()
    return discovery
