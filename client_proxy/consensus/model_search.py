"""Searches the model's states for violated invariants, and shortens the runs that violate one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from client_proxy.consensus.model import Model, Step, StepKind
from client_proxy.consensus.model_checker import State
from client_proxy.consensus.model_symmetry import symmetric_key

Run = tuple[Step, ...]

PARTITION_PROBABILITY = 0.05  # probability per step that the partitioned instances are drawn anew
# Deliveries are drawn more often than other steps, as otherwise no version would ever be decided.
DELIVERY_WEIGHT = 1.0
STEP_WEIGHTS = {StepKind.TICK: 0.3, StepKind.RENEW: 0.3, StepKind.RECOVER: 0.3}
OTHER_STEP_WEIGHT = 0.1
CHUNK_SIZES = (32, 16, 8, 4, 2)  # numbers of steps that are removed from a run at once


@dataclass
class SearchResult:
    """The result of a search.

    Attributes:
        states: Number of visited states.
        by_depth: Number of new states, by depth.
        violation: The violated invariant, with details; empty if none was violated.
        run: The steps that lead to the violation.
    """

    states: int = 0
    by_depth: list[int] = field(default_factory=list)
    violation: str = ""
    run: Run = ()


def explore_exhaustively(
    model: Model,
    depth: int,
    max_states: int = 2_000_000,
    leased: bool = True,
    reduce_symmetry: bool = True,
) -> SearchResult:
    """Visits every state up to a depth, breadth first, so that the first counterexample has minimal length.

    Args:
        model: The explored model.
        depth: The largest depth, in steps.
        max_states: Number of visited states at which the search ends.
        leased: Start with leases on the first version.
        reduce_symmetry: Treat states that differ only in the numbers of acceptors as one. Ignored if the
            model replaces acceptors, since it picks them by their order.
    """
    start = State.start(model, leased)
    result = SearchResult(1, [1])
    key_of = symmetric_key if reduce_symmetry and not model.replaces_acceptors else State.key
    seen = {hash(key_of(start))}
    level: deque[tuple[State, Run]] = deque([(start, ())])
    for _ in range(depth):
        next_level: deque[tuple[State, Run]] = deque()
        for next_state, run in _new_states(level, key_of, seen):
            result.states += 1
            if next_state.violation:
                result.violation, result.run = next_state.violation, run
                return result
            if result.states >= max_states:
                return result
            next_level.append((next_state, run))
        result.by_depth.append(len(next_level))
        level = next_level
    return result


def _new_states(
    level: deque[tuple[State, Run]], key_of: Callable[[State], object], seen: set[int]
) -> Iterator[tuple[State, Run]]:
    """Yields the unseen states one step after those of a level, and adds their keys to `seen`."""
    while level:
        state, run = level.popleft()
        for step in state.steps():
            next_state = state.apply(step)
            key = hash(key_of(next_state))
            if key not in seen:
                seen.add(key)
                yield next_state, (*run, step)


def walk_randomly(model: Model, seed: int, steps: int, leased: bool = True) -> SearchResult:
    """Executes one long random schedule.

    From time to time some instances are partitioned from the others; messages across the partition are
    delivered only after it, unless no other step is possible.
    """
    random = Random(seed)
    state = State.start(model, leased)
    run: list[Step] = []
    partitioned: set[int] = set()
    for _ in range(steps):
        if random.random() < PARTITION_PROBABILITY:
            members = sorted(state.lease_holders)
            partitioned = set(random.sample(members, random.randint(0, len(members) // 2)))
        possible = list(state.steps())
        choices = [step for step in possible if not _crosses_partition(step, partitioned)] or possible
        if not choices:
            break
        step = random.choices(choices, [_step_weight(step) for step in choices])[0]
        state = state.apply(step)
        run.append(step)
        if state.violation:
            return SearchResult(len(run), [], state.violation, tuple(run))
    return SearchResult(len(run))


def _crosses_partition(step: Step, partitioned: set[int]) -> bool:
    """Returns whether the step delivers a message across the partition."""
    if step.kind is not StepKind.DELIVER:
        return False
    return (step.target.to in partitioned) != (step.target.sender in partitioned)


def _step_weight(step: Step) -> float:
    if step.kind is StepKind.DELIVER:
        return DELIVERY_WEIGHT
    return STEP_WEIGHTS.get(step.kind, OTHER_STEP_WEIGHT)


def shorten_run(model: Model, run: Run, leased: bool = True) -> Run:
    """Returns the run without the steps that the violation does not need."""
    # Remove chunks first, as most steps of a long schedule do not contribute to the violation.
    steps = _drop_chunks(model, list(run), leased)
    shortened: list[Step] | None = steps
    while shortened is not None:
        steps = shortened
        shortened = _drop_one_step(model, steps, leased)
    return tuple(steps)


def _drop_chunks(model: Model, steps: list[Step], leased: bool) -> list[Step]:
    for size in CHUNK_SIZES:
        for start in reversed(range(0, len(steps), size)):
            candidate = steps[:start] + steps[start + size :]
            count = _steps_to_violation(model, candidate, leased)
            if count:
                steps = candidate[:count]
    return steps


def _drop_one_step(model: Model, steps: list[Step], leased: bool) -> list[Step] | None:
    """Returns the run without the last step that is not needed; None if all steps are needed."""
    for index in reversed(range(len(steps))):
        candidate = steps[:index] + steps[index + 1 :]
        count = _steps_to_violation(model, candidate, leased)
        if count:
            return candidate[:count]
    return None


def _steps_to_violation(model: Model, steps: list[Step], leased: bool) -> int:
    """Returns the number of steps up to a violation; 0 if there is none or a step is not possible."""
    state = State.start(model, leased)
    for count, step in enumerate(steps, 1):
        if not _is_possible(state, step):
            return 0
        state = state.apply(step)
        if state.violation:
            return count
    return 0


def _is_possible(state: State, step: Step) -> bool:
    if step.kind is StepKind.DELIVER:
        return step.target in state.in_flight
    return step in list(state.steps())
