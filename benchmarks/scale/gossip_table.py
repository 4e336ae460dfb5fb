"""The number of a fleet's members that one gossip table holds, without sockets."""

from __future__ import annotations

from random import Random

from benchmarks.scale.cost import Cost, Quantity, Readings
from client_proxy.membership.members import Member, MemberTable
from client_proxy.membership.messages import Alive, Certificate
from client_proxy.membership.settings import SwimSettings

INSTANCES = (34, 100, 200, 256, 340, 680)
SEED = 7
SAMPLED = 20  # tables that are filled and averaged


def _member(number: int) -> Member:
    card = Certificate(number, 0, 1, 1, bytes(32), bytes(64))
    return Member(card, Alive(number, 1, 1, "127.0.0.1", 1, False, bytes(64)))


def measure(instances: int) -> Readings:
    """Measures the tables of some instances after each was given all members in a random order."""
    rng = Random(SEED)
    max_members = SwimSettings().most_members
    sizes = []
    for own in range(min(SAMPLED, instances)):
        table = MemberTable(own, max_members)
        others = [number for number in range(instances) if number != own]
        rng.shuffle(others)
        for number in others:
            table.add(_member(number))
        sizes.append(len(table))
    return {"held": sum(sizes) / len(sizes), "share": sum(sizes) / len(sizes) / (instances - 1)}


COST = Cost(
    name="gossip_table",
    axis="instances",
    sizes=INSTANCES,
    basis="counted",
    quantities=(Quantity("held", "members of a table"), Quantity("share", "of the other instances")),
    measure=measure,
)
