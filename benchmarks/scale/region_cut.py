"""A region that is cut off from the others, on the virtual clock.

Measures the time without a lease of instances on both sides, and the results of changes on both sides. Three
regions have two, two and one of five control machines; the second region is cut off. A change is proposed on
each side in the middle of the cut."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.scale.cost import Cost, Quantity, Readings
from benchmarks.scale.town import CountedCluster
from client_proxy.consensus.messages import Message
from client_proxy.consensus.simulated_cluster import ClusterSettings

CUT_S = (10, 30, 60, 120, 180)
INSTANCES = 60  # the results don't depend on this number
CONTROL_MACHINES = 5
REGIONS = 3
CUT_REGION = 1
OUTSIDE, INSIDE = 0, 1  # numbers of the control machines that propose
LEASE_MS = 3000.0
STEP_MS = 100.0  # time between two checks of the leases
AFTER_CUT_S = 10.0  # length of the measurement after the cut


@dataclass
class RegionCluster(CountedCluster):
    """A cluster whose nodes are assigned to regions in turn.

    While `cut` is set, messages in and out of the region `CUT_REGION` are dropped."""

    cut: bool = False

    def inside(self, node: int) -> bool:
        return node % REGIONS == CUT_REGION

    def _send(self, sender: int, to: int, message: Message, sync_ms: float) -> None:
        if not self.cut or self.inside(sender) == self.inside(to):
            super()._send(sender, to, message, sync_ms)

    def without_lease(self, inside: bool) -> int:
        """Returns the number of instances on one side of the cut that hold no lease now."""
        leased_versions = (
            self.nodes[n].lease_holder.leased_version(self.now_ms)
            for n in self.nodes
            if self.inside(n) == inside
        )
        return sum(version is None for version in leased_versions)


def _measure_without_lease(cluster: RegionCluster, length_s: float) -> tuple[float, float]:
    """Returns the mean time in s without a lease of an instance inside and outside of the cut region."""
    steps = round(1000.0 * length_s / STEP_MS)
    inside = outside = 0
    for _ in range(steps):
        cluster.run(cluster.now_ms + STEP_MS)
        inside += cluster.without_lease(True)
        outside += cluster.without_lease(False)
    inside_count = sum(cluster.inside(n) for n in cluster.nodes)
    seconds = STEP_MS / 1000.0
    return seconds * inside / inside_count, seconds * outside / (len(cluster.nodes) - inside_count)


def measure(cut_s: int) -> Readings:
    cluster = RegionCluster(
        ClusterSettings(size=INSTANCES, acceptors=CONTROL_MACHINES, lease_ms=LEASE_MS, seed=7)
    )
    cluster.run(2 * LEASE_MS)
    cluster.cut = True
    first_half = _measure_without_lease(cluster, cut_s / 2.0)
    cluster.propose(OUTSIDE, "outside")
    cluster.propose(INSIDE, "inside")
    second_half = _measure_without_lease(cluster, cut_s / 2.0)
    results = {name: cluster.outcome(name) for name in ("outside", "inside")}
    cluster.cut = False
    after_cut = _measure_without_lease(cluster, AFTER_CUT_S)
    return {
        "refused_inside": first_half[0] + second_half[0],
        "refused_outside": first_half[1] + second_half[1],
        "after_healing": after_cut[0],
        "decided_outside": float(results["outside"] is not None and results["outside"].outcome == "decided"),
        "decided_inside": float(results["inside"] is not None and results["inside"].outcome == "decided"),
        "by_one_version": float(cluster.count_active(2) == INSTANCES),
    }


COST = Cost(
    name="region_cut",
    axis="seconds of the cut",
    sizes=CUT_S,
    basis="virtual clock",
    quantities=(
        Quantity("refused_inside", "s without a lease, an instance of the region"),
        Quantity("refused_outside", "s without a lease, an instance of the others"),
        Quantity("after_healing", "s without a lease after the cut, an instance of the region"),
        Quantity("decided_outside", "changes of one"),
        Quantity("decided_inside", "changes of one"),
        Quantity("by_one_version", "1: all decide by the newest 10 s after the cut"),
    ),
    measure=measure,
)
