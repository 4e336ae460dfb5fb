"""An instance reads the file of a change as often as the formulas of the capacity page assume."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

from benchmarks.capacity.formulas import READS_PER_CHANGE
from client_proxy.consensus.messages import Version
from client_proxy.consensus.transport import Validate
from tests.consensus.transports import Instance, run_with_fleet, wait_until


def counting_validator(member: int, reads: Counter[int]) -> Validate:
    def validate(body: bytes, version: Version, proposed: bool) -> str:
        if body == b"second":
            reads[member] += 1
        return ""

    return validate


def test_a_change_is_read_twice_at_each_instance(tmp_path: Path) -> None:
    async def test(fleet: dict[int, Instance]) -> None:
        reads: Counter[int] = Counter()
        for member, instance in fleet.items():
            instance.transport._validate = counting_validator(member, reads)
        await wait_until(lambda: len(fleet[1].transport.node.lease_requesters) >= 4)
        fleet[1].transport.propose(b"second", "two")
        await wait_until(lambda: all(instance.activated[-1] == (2, b"second") for instance in fleet.values()))
        assert reads == dict.fromkeys(fleet, READS_PER_CHANGE)

    run_with_fleet(tmp_path, test)
