"""Executes the actions of one instance's `Node`: datagrams, body transfers, disk writes and timers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from client_proxy.address import Address
from client_proxy.clock import now_ms
from client_proxy.config.fleet import digest_of
from client_proxy.consensus.acceptor import AcceptorState, Persist, Send
from client_proxy.consensus.body_transfer import BodyServer, fetch_body
from client_proxy.consensus.changes import ChangeResult
from client_proxy.consensus.errors import MessageDecodeError, ProposalError
from client_proxy.consensus.lease_holder import ActivateVersion, PrepareVersion, SendPastVersion
from client_proxy.consensus.messages import (
    Accept,
    AcceptorId,
    Message,
    OutcomeReport,
    ValidationRequest,
    Version,
    decode,
    encode,
)
from client_proxy.consensus.node import Action, Node, ValidateVersion
from client_proxy.consensus.signer import MAX_DATAGRAM_BYTES, DatagramSigner, Peer
from client_proxy.consensus.store import MAX_DECIDED_BODIES, Store
from client_proxy.membership.keys import Keyring
from client_proxy.membership.link import UdpPort

log = logging.getLogger(__name__)

FETCH_RETRY_S = 1.0
MIN_TIMER_S = 0.001
MAX_ADDRESSES = 10_000
MAX_CONCURRENT_VALIDATIONS = 16  # tasks that fetch the body of a proposal or version at the same time
MAX_RESULTS = 16

UNRECOGNIZED_VERSION = (
    "version %d is stored here, but most acceptors know only %d: the stored state belongs to another fleet, "
    "or the acceptors lost theirs; this instance gets no lease"
)

Validate = Callable[[bytes, Version, bool], str]
"""Returns why this instance could not use a version with this body; empty if it could.

The last argument is true if the version is only proposed."""

Activate = Callable[[Version, bytes], None]
"""Uses the version with this body from now on."""


@dataclass(frozen=True, slots=True)
class PreparedVersion:
    """A version that can be activated, with its body."""

    version: Version
    body: bytes


class ConsensusTransport:
    """Connects a `Node` with the network, the disk and the clock.

    Attributes:
        node: The consensus node.
        results: Results of the latest changes that were proposed at this instance.
        on_outcome_report: Called with a member's number and its report.
    """

    def __init__(
        self,
        node: Node,
        store: Store,
        keyring: Keyring,
        peers: dict[int, Peer],
        listen: Address,
        validate: Validate,
        activate: Activate,
    ) -> None:
        """Binds the UDP port. Raises OSError if it cannot be bound."""
        self.node, self._store, self._peers = node, store, peers
        self._validate, self._activate = validate, activate
        self._signer = DatagramSigner(node.member, keyring, peers)
        self._bodies = BodyServer(store)
        self._port = UdpPort(listen, MAX_DATAGRAM_BYTES)
        self._listen = self._port.address
        self._addresses: dict[int, Address] = {member: peer.address for member, peer in peers.items()}
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._preparing: asyncio.Task[None] | None = None
        self._prepared: PreparedVersion | None = None  # the latest prepared version
        self._stored_latest = node.lease_holder.latest
        self._recent_digests = dict.fromkeys(
            decided.version.digest for decided in store.history(MAX_DECIDED_BODIES)
        )
        self._had_unrecognized_version = False
        self._closed = False
        self.results: list[ChangeResult] = []
        self.on_outcome_report: Callable[[int, OutcomeReport], None] | None = None

    async def bind(self) -> None:
        """Binds the TCP port and serves bodies on it. Raises OSError if it cannot be bound."""
        await self._bodies.start(self._listen)

    def start(self) -> None:
        """Starts to receive and send datagrams."""
        self._port.start(self._on_datagram)
        self._on_timer()

    def close(self) -> None:
        """Cancels all tasks and releases the ports."""
        self._closed = True
        for task in self._tasks:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._bodies.close()
        self._port.close()

    # Messages

    def _send(self, action: Send) -> None:
        if action.to == self.node.member:
            asyncio.get_running_loop().call_soon(self._handle, self.node.member, action.message)
            return
        address = self._addresses.get(action.to)
        if address is not None:
            self._port.send(self._signer.seal(encode(action.message)), address)

    def send_to_acceptors(self, message: Message) -> None:
        """Sends a message from outside the protocol, such as a rollout's counts, to all acceptors."""
        for acceptor_id in self.node.lease_holder.latest.version.acceptors:
            self._send(Send(acceptor_id.member, message))

    def _on_datagram(self, datagram: bytes, source: Address) -> float:
        """Handles a datagram if it is authentic. Returns 0, so that the port continues to read at once."""
        received = self._signer.open(datagram)
        if received is None:
            return 0.0
        try:
            message = decode(received.data)
        except MessageDecodeError as error:
            log.debug("dropped a datagram from member %s that cannot be decoded: %s", received.sender, error)
            return 0.0
        if received.sender not in self._peers:
            self._record_address(received.sender, source)
        self._handle(received.sender, message)
        return 0.0

    def _record_address(self, member: int, address: Address) -> None:
        self._addresses.pop(member, None)
        self._addresses[member] = address
        if len(self._addresses) > MAX_ADDRESSES:
            self._addresses.pop(next(known for known in self._addresses if known not in self._peers))

    def _handle(self, sender: int, message: Message) -> None:
        if self._closed:
            return
        if isinstance(message, OutcomeReport):
            if self.on_outcome_report is not None:
                self.on_outcome_report(sender, message)
            return
        if isinstance(message, Accept) and self._store.body(message.version.digest) is None:
            if len(self._tasks) < MAX_CONCURRENT_VALIDATIONS:
                self._spawn(self._fetch_and_vote(sender, message))
            return
        self._execute(self.node.handle(now_ms(), sender, message))

    async def _fetch_and_vote(self, sender: int, message: Accept) -> None:
        """Votes for a version only after its body is stored here.

        If the author of a decided version died and no other instance had the body, all leases would expire.
        So a majority of the acceptors stores the body before the version can be decided.
        """
        body = await self._find_body(message.version)
        if body is None or self._closed:
            return
        self._save_body(body)
        if self._store.body(message.version.digest) is not None:
            self._execute(self.node.handle(now_ms(), sender, message))

    # Actions

    def _on_timer(self) -> None:
        if not self._closed:
            self._execute(self.node.on_timer(now_ms()))

    def _arm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wait_s = max(MIN_TIMER_S, (self.node.timer_due_ms - now_ms()) / 1000.0)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._on_timer)

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Persist):
                if not self._persist(action.state):
                    break  # The remaining actions depend on the state that was not stored.
            else:
                self._execute_one(action)
        self._warn_if_unrecognized()
        self._store_latest()
        if not self._closed:
            self._arm_timer()

    def _execute_one(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case PrepareVersion(version):
                # Only the latest one: an instance that missed many versions would fetch the body of each.
                if self._preparing is not None:
                    self._preparing.cancel()
                self._preparing = self._spawn(self._prepare(version))
            case SendPastVersion(to, number):
                past = self._store.load_past(number)
                if past is not None:
                    self._send(Send(to, past))
            case ActivateVersion(version):
                self._activate_prepared(version)
            case ValidateVersion(to, request):
                # Bounded, as a sender of endless requests would make every instance fetch without end.
                if len(self._tasks) < MAX_CONCURRENT_VALIDATIONS:
                    self._spawn(self._validate_for(to, request))
            case ChangeResult():
                log.info("change %s: %s", action.change, action.describe())
                self.results = [*self.results[1 - MAX_RESULTS :], action]

    def _persist(self, state: AcceptorState) -> bool:
        try:
            self._store.save_state(state)
        except OSError as error:
            log.warning("cannot store the acceptor's state, so it does not vote: %s", error)
            self._reload_acceptor()
            return False
        return True

    def _reload_acceptor(self) -> None:
        """Reloads the state from the disk, as the state in memory was not stored."""
        acceptor = self.node.acceptor
        if acceptor is None:
            return
        state = self._store.load_state()
        if state is None:
            self.node.acceptor = None
        else:
            acceptor.state = state

    def _activate_prepared(self, version: Version) -> None:
        # A version is always prepared by now: a lease on it is requested only after that.
        prepared = self._prepared
        assert prepared is not None
        assert prepared.version == version
        log.info("deciding by version %d, %s", version.number, version.digest[:8])
        self._activate(prepared.version, prepared.body)

    def _warn_if_unrecognized(self) -> None:
        lease_holder = self.node.lease_holder
        if lease_holder.has_unrecognized_version == self._had_unrecognized_version:
            return
        self._had_unrecognized_version = lease_holder.has_unrecognized_version
        if self._had_unrecognized_version:
            known_number = max(lease_holder.lagging_acceptors.values())
            log.warning(UNRECOGNIZED_VERSION, lease_holder.latest.version.number, known_number)

    def _store_latest(self) -> None:
        latest = self.node.lease_holder.latest
        # Compared with the stored version, not with the one known before the actions: when the node returns
        # the actions, it already knows the new version.
        if latest is self._stored_latest:
            return
        self._stored_latest = latest
        self._recent_digests.pop(latest.version.digest, None)
        self._recent_digests[latest.version.digest] = None
        while len(self._recent_digests) > MAX_DECIDED_BODIES:
            del self._recent_digests[next(iter(self._recent_digests))]
        try:
            self._store.save_decided(latest)
            self._store.save_past(latest)
        except OSError as error:
            log.warning("cannot store version %d: %s", latest.version.number, error)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Versions

    async def _prepare(self, version: Version) -> None:
        """Fetches a version's body, with retries until a later version is known, and validates it."""
        body: bytes | None = None
        while not self._closed:
            body = await self._find_body(version)
            if body is not None:
                self._save_body(body)
                break
            if self.node.lease_holder.latest.version.number > version.number:
                self._execute(self.node.on_prepared(now_ms(), version.number, "overtaken"))
                return
            await asyncio.sleep(FETCH_RETRY_S)
        if self._closed or body is None:
            return
        reason = self._validate(body, version, False)
        if reason:
            log.warning("version %d cannot be used at this instance: %s", version.number, reason)
        # An instance that missed several versions may prepare them concurrently, and they may finish in any
        # order.
        if self._prepared is None or version.number >= self._prepared.version.number:
            self._prepared = PreparedVersion(version, body)
        self._execute(self.node.on_prepared(now_ms(), version.number, reason))

    async def _validate_for(self, to: int, request: ValidationRequest) -> None:
        body = await self._find_body(request.version)
        reason = "its body can't be had"
        if body is not None:
            reason = self._validate(body, request.version, True)
        if not self._closed:
            self._execute(self.node.on_validated(to, request.change, reason))

    async def _find_body(self, version: Version) -> bytes | None:
        """Returns the version's body from the store, the author, the acceptors or any peer, or None."""
        stored = self._store.body(version.digest)
        if stored is not None:
            return stored
        acceptor_members = [acceptor_id.member for acceptor_id in version.acceptors]
        for member in dict.fromkeys([version.author, *acceptor_members, *self._peers]):
            address = self._addresses.get(member)
            if member == self.node.member or address is None:
                continue
            content = await fetch_body(address, version.digest)
            if content is not None:
                return content
        return None

    def _save_body(self, body: bytes) -> None:
        """Stores a body. A merely proposed one must not replace any that is still needed."""
        try:
            self._store.save_body(body, self._needed_digests())
        except OSError as error:
            log.warning("cannot store a policy body: %s", error)

    def _needed_digests(self) -> set[str]:
        """Returns the digests of the prepared version, the latest version, and recent ones for rollbacks."""
        prepared = {self._prepared.version.digest} if self._prepared is not None else set()
        return {self.node.lease_holder.latest.version.digest, *prepared, *self._recent_digests}

    # Changes

    def propose(
        self,
        content: bytes,
        change: str,
        requester: str = "",
        reason: str = "",
        acceptors: tuple[AcceptorId, ...] | None = None,
        dry_run: bool = False,
        excluded: Collection[int] = (),
    ) -> None:
        """Proposes a body as the next version, validated by all live instances.

        Args:
            content: The body.
            change: The change's name, under which its result is reported.
            requester: Who asks for the change; for operators.
            reason: Why; for operators.
            acceptors: The acceptors that vote on the version after it; None to leave them unchanged.
            dry_run: Only ask whether all instances could use it.
            excluded: Instances that are not asked, as a faulty one could reject every change.

        Raises:
            ConsensusError: The change cannot be proposed here or now.
            OSError: The body cannot be stored.
        """
        if self.node.acceptor is None or not self.node.acceptor.can_vote:
            raise ProposalError("changes are proposed at an instance that has a seat")
        latest = self.node.lease_holder.latest.version
        acceptors = acceptors if acceptors is not None else latest.acceptors
        version = Version(latest.number + 1, digest_of(content), acceptors, self.node.member)
        rejection = self._validate(content, version, True)
        if rejection:
            raise ProposalError(rejection)
        digest = self._store.save_body(content, self._needed_digests())
        validators = self._live_validators(excluded)
        actions = self.node.propose(
            now_ms(), digest, change, validators, requester, reason, acceptors, dry_run
        )
        self._execute(actions)

    def _live_validators(self, excluded: Collection[int]) -> tuple[int, ...]:
        not_asked = {self.node.member, *excluded}
        return tuple(member for member in self.node.live_members(now_ms()) if member not in not_asked)

    def withdraw(self, change: str) -> None:
        """Withdraws a change before a vote on it is requested. Raises ProposalError if it is too late."""
        self._execute(self.node.withdraw(change))
