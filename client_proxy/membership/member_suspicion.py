"""Suspicion of members before they are declared dead, and its refutation (SWIM, Lifeguard).

The more members share a suspicion, the sooner it ends. No member can declare another one dead for the fleet:
each instance considers a member dead only if it suspected the member itself and the member did not refute
that.
"""

from __future__ import annotations

from math import log, log10

from client_proxy.membership.broadcast_queue import Topic
from client_proxy.membership.dissemination import Dissemination
from client_proxy.membership.members import Member, MemberState
from client_proxy.membership.messages import Suspect
from client_proxy.membership.swim_state import SwimState

MAX_CONFIRMATIONS = 3  # further accusers with which a suspicion lasts its shortest time
MAX_SUSPICION_FACTOR = 6.0  # ratio of the longest to the shortest duration of a suspicion


class MemberSuspicion:
    """Marks members as suspected or dead, and removes them some time after their death."""

    def __init__(self, state: SwimState, dissemination: Dissemination) -> None:
        self._state, self._dissemination = state, dissemination

    def duration_ms(self, accusers: int) -> float:
        """Return how many ms a suspicion lasts that this number of members share."""
        settings, member_count = self._state.settings, len(self._state.members)
        shortest_ms = settings.suspicion * max(1.0, log10(member_count + 1)) * settings.period_ms
        longest_ms = MAX_SUSPICION_FACTOR * shortest_ms
        confirmations = min(MAX_CONFIRMATIONS, max(1, member_count - 2))
        reduction = log(min(accusers - 1, confirmations) + 1) / log(confirmations + 1)
        duration_ms = longest_ms - (longest_ms - shortest_ms) * reduction
        return duration_ms * self._state.health.timeout_factor

    def suspect(self, now_ms: float, member: Member, accuser: int) -> None:
        """Mark a member as suspected, or add an accuser if it is suspected already."""
        state = self._state
        if member.state is MemberState.ALIVE:
            member.state, member.state_since_ms = MemberState.SUSPECT, now_ms
            member.suspected_by = {accuser}
            state.record_state_change(member)
        elif member.state is MemberState.SUSPECT and len(member.suspected_by) <= MAX_CONFIRMATIONS:
            if accuser in member.suspected_by:
                return
            member.suspected_by.add(accuser)
        else:
            return
        incarnation = member.alive.incarnation
        # Each accuser is broadcast separately, as in Lifeguard; their number is limited.
        topic = Topic(Suspect, member.number, accuser)
        state.broadcasts.put(topic, Suspect(member.number, incarnation, accuser))
        due_ms = member.state_since_ms + self.duration_ms(len(member.suspected_by))
        state.timers.set(max(now_ms, due_ms), lambda at_ms: self._declare_dead(at_ms, member, incarnation))

    def receive_suspect(self, now_ms: float, suspect: Suspect) -> None:
        """Process a suspicion that a member reported; if it is of this instance, refute it."""
        state = self._state
        if suspect.member == state.own.number:
            if suspect.incarnation >= state.own.incarnation and not state.own.has_left:
                state.health.suspected_by_peer()
                self._dissemination.refute(now_ms, suspect.incarnation)
            return
        member = state.members.get(suspect.member)
        # The accuser has to be a known member; otherwise invented accusers could shorten suspicions.
        is_known = suspect.accuser == state.own.number or state.members.get(suspect.accuser) is not None
        if member is not None and is_known and suspect.incarnation == member.alive.incarnation:
            self.suspect(now_ms, member, suspect.accuser)

    def remove_expired(self, now_ms: float) -> None:
        """Remove members that died or left long ago."""
        state = self._state
        for member in [member for member in state.members if not member.is_present]:
            if now_ms - member.state_since_ms > state.settings.forget_ms:
                state.members.remove(member.number)

    def _declare_dead(self, now_ms: float, member: Member, incarnation: int) -> None:
        state = self._state
        is_suspected = member.state is MemberState.SUSPECT and member.alive.incarnation == incarnation
        if not is_suspected or state.members.get(member.number) is not member:
            return
        remaining_ms = member.state_since_ms + self.duration_ms(len(member.suspected_by)) - now_ms
        if remaining_ms > 0:  # the duration grew, as this instance's own health got worse meanwhile
            state.timers.set(
                now_ms + remaining_ms, lambda at_ms: self._declare_dead(at_ms, member, incarnation)
            )
            return
        member.state, member.state_since_ms = MemberState.DEAD, now_ms
        state.clear_suspicion(member)
        state.record_state_change(member)
