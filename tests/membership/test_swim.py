"""Tests of membership in simulated clusters under faults."""

from __future__ import annotations

from client_proxy.emulator.fault_schedule import unknown_pairs
from client_proxy.emulator.simulated_cluster import NetworkConditions
from client_proxy.emulator.simulated_keys import FastSigner, derive_secret
from client_proxy.membership.broadcast_queue import Topic
from client_proxy.membership.codec import encode, pack_record
from client_proxy.membership.keys import Keyring, issue_certificate
from client_proxy.membership.messages import Header, Ping
from client_proxy.membership.node import GossipNode
from tests.membership.clusters import start_cluster, states_of, swim_of


def test_instances_find_each_other_from_the_seeds() -> None:
    cluster = start_cluster(16)
    cluster.run(15_000.0)
    assert not unknown_pairs(cluster)


def test_death_is_detected_within_the_bound_and_healthy_members_stay_alive() -> None:
    cluster = start_cluster(12)
    cluster.run(12_000.0)
    cluster.kill(5)
    # Each instance probes each member at least once in eleven periods, and then suspects it for at most six
    # times the shortest duration of a suspicion.
    cluster.run(12_000.0 + 11 * 550.0 + swim_of(cluster, 0).suspicion_ms(1) + 3000.0)
    assert set(states_of(cluster, 5)) == {"dead"}
    for number in (0, 1, 2, 3, 4, 6, 7):
        assert set(states_of(cluster, number)) == {"alive"}


def test_member_that_leaves_is_not_suspected() -> None:
    cluster = start_cluster(8)
    cluster.run(10_000.0)
    swim_of(cluster, 3).leave()
    cluster.instances[3].send_datagrams()
    cluster.run(10_500.0)
    cluster.kill(3)
    cluster.run(14_000.0)
    assert set(states_of(cluster, 3)) == {"left"}


def test_restart_without_stored_state_raises_the_incarnation() -> None:
    cluster = start_cluster(8)
    cluster.run(10_000.0)
    for _ in range(3):
        cluster.restart(3)
        cluster.run(cluster.now_ms + 8_000.0)
        assert not unknown_pairs(cluster)
    assert swim_of(cluster, 3).incarnation >= 4


def test_restart_under_another_address_is_found_there() -> None:
    cluster = start_cluster(8)
    cluster.run(10_000.0)
    moved = cluster.restart(3, moved=True)
    cluster.run(24_000.0)
    assert not unknown_pairs(cluster)
    member = swim_of(cluster, 0).members.get(4)
    assert member is not None
    assert member.alive.address == moved.address


def test_partition_into_two_halves_heals() -> None:
    cluster = start_cluster(12)
    cluster.run(10_000.0)
    half = set(range(6))
    cluster.partition([half])
    cluster.run(60_000.0)
    assert set(states_of(cluster, 0)[5:]) == {"dead"}  # the states in which the other half sees instance 0
    cluster.partition([])
    cluster.run(100_000.0)
    assert not unknown_pairs(cluster)


def test_loss_duplication_and_delay_cause_no_declaration_of_death() -> None:
    cluster = start_cluster(
        10, network=NetworkConditions(loss=0.3, duplication=0.3, delay_ms=(0.2, 60.0), late_share=0.05)
    )
    cluster.run(60_000.0)
    for number in range(10):
        assert set(states_of(cluster, number)) <= {"alive", "suspect"}


def test_blocked_instance_degrades_its_own_health_instead_of_accusing_others() -> None:
    cluster = start_cluster(8)
    cluster.schedule_traffic(60.0, 8_000.0, 20_000.0)
    cluster.run(10_000.0)
    cluster.instances[2].blocked_until_ms = 13_000.0
    cluster.run(13_050.0)
    node = cluster.instances[2].node
    assert node is not None
    assert node.swim.health.is_degraded
    assert node.suspicions.current_observations(cluster.instances[2].now_ms()) == ()
    cluster.run(40_000.0)
    assert not unknown_pairs(cluster)
    assert not node.swim.health.is_degraded
    assert not any(instance.node and instance.node.suspicions.deprioritized for instance in cluster.instances)


def test_invented_accusation_is_refuted_by_its_victim() -> None:
    class Accuser(GossipNode):
        """Broadcasts suspicions of instance 1 in the names of all other instances."""

        def wake(self, now_ms: float) -> None:
            from client_proxy.membership.messages import Suspect

            super().wake(now_ms)
            victim = self.swim.members.get(1)
            if victim is not None:
                for accuser in range(2, 9):
                    suspect = Suspect(1, victim.alive.incarnation, accuser)
                    self.swim.broadcasts.put(Topic(Suspect, 1, accuser), suspect)

    cluster = start_cluster(8, node_types={5: Accuser})
    for _ in range(60):
        cluster.run(cluster.now_ms + 1000.0)
        assert "dead" not in states_of(cluster, 0)[:4]
    # The rate of refutations is limited, however often the instance is accused.
    assert 5 < swim_of(cluster, 0).incarnation < 140


def test_members_of_a_retired_authority_are_forgotten() -> None:
    cluster = start_cluster(6)
    cluster.run(8_000.0)
    node = cluster.instances[0].node
    assert node is not None
    old = node.swim.keyring
    node.replace_keys(Keyring(old.certificate, old.signer, old.group_keys, {2: b"x" * 32}, old.verify))
    assert not len(node.swim.members)
    assert not len(node.swim.certificates)
    cluster.run(16_000.0)
    assert not len(node.swim.members)


def test_group_keys_are_changed_without_interruption() -> None:
    cluster = start_cluster(6)
    cluster.run(8_000.0)
    old = swim_of(cluster, 0).keyring.group_keys
    new = {2: b"n" * 32}

    def replace_group_keys(groups: dict[int, bytes]) -> None:
        for instance in cluster.instances:
            assert instance.node is not None
            keyring = instance.node.swim.keyring
            instance.node.replace_keys(
                Keyring(keyring.certificate, keyring.signer, groups, keyring.authority_keys, keyring.verify)
            )
            cluster.run(cluster.now_ms + 1000.0)  # the keys are replaced on one instance after the other

    for groups in ({**old, **new}, {**new, **old}, new):
        replace_group_keys(groups)
        for number in range(6):
            assert "dead" not in states_of(cluster, number)
    unreadable_counts = [
        instance.node.counters.unreadable for instance in cluster.instances if instance.node is not None
    ]
    assert not any(unreadable_counts)
    # A datagram under the retired group key is rejected.
    node = cluster.instances[0].node
    assert node is not None
    data = encode(Header(1, 3, 1, 10**6), [pack_record(Ping(1))], old[1])
    node.receive(cluster.instances[0].now_ms(), data, cluster.address(2))
    assert node.counters.unreadable == 1


def test_new_key_of_an_instance_reaches_the_others() -> None:
    cluster = start_cluster(6)
    cluster.run(10_000.0)
    node = cluster.instances[2].node
    assert node is not None
    old = node.swim.keyring
    own, authority = FastSigner(b"another"), FastSigner(derive_secret(cluster.seed, "authority"))
    certificate = issue_certificate(authority, 1, 3, cluster.instances[2].zone, 2, own.public_key)
    node.replace_keys(Keyring(certificate, own, old.group_keys, old.authority_keys, old.verify))
    cluster.run(24_000.0)
    for instance in cluster.instances:
        if instance.number != 2:
            member = swim_of(cluster, instance.number).members.get(3)
            assert member is not None
            assert member.certificate == certificate
            assert member.alive == node.swim.alive
    assert not unknown_pairs(cluster)
