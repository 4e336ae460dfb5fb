"""The lease holder role: which version an instance uses, and until when.

Times are milliseconds of the instance's own monotonic clock, passed in by the caller. A decided version is
prepared first: its body is fetched and validated while the previous version is in use. Then a lease on it is
requested, and only that lease makes it the active version. Until then the previous version stays active as
long as its own lease lasts. A process that was stopped (SIGSTOP) does not notice the pause and could go on
with an expired lease; so `leased_version` has to be called at each use, with the clock read immediately
before.
"""

from __future__ import annotations

from dataclasses import dataclass

from client_proxy.consensus.acceptor import Send, Verify, is_decided
from client_proxy.consensus.messages import (
    AcceptorId,
    CatchUp,
    Decided,
    LeaseDenied,
    LeaseGrant,
    LeaseRequest,
    Message,
    Version,
    majority,
)

MAX_PAST_VERSIONS = 64  # kept in memory for instances that lag behind; older ones are read from the disk
NO_VERSION = -1  # stands for the number of a version where there is none
NEVER_MS = float("-inf")


@dataclass(frozen=True, slots=True)
class PrepareVersion:
    """Action: fetch and validate the version's body, then call `on_prepared`."""

    version: Version


@dataclass(frozen=True, slots=True)
class ActivateVersion:
    """Action: use this version from now on."""

    version: Version


@dataclass(frozen=True, slots=True)
class SendPastVersion:
    """Action: send the decided version with this number from the disk, if it is stored there."""

    to: int
    number: int


Action = Send | PrepareVersion | ActivateVersion | SendPastVersion


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Lease times, and whether to serve without a lease.

    Attributes:
        lease_ms: Length of a lease.
        renew_ms: Time between two lease requests.
        clock_error: Largest error of a clock's rate, as a share.
        serve_stale: Serve without a lease, too. The bound `overlap_ms` does not hold then.
    """

    lease_ms: float = 3000.0
    renew_ms: float = 800.0
    clock_error: float = 0.05
    serve_stale: bool = False

    @property
    def overlap_ms(self) -> float:
        """Longest time that any instance may use an older version after the first use of a newer one (ms)."""
        return self.lease_ms / (1.0 - self.clock_error)


class LeaseHolder:
    """Learns decided versions, requests leases on them and tracks the active one.

    Attributes:
        member: The instance's number.
        latest: The latest decided version that this instance knows.
        active_version: The version that was activated last; None if none was.
        prepared_number: The number of the latest version that is prepared.
        rejected: The number of the latest version that this instance cannot use, with the reason.
        lagging_acceptors: The latest number known to each acceptor that does not know `latest`, by member.
    """

    def __init__(
        self, member: int, decided: Decided, settings: LeaseSettings, verify: Verify, incarnation: int
    ) -> None:
        """Starts without a lease.

        Args:
            member: The instance's number.
            decided: The latest decided version that is stored at this instance.
            settings: Lease times.
            verify: Checks an acceptor's signature.
            incarnation: Random number of this run of the process; grants to an earlier run do not count.
        """
        self.member, self._settings, self._verify = member, settings, verify
        self.latest = decided
        self.active_version: Version | None = None
        self.prepared_number = NO_VERSION
        self.rejected: dict[int, str] = {}
        self.lagging_acceptors: dict[int, int] = {}
        self._lease_until_ms = NEVER_MS  # end of the lease on `active_version`
        self._nonce = incarnation << 32
        self._requested_ms = NEVER_MS
        self._requested_number = NO_VERSION
        self._granted_by: set[AcceptorId] = set()
        self._past_versions: dict[int, Decided] = {decided.version.number: decided}
        self._preparing_number = NO_VERSION
        self._started_ms: float | None = None

    # State

    def leased_version(self, now_ms: float) -> Version | None:
        """Returns the version that a lease covers at this time; None if there is no valid lease."""
        return self.active_version if now_ms < self._lease_until_ms else None

    def serving_version(self, now_ms: float) -> Version | None:
        """Returns the version to serve requests with, or None; with `serve_stale` it needs no lease."""
        return self.active_version if self._settings.serve_stale else self.leased_version(now_ms)

    @property
    def lease_until_ms(self) -> float:
        """Time at which the lease on the active version ends."""
        return self._lease_until_ms

    @property
    def has_unrecognized_version(self) -> bool:
        """Whether a majority of the acceptors does not know the latest version that is stored here.

        Either the folder belongs to another fleet or the acceptors' state was lost. The instance cannot tell
        these cases apart, and gets no lease.
        """
        return len(self.lagging_acceptors) >= majority(len(self.latest.version.acceptors))

    @property
    def timer_due_ms(self) -> float:
        """Time at which to call `on_timer` next."""
        return self._requested_ms + self._settings.renew_ms

    # Events

    def on_timer(self, now_ms: float) -> list[Action]:
        """Requests a lease on the latest version if it is prepared, else on the active one."""
        newest = self.latest.version
        if self._started_ms is None:
            self._started_ms = now_ms
        actions = self._activate_without_lease(now_ms, newest, self._started_ms)
        actions += self._prepare(newest)
        ready = newest if self.prepared_number == newest.number else self.active_version
        self._requested_ms = now_ms
        # Without a prepared version a grant has no effect, but acceptors answer the request with any later
        # version.
        self._requested_number = ready.number if ready is not None else NO_VERSION
        self._nonce += 1
        self._granted_by = set()
        if self._lease_until_ms > now_ms:
            self.lagging_acceptors.clear()
        requested = ready if ready is not None else newest
        request = LeaseRequest(requested.number, self._nonce, requested.digest)
        # Sent to the acceptors of the latest version known here, which answer with any later version.
        return [*actions, *(Send(acceptor_id.member, request) for acceptor_id in newest.acceptors)]

    def _activate_without_lease(self, now_ms: float, newest: Version, started_ms: float) -> list[Action]:
        if not self._settings.serve_stale or self.prepared_number != newest.number:
            return []
        if self.active_version == newest:
            return []
        # Wait for the length of a lease first: acceptors may still grant one.
        if now_ms < max(self._lease_until_ms, started_ms) + self._settings.lease_ms:
            return []
        self.active_version = newest
        return [ActivateVersion(newest)]

    def _prepare(self, newest: Version) -> list[Action]:
        if newest.number <= max(self.prepared_number, self._preparing_number):
            return []
        if newest.number in self.rejected:
            return []
        self._preparing_number = newest.number
        return [PrepareVersion(newest)]

    def on_prepared(self, now_ms: float, number: int, reason: str = "") -> list[Action]:
        """Records that a version is prepared, or why it cannot be used; returns the resulting actions."""
        self._preparing_number = NO_VERSION
        if reason:
            self.rejected = {number: reason}
            return []
        self.prepared_number = max(self.prepared_number, number)
        return self.on_timer(now_ms)

    def handle(self, now_ms: float, sender: int, message: Message) -> list[Action]:
        """Handles a message and returns the resulting actions."""
        match message:
            case LeaseGrant():
                return self._handle_grant(sender, message)
            case Decided() if message.version.number > self.latest.version.number + 1:
                # It takes the acceptors of the version before it, unknown here, to prove this version.
                return [Send(sender, CatchUp(self.latest.version.number))]
            case Decided():
                return self.learn(now_ms, message)
            case CatchUp():
                return self._handle_catch_up(sender, message)
            case LeaseDenied():
                return []
        return []

    def learn(self, now_ms: float, message: Decided) -> list[Action]:
        """Adopts the next decided version if votes of the current acceptors prove it; returns the actions."""
        if not is_decided(message, self.latest.version, self._verify):
            return []
        self.latest = message
        # Members without an acceptor in the new version do not count when a majority is checked.
        members = {acceptor_id.member for acceptor_id in message.version.acceptors}
        self.lagging_acceptors = {
            member: number for member, number in self.lagging_acceptors.items() if member in members
        }
        self._past_versions[message.version.number] = message
        self._past_versions.pop(message.version.number - MAX_PAST_VERSIONS, None)
        return self.on_timer(now_ms)

    def _handle_catch_up(self, sender: int, message: CatchUp) -> list[Action]:
        latest = self.latest.version
        acceptor_members = {acceptor_id.member for acceptor_id in latest.acceptors}
        if message.latest_number < latest.number and sender in acceptor_members:
            self.lagging_acceptors[sender] = message.latest_number
        next_number = message.latest_number + 1
        next_decided = self._past_versions.get(next_number)
        if next_decided is not None:
            return [Send(sender, next_decided)]
        return [SendPastVersion(sender, next_number)] if next_number < latest.number else []

    def _handle_grant(self, sender: int, message: LeaseGrant) -> list[Action]:
        if message.nonce != self._nonce or message.number != self._requested_number:
            return []
        newest = self.latest.version
        if message.acceptor_id.member != sender:
            return []
        # A lease on n needs a majority of the acceptors that decide on n+1.
        is_newest = message.number == newest.number
        acceptors = newest.acceptors if is_newest else self._acceptors_of(message.number)
        if message.acceptor_id not in acceptors:
            return []
        self._granted_by.add(message.acceptor_id)
        if len(self._granted_by) < majority(len(acceptors)):
            return []
        return self._extend_lease(message.number, newest)

    def _extend_lease(self, number: int, newest: Version) -> list[Action]:
        # The lease runs from its request, not from the arrival of the grant.
        until_ms = self._requested_ms + self._settings.lease_ms
        if self.active_version is not None and self.active_version.number == number:
            self._lease_until_ms = max(self._lease_until_ms, until_ms)
            return []
        if number == newest.number and self.prepared_number == number:
            self.active_version, self._lease_until_ms = newest, until_ms
            return [ActivateVersion(newest)]
        return []

    def _acceptors_of(self, number: int) -> tuple[AcceptorId, ...]:
        past = self._past_versions.get(number)
        return past.version.acceptors if past is not None else ()
