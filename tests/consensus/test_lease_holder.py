"""Tests of a lease holder with single messages."""

from __future__ import annotations

from client_proxy.consensus.acceptor import Send
from client_proxy.consensus.lease_holder import (
    ActivateVersion,
    LeaseHolder,
    LeaseSettings,
    PrepareVersion,
    SendPastVersion,
)
from client_proxy.consensus.messages import AcceptorId, CatchUp, LeaseGrant
from tests.consensus.builders import (
    ACCEPTORS,
    FIRST,
    STORAGE_ID,
    make_decided,
    make_lease_holder,
    make_leased_holder,
    make_version,
    requested_nonce,
)


def test_a_version_is_activated_by_grants_of_a_majority(lease_holder: LeaseHolder) -> None:
    nonce = requested_nonce(lease_holder.on_prepared(0.0, 1))
    assert lease_holder.handle(50.0, 0, LeaseGrant(1, nonce, ACCEPTORS[0])) == []
    second_grant = LeaseGrant(1, nonce, ACCEPTORS[1])
    assert lease_holder.handle(60.0, 1, second_grant) == [ActivateVersion(FIRST.version)]


def test_a_lease_runs_from_its_request(lease_holder: LeaseHolder) -> None:
    leased = make_leased_holder(100.0)
    assert leased.leased_version(1099.0) == FIRST.version
    assert leased.leased_version(1100.0) is None  # Not at 1160, which is one lease after the grant.
    assert lease_holder.leased_version(0.0) is None


def test_a_grant_counts_once_and_only_from_its_acceptor_for_the_latest_request(
    lease_holder: LeaseHolder,
) -> None:
    old_nonce = requested_nonce(lease_holder.on_prepared(0.0, 1))
    nonce = requested_nonce(lease_holder.on_timer(300.0))
    for sender, grant in (
        (0, LeaseGrant(1, old_nonce, ACCEPTORS[0])),
        (0, LeaseGrant(1, nonce, ACCEPTORS[0])),
        (0, LeaseGrant(1, nonce, ACCEPTORS[0])),
        (2, LeaseGrant(1, nonce, ACCEPTORS[1])),  # sent by another member
        (0, LeaseGrant(1, nonce, AcceptorId(0, 9))),  # from a storage id without a vote
        (5, LeaseGrant(1, nonce, AcceptorId(5, 7))),
        (1, LeaseGrant(2, nonce, ACCEPTORS[1])),
    ):
        assert lease_holder.handle(350.0, sender, grant) == []
    assert lease_holder.leased_version(350.0) is None
    grant = LeaseGrant(1, nonce, ACCEPTORS[1])
    assert lease_holder.handle(350.0, 1, grant) == [ActivateVersion(FIRST.version)]


def test_a_new_version_is_prepared_then_leased_and_then_activated() -> None:
    holder = make_leased_holder()
    actions = holder.handle(400.0, 0, make_decided(make_version(), 0, 1))
    assert PrepareVersion(make_version()) in actions
    assert holder.leased_version(500.0) == FIRST.version  # still active while version 2 is prepared
    nonce = requested_nonce(holder.on_prepared(600.0, 2))
    assert holder.leased_version(600.0) == FIRST.version
    holder.handle(650.0, 0, LeaseGrant(2, nonce, ACCEPTORS[0]))
    last_grant = LeaseGrant(2, nonce, ACCEPTORS[2])
    assert holder.handle(660.0, 2, last_grant) == [ActivateVersion(make_version())]
    assert holder.leased_version(1599.0) == make_version()
    assert holder.leased_version(1600.0) is None


def test_an_unusable_version_is_not_activated_and_the_old_lease_expires() -> None:
    holder = make_leased_holder()
    holder.handle(400.0, 0, make_decided(make_version(), 0, 1))
    assert holder.on_prepared(450.0, 2, "no such class") == []
    assert holder.rejected == {2: "no such class"}
    nonce = requested_nonce(holder.on_timer(500.0))
    for member in (0, 1):
        assert holder.handle(510.0, member, LeaseGrant(2, nonce, ACCEPTORS[member])) == []
    assert holder.leased_version(999.0) == FIRST.version
    assert holder.leased_version(1000.0) is None


def test_versions_are_learned_in_order_and_sent_to_lagging_instances(lease_holder: LeaseHolder) -> None:
    second = make_decided(make_version(), 0, 1)
    third = make_decided(make_version(3, "three"), 1, 2)
    assert lease_holder.handle(0.0, 1, third) == [Send(1, CatchUp(1))]
    lease_holder.handle(0.0, 1, second)
    lease_holder.handle(0.0, 1, third)
    assert lease_holder.latest == third
    assert lease_holder.handle(0.0, 4, CatchUp(1)) == [Send(4, second)]
    assert lease_holder.handle(0.0, 4, CatchUp(3)) == []


def test_past_versions_in_memory_are_bounded(lease_holder: LeaseHolder) -> None:
    last = FIRST
    for number in range(2, 500):
        last = make_decided(make_version(number, f"d{number}"), 0, 1)
        lease_holder.handle(0.0, 0, last)
    assert lease_holder.latest == last
    assert len(lease_holder._past_versions) <= 65


def test_a_version_not_in_memory_is_sent_from_the_disk(lease_holder: LeaseHolder) -> None:
    assert lease_holder.handle(0.0, 5, CatchUp(0)) == [Send(5, FIRST)]
    lease_holder.learn(0.0, make_decided(make_version(), 0, 1))
    lease_holder._past_versions.pop(1)
    assert lease_holder.handle(0.0, 5, CatchUp(0)) == [SendPastVersion(5, 1)]
    assert lease_holder.handle(0.0, 5, CatchUp(2)) == []


def test_with_serve_stale_a_decided_version_is_served_without_a_lease() -> None:
    holder = make_lease_holder(LeaseSettings(1000.0, 100.0, serve_stale=True))
    assert holder.serving_version(0.0) is None
    holder.on_timer(0.0)
    holder.on_prepared(0.0, 1)
    assert holder.serving_version(999.0) is None  # Acceptors may still grant a lease until 1000 ms.
    assert ActivateVersion(FIRST.version) in holder.on_timer(1000.0)
    assert holder.serving_version(1001.0) == FIRST.version
    assert holder.leased_version(1001.0) is None
    without_serve_stale = make_lease_holder(LeaseSettings(1000.0, 100.0))
    without_serve_stale.on_timer(0.0)
    without_serve_stale.on_prepared(0.0, 1)
    without_serve_stale.on_timer(5000.0)
    assert without_serve_stale.serving_version(5000.0) is None


def test_a_removed_acceptor_does_not_count_as_lagging() -> None:
    # Members 0 and 1 lagged behind when they were replaced. If they still counted with acceptors 2, 3 and 4,
    # the instance would warn its operators that its folder belongs to another fleet.
    new_acceptors = tuple(AcceptorId(member, STORAGE_ID) for member in (2, 3, 4))
    holder = make_lease_holder()
    second = make_decided(make_version(acceptors=new_acceptors), 0, 1, 2)
    for member in (0, 1):
        holder.handle(10.0, member, CatchUp(0))
    assert holder.has_unrecognized_version
    holder.handle(20.0, 2, second)
    assert holder.latest == second
    assert holder.lagging_acceptors == {}
    assert not holder.has_unrecognized_version
