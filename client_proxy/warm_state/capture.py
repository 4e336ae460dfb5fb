"""Captures a snapshot of a balancer's warm state."""

from __future__ import annotations

from collections.abc import Iterable

from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.warm_state.pools import pools_by_name
from client_proxy.warm_state.snapshot import (
    NEVER_MS,
    ClassSnapshot,
    EndpointClassSnapshot,
    EndpointSnapshot,
    PoolSnapshot,
    Snapshot,
)

MAX_ENDPOINTS = 10_000  # servers in a snapshot
MAX_TIMES = 4096  # times of requests in a snapshot, and of attempts; the latest ones are kept


def capture_snapshot(balancer: Balancer, offset_ms: float = 0.0) -> Snapshot:
    """Return a snapshot of the balancer's warm state.

    Args:
        balancer: The balancer, which is not changed.
        offset_ms: Added to each server's start time, to convert it from the balancer's clock to a clock that
            the process that restores the snapshot shares.
    """
    now_ms = balancer.now_ms
    endpoint_set, limiter = balancer.endpoint_set, balancer.attempt_limiter
    endpoints = list(endpoint_set.endpoints.items())[:MAX_ENDPOINTS]
    return Snapshot(
        tokens=balancer.retry_budget.tokens,
        taken_ms=_spans_since(limiter._request_times_ms, now_ms),
        made_ms=_spans_since(limiter._attempt_times_ms, now_ms),
        classes=_capture_classes(balancer),
        servers={name: _capture_endpoint(endpoint, now_ms, offset_ms) for name, endpoint in endpoints},
        pools={
            name: PoolSnapshot(pool.admission_gate.share, pool.work_rate.per_ms(now_ms))
            for name, pool in pools_by_name(balancer).items()
        },
        slowness=endpoint_set.slowness,
        latency_ms=endpoint_set.latency_ms,
        errors=endpoint_set.error_share,
    )


def _spans_since(times_ms: Iterable[float], now_ms: float) -> tuple[float, ...]:
    return tuple(now_ms - at_ms for at_ms in list(times_ms)[-MAX_TIMES:])


def _capture_classes(balancer: Balancer) -> dict[str, ClassSnapshot]:
    demand, earned_weight = balancer.demand, balancer.endpoint_set.earned_weight
    return {
        name: ClassSnapshot(
            mean_ms=latency.mean_ms,
            base_ms=latency.baseline_ms,
            slow_ratio=latency.tail_ratio,
            seen=latency.samples,
            requests=demand._requests[name],
            work=demand._work[name],
            served=demand._served[name],
            earned=earned_weight[name],
        )
        for name, latency in balancer.class_latencies.items()
    }


def _capture_endpoint(endpoint: Endpoint, now_ms: float, offset_ms: float) -> EndpointSnapshot:
    started_ms = endpoint.listed.started_ms
    has_credit = endpoint.slow_start_credit_ms is not None
    return EndpointSnapshot(
        life=None if started_ms is None else started_ms + offset_ms,
        limit=endpoint.concurrency_limit,
        slowness=endpoint.slowness,
        strain=endpoint.saturation,
        latency_ms=endpoint.latency_ms,
        errors=endpoint.error_share,
        failures=endpoint.consecutive_failures,
        paused_ms=max(0.0, endpoint.paused_until_ms - now_ms),
        answered_ms=_span_since(endpoint.last_answer_ms, now_ms),
        faded_ms=_span_since(endpoint.decayed_ms, now_ms),
        credit=endpoint.slow_start_credit if has_credit else -1.0,
        classes={
            name: EndpointClassSnapshot(
                earned=statistics.earned_weight,
                errors=statistics.error_share,
                failures=statistics.pause_count,
                paused_ms=max(0.0, statistics.paused_until_ms - now_ms),
                seen=statistics.served,
            )
            for name, statistics in endpoint.class_statistics.items()
        },
    )


def _span_since(at_ms: float | None, now_ms: float) -> float:
    if at_ms is None or at_ms == float("-inf"):
        return NEVER_MS
    return max(0.0, now_ms - at_ms)
