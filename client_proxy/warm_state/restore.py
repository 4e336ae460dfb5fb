"""Restores a snapshot into a balancer, with a weight that decreases with the snapshot's age.

A restored balancer is never allowed more than the guards of a new balancer allow: attempts, drains, slow
start and idempotency are checked anew, the retry budget has at most the tokens that were left, and a server
that has restarted since counts as new.
"""

from __future__ import annotations

from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.endpoint import Endpoint
from client_proxy.balancer.retry_budget import RETRY_BUDGET_CAPACITY
from client_proxy.warm_state.pools import pools_by_name
from client_proxy.warm_state.snapshot import (
    SNAPSHOT_FORMAT,
    EndpointClassSnapshot,
    EndpointSnapshot,
    Snapshot,
    confidence,
)

START_TOLERANCE_MS = 500.0  # ms; largest difference of two readings of one start time: clocks are corrected
MIN_LIMIT, MIN_SLOWNESS = 1.0, 0.01  # least restored limit, in requests, and least restored slowness
SERVED_CONFIDENCE = 0.5  # confidence above which a class that a server had served still counts as served


def restore_snapshot(
    balancer: Balancer, snapshot: Snapshot, age_ms: float = 0.0, offset_ms: float = 0.0
) -> int:
    """Restore a snapshot into a balancer that already has its server list.

    Args:
        balancer: The balancer, which is changed.
        snapshot: The snapshot; ignored if its format is not `SNAPSHOT_FORMAT`.
        age_ms: Time since the capture; 0 within one process.
        offset_ms: Added to the balancer's clock to get the clock of the start times in the snapshot.

    Returns:
        The number of servers whose state was restored.
    """
    share = confidence(age_ms)
    if snapshot.form != SNAPSHOT_FORMAT or share <= 0.0:
        return 0
    _restore_retry_budget(balancer, snapshot, share)
    _restore_attempt_window(balancer, snapshot, age_ms)
    _restore_classes(balancer, snapshot, share)
    _restore_totals(balancer, snapshot, share)
    _restore_pools(balancer, snapshot, share)
    return _restore_endpoints(balancer, snapshot, age_ms, offset_ms, share)


def _restore_retry_budget(balancer: Balancer, snapshot: Snapshot, share: float) -> None:
    # If each restart filled the budget, instances that restart during a failure would retry without bound.
    spent = RETRY_BUDGET_CAPACITY - min(RETRY_BUDGET_CAPACITY, max(0.0, snapshot.tokens))
    budget = balancer.retry_budget
    budget.tokens = min(budget.tokens, RETRY_BUDGET_CAPACITY - share * spent)


def _restore_attempt_window(balancer: Balancer, snapshot: Snapshot, age_ms: float) -> None:
    now_ms, limiter = balancer.now_ms, balancer.attempt_limiter
    limiter._request_times_ms.extend(now_ms - span_ms - age_ms for span_ms in snapshot.taken_ms)
    limiter._attempt_times_ms.extend(now_ms - span_ms - age_ms for span_ms in snapshot.made_ms)


def _restore_classes(balancer: Balancer, snapshot: Snapshot, share: float) -> None:
    demand, earned_weight = balancer.demand, balancer.endpoint_set.earned_weight
    for name, known in snapshot.classes.items():
        latency = balancer.class_latencies.get(name)
        if latency is None:
            continue
        if known.seen:
            latency.mean_ms = _blend(latency.mean_ms, known.mean_ms, share)
            latency.baseline_ms = _blend(latency.baseline_ms, known.base_ms, share)
            latency.tail_ratio = _blend(latency.tail_ratio, known.slow_ratio, share)
            latency.samples = int(share * known.seen)
        demand._requests[name] = _blend(demand._requests[name], known.requests, share)
        demand._work[name] = _blend(demand._work[name], known.work, share)
        demand._served[name] = _blend(demand._served[name], known.served, share)
        earned_weight[name] = _blend(earned_weight[name], known.earned, share)


def _restore_totals(balancer: Balancer, snapshot: Snapshot, share: float) -> None:
    endpoint_set = balancer.endpoint_set
    endpoint_set.slowness = _blend(endpoint_set.slowness, snapshot.slowness, share)
    # Only an estimate for servers without a measured latency; an inaccurate one does no harm.
    endpoint_set.latency_ms = snapshot.latency_ms
    endpoint_set.error_share = _blend(endpoint_set.error_share, snapshot.errors, share)


def _restore_pools(balancer: Balancer, snapshot: Snapshot, share: float) -> None:
    for name, pool in pools_by_name(balancer).items():
        known = snapshot.pools.get(name)
        if known is None:
            continue
        gate = pool.admission_gate
        gate.share = min(1.0, max(0.0, _blend(gate.share, known.share, share)))
        # The instance sent nothing while it was down, so the rate before that is restored and decays.
        pool.work_rate.add(balancer.now_ms, share * known.rate * pool.work_rate._span_ms)


def _restore_endpoints(
    balancer: Balancer, snapshot: Snapshot, age_ms: float, offset_ms: float, share: float
) -> int:
    count = 0
    for name, endpoint in balancer.endpoint_set.endpoints.items():
        known = snapshot.servers.get(name)
        if known is not None and _is_same_start(endpoint.listed.started_ms, known.life, offset_ms):
            _restore_endpoint(endpoint, known, balancer.now_ms, age_ms, share)
            count += 1
    return count


def _is_same_start(started_ms: float | None, known_start_ms: float | None, offset_ms: float) -> bool:
    """Return whether a server has not restarted since the capture.

    After a restart a server is cold, and its statistics do not apply.
    """
    if started_ms is None or known_start_ms is None:
        return started_ms is None and known_start_ms is None
    return abs(started_ms + offset_ms - known_start_ms) < START_TOLERANCE_MS


def _restore_endpoint(
    endpoint: Endpoint, known: EndpointSnapshot, now_ms: float, age_ms: float, share: float
) -> None:
    endpoint.concurrency_limit = max(MIN_LIMIT, _blend(endpoint.concurrency_limit, known.limit, share))
    endpoint.slowness = max(MIN_SLOWNESS, _blend(endpoint.slowness, known.slowness, share))
    endpoint.saturation = _blend(endpoint.saturation, known.strain, share)
    endpoint.latency_ms = max(0.0, known.latency_ms)
    endpoint.error_share = share * known.errors
    pause_left_ms = known.paused_ms - age_ms
    endpoint.consecutive_failures = known.failures if pause_left_ms > 0 else 0
    endpoint.paused_until_ms = now_ms + pause_left_ms if pause_left_ms > 0 else 0.0
    if known.answered_ms >= 0:
        endpoint.last_answer_ms = now_ms - known.answered_ms - age_ms
    endpoint.decayed_ms = now_ms if known.faded_ms < 0 else now_ms - known.faded_ms
    if known.credit >= 0:
        # With a new credit, a cold server would get additional work from each new process of each instance.
        # So the credit that was left is restored, and nothing is earned for the time between.
        endpoint.slow_start_credit, endpoint.slow_start_credit_ms = known.credit, now_ms
    _restore_endpoint_classes(endpoint, known.classes, now_ms, age_ms, share)


def _restore_endpoint_classes(
    endpoint: Endpoint,
    known_classes: dict[str, EndpointClassSnapshot],
    now_ms: float,
    age_ms: float,
    share: float,
) -> None:
    for name, statistics in endpoint.class_statistics.items():
        known = known_classes.get(name)
        if known is None:
            continue
        statistics.earned_weight = _blend(statistics.earned_weight, known.earned, share)
        statistics.error_share = share * known.errors
        statistics.served = known.seen and share > SERVED_CONFIDENCE
        pause_left_ms = known.paused_ms - age_ms
        statistics.pause_count = known.failures if pause_left_ms > 0 else 0
        statistics.paused_until_ms = now_ms + pause_left_ms if pause_left_ms > 0 else 0.0


def _blend(fresh: float, known: float, share: float) -> float:
    return fresh + share * (known - fresh)
