"""The gossip protocol of one instance without I/O: it receives datagrams and returns datagrams to send.

Sending is limited by a budget of datagrams and bytes per second, which no other instance can raise. Receiving
is limited before any costly check; datagrams over the limit are dropped silently. Checks are made in order of
their cost: length and version, the budget of the source, the MAC, and then signatures, which have a separate
budget.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from client_proxy.address import Address
from client_proxy.api.settings import Settings
from client_proxy.membership.broadcast_queue import Topic
from client_proxy.membership.budget import SendPriority, SendQueue, SourceRateLimiter
from client_proxy.membership.codec import MAX_BODY_BYTES, decode, encode, pack_record, parse_header
from client_proxy.membership.errors import WireError
from client_proxy.membership.keys import Keyring
from client_proxy.membership.messages import (
    MAX_U32,
    Header,
    MemberRequest,
    ObservationReport,
    Record,
    ServerObservation,
)
from client_proxy.membership.settings import GossipSettings
from client_proxy.membership.suspicions import ServerSuspicions
from client_proxy.membership.swim import SwimProtocol
from client_proxy.token_bucket import TokenBucket

MAX_QUEUED_DATAGRAMS = 128  # datagrams waiting to be sent
MAX_SOURCES = 1024  # source addresses with a rate limit of their own
MIN_REPORT_INTERVAL_MS = 500.0  # ms; between two reports by this instance if its observations changed
REPEAT_REPORT_MS = 2000.0  # ms; between two reports if its observations are unchanged
REQUESTS_PER_S, REQUEST_BURST = 0.5, 1.0  # limit of requests for the certificate of one observer
BURST_S = 0.5  # s; the burst of each budget is what its rate yields in this time
BROADCAST_QUEUE_DIVISOR = 8  # broadcasts get datagrams of their own while the send queue is below 1/8
RESUME_READING_TOKENS = 8.0  # datagrams that the receive budget allows when reading resumes


@dataclass(slots=True)
class Counters:
    """Numbers of datagrams sent, accepted and dropped, and of signatures and reports checked."""

    sent: int = 0
    sent_bytes: int = 0
    accepted: int = 0
    accepted_bytes: int = 0
    over_budget: int = 0
    unreadable: int = 0
    bad_signatures: int = 0
    verified: int = 0
    reports_accepted: int = 0


@dataclass(frozen=True, slots=True)
class QueuedDatagram:
    """Records that wait to be sent in one datagram; broadcasts are added to its remaining room."""

    destination: Address
    records: Sequence[Record]


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """An encoded datagram to send now."""

    data: bytes
    destination: Address


@dataclass(frozen=True, slots=True)
class SendBatch:
    """The datagrams that the send budget allows now."""

    datagrams: list[OutgoingDatagram]
    wait_ms: float  # ms until the budget allows more; infinite if the queue is empty


@dataclass(frozen=True, slots=True)
class _ObservedCounts:
    """The fields of an observation whose change causes a new report."""

    server_tag: int
    class_tag: int
    attempts: int
    failures: int


class GossipNode:
    """One instance's membership protocol and exchange of server observations, with rate limits."""

    def __init__(
        self,
        gossip_settings: GossipSettings,
        keyring: Keyring,
        address: Address,
        balancer_settings: Settings,
        seed: int,
    ) -> None:
        self.settings = gossip_settings
        self.counters = Counters()
        self._random = Random(seed)
        self._queue: SendQueue[QueuedDatagram] = SendQueue(MAX_QUEUED_DATAGRAMS)
        self.swim = SwimProtocol(
            keyring, address, self._random, self._enqueue, gossip_settings.swim, gossip_settings.seeds
        )
        self.suspicions = ServerSuspicions(
            balancer_settings, seed, keyring.certificate.zone, self.swim.health
        )
        self._send_budget = _token_bucket(gossip_settings.sends_per_s)
        self._byte_budget = _token_bucket(gossip_settings.bytes_per_s)
        self._receive_budget = _token_bucket(gossip_settings.takes_per_s)
        self._sources = SourceRateLimiter(
            gossip_settings.source_per_s, gossip_settings.source_per_s, MAX_SOURCES
        )
        self._certificate_requests = SourceRateLimiter(REQUESTS_PER_S, REQUEST_BURST, MAX_SOURCES)
        self._counter = 0
        self._counter_incarnation = 0  # the incarnation that the counter belongs to
        self._sequence = 0
        self._reported: tuple[ServerObservation, ...] = ()
        self._reported_ms = float("-inf")
        self._broadcast_due_ms = float("inf")

    @property
    def queued_count(self) -> int:
        """The number of datagrams that wait to be sent."""
        return len(self._queue)

    @property
    def source_count(self) -> int:
        """The number of source addresses that currently have a rate limit."""
        return len(self._sources)

    # Timers

    def start(self, now_ms: float) -> None:
        """Join the other instances."""
        self.swim.start(now_ms)
        self._broadcast_due_ms = now_ms + self.settings.spread_ms * self._random.random()

    @property
    def due_ms(self) -> float:
        """The time at which `wake` must be called next at the latest."""
        return min(self.swim.due_ms, self._broadcast_due_ms)

    def wake(self, now_ms: float) -> None:
        """Run the timers that are due, and periodically report observations and send broadcasts."""
        self.swim.run_timers(now_ms)
        if now_ms >= self._broadcast_due_ms:
            self._broadcast_due_ms = now_ms + self.settings.spread_ms
            self._report_observations(now_ms)
            self.suspicions.refresh(now_ms)
            self._broadcast()
        self.suspicions.instance_count = len(self.swim.members) + 1

    def _broadcast(self) -> None:
        """Queue datagrams for broadcasts alone, if few other datagrams are waiting."""
        if len(self.swim.broadcasts) and len(self._queue) < MAX_QUEUED_DATAGRAMS // BROADCAST_QUEUE_DIVISOR:
            for member in self.swim.random_members(self.settings.fanout):
                self._enqueue(SendPriority.BROADCAST, member.alive.address, ())

    def _report_observations(self, now_ms: float) -> None:
        """Broadcast this instance's observations if they changed or are due to be repeated."""
        if now_ms - self._reported_ms < MIN_REPORT_INTERVAL_MS:
            return
        observations = self.suspicions.current_observations(now_ms)
        has_changed = _observed_counts(observations) != _observed_counts(self._reported)
        is_repetition_due = now_ms - self._reported_ms >= REPEAT_REPORT_MS
        if not (has_changed or (observations and is_repetition_due)):
            return
        self._reported, self._reported_ms = observations, now_ms
        self._sequence += 1
        report = self.sign_report(self._sequence, observations)
        self.swim.broadcasts.put(Topic(ObservationReport, self.swim.own_number), report)

    def sign_report(self, sequence: int, observations: tuple[ServerObservation, ...]) -> ObservationReport:
        """Return a report of the observations, signed by this instance."""
        fields = (self.swim.own_number, self.swim.incarnation, sequence, observations)
        unsigned = ObservationReport(*fields, b"")
        return ObservationReport(*fields, self.swim.keyring.signer.sign(unsigned.signed_bytes))

    # Sending

    def _enqueue(self, priority: SendPriority, destination: Address, records: Sequence[Record]) -> None:
        self._queue.put(priority, QueuedDatagram(destination, records))

    def outgoing_datagrams(self, now_ms: float) -> SendBatch:
        """Take the datagrams from the queue that the send budget allows now."""
        datagrams: list[OutgoingDatagram] = []
        while (queued := self._queue.peek()) is not None:
            wait_ms = max(
                self._send_budget.wait_ms(now_ms), self._byte_budget.wait_ms(now_ms, MAX_BODY_BYTES)
            )
            if wait_ms > 0:
                return SendBatch(datagrams, wait_ms)
            self._queue.pop()
            datagram = self._encode(queued.records)
            if datagram is None:
                continue
            self._send_budget.take(now_ms)
            self._byte_budget.take(now_ms, len(datagram))
            self.counters.sent += 1
            self.counters.sent_bytes += len(datagram)
            datagrams.append(OutgoingDatagram(datagram, queued.destination))
        return SendBatch(datagrams, float("inf"))

    def _encode(self, records: Sequence[Record]) -> bytes | None:
        """Return a datagram of the records and as many broadcasts as fit, or None if there are none."""
        packed_records = [pack_record(record) for record in records]
        room = MAX_BODY_BYTES - sum(map(len, packed_records))
        packed_records += self.swim.broadcasts.take(room, self.swim.retransmit_limit)
        if not packed_records:
            return None  # it was queued for broadcasts, which have reached their retransmit limit since
        incarnation = self.swim.incarnation
        if self._counter_incarnation != incarnation:
            self._counter_incarnation, self._counter = incarnation, 0
        self._counter = (self._counter + 1) & MAX_U32
        keyring = self.swim.keyring
        header = Header(keyring.sending_group, self.swim.own_number, incarnation, self._counter)
        return encode(header, packed_records, keyring.group_keys[keyring.sending_group])

    # Receiving

    def receive(self, now_ms: float, data: bytes, source: Address) -> None:
        """Process a received datagram, whose source is not trusted."""
        if not self._receive_budget.take(now_ms):
            self.counters.over_budget += 1
            return
        try:
            parse_header(data)
            if not self._sources.take(now_ms, source):
                self.counters.over_budget += 1
                return
            datagram = decode(data, self.swim.keyring.group_keys)
        except WireError:
            self.counters.unreadable += 1
            return
        self.counters.accepted += 1
        self.counters.accepted_bytes += len(data)
        for report in self.swim.receive(now_ms, source, datagram):
            self._receive_report(now_ms, source, report)

    def _receive_report(self, now_ms: float, source: Address, report: ObservationReport) -> None:
        observations = self.suspicions.observations
        is_newer = observations.is_newer(report)
        is_own = report.observer == self.swim.own_number
        if is_own or not (is_newer or observations.contradicts(report)):
            return
        certificate = self.swim.certificates.get(report.observer)
        if certificate is None:
            if self._certificate_requests.take(now_ms, report.observer):
                self._enqueue(SendPriority.ANTI_ENTROPY, source, [MemberRequest((report.observer,))])
            return
        if not self.swim.may_verify_signature(now_ms):
            self.counters.over_budget += 1
            return
        self.counters.verified += 1
        verify = self.swim.keyring.verify
        if not verify(certificate.public_key, report.signed_bytes, report.signature):
            self.counters.bad_signatures += 1
            return
        if not is_newer:
            # Only the observer has the signing key, so two signed reports prove that it equivocated.
            self.suspicions.receive_equivocation(now_ms, report.observer)
            return
        self.counters.reports_accepted += 1
        self.suspicions.receive_report(now_ms, report, certificate.zone)
        self.swim.broadcasts.put(Topic(ObservationReport, report.observer), report)

    def read_pause_ms(self, now_ms: float) -> float:
        """Return for how many ms to pause reading until the receive budget allows some datagrams, or 0."""
        if self._receive_budget.wait_ms(now_ms) <= 0:
            return 0.0
        return self._receive_budget.wait_ms(now_ms, RESUME_READING_TOKENS)

    def replace_keys(self, keyring: Keyring) -> None:
        """Replace the keys, and remove members whose certificate's authority is no longer valid."""
        self.swim.replace_keys(keyring)

    def take_log_lines(self) -> list[str]:
        """Return log lines of the members' state changes since the last call.

        The log lines about servers are returned by `ServerSuspicions.take_log_lines` to the balancer.
        """
        return self.swim.take_state_changes()


def _token_bucket(per_s: float) -> TokenBucket:
    return TokenBucket(per_s, per_s * BURST_S)


def _observed_counts(observations: tuple[ServerObservation, ...]) -> set[_ObservedCounts]:
    return {
        _ObservedCounts(
            observation.server_tag,
            observation.class_tag,
            observation.attempts,
            observation.failed + observation.unanswered,
        )
        for observation in observations
    }
