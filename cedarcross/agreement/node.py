"""One instance's part in the agreement put together: its seat if it has one, its lease, its proposals. No
I/O, no clock; chance is handed in as a seed.

What a lost word costs is time: leases are asked for again and again, a proposal that gets no majority in time
is tried anew with a higher ballot, and a seat that has voted and hears nothing finishes what was left."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from cedarcross.agreement.holder import Holder, HolderSettings, Prepare, Switch
from cedarcross.agreement.proposer import Phase, Proposal, Won
from cedarcross.agreement.voter import Keep, Memory, Say, Sign, Verify, Voter
from cedarcross.agreement.words import (
    Ask,
    Ballot,
    Check,
    Checked,
    Decided,
    Outvoted,
    Version,
    Word,
)

CHECK_MS = 1500.0  # for answers of all, before those who are silent are named and passed over
TRY_MS = 1200.0  # for a majority, in one ballot
FINISH_MS = 3000.0  # a seat that has voted waits so long for the end, and longer the higher its number
TRIES = 8
MOST_ASKERS = 10_000


@dataclass(frozen=True, slots=True)
class CanIt:
    """Look whether this instance could decide by it, and answer by `Node.looked`."""

    to: int
    word: Check


@dataclass(frozen=True, slots=True)
class Ended:
    """What became of a change that was proposed here. `what`: decided, refused, given up, or another's."""

    change: str
    what: str
    refused: dict[int, str] = field(default_factory=dict)
    silent: tuple[int, ...] = ()


Action = Keep | Say | Prepare | Switch | CanIt | Ended


@dataclass
class Try:
    """A proposal under way, with its time."""

    proposal: Proposal
    due_ms: float
    count: int = 1
    wanted: Version | None = None


class Node:
    def __init__(
        self,
        me: int,
        decided: Decided,
        memory: Memory | None,
        settings: HolderSettings,
        sign: Sign,
        verify: Verify,
        life: int,
        seed: int,
    ) -> None:
        """`decided`: the newest that was kept. `memory`: of its seat; None: it has none, or lost it."""
        self.me, self._life, self._settings = me, life, settings
        self._random = Random(seed)
        self.voter = Voter(memory, sign, verify) if memory is not None else None
        if memory is not None and memory.decided.version.number > decided.version.number:
            decided = memory.decided
        self.holder = Holder(me, decided, settings, verify, life)
        self.trying: Try | None = None
        self.askers: dict[int, float] = {}  # by instance, when it last asked this seat for a lease
        self._round = 0
        self._voted_ms: float | None = None  # since when a vote of ours waits for its end

    # Time

    @property
    def due_ms(self) -> float:
        due = self.holder.due_ms
        if self.trying is not None:
            due = min(due, self.trying.due_ms)
        if self._voted_ms is not None:
            due = min(due, self._voted_ms + FINISH_MS)
        return due

    def wake(self, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        if now_ms >= self.holder.due_ms:
            actions += self.holder.wake(now_ms)
        if self.trying is not None and now_ms >= self.trying.due_ms:
            actions += self._late(now_ms, self.trying)
        if self._voted_ms is not None and now_ms >= self._voted_ms + FINISH_MS:
            self._voted_ms = now_ms
            if self.trying is None:
                actions += self._try(now_ms, None, ())
        return actions

    # Words

    def take(self, now_ms: float, sender: int, word: Word) -> list[Action]:
        actions: list[Action] = []
        if isinstance(word, Ask):
            self._asked(now_ms, sender)
        if isinstance(word, Check):
            return [CanIt(sender, word)]
        if self.voter is not None:
            actions += self.voter.take(sender, word)
        actions += self.holder.take(now_ms, sender, word)
        if self.trying is not None:
            actions += self._tried(now_ms, self.trying, self.trying.proposal.take(sender, word))
        if isinstance(word, Outvoted):
            self._round = max(self._round, word.promised.round)
        if isinstance(word, Decided):
            actions += self._overtaken(now_ms)
        waits = self.voter is not None and self.voter.pending is not None
        self._voted_ms = (self._voted_ms if self._voted_ms is not None else now_ms) if waits else None
        return actions

    def _asked(self, now_ms: float, sender: int) -> None:
        self.askers.pop(sender, None)
        self.askers[sender] = now_ms
        if len(self.askers) > MOST_ASKERS:
            del self.askers[next(iter(self.askers))]

    def heard(self, now_ms: float) -> tuple[int, ...]:
        """Who asked for a lease lately: up, as far as this seat can tell."""
        since_ms = now_ms - self._settings.lease_ms
        return tuple(sorted(n for n, at_ms in self.askers.items() if at_ms >= since_ms))

    def prepared(self, now_ms: float, number: int, why: str = "") -> list[Action]:
        return [*self.holder.prepared_now(now_ms, number, why)]

    def looked(self, to: int, change: str, why: str) -> list[Action]:
        return [Say(to, Checked(change, why[:200]))]

    # Proposals

    def propose(self, now_ms: float, digest: str, change: str, others: tuple[int, ...]) -> list[Action]:
        """Raises ValueError while another change is under way here."""
        if self.trying is not None:
            raise ValueError("a change is under way here")
        before = self.holder.known.version
        version = Version(before.number + 1, digest, before.seats, self.me, change)
        return self._try(now_ms, version, others)

    def _try(
        self, now_ms: float, version: Version | None, others: tuple[int, ...], count: int = 1
    ) -> list[Action]:
        self._round += 1
        before = self.holder.known.version
        proposal = Proposal(before, Ballot(self._round, self.me, self._life), version, others)
        wait_ms = CHECK_MS if others and version is not None else self._patience_ms()
        self.trying = Try(proposal, now_ms + wait_ms, count, version)
        return self._tried(now_ms, self.trying, proposal.begin())

    def _patience_ms(self) -> float:
        # Two that try at once outvote each other for ever, unless their times differ.
        return TRY_MS * self._random.uniform(1.0, 2.0)

    def _late(self, now_ms: float, trying: Try) -> list[Action]:
        proposal = trying.proposal
        if proposal.phase is Phase.CHECK:
            trying.due_ms = now_ms + self._patience_ms()
            return self._tried(now_ms, trying, proposal.prepare())
        if trying.count >= TRIES:
            # It may still be decided: a seat that has voted for it will finish it.
            return self._end(trying, "given up")
        return self._try(now_ms, trying.wanted, (), trying.count + 1)

    def _tried(self, now_ms: float, trying: Try, told: list[Say | Won]) -> list[Action]:
        actions: list[Action] = []
        for each in told:
            if isinstance(each, Won):
                everyone = {*self.heard(now_ms), *(s.member for s in trying.proposal.before.seats), self.me}
                everyone |= {seat.member for seat in each.word.version.seats}
                actions += [Say(other, each.word) for other in sorted(everyone)]
            else:
                actions.append(each)
        match trying.proposal.phase:
            case Phase.REFUSED:
                actions += self._end(trying, "refused")
            case Phase.DECIDED:
                wanted, chosen = trying.wanted, trying.proposal.chosen
                actions += self._end(trying, "decided" if chosen == wanted else "another's")
            case Phase.OUTVOTED:
                self._round = max(self._round, trying.proposal.above.round)
                trying.due_ms = min(trying.due_ms, now_ms + self._patience_ms())
        return actions

    def _overtaken(self, now_ms: float) -> list[Action]:
        """A version of the number that is tried for here is decided: by us, or by another."""
        trying = self.trying
        if trying is None or self.holder.known.version.number < trying.proposal.number:
            return []
        mine = trying.wanted is not None and self.holder.known.version == trying.wanted
        return self._end(trying, "decided" if mine else "another's")

    def _end(self, trying: Try, what: str) -> list[Action]:
        self.trying = None
        if trying.wanted is None:
            return []
        proposal = trying.proposal
        return [Ended(trying.wanted.change, what, dict(proposal.refused), proposal.silent)]
