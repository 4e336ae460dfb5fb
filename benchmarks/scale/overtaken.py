"""Authors whose changes are refused because the fleet has a newer version when they propose.

Five authors, for different services, want to make 20 changes per minute together. Each reads the newest
version, edits its file for some seconds, and proposes it as made from that version with
`policy propose --after`. After a refusal it starts again from the newest version. Runs on the virtual clock,
with few instances because they only respond."""

from __future__ import annotations

from random import Random

from benchmarks.scale.cost import Cost, Quantity, Readings
from benchmarks.scale.town import CountedCluster, make_cluster

EDIT_S = (1, 3, 10, 30, 60)
AUTHORS = 5
CHANGES_PER_MINUTE = 20.0
INSTANCES = 10
MINUTES = 10
STEP_MS = 20.0
SEED = 11


class Author:
    """Edits and proposes files one after the other.

    `_after` is the version that its file is made from; None: no change is being edited."""

    def __init__(self, cluster: CountedCluster, node: int, edit_ms: float, rng: Random) -> None:
        self._cluster, self._node, self._edit_ms, self._rng = cluster, node, edit_ms, rng
        self.tries = self.refused = self.decided = 0
        self._after: int | None = None
        self._name = ""
        self._due_ms = cluster.now_ms + self._draw_gap_ms()

    def _draw_gap_ms(self) -> float:
        return self._rng.expovariate(CHANGES_PER_MINUTE / AUTHORS / 60_000.0)

    def _newest_version(self) -> int:
        return self._cluster.nodes[self._node].lease_holder.latest.version.number

    def step(self) -> None:
        if self._name:
            self._check_result()
        elif self._cluster.now_ms < self._due_ms:
            return
        elif self._after is None:
            self._begin_edit()
        else:
            self._propose(self._after)

    def _begin_edit(self) -> None:
        self._after = self._newest_version()
        self._due_ms = self._cluster.now_ms + self._edit_ms

    def _propose(self, after: int) -> None:
        self.tries += 1
        if after != self._newest_version():
            self.refused += 1
            self._begin_edit()
            return
        self._name = f"author {self._node}, try {self.tries}"
        self._cluster.propose(self._node, self._name)

    def _check_result(self) -> None:
        result = self._cluster.outcome(self._name)
        if result is None:
            return
        self._name = ""
        if result.outcome != "decided":
            self.refused += 1
            self._begin_edit()
            return
        self.decided += 1
        self._after = None
        self._due_ms = self._cluster.now_ms + self._draw_gap_ms()


def measure(edit_s: int, minutes: int = MINUTES) -> Readings:
    cluster = make_cluster(INSTANCES)
    cluster.run(6000.0)
    rng = Random(SEED)
    authors = [Author(cluster, node, 1000.0 * edit_s, rng) for node in range(AUTHORS)]
    end_ms = cluster.now_ms + 60_000.0 * minutes
    while cluster.now_ms < end_ms:
        for author in authors:
            author.step()
        cluster.run(cluster.now_ms + STEP_MS)
    tries = sum(author.tries for author in authors)
    return {
        "refused": sum(author.refused for author in authors) / max(1, tries),
        "decided": sum(author.decided for author in authors) / minutes,
    }


COST = Cost(
    name="overtaken",
    axis="seconds that an author works on a file",
    sizes=EDIT_S,
    basis="virtual clock",
    quantities=(Quantity("refused", "of the proposals"), Quantity("decided", "changes a minute")),
    measure=measure,
)
