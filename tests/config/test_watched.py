"""The watched file under a daemon: a thousand edits while it serves, and what a restart goes on with."""

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
from tests.proxy.sockets import KEYED_CLASS, Client, Host, facts, run, until


def worded(hosts: list[Host], version: int, weights: dict[str, float] | None = None) -> bytes:
    tables = (
        f'[[server]]\nname = "{host.name}"\naddress = "127.0.0.1:{host.port}"\n'
        f"weight = {(weights or {}).get(host.name, 1.0)}\n"
        for host in hosts
    )
    return seal("\n".join(tables).encode(), version)


class Instance:
    def __init__(self, path: Path, stated: WatchSettings, kept: VersionStore | None = None) -> None:
        self.sets: list[frozenset[str]] = []
        self.source: FileSource

        def listing(directory: EndpointDirectory, told: Callable[[EndpointsListed], None]) -> FileSource:
            def seen(event: EndpointsListed) -> None:
                told(event)
                self.sets.append(frozenset(directory.entries))

            self.source = FileSource(path, 1.0, stated, directory, seen, kept)
            return self.source

        plain = {**facts(), "discovery": "automatic"}
        config = Config("t", ("127.0.0.1", 0), None, 1, read_settings(plain), None, 1024)
        self.daemon = Daemon(config, quota=ConnectionQuota(100, 100, 100), endpoint_source=listing)
        self.port = 0


@asynccontextmanager
async def serving(path: Path, stated: WatchSettings | None = None, kept: VersionStore | None = None) -> Any:
    made = Instance(path, stated or WatchSettings(settle_ms=20.0, sealed=True, leaving_share=1.0), kept)
    made.port = await made.daemon.start()
    try:
        yield made
    finally:
        made.daemon.discovery.stop()
        await made.daemon.listener.end(0.0, 1.0)


def runs(made: Instance, version: int) -> bool:
    fleet = made.source.watcher.server_list
    return fleet is not None and fleet.version == version


def spoil(random: Random, content: bytes) -> bytes:
    """As an editor, a full disk or a slip might leave it."""
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


def test_a_thousand_edits_while_it_serves(tmp_path: Path) -> None:
    async def test() -> None:
        random = Random(7)
        hosts = [await Host(f"h{n}").start() for n in range(6)]
        path = tmp_path / "servers.toml"
        path.write_bytes(worded(hosts[:2], 1))
        async with serving(path) as made:
            asked = [0]
            over = asyncio.Event()

            async def client() -> None:
                one = await Client.connect(made.port)
                while not over.is_set():
                    try:
                        status, headers, _ = await one.ask(KEYED_CLASS, key=f"k{asked[0]}")
                    except (asyncio.IncompleteReadError, ConnectionError):
                        one = await Client.connect(made.port)
                        continue
                    assert status == 200
                    asked[0] += 1
                    if headers.get("connection") == "close":
                        one = await Client.connect(made.port)
                    await asyncio.sleep(0.002)
                one.close()

            task = asyncio.create_task(client())
            meant = [frozenset(h.name for h in hosts[:2])]
            version = 1
            for edit in range(1000):
                version += 1
                chosen = random.sample(hosts, random.randint(1, 6))
                good = worded(chosen, version)
                meant.append(frozenset(h.name for h in chosen))
                if edit % 2:  # in place, in pieces, with something else before
                    path.write_bytes(spoil(random, good))
                    await asyncio.sleep(0)
                    cut = random.randrange(len(good))
                    with path.open("r+b" if random.random() < 0.5 else "wb") as file:
                        file.write(good[:cut])
                        file.flush()
                        await asyncio.sleep(0.001 if edit % 7 == 0 else 0)
                        file.write(good[cut:])
                        file.truncate()
                else:
                    draft = tmp_path / f"draft{edit}"
                    draft.write_bytes(good)
                    os.replace(draft, path)
                if edit % 20 == 0:
                    await until(partial(runs, made, version))
                elif edit % 3 == 0:
                    await asyncio.sleep(0.001)
            await until(partial(runs, made, version))
            over.set()
            await task
            assert asked[0] > 0
            # Every set that ran was one whole version, and they came in order.
            at = 0
            for each in made.sets:
                while meant[at] != each:
                    at += 1  # raises IndexError for a set that nobody meant, or out of order
            assert len(made.sets) >= 50
            assert made.sets[-1] == meant[-1]
        for host in hosts:
            host.stop()

    run(test())


def test_a_restart_with_a_bad_file_goes_on_with_the_last_good_one(tmp_path: Path) -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(2)]
        path, kept = tmp_path / "servers.toml", VersionStore(Folder(tmp_path / "kept"))
        path.write_bytes(worded(hosts, 4))
        async with serving(path, kept=kept) as made:
            await until(lambda: len(made.daemon.directory.entries) == 2)
        for bad in (worded(hosts, 5)[:-20], None):
            if bad is None:
                path.unlink()
            else:
                path.write_bytes(bad)
            async with serving(path, kept=kept) as made:
                assert made.source.from_store
                assert made.source.watcher.server_list.version == 4
                client = await Client.connect(made.port)
                status, _, _ = await client.ask(KEYED_CLASS)
                assert status == 200
                client.close()
                # The file comes back, whole: it is taken, and kept in its turn.
                path.write_bytes(worded(hosts[:1], 6))
                await until(partial(runs, made, 6))
                assert kept.last_good()[1].version == 6  # type: ignore[index]
            path.write_bytes(worded(hosts, 7))
            async with serving(path, kept=kept) as made:
                await until(partial(runs, made, 7))
            for each in kept.versions()[1:]:
                (tmp_path / "kept" / each.name).unlink()
        for host in hosts:
            host.stop()

    run(test())


def test_a_symlink_swung_and_a_folder_made_anew_are_followed(tmp_path: Path) -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(3)]
        for number in (1, 2, 3):
            (tmp_path / f"v{number}").mkdir()
            (tmp_path / f"v{number}" / "servers.toml").write_bytes(worded(hosts[:number], number))
        (tmp_path / "now").symlink_to("v1")
        path = tmp_path / "now" / "servers.toml"
        async with serving(path) as made:
            await until(lambda: len(made.daemon.directory.entries) == 1)
            (tmp_path / "next").symlink_to("v2")
            os.replace(tmp_path / "next", tmp_path / "now")
            await until(lambda: len(made.daemon.directory.entries) == 2)
            (tmp_path / "now").unlink()
            await until(lambda: made.source._stamp is None)
            assert len(made.daemon.directory.entries) == 2
            (tmp_path / "now").mkdir()
            path.write_bytes(worded(hosts, 3))
            await until(lambda: len(made.daemon.directory.entries) == 3)
        for host in hosts:
            host.stop()

    run(test())


def test_weight_zero_drains_newcomers_are_cold_and_weights_reach_the_pick(tmp_path: Path) -> None:
    async def test() -> None:
        hosts = [await Host(f"h{n}").start() for n in range(3)]
        path = tmp_path / "servers.toml"
        path.write_bytes(worded(hosts[:2], 1))
        async with serving(path) as made:
            entries = made.daemon.directory.entries
            assert [e.started_ms for e in entries.values()] == [None, None]
            path.write_bytes(worded(hosts, 2, {"h0": 0.0, "h1": 2.0}))
            await until(lambda: len(entries) == 3)
            assert entries["h0"].state is EndpointState.DRAINING
            assert entries["h1"].weight == 2.0
            assert entries["h1"].started_ms is None
            assert entries["h2"].started_ms is not None
            since = entries["h2"].started_ms
            path.write_bytes(worded(hosts, 3, {"h0": 1.0}))
            await until(lambda: entries["h0"].state is EndpointState.READY)
            assert entries["h2"].started_ms == since
            assert entries["h0"].started_ms is None
        for host in hosts:
            host.stop()

    run(test())
