"""A simulated cluster on a virtual clock that counts the agreement's messages by role."""

from __future__ import annotations

from dataclasses import dataclass, field

from client_proxy.consensus.changes import ChangeResult
from client_proxy.consensus.messages import Message, encode
from client_proxy.consensus.simulated_cluster import ClusterSettings, SimulatedCluster

# Added to each message in its datagram (consensus/signer).
SENDER_BYTES, SIGNATURE_BYTES, MAC_BYTES = 4, 64, 16
IP_UDP_BYTES = 28  # headers of one datagram
FRAME_BYTES = SENDER_BYTES + SIGNATURE_BYTES + MAC_BYTES + IP_UDP_BYTES


@dataclass
class Traffic:
    """Counts of datagrams and bytes; bytes include the IP and UDP headers."""

    sent: int = 0
    received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0

    def minus(self, other: Traffic) -> Traffic:
        return Traffic(
            self.sent - other.sent,
            self.received - other.received,
            self.bytes_sent - other.bytes_sent,
            self.bytes_received - other.bytes_received,
        )


@dataclass
class CountedCluster(SimulatedCluster):
    """A cluster that counts what control machines and followers send and receive.

    A message of a node to itself takes no datagram and is not counted."""

    control: Traffic = field(default_factory=Traffic)
    followers: Traffic = field(default_factory=Traffic)

    def _traffic_of(self, node: int) -> Traffic:
        return self.control if node < self.settings.acceptors else self.followers

    def _send(self, sender: int, to: int, message: Message, sync_ms: float) -> None:
        if to != sender:
            size = len(encode(message)) + FRAME_BYTES
            source, target = self._traffic_of(sender), self._traffic_of(to)
            source.sent, source.bytes_sent = source.sent + 1, source.bytes_sent + size
            target.received, target.bytes_received = target.received + 1, target.bytes_received + size
        super()._send(sender, to, message, sync_ms)

    def snapshot(self) -> tuple[Traffic, Traffic]:
        """Returns the traffic of control machines and of followers so far."""
        return self.control.minus(Traffic()), self.followers.minus(Traffic())

    def outcome(self, change: str) -> ChangeResult | None:
        """Returns the result of a change; None while it is under way."""
        return next((result for result in self.results if result.change == change), None)


def make_cluster(
    size: int, lease_ms: float = 3000.0, seed: int = 7, seats: int = 5, loss: float = 0.0
) -> CountedCluster:
    return CountedCluster(
        ClusterSettings(size=size, acceptors=seats, lease_ms=lease_ms, loss=loss, seed=seed)
    )
