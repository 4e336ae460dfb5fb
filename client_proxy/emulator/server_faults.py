"""The active faults of servers, and the network partitions between a server and proxies."""

from __future__ import annotations

from dataclasses import dataclass

from client_proxy.emulator.event_log import Arrival
from client_proxy.emulator.random_streams import uniform_draw
from client_proxy.emulator.scenario import Fault


@dataclass(frozen=True, slots=True, eq=False)
class ActiveFault:
    """A fault that is active at present; `index`, its position in the scenario, seeds its random draws."""

    index: int
    fault: Fault

    def fails(self, seed: int, server: str, arrival: Arrival) -> bool:
        """Return whether the fault makes this request fail at this server."""
        if self.fault.classes and arrival.class_name not in self.fault.classes:
            return False
        return uniform_draw(seed, "fail", self.index, server, arrival.attempt_id) < self.fault.share

    def makes_costly(self, seed: int, arrival: Arrival) -> bool:
        """Return whether the fault makes this request cost more work."""
        if self.fault.classes and arrival.class_name not in self.fault.classes:
            return False
        return uniform_draw(seed, "costly", self.index, arrival.attempt_id) < self.fault.share


class Partitions:
    """The proxies that a server is separated from; several partitions from one proxy may overlap.

    Attributes:
        proxies: the numbers of the proxies with at least one partition.
    """

    def __init__(self) -> None:
        self.proxies: set[int] = set()
        self._partitions_by_proxy: dict[int, int] = {}

    def begin(self, proxy: int) -> None:
        """Begin a partition from a proxy."""
        self._partitions_by_proxy[proxy] = self._partitions_by_proxy.get(proxy, 0) + 1
        self.proxies.add(proxy)

    def end(self, proxy: int) -> bool:
        """End one partition from a proxy; return whether it was the last one that separated the two."""
        self._partitions_by_proxy[proxy] -= 1
        if self._partitions_by_proxy[proxy]:
            return False
        self.proxies.discard(proxy)
        return True
