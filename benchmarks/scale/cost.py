"""A cost that is measured at several sizes, and what a measurement of it gives."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Literal

Basis = Literal["processor time", "real processes", "virtual clock", "counted"]
"""How the figures come about. `counted`: the same in each run, as nothing is timed. `virtual clock`: the
protocol's own code on a simulated network, which shows messages and not processor time."""

REPEATABLE: frozenset[Basis] = frozenset({"virtual clock", "counted"})
"""One round shows all: another would give the same figures."""

Readings = Mapping[str, float]
"""By the quantity's name, one measurement at one size."""

MIN_SIZES = 5


class MachineBusy(RuntimeError):
    """The machine was too busy for a measurement's own timers: it shows nothing."""


@dataclass(frozen=True, slots=True)
class Quantity:
    """What one measurement gives a figure for, and the figure's unit."""

    name: str
    unit: str


@dataclass(frozen=True, slots=True)
class Cost:
    """`measure` takes one of `sizes`, in the unit of `axis`, and returns a reading for each quantity."""

    name: str
    axis: str
    sizes: tuple[int, ...]
    basis: Basis
    quantities: tuple[Quantity, ...]
    measure: Callable[[int], Readings]

    def __post_init__(self) -> None:
        if len(self.sizes) < MIN_SIZES:
            raise ValueError(f"{self.name}: {len(self.sizes)} sizes; a fit needs {MIN_SIZES} at least")


@dataclass(frozen=True, slots=True)
class Series:
    """The readings of one quantity: by size, one for each round."""

    name: str
    unit: str
    axis: str
    basis: Basis
    readings: Mapping[int, tuple[float, ...]]


Told = Callable[[str], None]


def run_rounds(cost: Cost, rounds: int, tell: Told) -> list[Series]:
    """Each size once in every round, so that a change of the machine's speed meets all sizes alike. What
    gives the same figures each time takes one round. Refused measurements are told and left out; a size
    without any other has no readings."""
    readings: dict[str, dict[int, list[float]]] = {
        quantity.name: {size: [] for size in cost.sizes} for quantity in cost.quantities
    }
    for number in range(1 if cost.basis in REPEATABLE else rounds):
        for size in cost.sizes:
            try:
                found = cost.measure(size)
            except MachineBusy as busy:
                tell(json.dumps({"cost": cost.name, "round": number, "size": size, "refused": str(busy)}))
                continue
            tell(json.dumps({"cost": cost.name, "round": number, "size": size, **found}))
            for quantity in cost.quantities:
                readings[quantity.name][size].append(float(found[quantity.name]))
    return [
        Series(
            name=f"{cost.name}.{quantity.name}",
            unit=quantity.unit,
            axis=cost.axis,
            basis=cost.basis,
            readings={size: tuple(values) for size, values in readings[quantity.name].items() if values},
        )
        for quantity in cost.quantities
    ]
