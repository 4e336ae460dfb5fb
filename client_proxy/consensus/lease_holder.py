"""Which version an instance acts by, and until when.

Times are milliseconds of the instance's own monotonic clock and are passed in. A decided version is prepared
first (its body fetched and checked, everything made ready beside the running one). Then a lease on it is
requested, and only with that lease it becomes the active version. Until then the version before stays active,
as long as its own lease runs. A process that was stopped continues as if nothing had happened and would act
by an expired lease; so `leased_version` is called at each use, with the clock read right before.
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

MAX_PAST_VERSIONS = 64  # kept in memory for instances that are behind; older ones are read from the disk
NO_VERSION = -1  # in the place of a version's number
NEVER_MS = float("-inf")


@dataclass(frozen=True, slots=True)
class PrepareVersion:
    """Action: fetch the version's body, make it ready, and call `on_prepared`."""

    version: Version


@dataclass(frozen=True, slots=True)
class ActivateVersion:
    """Action: act by this version from now on."""

    version: Version


@dataclass(frozen=True, slots=True)
class SendPastVersion:
    """Action: send the decided version of this number from the disk, if it is there."""

    to: int
    number: int


Action = Send | PrepareVersion | ActivateVersion | SendPastVersion


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Times of leases.

    Attributes:
        lease_ms: Length of a lease.
        renew_ms: Between two requests.
        clock_error: The largest error of a clock's rate.
        serve_stale: Serve without a lease. What `overlap_ms` promises does not hold then.
    """

    lease_ms: float = 3000.0
    renew_ms: float = 800.0
    clock_error: float = 0.05
    serve_stale: bool = False

    @property
    def overlap_ms(self) -> float:
        """How long after the first use of a version an older one may still be used elsewhere."""
        return self.lease_ms / (1.0 - self.clock_error)


class LeaseHolder:
    """Learns decided versions, requests leases on them and knows the active one.

    Attributes:
        member: The instance's number.
        latest: The latest decided version that is known here.
        active_version: The version that was activated last; None: none was.
        prepared_number: Number of the latest version that is ready.
        rejected: The latest version that this instance cannot act by, and why.
        lagging_acceptors: Acceptors that do not know the latest version, and the number that they know.
    """

    def __init__(
        self, member: int, decided: Decided, settings: LeaseSettings, verify: Verify, incarnation: int
    ) -> None:
        """Begins without a lease.

        Args:
            member: The instance's number.
            decided: The latest decided version that was stored here.
            settings: Times of leases.
            verify: Checks an acceptor's signature.
            incarnation: Drawn at the start, so that no grant to an earlier run of the process counts.
        """
        self.member, self._settings, self._verify = member, settings, verify
        self.latest = decided
        self.active_version: Version | None = None
        self.prepared_number = NO_VERSION
        self.rejected: dict[int, str] = {}
        self.lagging_acceptors: dict[int, int] = {}
        self._lease_until_ms = NEVER_MS  # of the lease on `active_version`
        self._nonce = incarnation << 32
        self._requested_ms = NEVER_MS
        self._requested_number = NO_VERSION
        self._granted_by: set[AcceptorId] = set()
        self._past_versions: dict[int, Decided] = {decided.version.number: decided}
        self._preparing_number = NO_VERSION
        self._started_ms: float | None = None

    # State

    def leased_version(self, now_ms: float) -> Version | None:
        """Returns the version that a lease covers at this moment; None: requests are rejected at once."""
        return self.active_version if now_ms < self._lease_until_ms else None

    def serving_version(self, now_ms: float) -> Version | None:
        """Returns the version that requests are served by, which needs no lease with `serve_stale`."""
        return self.active_version if self._settings.serve_stale else self.leased_version(now_ms)

    @property
    def lease_until_ms(self) -> float:
        """When the lease on the active version ends."""
        return self._lease_until_ms

    @property
    def is_unrecognized(self) -> bool:
        """Whether a majority of the acceptors does not know the latest version that is stored here.

        The folder belongs to another fleet then, or the acceptors' state was lost; the instance cannot tell
        which, and gets no lease.
        """
        return len(self.lagging_acceptors) >= majority(len(self.latest.version.acceptors))

    @property
    def timer_due_ms(self) -> float:
        """When to call `on_timer` next."""
        return self._requested_ms + self._settings.renew_ms

    # Events

    def on_timer(self, now_ms: float) -> list[Action]:
        """Requests a lease on the latest version if that is ready, else on the active one."""
        newest = self.latest.version
        if self._started_ms is None:
            self._started_ms = now_ms
        actions = self._activate_without_lease(now_ms, newest, self._started_ms)
        actions += self._prepare(newest)
        ready = newest if self.prepared_number == newest.number else self.active_version
        self._requested_ms = now_ms
        # With no version ready a grant counts for nothing, but the request brings back news of later
        # versions.
        self._requested_number = ready.number if ready is not None else NO_VERSION
        self._nonce += 1
        self._granted_by = set()
        if self._lease_until_ms > now_ms:
            self.lagging_acceptors.clear()
        requested = ready if ready is not None else newest
        request = LeaseRequest(requested.number, self._nonce, requested.digest)
        # To the acceptors of the latest version known here; these tell of later ones.
        return [*actions, *(Send(acceptor_id.member, request) for acceptor_id in newest.acceptors)]

    def _activate_without_lease(self, now_ms: float, newest: Version, started_ms: float) -> list[Action]:
        if not self._settings.serve_stale or self.prepared_number != newest.number:
            return []
        if self.active_version == newest:
            return []
        # Wait as long as those that could grant a lease may still do so.
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
        """Takes note that a version is ready, or that this instance cannot act by it for `reason`."""
        self._preparing_number = NO_VERSION
        if reason:
            self.rejected = {number: reason}
            return []
        self.prepared_number = max(self.prepared_number, number)
        return self.on_timer(now_ms)

    def handle(self, now_ms: float, sender: int, message: Message) -> list[Action]:
        """Returns what follows from a message."""
        match message:
            case LeaseGrant():
                return self._handle_grant(sender, message)
            case Decided() if message.version.number > self.latest.version.number + 1:
                # Only the version in between proves it.
                return [Send(sender, CatchUp(self.latest.version.number))]
            case Decided():
                return self.learn(now_ms, message)
            case CatchUp():
                return self._handle_catch_up(sender, message)
            case LeaseDenied():
                return []
        return []

    def learn(self, now_ms: float, message: Decided) -> list[Action]:
        """Takes over the next decided version if the acceptors of the one before it prove it."""
        if not is_decided(message, self.latest.version, self._verify):
            return []
        self.latest = message
        # Members that the new version has removed no longer say whether a majority knows it.
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
        wanted_number = message.latest_number + 1
        wanted = self._past_versions.get(wanted_number)
        if wanted is not None:
            return [Send(sender, wanted)]
        return [SendPastVersion(sender, wanted_number)] if wanted_number < latest.number else []

    def _handle_grant(self, sender: int, message: LeaseGrant) -> list[Action]:
        if message.nonce != self._nonce or message.number != self._requested_number:
            return []
        newest = self.latest.version
        if message.acceptor_id.member != sender:
            return []
        # A lease on n counts by the acceptors that decide on n+1.
        is_newest = message.number == newest.number
        acceptors = newest.acceptors if is_newest else self._acceptors_of(message.number)
        if message.acceptor_id not in acceptors:
            return []
        self._granted_by.add(message.acceptor_id)
        if len(self._granted_by) < majority(len(acceptors)):
            return []
        return self._extend_lease(message.number, newest)

    def _extend_lease(self, number: int, newest: Version) -> list[Action]:
        # Counted from when the lease was requested, not from when the grant came.
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
