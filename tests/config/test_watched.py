"""Tests of the watched server file: many edits while a daemon serves, and restarts with a faulty file."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from client_proxy.api.events import EndpointsListed, EndpointState
from client_proxy.config.file_watcher import WatchSettings
from client_proxy.config.fleet import seal
from client_proxy.config.source import FileSource
from client_proxy.config.version_store import Folder, VersionStore
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.proxy.config import Config
from client_proxy.proxy.daemon import ConnectionQuota, Daemon
from client_proxy.settings import read_settings
from tests.proxy.sockets import KEYED_CLASS, Client, Host, run, settings_json, until


def sealed_file_of(hosts: list[Host], version: int, weights: dict[str, float] | None = None) -> bytes:
    """Return a sealed server file with these hosts; their weights are 1 unless given."""
    tables = (
        f'[[server]]\nname = "{host.name}"\naddress = "127.0.0.1:{host.port}"\n'
        f"weight = {(weights or {}).get(host.name, 1.0)}\n"
        for host in hosts
    )
    return seal("\n".join(tables).encode(), version)


class Instance:
    """A daemon with a watched server file.

    Attributes:
        endpoint_sets: Names of the endpoints after each change of the list.
    """

    def __init__(self, path: Path, watch_settings: WatchSettings, store: VersionStore | None = None) -> None:
        self.endpoint_sets: list[frozenset[str]] = []
        self.source: FileSource

        def make_source(
            directory: EndpointDirectory, notify: Callable[[EndpointsListed], None]
        ) -> FileSource:
            def record_and_notify(event: EndpointsListed) -> None:
                notify(event)
                self.endpoint_sets.append(frozenset(directory.entries))

            self.source = FileSource(path, 1.0, watch_settings, directory, record_and_notify, store)
            return self.source

        plain_settings = {**settings_json(), "discovery": "automatic"}
        config = Config("t", ("127.0.0.1", 0), None, 1, read_settings(plain_settings), None, 1024)
        self.daemon = Daemon(config, quota=ConnectionQuota(100, 100, 100), endpoint_source=make_source)
        self.port = 0


@asynccontextmanager
async def run_instance(
    path: Path, watch_settings: WatchSettings | None = None, store: VersionStore | None = None
) -> Any:
    instance = Instance(
        path, watch_settings or WatchSettings(settle_ms=20.0, sealed=True, leaving_share=1.0), store
    )
    instance.port = await instance.daemon.start()
    try:
        yield instance
    finally:
        instance.daemon.discovery.stop()
        await instance.daemon.listener.shut_down(0.0, 1.0)


def has_version(instance: Instance, version: int) -> bool:
    """Return whether `version` is active."""
    server_list = instance.source.watcher.server_list
    return server_list is not None and server_list.version == version


def damage(random: Random, content: bytes) -> bytes:
    """Return the content as an editor, a full disk or a mistake might leave it."""
    kind = random.randrange(5)
    if kind == 0:
        return content[: random.randrange(len(content))]
    if kind == 1:
        at = random.randrange(len(content))
        return content[:at] + bytes([random.randrange(256)]) + content[at + 1 :]
    if kind == 2:
        return b""
    if kind == 3:
        return content + content
    return random.randbytes(random.randrange(200))


def test_a_thousand_edits_while_the_daemon_serves(tmp_path: Path) -> None:
    async def test() -> None:
        random = Random(7)
        hosts = [await Host(f"h{n}").start() for n in range(6)]
        path = tmp_path / "servers.toml"
        path.write_bytes(sealed_file_of(hosts[:2], 1))
        async with run_instance(path) as instance:
            served = [0]
            stopped = asyncio.Event()

            async def send_requests() -> None:
                client = await Client.connect(instance.port)
                while not stopped.is_set():
                    try:
                        status, headers, _ = await client.ask(KEYED_CLASS, key=f"k{served[0]}")
                    except (asyncio.IncompleteReadError, ConnectionError):
                        client = await Client.connect(instance.port)
                        continue
                    assert status == 200
                    served[0] += 1
                    if headers.get("connection") == "close":
                        client = await Client.connect(instance.port)
                    await asyncio.sleep(0.002)
                client.close()

            task = asyncio.create_task(send_requests())
            written_sets = [frozenset(server.name for server in hosts[:2])]
            version = 1
            for edit in range(1000):
                version += 1
                chosen = random.sample(hosts, random.randint(1, 6))
                content = sealed_file_of(chosen, version)
                written_sets.append(frozenset(server.name for server in chosen))
                if edit % 2:  # overwrite in place and in pieces, after damaged content
                    path.write_bytes(damage(random, content))
                    await asyncio.sleep(0)
                    cut = random.randrange(len(content))
                    with path.open("r+b" if random.random() < 0.5 else "wb") as file:
                        file.write(content[:cut])
                        file.flush()
                        await asyncio.sleep(0.001 if edit % 7 == 0 else 0)
                        file.write(content[cut:])
                        file.truncate()
                else:
                    draft = tmp_path / f"draft{edit}"
                    draft.write_bytes(content)
                    os.replace(draft, path)
                if edit % 20 == 0:
                    await until(partial(has_version, instance, version))
                elif edit % 3 == 0:
                    await asyncio.sleep(0.001)
            await until(partial(has_version, instance, version))
            stopped.set()
            await task
            assert served[0] > 0
            # Each endpoint set was that of one complete version, and the versions came in order.
            at = 0
            for endpoint_set in instance.endpoint_sets:
                while written_sets[at] != endpoint_set:
                    at += 1  # raises IndexError for a set that was never written, or is out of order
            assert len(instance.endpoint_sets) >= 50
            assert instance.endpoint_sets[-1] == written_sets[-1]
        for host in hosts:
            host.stop()

    run(test())


def test_a_restart_with_a_faulty_file_uses_the_last_good_version(tmp_path: Path) -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(2)]
        path, store = tmp_path / "servers.toml", VersionStore(Folder(tmp_path / "kept"))
        path.write_bytes(sealed_file_of(hosts, 4))
        async with run_instance(path, store=store) as instance:
            await until(lambda: len(instance.daemon.directory.entries) == 2)
        for faulty in (sealed_file_of(hosts, 5)[:-20], None):
            if faulty is None:
                path.unlink()
            else:
                path.write_bytes(faulty)
            async with run_instance(path, store=store) as instance:
                assert instance.source.from_store
                assert instance.source.watcher.server_list.version == 4
                client = await Client.connect(instance.port)
                status, _, _ = await client.ask(KEYED_CLASS)
                assert status == 200
                client.close()
                # The file is complete again: it is accepted and stored.
                path.write_bytes(sealed_file_of(hosts[:1], 6))
                await until(partial(has_version, instance, 6))
                assert store.last_good()[1].version == 6  # type: ignore[index]
            path.write_bytes(sealed_file_of(hosts, 7))
            async with run_instance(path, store=store) as instance:
                await until(partial(has_version, instance, 7))
            for version in store.versions()[1:]:
                (tmp_path / "kept" / version.name).unlink()
        for host in hosts:
            host.stop()

    run(test())


def test_a_redirected_symlink_and_a_recreated_folder_are_followed(tmp_path: Path) -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(3)]
        for number in (1, 2, 3):
            (tmp_path / f"v{number}").mkdir()
            (tmp_path / f"v{number}" / "servers.toml").write_bytes(sealed_file_of(hosts[:number], number))
        (tmp_path / "now").symlink_to("v1")
        path = tmp_path / "now" / "servers.toml"
        async with run_instance(path) as instance:
            await until(lambda: len(instance.daemon.directory.entries) == 1)
            (tmp_path / "next").symlink_to("v2")
            os.replace(tmp_path / "next", tmp_path / "now")
            await until(lambda: len(instance.daemon.directory.entries) == 2)
            (tmp_path / "now").unlink()
            await until(lambda: instance.source._stamp is None)
            assert len(instance.daemon.directory.entries) == 2
            (tmp_path / "now").mkdir()
            path.write_bytes(sealed_file_of(hosts, 3))
            await until(lambda: len(instance.daemon.directory.entries) == 3)
        for host in hosts:
            host.stop()

    run(test())


def test_weight_zero_drains_new_servers_are_cold_and_weights_reach_the_endpoints(tmp_path: Path) -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(3)]
        path = tmp_path / "servers.toml"
        path.write_bytes(sealed_file_of(hosts[:2], 1))
        async with run_instance(path) as instance:
            entries = instance.daemon.directory.entries
            assert [entry.started_ms for entry in entries.values()] == [None, None]
            path.write_bytes(sealed_file_of(hosts, 2, {"h0": 0.0, "h1": 2.0}))
            await until(lambda: len(entries) == 3)
            assert entries["h0"].state is EndpointState.DRAINING
            assert entries["h1"].weight == 2.0
            assert entries["h1"].started_ms is None
            assert entries["h2"].started_ms is not None
            started_ms = entries["h2"].started_ms
            path.write_bytes(sealed_file_of(hosts, 3, {"h0": 1.0}))
            await until(lambda: entries["h0"].state is EndpointState.READY)
            assert entries["h2"].started_ms == started_ms
            assert entries["h0"].started_ms is None
        for host in hosts:
            host.stop()

    run(test())
