"""Anti-entropy: pairs of members compare their member tables and exchange what broadcasts did not deliver."""

from __future__ import annotations

from client_proxy.address import Address
from client_proxy.membership.budget import SendPriority
from client_proxy.membership.dissemination import Dissemination
from client_proxy.membership.messages import MAX_REQUESTED_MEMBERS, BucketSummary, Digest, MemberRequest
from client_proxy.membership.swim_state import SwimState

RESYNC_MS = 500.0  # ms; until the next comparison, after one that found a difference
SAMPLED_MEMBERS = 3  # members that an instance with a full table introduces in answer to a digest
MAX_COMPARED_BUCKETS = 4  # buckets that are compared after one digest
MAX_INTRODUCED_MEMBERS = 8  # members that are introduced after one bucket summary


class AntiEntropy:
    """Compares member tables with a random member periodically: first digests, then the differing buckets."""

    def __init__(self, state: SwimState, dissemination: Dissemination) -> None:
        self._state, self._dissemination = state, dissemination

    def start(self, now_ms: float) -> None:
        """Schedule the first comparison, after a random part of the interval between comparisons."""
        state = self._state
        first_ms = min(RESYNC_MS, state.settings.sync_ms) * state.random.uniform(0.5, 1.0)
        state.timers.set(now_ms + first_ms, self._run)

    def receive_digest(self, source: Address, digest: Digest) -> None:
        """Answer a digest with summaries of buckets in which this instance's table differs."""
        state = self._state
        if state.members.overflowed:
            # Members were left out of the full table, so the tables cannot become equal. The sender may have
            # room for some of this instance's members.
            for member in state.random_members(SAMPLED_MEMBERS):
                self._dissemination.introduce(SendPriority.ANTI_ENTROPY, source, member.number)
            return
        incarnation = state.own.incarnation
        checksums = zip(state.members.checksums(incarnation), digest.checksums, strict=True)
        differing = [bucket for bucket, (own, theirs) in enumerate(checksums) if own != theirs]
        for bucket in state.random.sample(differing, min(MAX_COMPARED_BUCKETS, len(differing))):
            summary = BucketSummary(bucket, state.members.bucket_entries(bucket, incarnation))
            state.send(SendPriority.ANTI_ENTROPY, source, [summary])

    def receive_bucket_summary(self, source: Address, summary: BucketSummary) -> None:
        """Request the members of which the sender knows more, and introduce those of which it knows less."""
        state = self._state
        state.table_differs = True
        theirs = dict(summary.entries)
        own = dict(state.members.bucket_entries(summary.bucket, state.own.incarnation))
        missing = [
            number
            for number, incarnation in theirs.items()
            if own.get(number, 0) < incarnation and number != state.own.number
        ]
        if missing and not state.members.overflowed:
            request = MemberRequest(tuple(missing[:MAX_REQUESTED_MEMBERS]))
            state.send(SendPriority.ANTI_ENTROPY, source, [request])
        ahead = [number for number, incarnation in own.items() if theirs.get(number, 0) < incarnation]
        for number in state.random.sample(ahead, min(MAX_INTRODUCED_MEMBERS, len(ahead))):
            self._dissemination.introduce(SendPriority.ANTI_ENTROPY, source, number)

    def _run(self, now_ms: float) -> None:
        state = self._state
        for partner in state.random_members(1):
            address = partner.alive.address
            if state.members.overflowed:
                # Full tables differ by design: a random member is introduced instead of comparing the tables.
                for member in state.random_members(1, partner.number):
                    self._dissemination.introduce(SendPriority.ANTI_ENTROPY, address, member.number)
            else:
                digest = Digest(state.members.checksums(state.own.incarnation))
                state.send(SendPriority.ANTI_ENTROPY, address, [digest])
        sync_ms = state.settings.sync_ms
        differs = state.table_differs and not state.members.overflowed
        next_ms = min(RESYNC_MS, sync_ms) if differs else sync_ms
        state.table_differs = False
        state.timers.set(now_ms + next_ms * state.random.uniform(0.9, 1.1), self._run)
