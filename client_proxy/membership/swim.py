"""Membership protocol: SWIM with Lifeguard's local health, without I/O.

Sources: Das, Gupta, Motivala, "SWIM" (2002): probes in randomized round-robin order, indirect probes,
suspicion before death, refutation by a higher incarnation. Dadgar, Phillips, Currey, "Lifeguard" (2018):
timeouts that grow as an instance's own health gets worse, suspicions that end sooner the more members share
them, and notification of suspected members with the next probe.

It differs from them as follows, since members may be Byzantine:

- Only a member itself can state that it is alive (`Alive` is signed), and no member can declare another one
  dead: each instance decides that itself, after its own suspicion was not refuted.
- A restarted member needs no disk and no clock (`dissemination.py`).
- A datagram whose source address differs from the address that its sender signed is not attributed to it.

This module combines the parts `joining`, `probing`, `member_suspicion`, `dissemination` and `anti_entropy`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from client_proxy.address import Address
from client_proxy.membership.anti_entropy import AntiEntropy
from client_proxy.membership.broadcast_queue import BroadcastQueue, retransmit_limit
from client_proxy.membership.budget import SendPriority
from client_proxy.membership.dissemination import Dissemination
from client_proxy.membership.health import LocalHealth
from client_proxy.membership.joining import Joining
from client_proxy.membership.keys import Keyring
from client_proxy.membership.member_suspicion import MemberSuspicion
from client_proxy.membership.members import CertificateCache, Member, MemberTable
from client_proxy.membership.messages import (
    Ack,
    AddressHints,
    Alive,
    BucketSummary,
    Certificate,
    Datagram,
    Digest,
    MemberRequest,
    Nack,
    ObservationReport,
    Ping,
    PingRequest,
    Record,
    Suspect,
)
from client_proxy.membership.probe_order import ProbeOrder
from client_proxy.membership.probing import Prober
from client_proxy.membership.settings import SwimSettings
from client_proxy.membership.swim_state import SendRecords, SwimState


@dataclass(frozen=True, slots=True)
class _Delivery:
    """The context of a received datagram, for the handlers of its records."""

    now_ms: float
    source: Address
    sender: int
    is_introduced: bool  # whether the datagram contains a certificate
    is_newcomer: bool  # whether the sender was not in the member table before


class SwimProtocol:
    """The membership protocol of one instance."""

    def __init__(
        self,
        keyring: Keyring,
        address: Address,
        random: Random,
        send: SendRecords,
        settings: SwimSettings | None = None,
        seeds: Sequence[Address] = (),
    ) -> None:
        self.settings = settings or SwimSettings()
        self._state = SwimState(keyring, address, random, send, self.settings)
        probe_order = ProbeOrder(self._state)
        self._joining = Joining(self._state, seeds)
        self._dissemination = Dissemination(self._state, self._joining, probe_order)
        self._suspicion = MemberSuspicion(self._state, self._dissemination)
        self._prober = Prober(self._state, probe_order, self._suspicion, self._joining)
        self._anti_entropy = AntiEntropy(self._state, self._dissemination)
        self._handlers: dict[type, Callable[[_Delivery, Any], None]] = {
            Ping: self._receive_ping,
            Ack: self._receive_ack,
            Nack: self._receive_nack,
            PingRequest: self._receive_ping_request,
            Suspect: self._receive_suspect,
            MemberRequest: self._receive_member_request,
            Digest: self._receive_digest,
            BucketSummary: self._receive_bucket_summary,
            AddressHints: self._receive_hints,
        }

    @property
    def keyring(self) -> Keyring:
        """The keys of this instance."""
        return self._state.own.keyring

    @property
    def own_number(self) -> int:
        """This instance's member number."""
        return self._state.own.number

    @property
    def incarnation(self) -> int:
        """This instance's incarnation."""
        return self._state.own.incarnation

    @property
    def alive(self) -> Alive:
        """This instance's own signed record."""
        return self._state.own.alive

    @property
    def seeds(self) -> tuple[Address, ...]:
        """The addresses of the seeds, without this instance's own address."""
        return self._joining.seeds

    @property
    def health(self) -> LocalHealth:
        """The estimate of this instance's own health."""
        return self._state.health

    @property
    def members(self) -> MemberTable:
        """The table of known members."""
        return self._state.members

    @property
    def certificates(self) -> CertificateCache:
        """The verified certificates, including those of members that the table has no room for."""
        return self._state.certificates

    @property
    def broadcasts(self) -> BroadcastQueue:
        """The queue of records to attach to datagrams."""
        return self._state.broadcasts

    @property
    def retransmit_limit(self) -> int:
        """The number of times that each broadcast is sent."""
        return retransmit_limit(len(self._state.members))

    @property
    def due_ms(self) -> float:
        """The time at which `run_timers` must be called next."""
        return self._state.timers.due_ms

    @property
    def timer_count(self) -> int:
        """The number of timers that are set."""
        return len(self._state.timers)

    @property
    def pending_probe_count(self) -> int:
        """The number of pings that wait for an ack."""
        return self._prober.pending_count

    def start(self, now_ms: float) -> None:
        """Contact the seeds, and start probing and comparing member tables."""
        self._joining.start(now_ms)
        self._prober.start(now_ms)
        self._anti_entropy.start(now_ms)

    def run_timers(self, now_ms: float) -> None:
        """Run the timers that are due."""
        self._state.timers.run_due(now_ms)

    def leave(self) -> None:
        """Notify some members that this instance leaves, so that it is no longer probed."""
        own = self._state.own
        own.has_left = True
        own.incarnation += 1
        own.sign()
        for member in self.random_members(self.settings.helpers + 1):
            self._state.send(SendPriority.RESPONSE, member.alive.address, [own.alive])

    def random_members(self, count: int) -> list[Member]:
        """Return up to `count` random present members."""
        return self._state.random_members(count)

    def may_verify_signature(self, now_ms: float) -> bool:
        """Take a token from the signature verification budget; returns false if it is exhausted."""
        return self._dissemination.may_verify_signature(now_ms)

    def suspicion_ms(self, accusers: int) -> float:
        """Return how many ms a suspicion lasts that this number of members share."""
        return self._suspicion.duration_ms(accusers)

    def replace_keys(self, keyring: Keyring) -> None:
        """Replace the keys, and remove members whose certificate's authority is no longer valid."""
        self._dissemination.replace_keys(keyring)

    def take_state_changes(self) -> list[str]:
        """Return log lines of the members' state changes since the last call."""
        changes, self._state.state_changes = self._state.state_changes, []
        return changes

    def receive(self, now_ms: float, source: Address, datagram: Datagram) -> list[ObservationReport]:
        """Process a datagram with a valid MAC.

        Returns:
            The reports on servers in the datagram. Any member may forward them; the caller must check their
            observers' signatures.
        """
        header, records = datagram.header, datagram.records
        if header.sender == self.own_number:
            return []
        is_newcomer = self.members.get(header.sender) is None
        self._receive_identities(now_ms, source, records)
        reports = [record for record in records if isinstance(record, ObservationReport)]
        member = self.members.get(header.sender)
        if member is None or member.alive.address != source:
            self._dissemination.answer_unknown_sender(now_ms, source, header.sender, records)
            return reports
        if header.incarnation != member.alive.incarnation:
            self._correct_incarnation(now_ms, source, member, header.incarnation)
            return reports
        if not member.replay_window.accept(header.incarnation, header.counter):
            return []
        is_introduced = any(isinstance(record, Certificate) for record in records)
        delivery = _Delivery(now_ms, source, header.sender, is_introduced, is_newcomer)
        for record in records:
            handler = self._handlers.get(type(record))
            if handler is not None:
                handler(delivery, record)
        return reports

    def _receive_identities(self, now_ms: float, source: Address, records: Sequence[Record]) -> None:
        for record in records:
            if isinstance(record, Certificate):
                self._dissemination.receive_certificate(now_ms, record)
        for record in records:
            if isinstance(record, Alive):
                self._dissemination.receive_alive(now_ms, source, record)

    def _correct_incarnation(self, now_ms: float, source: Address, member: Member, incarnation: int) -> None:
        """Answer a member whose datagram has another incarnation than the known one."""
        if self._state.introductions.take(now_ms, source):
            is_behind = incarnation < member.alive.incarnation
            answer: Record = member.alive if is_behind else MemberRequest((member.number,))
            self._state.send(SendPriority.BROADCAST, source, [answer])

    # Handlers of records from a known member

    def _receive_ping(self, delivery: _Delivery, ping: Ping) -> None:
        introduction = self._state.own.introduction() if delivery.is_introduced else []
        self._state.send(SendPriority.RESPONSE, delivery.source, [Ack(ping.nonce), *introduction])
        if delivery.is_introduced and delivery.is_newcomer:
            self._joining.send_hints(delivery.source, delivery.sender)

    def _receive_ack(self, delivery: _Delivery, ack: Ack) -> None:
        self._prober.receive_ack(delivery.source, delivery.sender, ack.nonce)

    def _receive_nack(self, delivery: _Delivery, nack: Nack) -> None:
        self._prober.receive_nack(delivery.source, nack.nonce)

    def _receive_ping_request(self, delivery: _Delivery, request: PingRequest) -> None:
        self._prober.receive_ping_request(delivery.now_ms, delivery.source, request)

    def _receive_suspect(self, delivery: _Delivery, suspect: Suspect) -> None:
        self._suspicion.receive_suspect(delivery.now_ms, suspect)

    def _receive_member_request(self, delivery: _Delivery, request: MemberRequest) -> None:
        for number in request.members:
            self._dissemination.introduce(SendPriority.ANTI_ENTROPY, delivery.source, number)

    def _receive_digest(self, delivery: _Delivery, digest: Digest) -> None:
        self._anti_entropy.receive_digest(delivery.source, digest)

    def _receive_bucket_summary(self, delivery: _Delivery, summary: BucketSummary) -> None:
        self._anti_entropy.receive_bucket_summary(delivery.source, summary)

    def _receive_hints(self, delivery: _Delivery, hints: AddressHints) -> None:
        self._joining.receive_hints(delivery.now_ms, hints)
