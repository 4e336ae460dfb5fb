"""The policy source that gets the fleet's policy by consensus, instead of from a file or a discovery service.

An instance without a lease serves no requests: it is not ready, and rejects requests at once. With
`stale = "serve"` it continues to serve.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

from client_proxy.address import read_address
from client_proxy.api.events import EndpointsListed
from client_proxy.clock import now_ms
from client_proxy.config.file_watcher import WatchSettings
from client_proxy.config.models import AgreementTable, RolloutTable
from client_proxy.config.policy import Policy, read_policy
from client_proxy.config.source import FileSource
from client_proxy.config.version_store import Folder
from client_proxy.consensus.acceptor import AcceptorState
from client_proxy.consensus.bootstrap import first_version, lease_settings, read_peers
from client_proxy.consensus.control_answers import status_answer, version_answer
from client_proxy.consensus.errors import ProposalError
from client_proxy.consensus.lease_monitor import LeaseMonitor
from client_proxy.consensus.messages import AcceptorId, Decided, Version, truncate_utf8
from client_proxy.consensus.node import MAX_CHANGE_BYTES, Node
from client_proxy.consensus.policy_validator import PolicyValidator, has_same_effect
from client_proxy.consensus.signer import Peer, acceptor_verifier
from client_proxy.consensus.store import Store
from client_proxy.consensus.transport import ConsensusTransport
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.membership.keys import Keyring, load_keyring
from client_proxy.rollout.rollout_controller import is_first_heard_acceptor
from client_proxy.rollout.rollout_executor import RolloutExecutor
from client_proxy.toml_table import TomlError

log = logging.getLogger(__name__)

MAX_INCARNATION = 2**29
FILE_POLL_MS = 1000.0  # poll interval of the first version's file, as `FileSource` requires one
CHANGE_NAME_BYTES = 6  # random bytes in the name that a change without a name gets

ApplyPolicy = Callable[[Policy, dict[str, Any]], None]
"""Applies the policy from now on, with the server list in the message."""


def change_name(requested_name: str) -> str:
    """Returns the name under which a change is reported and withdrawn, for the name its author gave it.

    It is truncated exactly as the node does, as the change could not be found or withdrawn under another
    name.
    """
    return truncate_utf8(requested_name, MAX_CHANGE_BYTES)


class ConsensusPolicySource(FileSource):
    """Runs the consensus node of one instance, and activates the versions that the fleet decides.

    Attributes:
        node: The consensus node.
        rollout: Executes this instance's part in a rollout of a new policy.
    """

    def __init__(
        self,
        table: AgreementTable,
        folder: Path,
        directory: EndpointDirectory,
        on_endpoints: Callable[[EndpointsListed], None],
        adopt: ApplyPolicy,
        zone: str = "",
    ) -> None:
        """Loads the stored state and binds the port.

        Args:
            table: The instance's `[agreement]` settings.
            folder: The folder of its settings file.
            directory: Receives the server list.
            on_endpoints: Called with changes of the server list.
            adopt: Applies a policy.
            zone: The instance's zone, for the counts that it reports in a rollout.

        Raises:
            TomlError, OSError: A file is not usable, or the UDP port cannot be bound.
        """
        super().__init__(folder / table.first, FILE_POLL_MS, WatchSettings(), directory, on_endpoints)
        self._adopt = adopt
        content = _read_first_policy(table, folder)
        keyring, peers = load_keyring(folder / table.keys), read_peers(table)
        self._store = Store(Folder(folder / table.keep))
        self._store.save_body(content)
        self._first = first_version(table, content)
        self._settings = lease_settings(table)
        self.node = self._load_node(keyring, peers)
        self._validator = PolicyValidator(self.node.member, peers, self.watcher)
        self._lease_monitor = LeaseMonitor(self.node.lease_holder)
        self._transport = ConsensusTransport(
            self.node, self._store, keyring, peers, read_address(table.listen),
            self._validator.validate, self._activate,
        )  # fmt: skip
        self.rollout = self._create_rollout_executor(zone)
        self._active_policy: Policy | None = None
        self._active_since_s = 0.0

    def _create_rollout_executor(self, zone: str) -> RolloutExecutor:
        rollout = RolloutExecutor(
            zone, self._incarnation, time.monotonic, self._transport.send_to_acceptors,
            self._propose_rollout_step, self._is_rollout_leader,
        )  # fmt: skip
        self._transport.on_outcome_report = rollout.receive_counts
        return rollout

    def _load_node(self, keyring: Keyring, peers: dict[int, Peer]) -> Node:
        member = keyring.certificate.member
        state = self._load_acceptor_state(expected=member in peers)
        seed = int.from_bytes(os.urandom(8), "big")
        self._incarnation = seed % MAX_INCARNATION
        return Node(
            member, self._latest_stored(), state, self._settings, keyring.signer.sign,
            acceptor_verifier(peers, keyring), self._incarnation, seed,
        )  # fmt: skip

    def _load_acceptor_state(self, expected: bool) -> AcceptorState | None:
        state = self._store.load_state()
        if state is None:
            if expected:
                log.warning("the acceptor's state was lost or never initialized, so it does not vote")
            return None
        if state.decided.version.number < self._first.version.number:
            log.warning("the acceptor's state belongs to an earlier epoch, so it does not vote")
            return None
        return state

    def _latest_stored(self) -> Decided:
        """Returns the latest stored version, or the first version if that belongs to a later epoch."""
        stored = self._store.decided()
        if stored is None or stored.version.number < self._first.version.number:
            return self._first
        return stored

    # The interface of `Discovery`

    async def bind(self) -> None:
        """Binds the TCP port, before the instance serves any request. Raises OSError if it cannot be bound.

        The caller awaits it: in a task that nobody awaits a failure would go unnoticed, and the instance
        would serve its stored version while no other instance could fetch a body from it.
        """
        await self._transport.bind()

    def start(self) -> None:
        """Starts to take part in consensus. `bind` must have been called."""
        self._transport.start()

    def stop(self) -> None:
        """Closes the ports and cancels timers and tasks."""
        super().stop()
        self.rollout.close()
        self._transport.close()

    # Leases and versions

    def may_serve_now(self) -> bool:
        """Returns whether requests may be served now. Uses without a lease are counted and logged."""
        return self._lease_monitor.may_serve()

    def _activate(self, version: Version, content: bytes) -> None:
        full_policy = self._validator.policy_of(version, content)
        had_fleet = self.watcher.server_list is not None
        self.rollout.activate_version(version.number, full_policy, content)
        policy = full_policy.for_member(self.node.member)
        fleet = policy.server_list
        self.watcher.start(fleet)
        self._active_since_s = time.monotonic()
        classes = "" if policy.table is None else f", {len(policy.classes)} classes"
        candidate_note = ", the rollout's new policy" if policy is not full_policy else ""
        self._record_change(
            f"taken: version {version.number}, {len(fleet.servers)} servers{classes}{candidate_note}, "
            f"{fleet.digest[:8]}"
        )
        # A rollout step that concerns other instances does not change the policy of this one.
        if self._active_policy is None or not has_same_effect(self._active_policy, policy):
            self._adopt(policy, self._list_message(fleet, had_fleet))
        self._active_policy = policy

    # Rollouts

    def _propose_rollout_step(self, content: bytes, reason: str) -> None:
        """Proposes the rollout's next step, which was derived from the version that is active here."""
        self._transport.propose(content, self._change_name_or_default(""), "rollout", reason)

    def _is_rollout_leader(self) -> bool:
        """Returns whether this instance is the one that proposes the rollout's steps."""
        acceptor, newest = self.node.acceptor, self.node.lease_holder.latest.version
        leased = self.node.lease_holder.leased_version(now_ms())
        if acceptor is None or not acceptor.can_vote or leased != newest:
            return False
        members = [acceptor_id.member for acceptor_id in newest.acceptors]
        return is_first_heard_acceptor(self.node.live_members(now_ms()), members, self.node.member)

    def begin_rollout(self, table: RolloutTable, requester: str, reason: str) -> str:
        """Proposes the first step of a rollout.

        Returns:
            The change's name.

        Raises:
            ValueError: A rollout is in progress, or the change cannot be proposed here or now.
            OSError: The policy cannot be stored.
        """
        text = self._latest_body().decode()
        self._require_latest_active()
        name = self._change_name_or_default("")
        self._transport.propose(self.rollout.make_file_with_rollout(text, table), name, requester, reason)
        return name

    def order_rollout(self, order: str, requester: str, reason: str) -> str:
        """Proposes to pause the rollout, to continue it or to roll it back (`pause`, `go-on` or `back`).

        Returns:
            The change's name.

        Raises:
            ValueError: No rollout is in progress, or the change cannot be proposed here or now.
            OSError: The policy cannot be stored.
        """
        self._require_latest_active()
        content, description = self.rollout.apply_order(order)
        name = self._change_name_or_default("")
        self._transport.propose(content, name, requester, f"{description}: {reason}")
        return name

    def _require_latest_active(self) -> None:
        """Checks that the active version is the latest, as an order based on an older one would undo it."""
        if self.node.lease_holder.active_version != self.node.lease_holder.latest.version:
            raise ProposalError("a newer version is about to decide here: look at it, and say it again")

    def _latest_body(self) -> bytes:
        content = self._store.body(self.node.lease_holder.latest.version.digest)
        if content is None:
            raise ProposalError("the newest version's body is not here yet")
        return content

    # Changes

    def propose(
        self,
        content: bytes,
        change: str = "",
        after: int | None = None,
        requester: str = "",
        reason: str = "",
        dry_run: bool = False,
        excluded: Collection[int] = (),
    ) -> str:
        """Proposes a policy.

        Args:
            content: The content of the policy's file.
            change: The change's name, under which its result is reported; empty to draw a random one.
            after: The version that the file was edited from; if given, it must be the latest. Of two changes
                edited from the same version the later would undo the earlier.
            requester: Who asks for the change; for operators.
            reason: Why; for operators.
            dry_run: Only ask whether all instances could use the policy.
            excluded: Instances that are not asked.

        Returns:
            The change's name.

        Raises:
            ValueError: The change cannot be proposed here or now.
            OSError: The policy cannot be stored.
        """
        newest = self.node.lease_holder.latest.version.number
        if after is not None and after != newest:
            raise ProposalError(f"made from version {after}, and the newest is {newest}: look at it again")
        name = self._change_name_or_default(change)
        self._check_keeps_rollout(content)
        self._transport.propose(content, name, requester, reason, dry_run=dry_run, excluded=excluded)
        return name

    def _change_name_or_default(self, change: str) -> str:
        return change_name(change) or f"{self.node.member}-{os.urandom(CHANGE_NAME_BYTES).hex()}"

    def roll_back(self, number: int, requester: str = "", reason: str = "", change: str = "") -> str:
        """Proposes the policy of an earlier version as a new version.

        Returns:
            The change's name.

        Raises:
            ValueError: The version is not stored here, or the change cannot be proposed here or now.
            OSError: The policy cannot be stored.
        """
        version = self._find_version(number)
        content = self._store.body(version.digest) if version is not None else None
        if content is None:
            raise ProposalError(f"version {number} is not kept here")
        name = self._change_name_or_default(change)
        self._check_keeps_rollout(content)
        self._transport.propose(content, name, requester, reason or f"back to version {number}")
        return name

    def _check_keeps_rollout(self, content: bytes) -> None:
        """Checks that a proposed policy contains the rollout in progress.

        A file without it would end the rollout midway, and half of the fleet would change its policy at once.
        """
        try:
            # The latest version may not be active here yet.
            running = read_policy(self._latest_body(), "the newest").rollout
            proposed = read_policy(content, "the policy").rollout
        except TomlError:
            return  # Errors of the file are reported by its validation.
        if running is None:
            return
        if proposed is None or proposed.name != running.name:
            raise ProposalError(f"rollout {running.name} is on: let it end, or end it by `rollout back`")

    def _find_version(self, number: int) -> Version | None:
        past = self._store.load_past(number)
        if past is not None:
            return past.version
        return self._first.version if number == self._first.version.number else None

    def change_acceptors(
        self,
        add: AcceptorId | None,
        remove: int | None,
        requester: str = "",
        reason: str = "",
        change: str = "",
    ) -> str:
        """Proposes the same policy with one acceptor added, removed or replaced.

        Args:
            add: The acceptor to add; it replaces the one of the same instance. None to remove one.
            remove: The instance whose acceptor is removed; only used if `add` is None.
            requester: Who asks for the change; for operators.
            reason: Why; for operators.
            change: The change's name, under which its result is reported; empty to draw a random one.

        Returns:
            The change's name.

        Raises:
            ValueError: There is no such acceptor, or the change cannot be proposed here or now.
            OSError: The policy cannot be stored.
        """
        newest = self.node.lease_holder.latest.version
        content = self._latest_body()
        replaced_member = add.member if add is not None else remove
        acceptors = tuple(
            acceptor_id for acceptor_id in newest.acceptors if acceptor_id.member != replaced_member
        )
        if add is None and len(acceptors) == len(newest.acceptors):
            raise ProposalError(f"member {remove} has no seat")
        name = self._change_name_or_default(change)
        acceptors = (*acceptors, add) if add is not None else acceptors
        self._transport.propose(content, name, requester, reason, tuple(sorted(acceptors)))
        return name

    def withdraw(self, change: str) -> None:
        """Withdraws a change before a vote on it is requested. Raises ProposalError if it is too late."""
        self._transport.withdraw(change)

    # Answers of the control socket

    def history(self) -> list[dict[str, Any]]:
        """Returns the first version and the latest versions, oldest first."""
        first = self._first.version
        later = [decided.version for decided in self._store.history()]
        versions = [first, *(version for version in later if version.number != first.number)]
        return [
            version_answer(version, has_body=self._store.body(version.digest) is not None)
            for version in versions
        ]

    def status(self) -> dict[str, Any]:
        """Returns the consensus status of this instance."""
        return status_answer(
            self.node,
            now_ms(),
            active_for_s=time.monotonic() - self._active_since_s,
            stale_uses=self._lease_monitor.stale_uses,
            overlap_ms=self._settings.overlap_ms,
            rollout=self.rollout.status(),
            results=self._transport.results,
        )


def _read_first_policy(table: AgreementTable, folder: Path) -> bytes:
    content = (folder / table.first).read_bytes()
    read_policy(content, table.first)
    return content
