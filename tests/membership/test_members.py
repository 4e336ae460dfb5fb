"""Tests of the bounded member table."""

from __future__ import annotations

from client_proxy.membership.members import PRESENT_STATES, MemberState, MemberTable


def test_full_table_keeps_the_same_members_in_any_order() -> None:
    members = MemberTable(1, 8)
    from client_proxy.membership.members import Member
    from client_proxy.membership.messages import Alive, Certificate

    def member(number: int) -> Member:
        certificate = Certificate(number, 0, 1, 1, b"", b"")
        return Member(certificate, Alive(number, 1, 1, "10.0.0.1", 1, False, b""))

    for number in range(2, 3000):
        members.add(member(number))
    recorded = {member.number for member in members}
    reversed_order = MemberTable(1, 8)
    for number in reversed(range(2, 3000)):
        reversed_order.add(member(number))
    assert len(recorded) == 8
    assert recorded == {member.number for member in reversed_order}
    assert members.overflowed
    other = MemberTable(2, 8)
    for number in range(3, 3000):
        other.add(member(number))
    assert recorded != {member.number for member in other}
    # Dead members are evicted before living ones.
    next(iter(members)).state = MemberState.DEAD
    members.add(member(5000))
    assert all(member.state in PRESENT_STATES for member in members)
