"""Builds the answers of the control socket about versions and changes.

The keys belong to the control socket's interface and must not change; they differ from the names in this
package, which were chosen later.
"""

from __future__ import annotations

from typing import Any

from client_proxy.consensus.changes import ChangeResult
from client_proxy.consensus.lease_holder import LeaseHolder
from client_proxy.consensus.messages import AcceptorId, Version
from client_proxy.consensus.node import Node


def acceptors_answer(acceptors: tuple[AcceptorId, ...]) -> list[list[int]]:
    """Returns the acceptors as pairs of instance number and storage id."""
    return [[acceptor_id.member, acceptor_id.storage_id] for acceptor_id in acceptors]


def version_answer(version: Version, has_body: bool) -> dict[str, Any]:
    """Returns a version as an entry of the version history."""
    return {
        "version": version.number,
        "digest": version.digest,
        "author": version.author,
        "who": version.requester,
        "why": version.reason,
        "change": version.change,
        "seats": acceptors_answer(version.acceptors),
        "kept": has_body,
    }


def result_answer(result: ChangeResult) -> dict[str, Any]:
    """Returns the result of a change."""
    return {
        "change": result.change,
        "what": str(result.outcome),
        "version": result.number,
        "refused": {str(member): reason for member, reason in result.rejections.items()},
        "silent": list(result.unanswered),
        "can": list(result.approved_by),
    }


def status_answer(
    node: Node,
    now_ms: float,
    *,
    active_for_s: float,
    stale_uses: int,
    overlap_ms: float,
    rollout: dict[str, Any] | None,
    results: list[ChangeResult],
) -> dict[str, Any]:
    """Returns the consensus status of one instance.

    Args:
        node: The instance's node.
        now_ms: The time on the instance's monotonic clock.
        active_for_s: Time since the last activation of a version.
        stale_uses: Number of requests and attempts served without a lease.
        overlap_ms: `LeaseSettings.overlap_ms`.
        rollout: The state of the rollout in progress; None if there is none.
        results: The results of the latest changes that were proposed at this instance.
    """
    lease_holder, acceptor, attempt = node.lease_holder, node.acceptor, node.attempt
    latest = lease_holder.latest.version
    return {
        "member": node.member,
        "votes": acceptor is not None and acceptor.can_vote,
        "memory": acceptor.acceptor_id.storage_id if acceptor is not None else None,
        **_lease_answer(lease_holder, now_ms, active_for_s),
        "stale_uses": stale_uses,
        "newest": latest.number,
        "digest": latest.digest,
        "seats": acceptors_answer(latest.acceptors),
        "stray": lease_holder.has_unrecognized_version,
        "unfit": {str(number): reason for number, reason in lease_holder.rejected.items()},
        "overlap_ms": round(overlap_ms),
        "heard": list(node.live_members(now_ms)),
        "under_way": attempt.proposed_version.change
        if attempt is not None and attempt.proposed_version is not None
        else None,
        "rollout": rollout,
        "changes": [result_answer(result) for result in results],
    }


def _lease_answer(lease_holder: LeaseHolder, now_ms: float, active_for_s: float) -> dict[str, Any]:
    leased, serving = lease_holder.leased_version(now_ms), lease_holder.serving_version(now_ms)
    left_ms = max(0, round(lease_holder.lease_until_ms - now_ms)) if leased is not None else 0
    return {
        "decides_by": leased.number if leased is not None else None,
        "serves_by": serving.number if serving is not None else None,
        "since_s": round(active_for_s, 1) if leased is not None else None,
        "lease_left_ms": left_ms,
    }
