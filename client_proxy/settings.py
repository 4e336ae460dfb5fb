"""Reads the balancer's settings from JSON, as in the simulator's first message and the proxy's configuration.

Only this module maps the JSON keys to the field names of `client_proxy.api.settings`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from client_proxy.api.settings import (
    AttemptLimit,
    Idempotency,
    IdempotencyScope,
    Limits,
    Objective,
    Prices,
    Reports,
    RequestClass,
    Safety,
    Settings,
    Tenant,
)
from client_proxy.json_object import Json, JsonObject

__all__ = ["Json", "read_settings"]

IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENCY_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
SCOPES = {scope.value: scope for scope in IdempotencyScope}
REPORTS = {how.value: how for how in Reports}


def present(facts: JsonObject, read: Callable[[str], Any], **names: str) -> Json:
    """Returns the values that are present, by field name; `names` maps field names to JSON keys."""
    return {name: read(key) for name, key in names.items() if key in facts}


def non_negative(facts: JsonObject) -> Callable[[str], float]:
    """Returns a reader of numbers that are at least 0."""
    return lambda key: facts.number(key, 0.0)


def positive(facts: JsonObject) -> Callable[[str], float]:
    """Returns a reader of numbers that are greater than 0."""
    return lambda key: facts.number(key, above=0.0)


def read_class(facts: JsonObject) -> RequestClass:
    """Reads a request class."""
    return RequestClass(
        name=facts.text("name"),
        latency_objective_ms=facts.number("aim_ms", above=0.0),
        deadline_ms=facts.number("deadline_ms", above=0.0),
        idempotency=facts.one_of("effect", IDEMPOTENCY),
        idempotency_scope=facts.one_of("group", SCOPES) if "group" in facts else IdempotencyScope.ALL,
        **present(
            facts,
            non_negative(facts),
            priority_weight="worth",
            latency_objective_stretch="aim_stretch",
            idempotency_window_ms="window_ms",
        ),
        **present(facts, facts.share, late_weight_share="late_worth"),
        **present(facts, facts.flag, streamed="stream", in_order="sequential"),
    )


def read_limits(facts: JsonObject) -> Limits:
    """Reads the limits on attempts, connections and time."""
    return Limits(
        max_attempts=facts.count("max_attempts", 1),
        **present(
            facts, facts.flag, parallel_attempts="parallel_tries", cancel="cancel", probes="probes",
            retry_after="retry_after",
        ),
        **present(facts, positive(facts), connect_timeout_ms="connect_timeout_ms"),
        **present(
            facts,
            non_negative(facts),
            max_retry_after_ms="max_retry_after_ms",
            connection_idle_timeout_ms="conn_idle_ms",
            cpu_us_per_s="cpu_us_per_s",
            cpu_us_per_request="cpu_us_per_request",
        ),
        **present(facts, lambda key: facts.count(key, 1), streams_per_connection="streams_per_conn"),
        **present(facts, facts.count, max_pending_requests="max_open"),
    )  # fmt: skip


def read_attempt_limit(safety: JsonObject) -> AttemptLimit | None:
    """Reads the limit on retries relative to requests; None: there is none."""
    if "resend_span_ms" not in safety:
        return None
    figures = present(safety, non_negative(safety), share="resend_ratio", free="free_resends")
    return AttemptLimit(safety.number("resend_span_ms", above=0.0), **{"share": 0.0, **figures})


def read_safety(facts: JsonObject) -> Safety:
    """Reads the rules of slow start, draining and idempotency keys."""
    return Safety(
        slow_start_share=facts.number("cold_share", above=0.0) and facts.share("cold_share"),
        slow_start_ms=facts.number("cold_ms", 0.0),
        slow_start_limit_multiple=facts.number("fall_multiple", above=0.0),
        slow_start_limit_window_ms=facts.number("fall_ms", above=0.0),
        attempts=read_attempt_limit(facts),
        **present(facts, positive(facts), max_poll_interval_ms="must_ask_in_ms"),
        **present(
            facts,
            non_negative(facts),
            answer_grace_ms="grace_to_answer_ms",
            drain_grace_ms="drain_grace_ms",
            key_quiet_ms="key_rest_ms",
        ),
    )


def read_prices(facts: JsonObject) -> Prices:
    """Reads the cost of each kind of overhead."""
    figures = present(
        facts,
        non_negative(facts),
        cross_zone="cross_zone",
        probe="probe",
        waste="waste",
        late_failure="late_fail",
        handshake="handshake",
        connection="connection",
        discovery="discovery",
    )
    return Prices(**figures)


def read_objective(facts: JsonObject) -> Objective:
    """Reads the weights of the objective function."""
    figures = present(
        facts,
        non_negative(facts),
        overall="whole",
        worst_window="worst_window",
        worst_class="worst_class",
        worst_tenant="worst_tenant",
        tail="tail",
        tail_slack="tail_slack",
        nines="log_loss_part",
    )
    return Objective(**figures, **present(facts, positive(facts), full_at_nines="full_at_nines"))


def read_settings(raw: object) -> Settings:
    """Reads the settings; unknown keys are ignored.

    Raises JsonValueError (a ValueError), with the path of the value, if a value is missing or invalid.
    """
    facts = JsonObject(raw, "settings")
    reporting, family = facts.optional_object("reporting"), facts.optional_object("family_info")
    tenants = facts.iter_objects("projects") if "projects" in facts else ()
    return Settings(
        classes=tuple(read_class(category) for category in facts.iter_objects("categories")),
        proxies=facts.count("balancers", 1),
        subscribe="discovery" in facts and facts.text("discovery") == "subscribe",
        report_fields=reporting.texts("fields") if "fields" in reporting else (),
        reports=reporting.one_of("how", REPORTS) if "how" in reporting else Reports.INLINE,
        weight_by_work="counted_by" in facts and facts.text("counted_by") == "work",
        warm_keys="warm_keys" in family and family.flag("warm_keys"),
        limits=read_limits(facts.required_object("bounds")),
        safety=read_safety(facts.required_object("safety")),
        prices=read_prices(facts.optional_object("prices")),
        objective=read_objective(facts.optional_object("objective_mix")),
        tenants=tuple(Tenant(tenant.text("name"), tenant.number("quota_per_s", 0.0)) for tenant in tenants),
        **present(facts, facts.text, zone="zone"),
        **present(facts, facts.count, ordinal="ordinal"),
        **present(facts, non_negative(facts), min_step_ms="step_ms"),
        **present(facts, facts.share, over_quota_weight_share="over_share_worth"),
    )
