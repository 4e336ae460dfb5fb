"""Tests of transports on loopback: body transfer, signatures, and the order of preparations."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from client_proxy.cli.instance_factory import Instance as ServingInstance
from client_proxy.clock import now_ms
from client_proxy.config.fleet import digest_of
from client_proxy.consensus.lease_holder import ActivateVersion
from client_proxy.consensus.messages import AcceptorId, ValidationRequest, Version, truncate_utf8
from client_proxy.consensus.node import MAX_CHANGE_BYTES
from client_proxy.consensus.policy_source import change_name
from client_proxy.consensus.transport import MAX_CONCURRENT_VALIDATIONS
from tests.consensus.transports import FIRST_BODY, Instance, make_instance, run_with_fleet, wait_until

ACCEPTORS = (AcceptorId(1, 1),)


def test_a_change_and_its_body_reach_all_instances_and_a_rejection_ends_a_change(tmp_path: Path) -> None:
    async def test(fleet: dict[int, Instance]) -> None:
        author, follower, other_author = fleet[1], fleet[4], fleet[2]
        await wait_until(lambda: len(author.transport.node.lease_requesters) >= 3)
        author.transport.propose(b"second", "two")
        await wait_until(lambda: all(instance.activated[-1] == (2, b"second") for instance in fleet.values()))
        assert [result.outcome for result in author.transport.results] == ["decided"]
        # An instance without an acceptor stores it as well, to start from it even if no other is reachable.
        stored = follower.store.decided()
        assert stored is not None
        assert stored.version.number == 2
        assert [decided.version.change for decided in follower.store.history()] == ["two"]
        digest = other_author.store.save_body(b"bad for the others")
        transport = other_author.transport
        transport._execute(transport.node.propose(now_ms(), digest, "three", (1, 4)))
        await wait_until(lambda: bool(transport.results))
        result = transport.results[0]
        assert result.outcome == "refused"
        assert set(result.rejections.values()) == {"bad"}
        latest_numbers = {
            instance.transport.node.lease_holder.latest.version.number for instance in fleet.values()
        }
        assert latest_numbers == {2}

    run_with_fleet(tmp_path, test)


def test_the_latest_version_stays_prepared_if_older_ones_are_prepared_after_it(tmp_path: Path) -> None:
    async def run() -> None:
        instance = make_instance(tmp_path, 4, {}, ("127.0.0.1", 0))
        versions = {
            number: Version(number, instance.store.save_body(b"body %d" % number), ACCEPTORS)
            for number in (2, 3, 4)
        }
        for number in (4, 2, 3):
            await instance.transport._prepare(versions[number])
        instance.transport._execute([ActivateVersion(versions[4])])
        assert instance.activated == [(4, b"body 4")]
        instance.transport.close()

    asyncio.run(run())


def test_a_change_takes_effect_if_its_author_dies_when_it_is_decided(tmp_path: Path) -> None:
    async def test(fleet: dict[int, Instance]) -> None:
        author = fleet[1]
        # Without validators no other instance has the body before the vote.
        digest = author.store.save_body(b"second")
        execute = author.transport._execute

        def execute_and_die(actions: Any) -> None:
            execute(actions)
            if author.transport.results:
                author.transport.close()

        author.transport._execute = execute_and_die  # type: ignore[method-assign]
        author.transport._execute(author.transport.node.propose(now_ms(), digest, "two", ()))
        await wait_until(lambda: all(fleet[member].activated[-1] == (2, b"second") for member in (2, 3, 4)))
        assert author.transport._closed
        assert author.activated == [(1, FIRST_BODY)]

    run_with_fleet(tmp_path, test)


def test_concurrent_validation_requests_are_bounded_and_store_nothing(tmp_path: Path) -> None:
    async def test(fleet: dict[int, Instance]) -> None:
        victim = fleet[1]
        transport = victim.transport
        for number in range(1000):
            version = Version(2, f"{number:032x}", ACCEPTORS, 4, f"change {number}")
            request = ValidationRequest(f"change {number}", version)
            transport._execute(transport.node.handle(now_ms(), 4, request))
        assert len(transport._tasks) <= MAX_CONCURRENT_VALIDATIONS
        await wait_until(lambda: not transport._tasks)
        assert victim.store.body(digest_of(FIRST_BODY)) == FIRST_BODY
        assert len(list((tmp_path / "m1").glob("body-*"))) == 1

    run_with_fleet(tmp_path, test)


def test_a_datagram_from_an_acceptor_without_its_signature_is_dropped(tmp_path: Path) -> None:
    async def test(fleet: dict[int, Instance]) -> None:
        forger, victim = fleet[4].transport, fleet[1].transport
        senders: list[int] = []
        victim._handle = lambda sender, message: senders.append(sender)  # type: ignore[method-assign]
        body = (2).to_bytes(4, "big") + bytes(64) + b"\x91"
        forged = body + forger._signer.mac(forger._signer._keyring.sending_group, body)
        assert victim._on_datagram(forged, ("127.0.0.1", 1)) == 0.0
        assert victim._on_datagram(b"noise", ("127.0.0.1", 1)) == 0.0
        assert victim._on_datagram(bytes(300), ("127.0.0.1", 1)) == 0.0
        assert 2 not in senders

    run_with_fleet(tmp_path, test)


def test_bind_raises_if_the_tcp_port_is_in_use(tmp_path: Path) -> None:
    # If the port were bound in a task that nobody awaits, the instance would serve requests but no bodies.
    async def run() -> None:
        with socket.socket() as bound_socket:
            bound_socket.bind(("127.0.0.1", 0))
            bound_socket.listen()
            instance = make_instance(tmp_path, 4, {}, ("127.0.0.1", bound_socket.getsockname()[1]))
            try:
                with pytest.raises(OSError, match="in use"):
                    await instance.transport.bind()
            finally:
                instance.transport.close()

    asyncio.run(run())


def test_an_instance_that_cannot_bind_its_port_accepts_no_connections() -> None:
    accepted: list[str] = []

    class UnboundSource:
        async def bind(self) -> None:
            raise OSError("address in use")

    class AcceptingDaemon:
        async def start(self) -> int:
            accepted.append("anybody")
            return 1

    instance = SimpleNamespace(
        consensus_source=UnboundSource(), daemon=AcceptingDaemon(), control=None, _warm_state_saver=None
    )
    with pytest.raises(OSError, match="in use"):
        asyncio.run(ServingInstance.start(instance))  # type: ignore[arg-type]
    assert accepted == []


@pytest.mark.parametrize("requested_name", ["п" * 60, "release-" + "ж" * 30, "a" * 80])
def test_a_change_name_is_truncated_as_the_node_truncates_it(requested_name: str) -> None:
    name = change_name(requested_name)
    assert name == truncate_utf8(requested_name, MAX_CHANGE_BYTES)
    assert len(name.encode()) <= MAX_CHANGE_BYTES
