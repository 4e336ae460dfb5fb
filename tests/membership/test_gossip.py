"""Tests of real daemons that gossip over UDP: faulty servers, floods, and reloaded keys."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from client_proxy.clock import now_ms
from client_proxy.emulator.byzantine_reporters import AccusesFirst
from client_proxy.emulator.simulated_instance import ZONES
from client_proxy.emulator.simulated_keys import derive_keyring
from client_proxy.membership.gossip import Gossip
from client_proxy.membership.keys import Ed25519, format_keyring, issue_certificate, write_private_file
from client_proxy.membership.settings import GossipSettings
from client_proxy.membership.suspicions import DEPRIORITIZED_BELOW
from client_proxy.operators import OperatorSettings, load_operators
from client_proxy.proxy.config import Config
from client_proxy.settings import read_settings
from tests.membership.daemons import FAST, DaemonFleet, abort_connection
from tests.proxy.sockets import KEYED_CLASS, UNSAFE_CLASS, Client, Host, run, settings_json, until


def test_faulty_server_is_known_to_daemons_without_requests_despite_a_byzantine_reporter() -> None:
    async def test() -> None:
        hosts = [Host(f"host-{n}") for n in range(6)]
        faulty = hosts[4]
        faulty.answer = abort_connection
        isolated, reporter_number = 18, 19
        busy, quiet = range(8), range(8, 18)
        async with DaemonFleet(20, hosts, {reporter_number: AccusesFirst}) as fleet:
            await fleet.wait_until_joined()
            fleet.gossip(isolated).close()
            # The Byzantine reporter accuses the first host from now on, without requests of its own.
            tasks = [asyncio.create_task(fleet.keep_requesting(number)) for number in busy]
            try:
                await until(lambda: all(fleet.score_factor(n, faulty) < DEPRIORITIZED_BELOW for n in quiet))
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            # An instance without gossip knows nothing before its first request.
            assert fleet.score_factor(isolated, faulty) == 1.0
            # This compares reported failures only, since a healthy host may look slow on a busy machine.
            reported = {
                host.name: max(fleet.reported_failure_share(n, host) for n in quiet) for host in hosts
            }
            assert max(share for name, share in reported.items() if name != faulty.name) < 0.35, reported
            latest = fleet.gossip(8).balancer_hook.observations.newest(reporter_number + 1)
            assert latest is not None
            assert latest.accused_servers == 1
            # No host is removed: instances without requests so far use all healthy hosts. The faulty host is
            # picked less often; by how much is tested in simulated clusters, where the machine's load doesn't
            # make healthy hosts look slow.
            before = {host.name: len(host.received) for host in hosts}
            served = 0
            for _ in range(4):
                for number in quiet:
                    client = await Client.connect(fleet.ports[number])
                    status, _, _ = await client.ask(UNSAFE_CLASS)
                    served += status == 200
                    client.close()
            assert served >= 40 - (len(faulty.received) - before[faulty.name])
            assert all(len(host.received) > before[host.name] for host in hosts if host is not faulty)

    run(test())


def test_flood_does_not_stop_requests_and_is_mostly_not_read() -> None:
    async def test() -> None:
        hosts = [Host("a"), Host("b")]
        async with DaemonFleet(2, hosts) as fleet:
            await fleet.wait_until_joined()
            node = fleet.gossip(0).node
            address = fleet.gossip(0).port.address
            started_ms = now_ms()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as attacker:
                client = await Client.connect(fleet.ports[0])
                for number in range(60):
                    for _ in range(200):
                        attacker.sendto(b"\x01\x01" + os.urandom(200), address)
                    status, _, _ = await client.ask(KEYED_CLASS, key=f"k{number}")
                    assert status == 200
                client.close()
            counters = node.counters
            read_count = counters.accepted + counters.over_budget + counters.unreadable
            # The number of examined datagrams is within the budget, however many were sent.
            allowed = FAST.takes_per_s * (0.5 + (now_ms() - started_ms) / 1000.0) + 64
            assert counters.accepted + counters.unreadable <= allowed
            assert read_count < 12_000
            assert node.queued_count < 128
            await fleet.wait_until_joined()

    run(test())


def write_keys(path: Path, group: int = 1, member: int = 1) -> None:
    authority, member_secret = Ed25519(b"a" * 32), b"o" * 32
    certificate = issue_certificate(authority, 1, member, ZONES[0], 1, Ed25519(member_secret).public_key)
    path.unlink(missing_ok=True)
    groups = {group: bytes([group]) * 32}
    write_private_file(
        path, format_keyring(certificate, ZONES[0], member_secret, groups, {1: authority.public_key})
    )


def test_keys_are_reloaded_and_a_bad_file_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        from client_proxy.membership.keys import load_keyring

        path = tmp_path / "own.keys"
        write_keys(path)
        settings_with_keys = replace(FAST, keys=str(path))
        gossip = Gossip(settings_with_keys, load_keyring(path), read_settings(settings_json()), 1)
        gossip.start()
        write_keys(path, group=2)
        gossip.reload_keys()
        assert gossip.node.swim.keyring.sending_group == 2
        write_keys(path, group=3, member=9)
        gossip.reload_keys()
        path.chmod(0o644)
        gossip.reload_keys()
        assert gossip.node.swim.keyring.sending_group == 2
        gossip.close()

    with caplog.at_level(logging.INFO):
        run(test())
    lines = [record.getMessage() for record in caplog.records]
    assert any("another instance's (9)" in line for line in lines)
    assert any("only its owner may read it" in line for line in lines)


def test_addresses_of_the_platform_are_used_where_none_are_set(tmp_path: Path) -> None:
    async def test() -> None:
        config = Config(
            "n", ("127.0.0.1", 0), ("127.0.0.1", 1), 1, read_settings(settings_json()), None, 1024,
            peer_listen=("127.0.0.1", 0), peers=(("127.0.0.1", 9), ("127.0.0.1", 10)),
        )  # fmt: skip
        gossip = Gossip.from_config(config, GossipSettings(), derive_keyring(1, 1, "a"))
        assert gossip.node.swim.seeds == config.peers
        settings_with_keys = GossipSettings(seeds=(("127.0.0.1", 11),))
        other = Gossip.from_config(config, settings_with_keys, derive_keyring(1, 1, "a"))
        assert other.node.swim.seeds == settings_with_keys.seeds
        gossip.close()
        other.close()

    run(test())


def test_program_ends_with_one_line_where_the_keys_are_unusable(tmp_path: Path) -> None:
    keys, operators, config = tmp_path / "own.keys", tmp_path / "operators.toml", tmp_path / "config.json"
    write_keys(keys)
    keys.chmod(0o644)
    operators.write_text(f'[gossip]\nkeys = "{keys}"\n')
    import json

    config.write_text(
        json.dumps({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings_json()})
    )
    command = [sys.executable, "-m", "client_proxy.proxy", "--operators", str(operators)]
    process = subprocess.run(
        command, env={**os.environ, "LB_CONFIG": str(config)}, capture_output=True, text=True, timeout=60
    )
    assert process.returncode == 2
    assert "its mode is 0644" in process.stderr
    assert len(process.stderr.splitlines()) == 1
    assert isinstance(load_operators(operators), OperatorSettings)


def test_gossip_that_is_off_is_not_imported() -> None:
    code = (
        "import sys; import client_proxy.proxy.program; import client_proxy.adapter; "
        "print([m for m in sys.modules if m.startswith(('client_proxy.membership', 'cryptography'))])"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert process.stdout.strip() == "[]", process.stderr
