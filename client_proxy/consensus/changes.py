"""Policy changes proposed at an instance: their state, their results, and checks of changed acceptors."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from client_proxy.consensus.errors import AcceptorChangeError
from client_proxy.consensus.messages import MAX_ACCEPTORS, AcceptorId, Version
from client_proxy.consensus.proposer import Proposal

NEVER_MS = float("inf")


class ChangeOutcome(StrEnum):
    """How a change ended. The values appear in answers of the control socket."""

    DECIDED = "decided"
    REJECTED = "refused"
    GIVEN_UP = "given up"
    SUPERSEDED = "another's"  # Another change was decided under the version's number.
    WITHDRAWN = "withdrawn"
    VALIDATED = "could"  # A dry run: every instance that answered could use it.


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Action: report how a change that was proposed at this instance ended.

    Attributes:
        change: The change's name.
        outcome: How it ended.
        rejections: Reasons of the instances that could not use the change, by instance number.
        unanswered: Instances that did not answer the validation request.
        approved_by: Instances that answered that they could use it.
        number: The number of the version that the change became or would have become.
    """

    change: str
    outcome: ChangeOutcome
    rejections: dict[int, str] = field(default_factory=dict)
    unanswered: tuple[int, ...] = ()
    approved_by: tuple[int, ...] = ()
    number: int = 0

    def describe(self) -> str:
        """Returns a log text: the outcome, the rejections, and the instances that did not answer."""
        parts = [str(self.outcome)]
        parts += [f"rejected by {member}: {reason}" for member, reason in sorted(self.rejections.items())]
        if self.unanswered:
            parts.append(f"no answer from {', '.join(map(str, self.unanswered))}")
        return "; ".join(parts)


@dataclass
class Attempt:
    """A change that is in progress at this instance, or the completion of a vote that another one began.

    Attributes:
        proposal: The current ballot.
        deadline_ms: When the current phase of the ballot times out.
        first_proposal: The first ballot, which holds the validators' answers.
        ballot_count: Ballots so far, including the current one.
        proposed_version: The proposed version; None if only the vote of another proposer is completed.
        retry_ms: When to ask validators again that have not answered.
        votes_requested: Whether any acceptor was asked to vote for `proposed_version`.
    """

    proposal: Proposal
    deadline_ms: float
    first_proposal: Proposal
    ballot_count: int = 1
    proposed_version: Version | None = None
    retry_ms: float = NEVER_MS
    votes_requested: bool = False

    def outcome_if_decided(self, decided: Version | None) -> ChangeOutcome:
        """Returns the outcome of the change, given the version that was decided under its number."""
        return ChangeOutcome.DECIDED if decided == self.proposed_version else ChangeOutcome.SUPERSEDED


def check_acceptor_change(before: tuple[AcceptorId, ...], after: tuple[AcceptorId, ...]) -> None:
    """Checks that at most one acceptor is added, removed or replaced.

    If two were added at once, every majority might need an instance that is down, and no version could ever
    be decided again.

    Raises:
        AcceptorChangeError: The change of acceptors is not allowed.
    """
    members = [acceptor_id.member for acceptor_id in after]
    if len(set(members)) != len(members):
        raise AcceptorChangeError("an instance has one seat at the most")
    added, removed = set(after) - set(before), set(before) - set(after)
    if len(added) > 1 or len(removed) > 1:
        raise AcceptorChangeError("seats are changed one at a time")
    added_members = {acceptor_id.member for acceptor_id in added}
    removed_members = {acceptor_id.member for acceptor_id in removed}
    if added and removed and added_members != removed_members and len(after) < 3:
        raise AcceptorChangeError("with fewer than three seats, add the new one first")
    if not after:
        raise AcceptorChangeError("the last seat can't go")
    if len(after) > MAX_ACCEPTORS:
        raise AcceptorChangeError(f"{MAX_ACCEPTORS} seats at the most")
