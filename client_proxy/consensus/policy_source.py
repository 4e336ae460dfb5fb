"""The fleet's policy by consensus, in the place of a watched file or a discovery service.

An instance without a lease serves nothing: it is not ready, and rejects requests at once (or serves on, where
operators chose `stale = "serve"`).
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
FILE_LOOK_MS = 1000.0
CHANGE_NAME_BYTES = 6  # of randomness, in the name of a change without one

Adopt = Callable[[Policy, dict[str, Any]], None]
"""Acts by the policy from now on, with the list of servers in the message."""


def change_name(stated: str) -> str:
    """Return the name under which a change is reported and withdrawn, for the one that its author states.

    As the node truncates it: under any other name the change would neither be found nor be withdrawn.
    """
    return truncate_utf8(stated, MAX_CHANGE_BYTES)


class ConsensusPolicySource(FileSource):
    """Runs one instance's part in the protocol, and activates what the fleet decides.

    Attributes:
        node: The protocol.
        rollout: The part in a rollout of a new policy.
    """

    def __init__(
        self,
        table: AgreementTable,
        folder: Path,
        directory: EndpointDirectory,
        on_endpoints: Callable[[EndpointsListed], None],
        adopt: Adopt,
        zone: str = "",
    ) -> None:
        """Loads the stored state and binds the port.

        Args:
            table: The instance's settings.
            folder: Of its settings file.
            directory: Takes the list of servers.
            on_endpoints: Called with changes of the list.
            adopt: Acts by a policy.
            zone: Of the instance, for a rollout's counts.

        Raises:
            TomlError, OSError: A file is not usable, or the port cannot be bound.
        """
        super().__init__(folder / table.first, FILE_LOOK_MS, WatchSettings(), directory, on_endpoints)
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
        self.rollout = self._make_rollout(zone)
        self._active_policy: Policy | None = None
        self._active_since_s = 0.0

    def _make_rollout(self, zone: str) -> RolloutExecutor:
        rollout = RolloutExecutor(
            zone, self._incarnation, time.monotonic, self._transport.send_to_acceptors,
            self._propose_rollout_step, self._drives_rollout,
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
                log.warning("this acceptor's state is lost or was never initialized: it does not vote")
            return None
        if state.decided.version.number < self._first.version.number:
            log.warning("this acceptor's state is of an earlier epoch: it does not vote")
            return None
        return state

    def _latest_stored(self) -> Decided:
        """Returns the latest version that is stored, or the first one if that is of a later epoch."""
        stored = self._store.decided()
        if stored is None or stored.version.number < self._first.version.number:
            return self._first
        return stored

    # As `Discovery`

    async def bind(self) -> None:
        """Binds the TCP port, before the instance serves anybody. Raises OSError if that cannot be done.

        Done in a task that nobody awaits, a failure went unseen: the instance served by the version that it
        had, and no other instance could fetch a body from it.
        """
        await self._transport.bind()

    def start(self) -> None:
        """Begins to take part; `bind` has been called."""
        self._transport.start()

    def stop(self) -> None:
        """Releases ports, timers and tasks."""
        super().stop()
        self.rollout.close()
        self._transport.close()

    # Leases and versions

    def leased(self) -> bool:
        """Tells whether requests may be served now. Uses without a lease are counted and logged."""
        return self._lease_monitor.may_serve()

    def _activate(self, version: Version, content: bytes) -> None:
        whole = self._validator.policy_of(version, content)
        had_fleet = self.watcher.server_list is not None
        self.rollout.activate_version(version.number, whole, content)
        policy = whole.for_member(self.node.member)
        fleet = policy.server_list
        self.watcher.start(fleet)
        self._active_since_s = time.monotonic()
        classes = "" if policy.table is None else f", {len(policy.classes)} classes"
        is_new = ", the new one" if policy is not whole else ""
        self._record_change(
            f"taken: version {version.number}, {len(fleet.servers)} servers{classes}{is_new}, "
            f"{fleet.digest[:8]}"
        )
        # A step of a rollout at other instances changes nothing here.
        if self._active_policy is None or not has_same_effect(self._active_policy, policy):
            self._adopt(policy, self._list_message(fleet, had_fleet))
        self._active_policy = policy

    # Rollouts

    def _propose_rollout_step(self, content: bytes, reason: str) -> None:
        """Proposes the rollout's next step, which was made from the version that is active here."""
        self._transport.propose(content, self._name_of(""), "rollout", reason)

    def _drives_rollout(self) -> bool:
        """Tells whether this instance is the one that proposes a rollout's steps."""
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
            ValueError: A rollout is on, or it cannot be proposed here or now.
            OSError: The policy cannot be stored.
        """
        text = self._newest_body().decode()
        self._require_newest_active()
        name = self._name_of("")
        self._transport.propose(self.rollout.started_file(text, table), name, requester, reason)
        return name

    def order_rollout(self, order: str, requester: str, reason: str) -> str:
        """Proposes to `pause` the rollout, to `go-on` with it, or to go `back`.

        Returns:
            The change's name.

        Raises:
            ValueError: No rollout is on, or it cannot be proposed here or now.
            OSError: The policy cannot be stored.
        """
        self._require_newest_active()
        content, description = self.rollout.apply_order(order)
        name = self._name_of("")
        self._transport.propose(content, name, requester, f"{description}: {reason}")
        return name

    def _require_newest_active(self) -> None:
        """Checks that the active version is the latest, which an order made from an older one would undo."""
        if self.node.lease_holder.active_version != self.node.lease_holder.latest.version:
            raise ProposalError("a newer version is about to decide here: look at it, and say it again")

    def _newest_body(self) -> bytes:
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
            content: The policy's file.
            change: A name by which its result is reported; empty: one is drawn.
            after: The version that the file was made from. Of two changes made from one file the later would
                undo the earlier.
            requester: Who wants it, for people.
            reason: Why, for people.
            dry_run: Only ask whether all instances could act by it.
            excluded: Instances that are not asked.

        Returns:
            The change's name.

        Raises:
            ValueError: It cannot be proposed here, or not now.
            OSError: The policy cannot be stored.
        """
        newest = self.node.lease_holder.latest.version.number
        if after is not None and after != newest:
            raise ProposalError(f"made from version {after}, and the newest is {newest}: look at it again")
        name = self._name_of(change)
        self._check_keeps_rollout(content)
        self._transport.propose(content, name, requester, reason, dry_run=dry_run, excluded=excluded)
        return name

    def _name_of(self, change: str) -> str:
        return change_name(change) or f"{self.node.member}-{os.urandom(CHANGE_NAME_BYTES).hex()}"

    def roll_back(self, number: int, requester: str = "", reason: str = "", change: str = "") -> str:
        """Proposes the policy of an earlier version as a version of its own.

        Returns:
            The change's name.

        Raises:
            ValueError: The version is not stored, or it cannot be proposed here or now.
            OSError: The policy cannot be stored.
        """
        version = self._find_version(number)
        content = self._store.body(version.digest) if version is not None else None
        if content is None:
            raise ProposalError(f"version {number} is not kept here")
        name = self._name_of(change)
        self._check_keeps_rollout(content)
        self._transport.propose(content, name, requester, reason or f"back to version {number}")
        return name

    def _check_keeps_rollout(self, content: bytes) -> None:
        """Checks that a policy goes on with the rollout that is on.

        A file made without regard to it would end it midway, and half of the fleet would change its policy at
        once.
        """
        try:
            # The latest version, which may not be active here yet.
            running = read_policy(self._newest_body(), "the newest").rollout
            proposed = read_policy(content, "the policy").rollout
        except TomlError:
            return  # What is wrong with a file is reported by its validation.
        if running is None:
            return
        if proposed is None or proposed.name != running.name:
            raise ProposalError(f"rollout {running.name} is on: let it end, or end it by `rollout back`")

    def _find_version(self, number: int) -> Version | None:
        past = self._store.past(number)
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
        """Proposes the same policy with one acceptor more, one fewer, or another storage id for one.

        Args:
            add: The acceptor that is added, or replaces the one of the same instance.
            remove: The instance whose acceptor is removed, if none is added.
            requester: Who wants it, for people.
            reason: Why, for people.
            change: A name by which its result is reported; empty: one is drawn.

        Returns:
            The change's name.

        Raises:
            ValueError: There is no such acceptor, or it cannot be proposed here or now.
            OSError: The policy cannot be stored.
        """
        newest = self.node.lease_holder.latest.version
        content = self._newest_body()
        gone = add.member if add is not None else remove
        acceptors = tuple(acceptor_id for acceptor_id in newest.acceptors if acceptor_id.member != gone)
        if add is None and len(acceptors) == len(newest.acceptors):
            raise ProposalError(f"member {remove} has no seat")
        name = self._name_of(change)
        acceptors = (*acceptors, add) if add is not None else acceptors
        self._transport.propose(content, name, requester, reason, tuple(sorted(acceptors)))
        return name

    def withdraw(self, change: str) -> None:
        """Ends a change before the vote on it has begun. Raises ProposalError if that is too late."""
        self._transport.withdraw(change)

    # Answers of the control socket

    def history(self) -> list[dict[str, Any]]:
        """Returns the first version and the latest ones, the oldest of them first."""
        first = self._first.version
        later = [decided.version for decided in self._store.history()]
        versions = [first, *(version for version in later if version.number != first.number)]
        return [
            version_answer(version, has_body=self._store.body(version.digest) is not None)
            for version in versions
        ]

    def status(self) -> dict[str, Any]:
        """Returns the state of this instance's part in the protocol."""
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
