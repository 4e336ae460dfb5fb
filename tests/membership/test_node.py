"""Tests of server observations in simulated clusters, with Byzantine reporters, floods and replays."""

from __future__ import annotations

import pytest

from client_proxy.emulator.byzantine_reporters import (
    AccusesAll,
    AccusesFirst,
    AccusesTwo,
    Equivocates,
    PraisesAll,
)
from client_proxy.emulator.fault_schedule import FAST_GOSSIP, draw_schedule, run_schedule, unknown_pairs
from client_proxy.emulator.simulated_cluster import NetworkConditions, SimulatedCluster
from client_proxy.emulator.simulated_instance import NON_IDEMPOTENT_CLASS, RequestOutcome, SimulatedInstance
from client_proxy.emulator.simulated_keys import derive_keyring
from client_proxy.membership.codec import encode, pack_record
from client_proxy.membership.messages import Header, Ping
from client_proxy.membership.node import GossipNode
from tests.membership.clusters import lost_share, start_cluster, start_faulty_cluster, states_of


def test_faulty_server_is_avoided_sooner_with_gossip() -> None:
    with_gossip, without_gossip = start_faulty_cluster(True), start_faulty_cluster(False)
    for cluster in (with_gossip, without_gossip):
        cluster.run(32_000.0)
    assert with_gossip.deprioritizing_share("mladost-4") > 0.9
    lost, lost_without_gossip = (
        lost_share(with_gossip, 12_000.0, 30_000.0),
        lost_share(without_gossip, 12_000.0, 30_000.0),
    )
    assert 0 < lost < 0.6 * lost_without_gossip


@pytest.mark.parametrize("reporter", [AccusesAll, AccusesFirst, AccusesTwo, Equivocates, PraisesAll])
def test_one_byzantine_reporter_of_twenty_hides_no_faulty_server_and_removes_no_healthy_one(
    reporter: type[GossipNode],
) -> None:
    cluster = start_faulty_cluster(True, {7: reporter})
    healthy = [name for name in cluster.servers if name != "mladost-4"]
    before: dict[str, int] = {}
    for at_ms in range(5_000, 30_000, 500):
        cluster.run(float(at_ms))
        assert max(cluster.deprioritizing_share(name, excluded=[7]) for name in healthy) <= 0.3
        if at_ms == 20_000:
            before = {name: cluster.servers[name].attempt_count for name in healthy}
            assert cluster.deprioritizing_share("mladost-4", excluded=[7]) > 0.8
    assert all(cluster.servers[name].attempt_count > before[name] for name in healthy)
    assert lost_share(cluster, 20_000.0, 28_000.0) < 0.01


def uses_server(instance: SimulatedInstance, server: str) -> bool:
    return server in {
        endpoint.listed.name
        for endpoint in instance.balancer.endpoint_set.local.endpoints_in_use(instance.now_ms())
    }


def test_three_agreeing_byzantine_reporters_of_twenty_lose_trust() -> None:
    cluster = SimulatedCluster(
        20, gossip=FAST_GOSSIP, node_types=dict.fromkeys((3, 9, 15), AccusesFirst), seed=6
    )
    cluster.start()
    cluster.schedule_traffic(60.0, 3_000.0, 40_000.0)
    victim = sorted(cluster.servers)[0]
    shares = []
    for at_ms in range(5_000, 40_000, 500):
        cluster.run(float(at_ms))
        shares.append(cluster.deprioritizing_share(victim, excluded=[3, 9, 15]))
    # Two of the other instances do not use the server (each uses six of nine) and cannot refute the reports.
    assert max(shares) > 0.5
    assert sum(shares[-30:]) / 30 < 0.15
    assert lost_share(cluster, 3_000.0, 38_000.0) == 0.0
    # An instance that uses the server observes that the reports are false.
    user = next(
        instance
        for number, instance in enumerate(cluster.instances)
        if number not in (3, 9, 15) and uses_server(instance, victim)
    )
    node, now = user.node, user.now_ms()
    assert node is not None
    assert all(node.suspicions.reputation.trust(now, number + 1) < 0.5 for number in (3, 9, 15))


def test_server_unreachable_from_one_zone_is_deprioritized_there_only() -> None:
    cluster = SimulatedCluster(18, gossip=FAST_GOSSIP, seed=6)
    cluster.start()
    cluster.schedule_traffic(60.0, 3_000.0, 30_000.0)
    server = cluster.servers["lyulin-2"]
    cluster.call_at(10_000.0, lambda: server.unreachable_from.add("mladost"))
    in_zone: list[float] = []
    in_other_zones: list[float] = []
    for at_ms in range(13_000, 24_000, 500):
        cluster.run(float(at_ms))
        for instance in cluster.instances:
            (in_zone if instance.zone == "mladost" else in_other_zones).append(
                instance.score_factor("lyulin-2")
            )
    assert sum(in_zone) / len(in_zone) < 0.95
    assert sum(in_other_zones) / len(in_other_zones) > 0.98
    for number, instance in enumerate(cluster.instances):
        own = [
            request
            for request in cluster.requests.values()
            if request.instance == number and request.outcome is not RequestOutcome.OPEN
        ]
        lost = [request for request in own if not request.is_in_time]
        assert instance.zone == "mladost" or not lost


def test_wrong_clocks_of_peers_change_nothing() -> None:
    cluster = start_faulty_cluster(True)
    for number, (rate, offset_ms) in {3: (1.0, 3_600_000.0), 4: (2.0, 0.0), 5: (0.5, 0.0)}.items():
        cluster.instances[number].clock_rate, cluster.instances[number].clock_offset_ms = (
            rate,
            5000.0 + offset_ms,
        )

    def step() -> None:
        cluster.instances[6].clock_offset_ms += 3_600_000.0

    cluster.call_at(14_000.0, step)
    cluster.run(32_000.0)
    assert cluster.deprioritizing_share("mladost-4") > 0.9
    for name in cluster.servers:
        assert name == "mladost-4" or cluster.deprioritizing_share(name) == 0.0
    for number in range(20):
        assert "dead" not in states_of(cluster, number)


def test_partition_deprioritizes_no_healthy_server() -> None:
    cluster = SimulatedCluster(12, gossip=FAST_GOSSIP, seed=2)
    cluster.start()
    cluster.schedule_traffic(60.0, 3_000.0, 40_000.0)
    cluster.call_at(8_000.0, lambda: cluster.partition([range(6)]))
    cluster.call_at(25_000.0, lambda: cluster.partition([]))
    for at_ms in range(3_000, 40_000, 500):
        cluster.run(float(at_ms))
        assert all(cluster.deprioritizing_share(name) == 0.0 for name in cluster.servers)
    assert lost_share(cluster, 3_000.0, 38_000.0) == 0.0


def test_nothing_is_reported_while_all_servers_are_healthy() -> None:
    cluster = SimulatedCluster(30, gossip=FAST_GOSSIP, seed=8, network=NetworkConditions(loss=0.02))
    cluster.start()
    cluster.schedule_traffic(40.0, 3_000.0, 40_000.0)
    cluster.run(42_000.0)
    sent = [instance.node.counters.sent for instance in cluster.instances if instance.node is not None]
    reports = sum(
        instance.node.counters.reports_accepted for instance in cluster.instances if instance.node is not None
    )
    assert reports == 0
    assert max(sent) < 42 * FAST_GOSSIP.sends_per_s / 2


def test_idle_instance_knows_of_a_fault_before_its_first_request() -> None:
    cluster = SimulatedCluster(20, gossip=FAST_GOSSIP, seed=9)
    cluster.start()
    cluster.schedule_traffic(60.0, 3_000.0, 30_000.0, among=list(range(19)))
    cluster.call_at(10_000.0, lambda: setattr(cluster.servers["mladost-4"], "stalled_share", 1.0))
    cluster.run(20_000.0)
    assert cluster.instances[19].score_factor("mladost-4") < 0.3
    request_ids = []
    for _ in range(30):
        request_ids.append(cluster.submit_request(19, NON_IDEMPOTENT_CLASS))
        cluster.run(cluster.now_ms + 150.0)
    assert all(cluster.requests[request_id].attempted_servers != ["mladost-4"] for request_id in request_ids)


def test_flood_is_dropped_before_costly_checks_and_leaves_no_state() -> None:
    cluster = start_cluster(4)
    cluster.run(6_000.0)
    instance = cluster.instances[0]
    node = instance.node
    assert node is not None
    group = node.swim.keyring.group_keys[1]
    verified, accepted = node.counters.verified, node.counters.accepted
    now = instance.now_ms()
    for number in range(50_000):  # one second of the flood
        data = bytes([1, 1]) + number.to_bytes(4, "big") * 20 if number % 2 else b"\x01" * 200
        node.receive(now + number / 50.0, data, (f"10.9.{number % 250}.1", number % 60_000))
    counters = node.counters
    assert counters.accepted == accepted
    assert counters.verified == verified
    assert counters.over_budget + counters.unreadable == 50_000
    assert counters.over_budget > 49_000
    assert node.read_pause_ms(now + 1000.0) > 0
    # A flood by a member with valid keys is limited by the budget of its source address.
    for number in range(5_000):
        data = encode(Header(1, 2, 1, 10**6 + number), [pack_record(Ping(number))], group)
        node.receive(now + 2000.0 + number / 50.0, data, cluster.address(1))
    assert counters.accepted - accepted < 60
    assert node.queued_count < 100
    cluster.run(30_000.0)
    assert not unknown_pairs(cluster)
    assert not node.queued_count


def test_replayed_datagrams_change_nothing() -> None:
    cluster = start_cluster(6)
    recorded: list[tuple[tuple[str, int], bytes, tuple[str, int]]] = []
    deliver = cluster.deliver

    def record(destination: tuple[str, int], data: bytes, source: tuple[str, int]) -> None:
        recorded.append((destination, data, source))
        deliver(destination, data, source)

    cluster.deliver = record  # type: ignore[method-assign]
    cluster.run(10_000.0)
    cluster.deliver = deliver  # type: ignore[method-assign]
    node = cluster.instances[0].node
    assert node is not None
    received = [
        (data, source) for destination, data, source in recorded if destination == cluster.address(0)
    ][-40:]
    before = (node.counters.sent, node.queued_count, node.swim.incarnation)
    now = instance_now = cluster.instances[0].now_ms()
    for data, source in received:
        instance_now += 100.0
        node.receive(instance_now, data, source)
    assert (node.counters.sent, node.queued_count, node.swim.incarnation) == before
    assert instance_now > now
    assert not unknown_pairs(cluster)


@pytest.mark.parametrize("seed", range(900, 912))
def test_random_fault_schedules_keep_the_invariants(seed: int) -> None:
    schedule = draw_schedule(seed)
    assert run_schedule(schedule) == [], (schedule.descriptions, schedule.network)


def test_same_seed_gives_the_same_run() -> None:
    def run_once() -> tuple[int, int, list[str]]:
        cluster = start_faulty_cluster(True)
        cluster.run(14_000.0)
        return (
            cluster.event_count,
            cluster.datagrams_sent,
            [request.outcome.value for request in cluster.requests.values()],
        )

    assert run_once() == run_once()


def test_ed25519_signatures_in_a_small_cluster() -> None:
    cluster = SimulatedCluster(3, gossip=FAST_GOSSIP, fast_signatures=False, seed=3)
    cluster.start()
    cluster.schedule_traffic(30.0, 2_000.0, 12_000.0)
    cluster.call_at(5_000.0, lambda: setattr(cluster.servers["mladost-4"], "failure_share", 1.0))
    cluster.run(14_000.0)
    assert not unknown_pairs(cluster)
    verified = [instance.node.counters for instance in cluster.instances if instance.node is not None]
    assert all(counters.verified and not counters.bad_signatures for counters in verified)
    # A report with another observer number than the signer's is rejected.
    node = cluster.instances[0].node
    assert node is not None
    observer = cluster.instances[1].node
    assert observer is not None
    own = observer.sign_report(10**6, ())
    forged = type(own)(3, own.incarnation, own.sequence, own.observations, own.signature)
    other = derive_keyring(3, 2, "mladost")
    data = encode(Header(1, 2, observer.swim.incarnation, 10**6), [pack_record(forged)], other.group_keys[1])
    node.receive(cluster.instances[0].now_ms(), data, cluster.address(1))
    assert node.counters.bad_signatures == 1
