"""The settings as the simulator's first message and the proxy's configuration both carry them."""

from __future__ import annotations

from typing import Any

from cedarcross.interface import (
    AttemptLimit,
    Idempotency,
    Limits,
    Objective,
    Prices,
    RepeatScope,
    Reports,
    RequestClass,
    Safety,
    Settings,
    Tenant,
)

Json = dict[str, Any]

IDEMPOTENCY = {
    "retryable": Idempotency.SAFE,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.UNSAFE,
}


def present(facts: Json, **names: str) -> Json:
    """Our names for those of the wire's that are there; for the rest interface.py's defaults stand."""
    return {ours: facts[theirs] for ours, theirs in names.items() if theirs in facts}


def read_class(facts: Json) -> RequestClass:
    return RequestClass(
        name=facts["name"],
        aim_ms=facts["aim_ms"],
        deadline_ms=facts["deadline_ms"],
        idempotency=IDEMPOTENCY[facts["effect"]],
        repeat_scope=RepeatScope(facts.get("group", "all")),
        **present(
            facts,
            worth="worth",
            late_worth="late_worth",
            aim_stretch="aim_stretch",
            repeat_window_ms="window_ms",
            streamed="stream",
            in_order="sequential",
        ),
    )


def read_attempt_limit(safety: Json) -> AttemptLimit | None:
    if "resend_span_ms" not in safety:
        return None
    share, free = safety.get("resend_ratio", 0.0), safety.get("free_resends", 0.0)
    return AttemptLimit(safety["resend_span_ms"], share, free)


def read_settings(facts: Json) -> Settings:
    bounds, safety, reporting = facts["bounds"], facts["safety"], facts.get("reporting", {})
    return Settings(
        classes=tuple(read_class(c) for c in facts["categories"]),
        proxies=facts["balancers"],
        subscribe=facts.get("discovery") == "subscribe",
        report_fields=tuple(reporting.get("fields", ())),
        reports=Reports(reporting.get("how", "inline")),
        worth_by_work=facts.get("counted_by") == "work",
        warm_keys=facts.get("family_info", {}).get("warm_keys", False),
        limits=Limits(
            max_attempts=bounds["max_attempts"],
            **present(
                bounds,
                parallel_attempts="parallel_tries",
                cancel="cancel",
                probes="probes",
                retry_after="retry_after",
                max_retry_after_ms="max_retry_after_ms",
                connect_timeout_ms="connect_timeout_ms",
                conn_idle_ms="conn_idle_ms",
                streams_per_conn="streams_per_conn",
                max_open="max_open",
                cpu_us_per_s="cpu_us_per_s",
                cpu_us_per_request="cpu_us_per_request",
            ),
        ),
        safety=Safety(
            cold_share=safety["cold_share"],
            cold_ms=safety["cold_ms"],
            push_multiple=safety["fall_multiple"],
            push_window_ms=safety["fall_ms"],
            attempts=read_attempt_limit(safety),
            **present(
                safety,
                must_ask_ms="must_ask_in_ms",
                answer_grace_ms="grace_to_answer_ms",
                drain_grace_ms="drain_grace_ms",
                key_rest_ms="key_rest_ms",
            ),
        ),
        prices=Prices(
            **present(
                facts.get("prices", {}),
                cross_zone="cross_zone",
                probe="probe",
                waste="waste",
                late_fail="late_fail",
                handshake="handshake",
                connection="connection",
                discovery="discovery",
            )
        ),
        objective=Objective(
            **present(
                facts.get("objective_mix", {}),
                whole="whole",
                worst_window="worst_window",
                worst_class="worst_class",
                worst_tenant="worst_tenant",
                tail="tail",
                tail_slack="tail_slack",
                nines="log_loss_part",
                full_at_nines="full_at_nines",
            )
        ),
        tenants=tuple(Tenant(t["name"], t["quota_per_s"]) for t in facts.get("projects", ())),
        **present(facts, zone="zone", ordinal="ordinal", step_ms="step_ms"),
        **present(facts, over_quota_worth="over_share_worth"),
    )
