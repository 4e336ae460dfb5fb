"""Tests of the selection of a stage's members."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from client_proxy.rollout.stages import rollout_order, stage_members


@given(st.dictionaries(st.integers(1, 500), st.sampled_from(["a", "b", "c"]), min_size=1), st.floats(0, 1))
def test_a_stage_holds_its_share_of_each_zone_and_the_stage_before(
    zones: dict[int, str], share: float
) -> None:
    ordered = rollout_order("x", zones)
    assert sorted(ordered) == sorted(zones)
    members = stage_members("x", zones, share)
    assert len(members) == max(1, round(share * len(zones)))
    for zone in set(zones.values()):
        zone_size = sum(1 for other_zone in zones.values() if other_zone == zone)
        in_stage = sum(1 for member in members if zones[member] == zone)
        assert abs(in_stage - share * zone_size) <= 3
    assert set(members) <= set(stage_members("x", zones, min(1.0, share + 0.3), members))
    assert 999 in stage_members("x", zones, share, (999,))
