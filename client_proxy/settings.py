"""Reads the settings, as the simulator's first message and the proxy's configuration both carry them.

The names of the wire are mapped to those of `client_proxy.api.settings` here, and nowhere else.
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
    """Return the values that are present, under our names in place of the wire's."""
    return {name: read(key) for name, key in names.items() if key in facts}


def not_negative(facts: JsonObject) -> Callable[[str], float]:
    """Return a reader of numbers from 0 on."""
    return lambda key: facts.number(key, 0.0)


def positive(facts: JsonObject) -> Callable[[str], float]:
    """Return a reader of numbers above 0."""
    return lambda key: facts.number(key, above=0.0)


def read_class(facts: JsonObject) -> RequestClass:
    """Read a request class."""
    return RequestClass(
        name=facts.text("name"),
        latency_objective_ms=facts.number("aim_ms", above=0.0),
        deadline_ms=facts.number("deadline_ms", above=0.0),
        idempotency=facts.one_of("effect", IDEMPOTENCY),
        idempotency_scope=facts.one_of("group", SCOPES) if "group" in facts else IdempotencyScope.ALL,
        **present(
            facts,
            not_negative(facts),
            priority_weight="worth",
            latency_objective_stretch="aim_stretch",
            idempotency_window_ms="window_ms",
        ),
        **present(facts, facts.share, late_weight_share="late_worth"),
        **present(facts, facts.flag, streamed="stream", in_order="sequential"),
    )


def read_limits(facts: JsonObject) -> Limits:
    """Read the limits on attempts, connections and time."""
    return Limits(
        max_attempts=facts.count("max_attempts", 1),
        **present(
            facts, facts.flag, parallel_attempts="parallel_tries", cancel="cancel", probes="probes",
            retry_after="retry_after",
        ),
        **present(facts, positive(facts), connect_timeout_ms="connect_timeout_ms"),
        **present(
            facts,
            not_negative(facts),
            max_retry_after_ms="max_retry_after_ms",
            connection_idle_timeout_ms="conn_idle_ms",
            cpu_us_per_s="cpu_us_per_s",
            cpu_us_per_request="cpu_us_per_request",
        ),
        **present(facts, lambda key: facts.count(key, 1), streams_per_connection="streams_per_conn"),
        **present(facts, facts.count, max_pending_requests="max_open"),
    )  # fmt: skip


def read_attempt_limit(safety: JsonObject) -> AttemptLimit | None:
    """Read the limit on attempts beside requests; None: there is none."""
    if "resend_span_ms" not in safety:
        return None
    figures = present(safety, not_negative(safety), share="resend_ratio", free="free_resends")
    return AttemptLimit(safety.number("resend_span_ms", above=0.0), **{"share": 0.0, **figures})


def read_safety(facts: JsonObject) -> Safety:
    """Read the rules of slow start, draining and keys."""
    return Safety(
        slow_start_share=facts.number("cold_share", above=0.0) and facts.share("cold_share"),
        slow_start_ms=facts.number("cold_ms", 0.0),
        slow_start_limit_multiple=facts.number("fall_multiple", above=0.0),
        slow_start_limit_window_ms=facts.number("fall_ms", above=0.0),
        attempts=read_attempt_limit(facts),
        **present(facts, positive(facts), max_poll_interval_ms="must_ask_in_ms"),
        **present(
            facts,
            not_negative(facts),
            answer_grace_ms="grace_to_answer_ms",
            drain_grace_ms="drain_grace_ms",
            key_quiet_ms="key_rest_ms",
        ),
    )


def read_prices(facts: JsonObject) -> Prices:
    """Read what each kind of waste costs."""
    figures = present(
        facts,
        not_negative(facts),
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
    """Read how outcomes are weighed."""
    figures = present(
        facts,
        not_negative(facts),
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
    """Read the settings; keys that are not known are passed over.

    Raises JsonValueError (a ValueError), with the value's place, for what can't be used.
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
        **present(facts, not_negative(facts), min_step_ms="step_ms"),
        **present(facts, facts.share, over_quota_weight_share="over_share_worth"),
    )
