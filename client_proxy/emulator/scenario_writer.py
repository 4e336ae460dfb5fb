"""Formats a scenario as a TOML file; `scenario_reader` reads the same scenario back from it.

The file's keys are kept for compatibility where an attribute has another name; `FILE_KEYS` maps them.
"""

from __future__ import annotations

import json
from dataclasses import fields
from typing import Any

from client_proxy.emulator.scenario import (
    ClientSettings,
    DiscoverySettings,
    ExplorationSettings,
    Fault,
    NetworkSettings,
    RequestClassSpec,
    RuleSettings,
    Scenario,
    ServerGroup,
    ServerType,
)

FILE_KEYS: dict[type[Any], dict[str, str]] = {
    RequestClassSpec: {
        "latency_objective_ms": "aim_ms",
        "work_variation": "cv",
        "priority_weight": "worth",
        "idempotency_scope": "group",
        "idempotency_window_ms": "window_ms",
    },
    ServerType: {
        "max_connections": "connections",
        "idle_timeout_s": "idle_s",
        "cold_capacity": "cold_from",
        "warm_up_s": "cold_s",
        "warm_up_requests": "cold_requests",
        "congestion_threshold": "choke_at",
        "congestion_window_s": "choke_over_s",
        "congestion_slowdown": "choke_slower",
        "congestion_exit_use": "choke_below",
        "congestion_exit_s": "choke_rest_s",
        "congestion_max_s": "choke_most_s",
        "cancellation": "cancel",
        "pause_interval_s": "pause_every_s",
    },
    ServerGroup: {"server_type": "kind", "zone": "hall", "start_s": "from_s"},
    Fault: {
        "kind": "what",
        "duration_s": "for_s",
        "zone": "hall",
        "server_share": "part",
        "factor": "times",
        "pause_interval_ms": "every_ms",
        "delay_ms": "after_ms",
        "downtime_s": "down_s",
    },
    ClientSettings: {
        "relative_rates": "rates",
        "rate_curve": "shape",
        "max_retries": "retries",
        "attempt_deadline_share": "try_share",
        "honours_retry_after": "honour",
        "max_retry_after_ms": "most_honoured_ms",
        "distinct_keys": "keys",
        "max_connections": "connections",
    },
    NetworkSettings: {
        "same_zone_ms": "same_ms",
        "cross_zone_ms": "cross_ms",
        "handshake_round_trips": "handshake_rtts",
    },
    DiscoverySettings: {
        "subscribes": "asked",
        "start_delay_ms": "add_ms",
        "removal_delay_ms": "notice_ms",
        "stall_delay_ms": "silent_notice_ms",
    },
    RuleSettings: {
        "crash_multiple": "fall_multiple",
        "crash_window_ms": "fall_ms",
        "slow_start_share": "cold_share",
        "slow_start_ms": "cold_ms",
        "hedged_requests": "second_copies",
        "max_poll_interval_ms": "must_ask_ms",
    },
    ExplorationSettings: {
        "max_shift_s": "shift_s",
        "duration_factors": "lasts",
        "rate_factors": "rate",
        "size_factors": "sizes",
        "min_served_share": "least_served",
    },
    Scenario: {"duration_s": "length_s", "zones": "halls", "description": "about"},
}
"""For each dataclass, the file's key of each attribute whose key differs from its name."""

SINGLE_TABLES = {
    "clients": "clients",
    "network": "net",
    "load_reports": "reports",
    "discovery": "discovery",
    "rules": "rules",
    "exploration": "explore",
}
"""Maps each attribute of a scenario that is a single table to the table's name, in the file's order."""

TABLE_ARRAYS = {
    "classes": "class",
    "server_types": "kind",
    "server_groups": "servers",
    "faults": "incident",
}
"""Maps each attribute of a scenario that is an array of tables to its name, in the file's order."""


def format_scenario(scenario: Scenario) -> str:
    """Return the scenario as the text of a TOML file."""
    lines = _key_lines(scenario, skipped=(*SINGLE_TABLES, *TABLE_ARRAYS))
    for attribute, table in SINGLE_TABLES.items():
        lines += ["", f"[{table}]", *_key_lines(getattr(scenario, attribute))]
    for attribute, table in TABLE_ARRAYS.items():
        for entry in getattr(scenario, attribute):
            lines += ["", f"[[{table}]]", *_key_lines(entry)]
    return "\n".join(lines) + "\n"


def _key_lines(settings: Any, skipped: tuple[str, ...] = ()) -> list[str]:
    """Return a `key = value` line for each attribute of a dataclass that is neither empty nor skipped."""
    keys = FILE_KEYS.get(type(settings), {})
    lines = []
    for attribute in fields(settings):
        value = getattr(settings, attribute.name)
        if attribute.name not in skipped and value != "" and value != ():
            lines.append(f"{keys.get(attribute.name, attribute.name)} = {format_value(value)}")
    return lines


def format_value(value: Any) -> str:
    """Return a value in TOML's notation."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(format_value(element) for element in value) + "]"
    # Strings and finite numbers have the same notation in JSON and in TOML.
    return json.dumps(value, ensure_ascii=False)
