"""Names of a balancer's pools in snapshots."""

from __future__ import annotations

from client_proxy.balancer.balancer import Balancer
from client_proxy.balancer.pool import Pool

LOCAL_POOL, REMOTE_POOL, ZONE_PREFIX = "near", "far", "hall:"


def pools_by_name(balancer: Balancer) -> dict[str, Pool]:
    """Return the local pool, the remote pool and the pool of each zone, by their names in snapshots."""
    endpoint_set = balancer.endpoint_set
    zones = {f"{ZONE_PREFIX}{zone}": pool for zone, pool in endpoint_set.zone_pools.items()}
    return {LOCAL_POOL: endpoint_set.local, REMOTE_POOL: endpoint_set.remote, **zones}
