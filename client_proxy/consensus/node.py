"""The consensus node of one instance: its acceptor if it has one, its lease holder, and its proposals.

Randomness comes from a seed that is passed in. A lost message only causes a delay: leases are requested
periodically, a proposal without a majority before its timeout is repeated with a higher ballot, and an
acceptor that has voted and learns no result completes the vote with a proposal of its own.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from client_proxy.consensus.acceptor import Acceptor, AcceptorState, Persist, Send, Sign, Verify
from client_proxy.consensus.changes import (
    NEVER_MS,
    Attempt,
    ChangeOutcome,
    ChangeResult,
    check_acceptor_change,
)
from client_proxy.consensus.errors import ProposalError
from client_proxy.consensus.lease_holder import (
    ActivateVersion,
    LeaseHolder,
    LeaseSettings,
    PrepareVersion,
    SendPastVersion,
)
from client_proxy.consensus.messages import (
    Accept,
    AcceptorId,
    Ballot,
    Decided,
    LeaseRequest,
    Message,
    Nack,
    ValidationReply,
    ValidationRequest,
    Version,
    truncate_utf8,
)
from client_proxy.consensus.proposer import Action as ProposalAction
from client_proxy.consensus.proposer import Chosen, Phase, Proposal

VALIDATION_RETRY_MS = 300.0  # interval at which validators that have not answered are asked again
VALIDATION_TIMEOUT_MS = 1500.0  # wait for all validators; the vote then starts without the missing ones
BALLOT_TIMEOUT_MS = 1200.0  # wait for a majority in one ballot; multiplied by a random factor of 1 to 2
RECOVERY_TIMEOUT_MS = 3000.0  # wait for the result of a vote; then the acceptor completes the vote itself
MAX_BALLOTS = 8
MAX_LEASE_REQUESTERS = 10_000
MAX_CHANGE_BYTES, MAX_REQUESTER_BYTES, MAX_REASON_BYTES = 60, 60, 200
MAX_REPLY_REASON_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class ValidateVersion:
    """Action: check whether this instance could use the version, then call `on_validated`."""

    to: int
    message: ValidationRequest


Action = Persist | Send | PrepareVersion | ActivateVersion | SendPastVersion | ValidateVersion | ChangeResult


class Node:
    """Combines the acceptor, the lease holder and the proposals of one instance.

    Attributes:
        member: The instance's number.
        acceptor: Its acceptor; None if it has none or lost its state.
        lease_holder: Its lease holder.
        attempt: The change or recovery in progress at this instance; None if there is none.
        lease_requesters: Time of the latest lease request of each instance (ms), the oldest first.
    """

    def __init__(
        self,
        member: int,
        decided: Decided,
        state: AcceptorState | None,
        settings: LeaseSettings,
        sign: Sign,
        verify: Verify,
        incarnation: int,
        seed: int,
    ) -> None:
        """Starts from the stored state.

        Args:
            member: The instance's number.
            decided: The latest decided version that was stored.
            state: The acceptor's stored state; None if there is none.
            settings: Lease times.
            sign: Signs with the key of this instance.
            verify: Checks an acceptor's signature.
            incarnation: Random number, drawn at each start of the process.
            seed: Seed of the random ballot timeouts.
        """
        self.member, self._incarnation, self._settings = member, incarnation, settings
        self._random = Random(seed)
        self.acceptor = Acceptor(state, sign, verify) if state is not None else None
        if self.acceptor is not None and state is not None:
            if state.decided.version.number > decided.version.number:
                decided = state.decided
            elif state.decided.version.number < decided.version.number:
                # The promise and the vote were for a number that has been decided since.
                self.acceptor.state = AcceptorState(state.acceptor_id, decided)
        self.lease_holder = LeaseHolder(member, decided, settings, verify, incarnation)
        self.attempt: Attempt | None = None
        self.lease_requesters: dict[int, float] = {}
        self._round = 0
        self._vote_pending_since_ms: float | None = None

    # Time

    @property
    def timer_due_ms(self) -> float:
        """Time at which to call `on_timer` next."""
        due_ms = self.lease_holder.timer_due_ms
        if self.attempt is not None:
            due_ms = min(due_ms, self.attempt.deadline_ms, self.attempt.retry_ms)
        if self._vote_pending_since_ms is not None:
            due_ms = min(due_ms, self._vote_pending_since_ms + RECOVERY_TIMEOUT_MS)
        return due_ms

    def on_timer(self, now_ms: float) -> list[Action]:
        """Does everything that is due and returns the resulting actions."""
        actions: list[Action] = []
        if now_ms >= self.lease_holder.timer_due_ms:
            actions += self.lease_holder.on_timer(now_ms)
        if self.attempt is not None and now_ms >= self.attempt.retry_ms:
            validating = self.attempt.proposal.phase is Phase.VALIDATE
            self.attempt.retry_ms = now_ms + VALIDATION_RETRY_MS if validating else NEVER_MS
            actions += self.attempt.proposal.retry_validation()
        if self.attempt is not None and now_ms >= self.attempt.deadline_ms:
            actions += self._on_deadline(now_ms, self.attempt)
        since_ms = self._vote_pending_since_ms
        if since_ms is not None and now_ms >= since_ms + RECOVERY_TIMEOUT_MS:
            self._vote_pending_since_ms = now_ms
            if self.attempt is None:
                actions += self._start_attempt(now_ms, None, ())
        return actions

    # Messages

    def handle(self, now_ms: float, sender: int, message: Message) -> list[Action]:
        """Handles a message and returns the resulting actions."""
        if isinstance(message, ValidationRequest):
            return [ValidateVersion(sender, message)]
        if isinstance(message, LeaseRequest):
            self._record_lease_request(now_ms, sender)
        actions: list[Action] = []
        if self.acceptor is not None:
            actions += self.acceptor.handle(sender, message)
        actions += self.lease_holder.handle(now_ms, sender, message)
        if self.attempt is not None:
            outputs = self.attempt.proposal.handle(sender, message)
            actions += self._advance(now_ms, self.attempt, outputs)
        if isinstance(message, Nack):
            self._round = max(self._round, message.promised_ballot.round)
        if isinstance(message, Decided):
            actions += self._finish_if_decided()
        self._update_pending_vote(now_ms)
        return actions

    def _record_lease_request(self, now_ms: float, sender: int) -> None:
        self.lease_requesters.pop(sender, None)
        self.lease_requesters[sender] = now_ms
        if len(self.lease_requesters) > MAX_LEASE_REQUESTERS:
            del self.lease_requesters[next(iter(self.lease_requesters))]

    def _update_pending_vote(self, now_ms: float) -> None:
        if self.acceptor is None or self.acceptor.pending_version is None:
            self._vote_pending_since_ms = None
        elif self._vote_pending_since_ms is None:
            self._vote_pending_since_ms = now_ms

    def live_members(self, now_ms: float) -> tuple[int, ...]:
        """Returns the instances that requested a lease here within the last `lease_ms`."""
        since_ms = now_ms - self._settings.lease_ms
        return tuple(sorted(member for member, at_ms in self.lease_requesters.items() if at_ms >= since_ms))

    def on_prepared(self, now_ms: float, number: int, reason: str = "") -> list[Action]:
        """Records that a version is prepared, or why it cannot be used; returns the resulting actions."""
        return [*self.lease_holder.on_prepared(now_ms, number, reason)]

    def on_validated(self, to: int, change: str, reason: str) -> list[Action]:
        """Returns the reply to a validation request; an empty reason means that the version could be used."""
        return [Send(to, ValidationReply(change, reason[:MAX_REPLY_REASON_CHARACTERS]))]

    # Proposals

    def propose(
        self,
        now_ms: float,
        digest: str,
        change: str,
        validators: tuple[int, ...],
        requester: str = "",
        reason: str = "",
        acceptors: tuple[AcceptorId, ...] | None = None,
        dry_run: bool = False,
    ) -> list[Action]:
        """Proposes the next version.

        Args:
            now_ms: The time on the instance's monotonic clock.
            digest: The digest of the policy's body.
            change: The change's name, under which its result is reported.
            validators: Instances that are asked first whether they could use the version.
            requester: Who asks for the change; for operators.
            reason: Why; for operators.
            acceptors: The acceptors that vote on the version after it; None to leave them unchanged.
            dry_run: Ask the validators only.

        Raises:
            ProposalError: Another change is in progress at this instance.
            AcceptorChangeError: The change of acceptors is not allowed.
        """
        if self.attempt is not None:
            raise ProposalError("a change is under way here: it ends, or is withdrawn, first")
        before = self.lease_holder.latest.version
        if acceptors is None:
            acceptors = before.acceptors
        check_acceptor_change(before.acceptors, acceptors)
        version = self._next_version(digest, acceptors, change, requester, reason)
        return self._start_attempt(now_ms, version, validators, dry_run=dry_run)

    def _next_version(
        self, digest: str, acceptors: tuple[AcceptorId, ...], change: str, requester: str, reason: str
    ) -> Version:
        return Version(
            number=self.lease_holder.latest.version.number + 1,
            digest=digest,
            acceptors=acceptors,
            author=self.member,
            change=truncate_utf8(change, MAX_CHANGE_BYTES),
            requester=truncate_utf8(requester, MAX_REQUESTER_BYTES),
            reason=truncate_utf8(reason, MAX_REASON_BYTES),
        )

    def withdraw(self, change: str) -> list[Action]:
        """Withdraws a change before a vote on it is requested.

        Raises:
            ProposalError: The change is not in progress at this instance, or may be decided already.
        """
        attempt = self.attempt
        if attempt is None or attempt.proposed_version is None or attempt.proposed_version.change != change:
            raise ProposalError(f"no change {change!r} is under way here")
        if attempt.votes_requested:
            raise ProposalError(
                "seats were asked to vote for it: it may be decided. Wait for its end, then go back"
            )
        # No acceptor was asked to vote for the version, so no instance can complete it later.
        return self._finish(attempt, ChangeOutcome.WITHDRAWN)

    def _start_attempt(
        self,
        now_ms: float,
        version: Version | None,
        validators: tuple[int, ...],
        previous: Attempt | None = None,
        dry_run: bool = False,
    ) -> list[Action]:
        self._round += 1
        ballot = Ballot(self._round, self.member, self._incarnation)
        proposal = Proposal(self.lease_holder.latest.version, ballot, version, validators, dry_run=dry_run)
        validates = bool(validators) and version is not None
        timeout_ms = VALIDATION_TIMEOUT_MS if validates else self._ballot_timeout_ms()
        attempt = Attempt(proposal, now_ms + timeout_ms, proposal, proposed_version=version)
        if proposal.phase is Phase.VALIDATE:
            attempt.retry_ms = now_ms + VALIDATION_RETRY_MS
        if previous is not None:
            attempt.ballot_count = previous.ballot_count + 1
            attempt.votes_requested = previous.votes_requested
            attempt.first_proposal = previous.first_proposal
        self.attempt = attempt
        return self._advance(now_ms, attempt, proposal.start())

    def _ballot_timeout_ms(self) -> float:
        # Random, as two proposers that always retry at the same time would preempt each other forever.
        return BALLOT_TIMEOUT_MS * self._random.uniform(1.0, 2.0)

    def _on_deadline(self, now_ms: float, attempt: Attempt) -> list[Action]:
        proposal = attempt.proposal
        if proposal.phase is Phase.VALIDATE:
            attempt.deadline_ms = now_ms + self._ballot_timeout_ms()
            return self._advance(now_ms, attempt, proposal.prepare())
        if attempt.ballot_count >= MAX_BALLOTS:
            # It may still be decided: an acceptor that has voted for it will complete the vote.
            return self._finish(attempt, ChangeOutcome.GIVEN_UP)
        return self._start_attempt(now_ms, attempt.proposed_version, (), attempt)

    def _advance(self, now_ms: float, attempt: Attempt, outputs: Sequence[ProposalAction]) -> list[Action]:
        """Returns the actions that result from the proposal's outputs and its current phase."""
        actions: list[Action] = []
        for output in outputs:
            if isinstance(output, Chosen):
                actions += self._announce(now_ms, attempt, output.message)
            else:
                if isinstance(output.message, Accept) and output.message.version == attempt.proposed_version:
                    attempt.votes_requested = True
                actions.append(output)
        return actions + self._on_phase(now_ms, attempt)

    def _announce(self, now_ms: float, attempt: Attempt, decided: Decided) -> list[Action]:
        before, after = attempt.proposal.previous_version.acceptors, decided.version.acceptors
        acceptor_members = {acceptor_id.member for acceptor_id in (*before, *after)}
        receivers = {*self.live_members(now_ms), *acceptor_members, self.member}
        return [Send(receiver, decided) for receiver in sorted(receivers)]

    def _on_phase(self, now_ms: float, attempt: Attempt) -> list[Action]:
        match attempt.proposal.phase:
            case Phase.VALIDATED:
                return self._finish(attempt, ChangeOutcome.VALIDATED)
            case Phase.REJECTED:
                return self._finish(attempt, ChangeOutcome.REJECTED)
            case Phase.DECIDED:
                return self._finish(attempt, attempt.outcome_if_decided(attempt.proposal.chosen))
            case Phase.PREEMPTED:
                self._round = max(self._round, attempt.proposal.preempted_by.round)
                attempt.deadline_ms = min(attempt.deadline_ms, now_ms + self._ballot_timeout_ms())
        return []

    def _finish_if_decided(self) -> list[Action]:
        """Ends the attempt if a version with its number was decided, whoever proposed it."""
        attempt, latest = self.attempt, self.lease_holder.latest.version
        if attempt is None or latest.number < attempt.proposal.number:
            return []
        return self._finish(attempt, attempt.outcome_if_decided(latest))

    def _finish(self, attempt: Attempt, outcome: ChangeOutcome) -> list[Action]:
        self.attempt = None
        if attempt.proposed_version is None:
            return []
        # Later ballots do not ask the validators again.
        validated = attempt.first_proposal
        result = ChangeResult(
            change=attempt.proposed_version.change,
            outcome=outcome,
            rejections=dict(validated.rejections),
            unanswered=validated.unanswered,
            approved_by=tuple(sorted(validated.approving)),
            number=attempt.proposed_version.number,
        )
        return [result]
