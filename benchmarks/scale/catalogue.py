"""All costs that can be measured, by name."""

from __future__ import annotations

from benchmarks.scale import (
    agreement,
    authors,
    burst,
    control_machine,
    data_path_cost,
    decision,
    depth,
    gossip_table,
    lists,
    outages,
    overtaken,
    region_cut,
    rollout,
    services,
    signatures,
)
from benchmarks.scale.cost import Cost

ALL_COSTS = (
    decision.COST,
    lists.COST,
    signatures.COST,
    agreement.QUIET,
    agreement.CHANGE,
    agreement.BY_LEASE,
    agreement.BY_CHANGES,
    control_machine.COST,
    services.COST,
    depth.COST,
    depth.WITHOUT_PROXIES,
    burst.COST,
    authors.COST,
    overtaken.COST,
    region_cut.COST,
    outages.CONTROL_GONE,
    outages.BACK_AT_ONCE,
    outages.LOSS,
    rollout.COST,
    gossip_table.COST,
    *data_path_cost.costs(),
)
COSTS: dict[str, Cost] = {cost.name: cost for cost in ALL_COSTS}
