"""Simulated clusters for the gossip tests."""

from __future__ import annotations

from client_proxy.emulator.fault_schedule import FAST_GOSSIP
from client_proxy.emulator.simulated_cluster import SimulatedCluster
from client_proxy.membership.node import GossipNode
from client_proxy.membership.swim import SwimProtocol


def start_cluster(instances: int = 8, **options: object) -> SimulatedCluster:
    cluster = SimulatedCluster(instances, gossip=FAST_GOSSIP, **options)  # type: ignore[arg-type]
    cluster.start()
    return cluster


def states_of(cluster: SimulatedCluster, number: int) -> list[str]:
    """Return the member states in which the other running instances see an instance."""
    states = []
    for instance in cluster.instances:
        if instance.number != number and instance.is_up and instance.node is not None:
            member = instance.node.swim.members.get(number + 1)
            states.append(member.state.value if member is not None else "unknown")
    return states


def swim_of(cluster: SimulatedCluster, number: int) -> SwimProtocol:
    node = cluster.instances[number].node
    assert node is not None
    return node.swim


def lost_share(cluster: SimulatedCluster, from_ms: float, until_ms: float) -> float:
    lost_weight, total_weight = cluster.lost_weight(from_ms, until_ms)
    return lost_weight / total_weight


def start_faulty_cluster(
    gossip: bool, nodes: dict[int, type[GossipNode]] | None = None, instances: int = 20
) -> SimulatedCluster:
    cluster = SimulatedCluster(instances, gossip=FAST_GOSSIP if gossip else None, node_types=nodes, seed=4)
    cluster.start()
    cluster.schedule_traffic(40.0, 3_000.0, 30_000.0)
    cluster.call_at(12_000.0, lambda: setattr(cluster.servers["mladost-4"], "failure_share", 1.0))
    return cluster
