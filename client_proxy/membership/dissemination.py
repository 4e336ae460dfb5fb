"""Receives, verifies and forwards members' certificates and signed `Alive` records.

Only a member itself can state that it is alive or has left. A restarted member needs no disk and no clock: it
starts at incarnation 1, a member that knows a higher incarnation sends it the signed record of that
incarnation, and it continues with the next higher one.
"""

from __future__ import annotations

from collections.abc import Sequence

from client_proxy.address import Address
from client_proxy.membership.broadcast_queue import Topic
from client_proxy.membership.budget import SendPriority
from client_proxy.membership.joining import Joining
from client_proxy.membership.keys import Keyring
from client_proxy.membership.members import Member, MemberState
from client_proxy.membership.messages import (
    MAX_U32,
    Ack,
    Alive,
    Certificate,
    MemberRequest,
    Ping,
    Record,
)
from client_proxy.membership.probe_order import ProbeOrder
from client_proxy.membership.swim_state import SwimState
from client_proxy.token_bucket import TokenBucket

MIN_REFUTE_INTERVAL_MS = 500.0  # ms; at least this long between two refutations


class Dissemination:
    """Updates the member table from signed records, and introduces members to each other."""

    def __init__(self, state: SwimState, joining: Joining, probe_order: ProbeOrder) -> None:
        self._state, self._joining, self._probe_order = state, joining, probe_order
        self._verifications = TokenBucket(state.settings.verify_per_s, state.settings.verify_per_s)
        self._refuted_ms = float("-inf")

    def may_verify_signature(self, now_ms: float) -> bool:
        """Take a token from the signature verification budget; returns false if it is exhausted."""
        return self._verifications.take(now_ms)

    def receive_certificate(self, now_ms: float, certificate: Certificate) -> None:
        """Store a certificate if it is newer than the known one and signed by a valid authority."""
        state = self._state
        known = state.certificates.get(certificate.member)
        is_old = known is not None and certificate.epoch <= known.epoch
        if certificate.member == state.own.number or is_old:
            return
        if self.may_verify_signature(now_ms) and state.own.keyring.trusts(certificate):
            state.certificates.put(certificate)
            member = state.members.get(certificate.member)
            if member is not None:
                member.certificate = certificate

    def receive_alive(self, now_ms: float, source: Address, alive: Alive) -> None:
        """Process a member's own signed record, received from that member or forwarded by another."""
        state = self._state
        if alive.member == state.own.number:
            self._receive_own_record(now_ms, alive)
            return
        member = state.members.get(alive.member)
        if member is not None and alive.incarnation <= member.alive.incarnation:
            if alive != member.alive and state.introductions.take(now_ms, source):
                # The member restarted or an old record is replayed. A restarted member answers this record
                # with a higher incarnation.
                state.send(SendPriority.BROADCAST, alive.address, [member.alive])
            return
        certificate = state.certificates.get(alive.member)
        if certificate is None or not self.may_verify_signature(now_ms):
            return
        if not state.own.keyring.verify(certificate.public_key, alive.signed_bytes, alive.signature):
            return
        if member is not None:
            self._update_member(now_ms, member, alive)
        elif not alive.has_left:
            self._add_member(now_ms, source, certificate, alive)

    def refute(self, now_ms: float, known_incarnation: int) -> None:
        """Raise this instance's incarnation above `known_incarnation`, which others know.

        It is raised at most twice a second. Otherwise repeated accusations would make this instance sign, and
        all others forward, an unlimited number of records.
        """
        state, own = self._state, self._state.own
        if now_ms - self._refuted_ms < MIN_REFUTE_INTERVAL_MS or known_incarnation >= MAX_U32:
            return
        self._refuted_ms = now_ms
        own.incarnation = max(own.incarnation, known_incarnation) + 1
        own.sign()
        state.broadcasts.put(Topic(Alive, own.number), own.alive)
        if known_incarnation > 1 or not state.members.present_members():
            self._joining.contact_seed()

    def introduce(self, priority: SendPriority, destination: Address, number: int) -> None:
        """Send a member's certificate and, if it is in the table, its address to another instance."""
        state = self._state
        if number == state.own.number:
            state.send(priority, destination, state.own.introduction())
            return
        member, certificate = state.members.get(number), state.certificates.get(number)
        if member is not None:
            state.send(priority, destination, [member.certificate, member.alive])
        elif certificate is not None:
            state.send(priority, destination, [certificate])

    def answer_unknown_sender(
        self, now_ms: float, source: Address, sender: int, records: Sequence[Record]
    ) -> None:
        """Answer a sender that is not in the table, or whose source address is not the one that it signed."""
        state = self._state
        if not state.introductions.take(now_ms, source):
            return
        introduction = state.own.introduction()
        is_not_kept = state.members.overflowed and state.members.get(sender) is None
        if state.certificates.get(sender) is not None and is_not_kept:
            # The sender may still have room for this instance in its table, so its pings are answered.
            acks: list[Record] = [Ack(record.nonce) for record in records if isinstance(record, Ping)]
            if acks:
                state.send(SendPriority.RESPONSE, source, [*acks, *introduction])
                self._joining.send_hints(source, sender)
        elif not any(isinstance(record, Alive) for record in records):
            state.send(SendPriority.BROADCAST, source, [MemberRequest((sender,)), *introduction])

    def replace_keys(self, keyring: Keyring) -> None:
        """Replace the keys, and remove members whose certificate's authority is no longer valid.

        If this instance's certificate changed, it is broadcast, and the instance's `Alive` record gets a
        higher incarnation, since the old record was signed with the old key.
        """
        state, own = self._state, self._state.own
        valid = set(keyring.authority_keys)
        is_renewed = keyring.certificate != own.keyring.certificate
        own.keyring = keyring
        state.certificates.retain_authorities(valid)
        for member in [member for member in state.members if member.certificate.authority not in valid]:
            state.members.remove(member.number)
        if is_renewed:
            own.incarnation += 1
        own.sign()
        if is_renewed:
            state.broadcasts.put(Topic(Certificate, own.number), keyring.certificate)
            state.broadcasts.put(Topic(Alive, own.number), own.alive)

    def _receive_own_record(self, now_ms: float, alive: Alive) -> None:
        """Raise the incarnation above that of a record which this instance signed before it restarted."""
        own = self._state.own
        is_earlier_boot = alive.incarnation == own.incarnation and alive.boot_id != own.boot_id
        if not (alive.incarnation > own.incarnation or is_earlier_boot):
            return
        if not self.may_verify_signature(now_ms):
            return
        if own.keyring.verify(own.keyring.signer.public_key, alive.signed_bytes, alive.signature):
            self.refute(now_ms, alive.incarnation)

    def _add_member(self, now_ms: float, source: Address, certificate: Certificate, alive: Alive) -> None:
        state = self._state
        member = Member(certificate, alive, MemberState.ALIVE, now_ms)
        if state.members.add(member) is member:
            return  # the table is full and the member was not kept
        state.table_differs = True
        if source == alive.address:
            # A record is forwarded only by instances that received it from its member itself. Otherwise all
            # instances of a starting fleet would forward all records and use up the whole send budget.
            state.broadcasts.put(Topic(Certificate, alive.member), certificate)
            state.broadcasts.put(Topic(Alive, alive.member), alive)
        self._probe_order.insert(member.number)
        state.record_state_change(member)

    def _update_member(self, now_ms: float, member: Member, alive: Alive) -> None:
        state = self._state
        state_before, has_moved = member.state, alive.address != member.alive.address
        member.alive, member.is_verified = alive, member.is_verified and not has_moved
        member.state = MemberState.LEFT if alive.has_left else MemberState.ALIVE
        member.state_since_ms = now_ms
        state.clear_suspicion(member)
        if member.state is not state_before:
            state.record_state_change(member)
        state.broadcasts.put(Topic(Alive, alive.member), alive)
