"""Types for a cost that is measured at several sizes, and the rounds of its measurement."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Literal

Basis = Literal["processor time", "real processes", "virtual clock", "counted"]
"""How values are obtained.

`counted`: nothing is timed, so each run gives the same values. `virtual clock`: the protocol's own code on a
simulated network, which shows messages but not processor time."""

REPEATABLE: frozenset[Basis] = frozenset({"virtual clock", "counted"})
"""Bases with the same values in each round, which need one round only."""

Readings = Mapping[str, float]
"""Values of one measurement at one size, by the name of the quantity."""

MIN_SIZES = 5  # sizes that a fit needs


class MachineBusy(RuntimeError):
    """The measurement's own timers were late because the machine was too busy, so its values don't count."""


@dataclass(frozen=True, slots=True)
class Quantity:
    """Something that a measurement gives a value for, and its unit."""

    name: str
    unit: str


@dataclass(frozen=True, slots=True)
class Cost:
    """A cost by size.

    `measure` takes one of `sizes`, in the unit of `axis`, and returns a value for each of `quantities`."""

    name: str
    axis: str
    sizes: tuple[int, ...]
    basis: Basis
    quantities: tuple[Quantity, ...]
    measure: Callable[[int], Readings]

    def __post_init__(self) -> None:
        if len(self.sizes) < MIN_SIZES:
            raise ValueError(f"{self.name}: {len(self.sizes)} sizes; a fit needs at least {MIN_SIZES}")


@dataclass(frozen=True, slots=True)
class Series:
    """The readings of one quantity; `readings` has a value per round for each size."""

    name: str
    unit: str
    axis: str
    basis: Basis
    readings: Mapping[int, tuple[float, ...]]


PrintLine = Callable[[str], None]


def run_rounds(cost: Cost, rounds: int, print_line: PrintLine) -> list[Series]:
    """Measures a cost at all sizes and returns a series for each quantity.

    Each round measures every size once, so that a change of the machine's speed affects all sizes alike.
    Bases in `REPEATABLE` take one round. Refused measurements are printed and left out; a size with no other
    measurement is not in the series."""
    readings: dict[str, dict[int, list[float]]] = {
        quantity.name: {size: [] for size in cost.sizes} for quantity in cost.quantities
    }
    for number in range(1 if cost.basis in REPEATABLE else rounds):
        for size in cost.sizes:
            try:
                values_by_name = cost.measure(size)
            except MachineBusy as busy:
                print_line(
                    json.dumps({"cost": cost.name, "round": number, "size": size, "refused": str(busy)})
                )
                continue
            print_line(json.dumps({"cost": cost.name, "round": number, "size": size, **values_by_name}))
            for quantity in cost.quantities:
                readings[quantity.name][size].append(float(values_by_name[quantity.name]))
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
