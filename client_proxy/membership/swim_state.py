"""State shared by the parts of the SWIM protocol: own record, member table, timers and queues."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from client_proxy.address import Address
from client_proxy.membership.broadcast_queue import BroadcastQueue, Topic
from client_proxy.membership.budget import SendPriority, SourceRateLimiter
from client_proxy.membership.health import LocalHealth
from client_proxy.membership.keys import Keyring
from client_proxy.membership.members import CertificateCache, Member, MemberTable
from client_proxy.membership.messages import MAX_U32, Alive, Record, Suspect
from client_proxy.membership.settings import SwimSettings
from client_proxy.membership.timers import TimerQueue

MAX_STATE_CHANGES = 64  # state changes kept until they are logged; further ones are not logged
INTRODUCTIONS_PER_S, INTRODUCTION_BURST = 1.0, 2.0  # limit of introductions sent to one source address
MAX_INTRODUCED_SOURCES = 1024  # source addresses for which this limit is tracked

SendRecords = Callable[[SendPriority, Address, Sequence[Record]], None]
"""Queues records to be sent to an address."""


class OwnRecord:
    """This instance's own signed record; its incarnation only increases."""

    def __init__(self, keyring: Keyring, address: Address, boot_id: int) -> None:
        self.keyring, self.address = keyring, address
        self.incarnation = 1
        self.boot_id = boot_id
        self.has_left = False
        self.alive: Alive
        self.sign()

    @property
    def number(self) -> int:
        """This instance's member number."""
        return self.keyring.certificate.member

    def sign(self) -> None:
        """Sign the record again, after a change of its fields or of the keys."""
        fields = (self.number, self.incarnation, self.boot_id, *self.address, self.has_left)
        unsigned = Alive(*fields, b"")
        self.alive = Alive(*fields, self.keyring.signer.sign(unsigned.signed_bytes))

    def introduction(self) -> list[Record]:
        """Return the records that introduce this instance to a member that doesn't know it."""
        return [self.keyring.certificate, self.alive]


class SwimState:
    """The state that probing, suspicion, dissemination and anti-entropy share."""

    def __init__(
        self, keyring: Keyring, address: Address, random: Random, send: SendRecords, settings: SwimSettings
    ) -> None:
        self.settings = settings
        self.random, self.send = random, send
        self.health = LocalHealth()
        self.members = MemberTable(keyring.certificate.member, settings.most_members)
        self.certificates = CertificateCache()
        self.broadcasts = BroadcastQueue(settings.most_members)
        self.timers = TimerQueue()
        self.own = OwnRecord(keyring, address, self.new_nonce())
        self.introductions = SourceRateLimiter(
            INTRODUCTIONS_PER_S, INTRODUCTION_BURST, MAX_INTRODUCED_SOURCES
        )
        self.state_changes: list[str] = []
        self.table_differs = False  # whether anti-entropy found a difference since its last round

    def new_nonce(self) -> int:
        """Return a random 32-bit number."""
        return self.random.randrange(MAX_U32 + 1)

    def random_members(self, count: int, *excluded: int) -> list[Member]:
        """Return up to `count` random present members, without those of the excluded numbers."""
        candidates = [member for member in self.members.present_members() if member.number not in excluded]
        return self.random.sample(candidates, min(count, len(candidates)))

    def record_state_change(self, member: Member) -> None:
        """Add a log line with a member's new state."""
        if len(self.state_changes) < MAX_STATE_CHANGES:
            self.state_changes.append(f"instance {member.number} is {member.state.value}")

    def clear_suspicion(self, member: Member) -> None:
        """Remove a member's accusers, and stop broadcasting their suspicions."""
        for accuser in member.suspected_by:
            self.broadcasts.discard(Topic(Suspect, member.number, accuser))
        member.suspected_by = set()
