"""Failure detection by probes in randomized round-robin order, direct and then through helpers (SWIM).

Timeouts and periods grow as this instance's own health score gets worse (Lifeguard).
"""

from __future__ import annotations

from dataclasses import dataclass

from client_proxy.address import Address
from client_proxy.membership.budget import SendPriority
from client_proxy.membership.joining import ENOUGH_MEMBERS, Joining
from client_proxy.membership.member_suspicion import MemberSuspicion
from client_proxy.membership.members import Member, MemberState
from client_proxy.membership.messages import Ack, Nack, Ping, PingRequest, Record, Suspect
from client_proxy.membership.probe_order import ProbeOrder
from client_proxy.membership.swim_state import SwimState

MAX_PENDING_PROBES = 64  # pings that wait for an ack; over it, the oldest is dropped
MAX_PROBES_FOR_OTHERS = MAX_PENDING_PROBES // 2  # pending pings on behalf of other members
NACK_TIMEOUT_SHARE = 0.8  # share of the timeout after which a helper sends a nack
MAX_TIMEOUT_PERIODS = 0.45  # periods; a probe with its helpers then fits into one period, as in the paper
RECONNECT_PERIODS = 4  # periods between two pings to members that are considered dead
RECONNECT_SEED_SHARE = 0.1  # share of these pings at which a seed is contacted too


@dataclass(frozen=True, slots=True)
class ProbeRequester:
    """The member on whose behalf a probe is made, and the nonce of its request."""

    address: Address
    nonce: int


@dataclass(slots=True, eq=False)
class PendingProbe:
    """A ping that waits for an ack, sent for this instance or on behalf of another member."""

    member: int
    requester: ProbeRequester | None = None
    helpers: tuple[Address, ...] = ()
    nacks: int = 0


class Prober:
    """Probes members periodically, and on request of other members."""

    def __init__(
        self, state: SwimState, order: ProbeOrder, suspicion: MemberSuspicion, joining: Joining
    ) -> None:
        self._state, self._order, self._suspicion, self._joining = state, order, suspicion, joining
        self._pending: dict[int, PendingProbe] = {}  # by nonce
        self._periods = 0

    @property
    def pending_count(self) -> int:
        """The number of pings that wait for an ack."""
        return len(self._pending)

    def start(self, now_ms: float) -> None:
        """Start probing after a random part of a period, since a whole fleet may start at once."""
        first_ms = now_ms + self._state.settings.period_ms * self._state.random.random()
        self._state.timers.set(first_ms, lambda at_ms: self._run_period(at_ms, first_ms))

    def receive_ping_request(self, now_ms: float, source: Address, request: PingRequest) -> None:
        """Probe a member on behalf of another one."""
        state = self._state
        member = state.members.get(request.member)
        probes_for_others = sum(1 for probe in self._pending.values() if probe.requester)
        if member is None or probes_for_others >= MAX_PROBES_FOR_OTHERS:
            return
        nonce = self._send_ping(member, ProbeRequester(source, request.nonce))

        def report_no_answer(_: float) -> None:
            if self._pending.pop(nonce, None) is not None:
                state.send(SendPriority.RESPONSE, source, [Nack(request.nonce)])

        state.timers.set(now_ms + NACK_TIMEOUT_SHARE * state.settings.timeout_ms, report_no_answer)

    def receive_ack(self, source: Address, sender: int, nonce: int) -> None:
        """Process an ack from the probed member itself or from a helper."""
        probe = self._pending.get(nonce)
        if probe is None or not (sender == probe.member or source in probe.helpers):
            return
        del self._pending[nonce]
        requester = probe.requester
        if requester is not None:
            self._state.send(SendPriority.RESPONSE, requester.address, [Ack(requester.nonce)])
            return
        self._state.health.probe_acknowledged()
        member = self._state.members.get(probe.member)
        if member is not None and sender == probe.member:
            member.is_verified = True

    def receive_nack(self, source: Address, nonce: int) -> None:
        """Record that a helper got no answer from the probed member either."""
        probe = self._pending.get(nonce)
        if probe is not None and source in probe.helpers:
            probe.nacks += 1

    def _run_period(self, now_ms: float, due_ms: float) -> None:
        state = self._state
        state.health.timer_fired(due_ms, now_ms)
        self._periods += 1
        self._suspicion.remove_expired(now_ms)
        target = self._order.next()
        if target is not None:
            self._probe(now_ms, target)
        if self._periods % RECONNECT_PERIODS == 0:
            self._reconnect()
        # All instances of a fleet that has just started know only the seeds, and all would probe these.
        few_members_factor = max(1.0, ENOUGH_MEMBERS / (len(state.members) + 1))
        period_ms = state.settings.period_ms * state.health.timeout_factor * few_members_factor
        next_ms = now_ms + period_ms * state.random.uniform(0.9, 1.1)
        state.timers.set(next_ms, lambda at_ms: self._run_period(at_ms, next_ms))

    def _reconnect(self) -> None:
        """Ping a member that is considered dead.

        After a network partition both sides consider each other dead and would otherwise never reconnect.
        """
        state = self._state
        dead = [member for member in state.members if member.state is MemberState.DEAD]
        if dead:
            self._send_ping(state.random.choice(dead))
        if not state.members.present_members() or state.random.random() < RECONNECT_SEED_SHARE:
            self._joining.contact_seed()

    def _send_ping(self, member: Member, requester: ProbeRequester | None = None) -> int:
        state = self._state
        nonce = state.new_nonce()
        if len(self._pending) >= MAX_PENDING_PROBES:
            del self._pending[next(iter(self._pending))]
        self._pending[nonce] = PendingProbe(member.number, requester)
        records: list[Record] = [Ping(nonce)]
        if member.state is not MemberState.ALIVE:
            # Lifeguard's buddy system: a suspected member is notified with the probe, so that it can refute.
            records.append(Suspect(member.number, member.alive.incarnation, state.own.number))
        if not member.is_verified:
            records += state.own.introduction()
        state.send(SendPriority.PROBE, member.alive.address, records)
        return nonce

    def _probe(self, now_ms: float, member: Member) -> None:
        state = self._state
        nonce = self._send_ping(member)
        timeout_ms = state.settings.timeout_ms * state.health.timeout_factor
        longest_ms = MAX_TIMEOUT_PERIODS * state.settings.period_ms * state.health.timeout_factor
        timeout_ms = min(timeout_ms, longest_ms)
        state.timers.set(now_ms + timeout_ms, lambda at_ms: self._ask_helpers(at_ms, nonce, timeout_ms))

    def _ask_helpers(self, now_ms: float, nonce: int, timeout_ms: float) -> None:
        state = self._state
        probe = self._pending.get(nonce)
        if probe is None:
            return
        candidates = state.random_members(state.settings.helpers, probe.member)
        probe.helpers = tuple(
            helper.alive.address for helper in candidates if helper.state is MemberState.ALIVE
        )
        for helper_address in probe.helpers:
            state.send(SendPriority.PROBE, helper_address, [PingRequest(nonce, probe.member)])
        state.timers.set(now_ms + timeout_ms, lambda at_ms: self._fail_probe(at_ms, nonce))

    def _fail_probe(self, now_ms: float, nonce: int) -> None:
        state = self._state
        probe = self._pending.pop(nonce, None)
        member = state.members.get(probe.member) if probe is not None else None
        if probe is None or member is None:
            return
        state.health.probe_failed(probe.nacks, len(probe.helpers))
        if member.is_present:
            self._suspicion.suspect(now_ms, member, state.own.number)
