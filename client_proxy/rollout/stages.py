"""Selects the members of each stage; every instance computes the same selection from the same input.

Members are ordered by a hash of the rollout's name and the member's number (BLAKE2b, RFC 7693), and zones are
interleaved in proportion to their size. So each stage holds its share of each zone and contains the stage
before it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from hashlib import blake2b


def rollout_order(rollout_name: str, zones: Mapping[int, str]) -> list[int]:
    """Return all members in the order in which they switch to the new policy.

    Args:
        rollout_name: Input of the hash, so that different rollouts begin with different members.
        zones: Zone of each member.
    """

    def member_hash(member: int) -> bytes:
        return blake2b(f"{rollout_name}/{member}".encode(), digest_size=8).digest()

    members_by_zone: dict[str, list[int]] = {}
    for member in sorted(zones, key=member_hash):
        members_by_zone.setdefault(zones[member], []).append(member)
    # Members are merged by their relative position in their zone: a zone of thirty members gets three places
    # for each place of a zone of ten.
    positioned = [
        ((position + 0.5) / len(zone_members), member_hash(member), member)
        for zone_members in members_by_zone.values()
        for position, member in enumerate(zone_members)
    ]
    return [member for _, _, member in sorted(positioned)]


def stage_members(
    rollout_name: str, zones: Mapping[int, str], share: float, previous: Sequence[int] = ()
) -> tuple[int, ...]:
    """Return the members of a stage that holds `share` of all members, and at least one.

    Args:
        rollout_name: As for `rollout_order`.
        zones: Zone of each member that reports at present.
        share: Share of `zones` that the stage holds, from 0 to 1.
        previous: Members of the previous stage. They stay in, even if they do not report at present.
    """
    ordered = rollout_order(rollout_name, zones)
    count = max(1, round(share * len(ordered))) if ordered else 0
    return tuple(sorted({*previous, *ordered[:count]}))
