"""Several authors who propose at once: the results of their changes, and the time until the last is decided.

Runs on the virtual clock. Each author uses a control machine of its own. A change that loses to another one
is made again from the newest version, as `policy propose --after` demands."""

from __future__ import annotations

from benchmarks.scale.cost import Cost, Quantity, Readings
from benchmarks.scale.town import CountedCluster, make_cluster

AUTHORS = (1, 2, 3, 4, 5)
SIZE = 680
LEASE_MS = 3000.0
CHANGES_EACH = 4  # changes per author
STEP_MS = 10.0  # time between two checks of an author for the result of its change
EDIT_MS = 200.0  # time to edit the newest version after a lost proposal; a person takes longer
MAX_S = 120.0  # limit of the whole measurement


class Author:
    """Makes its changes one after the other, trying each until it is decided."""

    def __init__(self, cluster: CountedCluster, node: int) -> None:
        self._cluster, self._node = cluster, node
        self.remaining = CHANGES_EACH
        self.tries = self.lost = 0
        self._name = ""
        self._resume_ms = cluster.now_ms

    def step(self) -> None:
        if not self.remaining or self._cluster.now_ms < self._resume_ms:
            return
        result = self._cluster.outcome(self._name) if self._name else None
        if self._name and result is None:
            return
        if result is not None:
            self._handle_result(result.outcome)
        elif self._cluster.nodes[self._node].attempt is None:
            self._propose()

    def _propose(self) -> None:
        self.tries += 1
        self._name = f"author {self._node}, try {self.tries}"
        self._cluster.propose(self._node, self._name)

    def _handle_result(self, outcome: str) -> None:
        self._name = ""
        if outcome == "decided":
            self.remaining -= 1
        else:
            self.lost += 1
            self._resume_ms = self._cluster.now_ms + EDIT_MS


def measure(authors: int, size: int = SIZE) -> Readings:
    cluster = make_cluster(size, LEASE_MS)
    cluster.run(2 * LEASE_MS)
    begin_ms = cluster.now_ms
    author_list = [Author(cluster, node) for node in range(authors)]
    while any(author.remaining for author in author_list) and cluster.now_ms < begin_ms + 1000.0 * MAX_S:
        for author in author_list:
            author.step()
        cluster.run(cluster.now_ms + STEP_MS)
    change_count = authors * CHANGES_EACH
    tries = sum(author.tries for author in author_list)
    return {
        "decided": float(change_count - sum(author.remaining for author in author_list)),
        "tries": tries / change_count,
        "lost": float(sum(author.lost for author in author_list)),
        "seconds": (cluster.now_ms - begin_ms) / 1000.0 / change_count,
    }


COST = Cost(
    name="authors",
    axis="authors at once",
    sizes=AUTHORS,
    basis="virtual clock",
    quantities=(
        Quantity("decided", "changes"),
        Quantity("tries", "proposals a decided change"),
        Quantity("lost", "proposals that lost to another author's"),
        Quantity("seconds", "s a decided change"),
    ),
    measure=measure,
)
