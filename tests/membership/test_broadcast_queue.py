"""Tests of the transmit-limited queue of broadcasts."""

from __future__ import annotations

from client_proxy.membership.broadcast_queue import BroadcastQueue, retransmit_limit
from client_proxy.membership.codec import pack_record
from client_proxy.membership.messages import Ping, Suspect


def test_least_sent_broadcasts_are_taken_first_and_a_limited_number_of_times() -> None:
    broadcasts = BroadcastQueue(10)
    size = len(pack_record(Ping(1)))
    for number in range(4):
        broadcasts.put(number, Ping(number))
    first = broadcasts.take(2 * size, 3)
    second = broadcasts.take(2 * size, 3)
    assert first == [pack_record(Ping(0)), pack_record(Ping(1))]
    assert second == [pack_record(Ping(2)), pack_record(Ping(3))]
    taken = [packed for _ in range(20) for packed in broadcasts.take(2 * size, 3)]
    assert len(taken) == 8
    assert not len(broadcasts)


def test_newer_broadcast_replaces_the_older_of_its_topic_and_their_number_is_bounded() -> None:
    broadcasts = BroadcastQueue(50)
    for number in range(5000):
        broadcasts.put(number % 100, Suspect(number, 1, 1))
        broadcasts.take(30, 4)
    assert len(broadcasts) <= 50
    broadcasts.put("x", Ping(1))
    broadcasts.put("x", Ping(2))
    assert broadcasts.take(5, 9) == [pack_record(Ping(2))]
    while broadcasts.take(200, 1):
        pass
    assert not len(broadcasts)
    assert not broadcasts._sizes
    assert not any(broadcasts._levels)


def test_retransmit_limit_grows_with_the_logarithm_of_the_members() -> None:
    assert [retransmit_limit(n) for n in (1, 20, 200, 5000)] == [2, 6, 10, 15]
