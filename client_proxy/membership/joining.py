"""Discovery of members: contacts seeds, and exchanges addresses of further members with new members."""

from __future__ import annotations

from collections.abc import Sequence

from client_proxy.address import Address
from client_proxy.membership.budget import SendPriority
from client_proxy.membership.messages import MAX_HINTED_ADDRESSES, AddressHints, Ping
from client_proxy.membership.swim_state import SwimState

CONTACT_INTERVAL_MS = 100.0  # ms; between contacts to two hinted addresses
ENOUGH_MEMBERS = 8  # an instance that knows fewer contacts hinted addresses and probes less often
SEED_BACKOFF_FACTOR = 1.5  # growth of the interval between contacts to seeds while no member is known
MAX_SEED_BACKOFF_MS = 30_000.0  # ms; upper bound of this interval


class Joining:
    """Contacts seeds and hinted addresses until enough members are known."""

    def __init__(self, state: SwimState, seeds: Sequence[Address]) -> None:
        self._state = state
        self.seeds = tuple(seed for seed in seeds if seed != state.own.address)
        self._hinted: list[Address] = []  # hinted addresses that have not been contacted yet

    def start(self, now_ms: float) -> None:
        """Contact a seed now and another one later.

        Without the second contact, instances that joined through another seed would remain unknown for long.
        """
        state = self._state
        self._contact_until_joined(now_ms, state.settings.period_ms)
        second_ms = now_ms + state.settings.period_ms * state.random.uniform(1.0, 4.0)
        state.timers.set(second_ms, lambda _: self.contact_seed())

    def contact_seed(self) -> None:
        """Introduce this instance to a random seed."""
        if self.seeds:
            self._contact(self._state.random.choice(self.seeds))

    def send_hints(self, destination: Address, number: int) -> None:
        """Send the addresses of some members to a new member.

        New members know only the seeds, whose send budget limits how fast they can introduce members with
        full records. An address is short, and the contacted member introduces itself.
        """
        hinted = self._state.random_members(MAX_HINTED_ADDRESSES, number)
        if hinted:
            addresses = tuple(member.alive.address for member in hinted)
            self._state.send(SendPriority.BROADCAST, destination, [AddressHints(addresses)])

    def receive_hints(self, now_ms: float, hints: AddressHints) -> None:
        """Contact the hinted addresses if this instance knows fewer than `ENOUGH_MEMBERS` members.

        A member that sends false addresses can cause only a few short datagrams to them.
        """
        state = self._state
        if len(state.members) >= ENOUGH_MEMBERS:
            return
        known = {member.alive.address for member in state.members} | {state.own.address}
        is_contacting = bool(self._hinted)
        self._hinted += [
            address for address in hints.addresses if address not in known and address not in self._hinted
        ]
        del self._hinted[MAX_HINTED_ADDRESSES:]
        if self._hinted and not is_contacting:
            state.timers.set(now_ms + CONTACT_INTERVAL_MS * state.random.random(), self._contact_next_hinted)

    def _contact(self, address: Address) -> None:
        state = self._state
        state.send(SendPriority.PROBE, address, [Ping(state.new_nonce()), *state.own.introduction()])

    def _contact_until_joined(self, now_ms: float, wait_ms: float) -> None:
        """Contact seeds with a backoff until a member is known, since a whole fleet may start at once."""
        state = self._state
        if state.members.present_members() or not self.seeds:
            return
        self.contact_seed()
        next_ms = now_ms + wait_ms * state.random.uniform(0.75, 1.25)
        next_wait_ms = min(MAX_SEED_BACKOFF_MS, SEED_BACKOFF_FACTOR * wait_ms)
        state.timers.set(next_ms, lambda at_ms: self._contact_until_joined(at_ms, next_wait_ms))

    def _contact_next_hinted(self, now_ms: float) -> None:
        if len(self._state.members) >= ENOUGH_MEMBERS or not self._hinted:
            self._hinted.clear()
            return
        self._contact(self._hinted.pop(0))
        self._state.timers.set(now_ms + CONTACT_INTERVAL_MS, self._contact_next_hinted)
