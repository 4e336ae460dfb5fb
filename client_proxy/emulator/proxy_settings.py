"""The settings document that the platform passes to each proxy of a scenario."""

from __future__ import annotations

from typing import Any

from client_proxy.emulator.scenario import EFFECTS, RequestClassSpec, Scenario

ANSWER_GRACE_MS = 20.0
"""How long after a request's deadline its final answer still counts."""


def proxy_settings(scenario: Scenario, ordinal: int, proxies: int) -> dict[str, Any]:
    """Return one proxy's settings in the form that `client_proxy.settings` reads.

    Args:
        scenario: the scenario.
        ordinal: the proxy's number.
        proxies: the number of proxies.
    """
    rules = scenario.rules
    return {
        "balancers": proxies,
        "ordinal": ordinal,
        "zone": scenario.zone_of(ordinal),
        "zones": list(scenario.zones),
        "bounds": _bounds(scenario),
        "categories": [_category(request_class) for request_class in scenario.classes],
        "discovery": "subscribe" if scenario.discovery.subscribes else "automatic",
        "reporting": {"how": "inline", "fields": list(scenario.load_reports.fields)},
        "safety": {
            "cold_ms": rules.slow_start_ms,
            "cold_share": rules.slow_start_share,
            "fall_ms": rules.crash_window_ms,
            "fall_multiple": rules.crash_multiple,
            "drain_grace_ms": rules.drain_grace_ms,
            "must_ask_in_ms": rules.max_poll_interval_ms,
            "grace_to_answer_ms": ANSWER_GRACE_MS,
        },
        "prices": {"waste": 0.15, "late_fail": 0.05, "handshake": 0.05, "connection": 0.05},
        "objective_mix": {"whole": 0.55, "worst_class": 0.3, "worst_window": 0.15},
    }


def _bounds(scenario: Scenario) -> dict[str, Any]:
    return {
        "max_attempts": scenario.rules.max_attempts,
        "connect_timeout_ms": scenario.network.connect_timeout_ms,
        "conn_idle_ms": 1000.0 * min(server_type.idle_timeout_s for server_type in scenario.server_types),
        "parallel_tries": scenario.rules.hedged_requests,
        "cancel": True,
        "probes": False,
        "retry_after": scenario.rules.retry_after,
        "streams_per_conn": 1,
    }


def _category(request_class: RequestClassSpec) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aim_ms": request_class.latency_objective_ms,
        "deadline_ms": request_class.deadline_ms,
        "effect": EFFECTS[request_class.effect][1],
        "group": request_class.idempotency_scope,
        "window_ms": request_class.idempotency_window_ms,
        "worth": request_class.priority_weight,
        "late_worth": 0.0,
    }
