"""Validation of proposed and decided policies at one instance."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from client_proxy import __version__
from client_proxy.config.file_watcher import FileWatcher, suspicious_change
from client_proxy.config.policy import Policy, read_policy
from client_proxy.consensus.messages import Version
from client_proxy.toml_table import TomlError

MAX_LEAVING_SHARE = 0.5  # a proposal that removes a larger share of the servers is probably a mistake


@dataclass(frozen=True, slots=True)
class CheckedPolicy:
    """A validated policy and the digest of its file."""

    digest: str
    policy: Policy


class PolicyValidator:
    """Validates policies at one instance, and caches the latest one for its activation."""

    def __init__(self, member: int, acceptor_members: Collection[int], watcher: FileWatcher) -> None:
        self._member, self._acceptor_members = member, set(acceptor_members)
        self._watcher = watcher
        self._checked: CheckedPolicy | None = None

    def validate(self, content: bytes, version: Version, proposed: bool) -> str:
        """Returns why this instance could not use a version; empty if it could.

        A proposed version is also rejected if its server list, compared with the current one, is probably a
        mistake. A decided version is not, as an instance that was down may have missed several changes.
        """
        try:
            policy = read_policy(content, "the policy")
        except TomlError as error:
            return str(error).splitlines()[0]
        reason = self._find_incompatibility(policy, version)
        if reason:
            return reason
        if proposed:
            reason = self._find_likely_error(policy)
        self._checked = CheckedPolicy(version.digest, policy)
        return reason

    def policy_of(self, version: Version, content: bytes) -> Policy:
        """Returns a version's policy. Raises TomlError if it is not the last validated one and not valid."""
        checked = self._checked
        if checked is not None and checked.digest == version.digest:
            return checked.policy
        return read_policy(content, f"version {version.number}")

    def _find_incompatibility(self, policy: Policy, version: Version) -> str:
        if not policy.server_list.usable:
            return "no server would get any work"
        members = {acceptor_id.member for acceptor_id in version.acceptors}
        unknown = sorted(members - self._acceptor_members)
        if unknown:
            return f"seats of members that stand in no [[agreement.seat]] here: {unknown}"
        if policy.table is not None and _parse_version(policy.table.program) > _parse_version(__version__):
            return f"this program is {__version__}, and {policy.table.program} is needed"
        return ""

    def _find_likely_error(self, policy: Policy) -> str:
        running = self._watcher.server_list
        if running is None:
            return ""
        reason = suspicious_change(running, policy.for_member(self._member).server_list, MAX_LEAVING_SHARE)
        if not reason and policy.candidate is not None:
            reason = suspicious_change(running, policy.candidate.server_list, MAX_LEAVING_SHARE)
        return reason


def has_same_effect(left: Policy, right: Policy) -> bool:
    """Returns whether both policies have the same effect at an instance."""
    return (left.server_list.servers, left.table, left.classes, left.operators) == (
        right.server_list.servers,
        right.table,
        right.classes,
        right.operators,
    )


def _parse_version(text: str) -> tuple[int, ...]:
    return tuple(int(part) for part in text.split("."))
