"""The program as the platform starts it: configuration, signals, and planned restart."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from client_proxy.address import read_address
from client_proxy.proxy.config import Config, load_config, read_config
from client_proxy.proxy.errors import ConfigError
from tests.proxy.sockets import (
    Client,
    Host,
    Json,
    ReceivedRequest,
    Registry,
    entry,
    http_response,
    proxy,
    run,
    settings_json,
    start_process,
    until,
)


def write_config(path: Path, **changes: Any) -> dict[str, str]:
    """Write a configuration file; returns the environment that names it. None leaves a field out."""
    config: Json = {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings_json(),
        **changes,
    }
    file = path / "config.json"
    file.write_text(json.dumps({name: value for name, value in config.items() if value is not None}))
    return {"LB_CONFIG": str(file)}


def test_configuration_is_read(tmp_path: Path) -> None:
    known = {"index": 4, "snapshot": True, "endpoints": []}
    config = load_config(write_config(tmp_path, known=known) | {"LB_LISTEN": "127.0.0.5:80"})
    assert isinstance(config, Config)
    assert (config.name, config.listen, config.discovery) == ("n3", ("127.0.0.5", 80), ("127.0.0.1", 9))
    assert (config.seed, config.sockets, config.known) == (0x8C1F30D27A5BE964, 1024, known)
    assert [c.name for c in config.settings.classes] == ["extract-issue", "entry-register"]


@pytest.mark.parametrize(("text", "address"), [("10.0.0.4:81", ("10.0.0.4", 81)), ("[::1]:5", ("::1", 5))])
def test_addresses_are_read_as_host_and_port(text: str, address: tuple[str, int]) -> None:
    assert read_address(text) == address


@pytest.mark.parametrize(
    "changes",
    [
        {"listen": "somewhere:80"},
        {"listen": "127.0.0.1"},
        {"discovery": None},
        {"discovery": "127.0.0.1:99999"},
        {"seed": "xyz"},
        {"settings": None},
        {"settings": {}},
        {"settings": []},
        {"settings": {**settings_json(), "balancers": 0}},
        {"limits": {"sockets": "many"}},
        {"limits": []},
    ],
)
def test_unusable_configuration_is_refused_on_one_line(tmp_path: Path, changes: Json) -> None:
    if changes == {"limits": []}:
        # An empty value means the default.
        assert load_config(write_config(tmp_path, **changes)).sockets == 1024
        return
    with pytest.raises(ConfigError) as caught:
        load_config(write_config(tmp_path, **changes))
    assert "\n" not in str(caught.value)


def list_paths(value: Any, prefix: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """Yield the paths of all nested values."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, each in inner:
        yield (*prefix, key)
        yield from list_paths(each, (*prefix, key))


@pytest.mark.parametrize("bad", ["x", [], {}, -1, 0, 1e400, float("nan"), 1e18, True], ids=repr)
def test_bad_value_is_accepted_or_reported_with_its_key(bad: Any) -> None:
    # The error must name the key. A bare "'<' not supported between instances of 'str' and 'int'" doesn't say
    # which of eighty settings is wrong.
    config: Json = {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "8c",
        "limits": {"sockets": 1024},
        "settings": {
            **settings_json(),
            "projects": [{"name": "a", "quota_per_s": 3.0}],
            "prices": {"cross_zone": 0.1},
            "objective_mix": {"whole": 0.5, "full_at_nines": 3.0},
            "zone": "a",
            "ordinal": 1,
            "step_ms": 5.0,
            "over_share_worth": 0.5,
        },
        "peer_listen": "127.0.0.1:3",
        "peers": ["127.0.0.1:3"],
    }
    rejected = 0
    for path_in_config in list_paths(config):
        changed = copy.deepcopy(config)
        container: Any = changed
        for key in path_in_config[:-1]:
            container = container[key]
        container[path_in_config[-1]] = bad
        try:
            read_config(changed, {}, "FILE")
        except ConfigError as error:
            rejected += 1
            key = next(key for key in reversed(path_in_config) if isinstance(key, str))
            assert str(error).startswith("FILE: ")
            assert key in str(error)
            assert "\n" not in str(error)
    assert rejected


def test_unusual_settings_are_accepted() -> None:
    # Very large values, zeros and unknown keys: the proxy starts, and serves.
    async def test() -> None:
        host = Host("h")
        settings = settings_json(max_attempts=10**9, conn_idle_ms=0.0, unheard_of={"a": [1]}, max_open=0)
        settings |= {"news": None, "discovery": "by pigeon", "balancers": 10**6, "reporting": {"how": "off"}}
        settings["safety"] |= {"drain_grace_ms": 0, "must_ask_in_ms": 1e15, "fall_ms": 1e12, "cold_ms": 0}
        for cls in settings["categories"]:
            cls |= {"deadline_ms": 1e15, "aim_ms": 1e14, "window_ms": 0, "worth": 0, "tint": "blue"}
        async with proxy(host, settings=settings) as p:
            client = await Client.connect(p.port)
            for cls in ("extract-issue", "entry-register"):
                assert (await client.ask(cls, expires_ms=999_999_999))[0] == 200
            client.close()

    run(test())


async def start(env: dict[str, str]) -> asyncio.subprocess.Process:
    return await start_process(
        sys.executable, "-m", "client_proxy.proxy", env=os.environ | env, stderr=asyncio.subprocess.PIPE
    )


def test_a_failing_test_leaves_no_process_behind(tmp_path: Path) -> None:
    # A failed assertion must not leave a proxy process running: it would slow later runs and make some fail.
    started: list[asyncio.subprocess.Process] = []

    async def fail_after_start() -> None:
        started.append(await start(write_config(tmp_path, listen=f"127.0.0.1:{free_port()}")))
        raise AssertionError("as a test fails")

    with pytest.raises(AssertionError, match="as a test fails"):
        run(fail_after_start())
    assert started[0].returncode == -signal.SIGKILL


@pytest.mark.parametrize("content", [None, "{", "[]", "{}"])
def test_bad_configuration_ends_the_start_with_one_line(tmp_path: Path, content: str | None) -> None:
    async def test() -> None:
        file = tmp_path / "config.json"
        if content is not None:
            file.write_text(content)
        process = await start({"LB_CONFIG": str(file)})
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err.startswith(b"client_proxy.proxy: ")
        assert err.count(b"\n") == 1

    run(test())


def free_port() -> int:
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


async def connect_with_retry(port: int) -> Client:
    """Connect as the application does, with retries until the proxy listens."""
    while True:
        try:
            return await Client.connect(port)
        except OSError:
            await asyncio.sleep(0.01)


def test_planned_restart_loses_no_request(tmp_path: Path) -> None:
    # The proxy is ready on the restored list alone; after SIGTERM it answers accepted requests and exits.
    release = asyncio.Event()

    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200, b"done"))

    async def test() -> None:
        host, registry = await Host("h", answer_when_released).start(), await Registry().start()
        port = free_port()
        known = {"index": 1, "snapshot": True, "endpoints": [entry(host)]}
        process = await start(
            write_config(
                tmp_path, listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{registry.port}", known=known
            )
        )
        probe = await connect_with_retry(port)
        probe.writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
        assert (await probe.answer())[0] == 200
        await until(lambda: bool(registry.calls))
        assert "follow=1&since=1" in registry.calls[0]
        client = await Client.connect(port)
        client.send()
        await until(lambda: len(host.received) == 1)
        process.send_signal(signal.SIGTERM)
        assert await probe.reader.read() == b""  # the proxy has stopped accepting connections
        release.set()
        status, headers, body = await client.answer()
        assert (status, headers["connection"], body) == (200, "close", b"done")
        assert await process.wait() == 0
        host.stop()
        registry.stop()

    run(test())


def test_signals_in_any_order_lose_no_request(tmp_path: Path) -> None:
    # One request is incomplete, another is at a server, discovery is moved, and SIGTERM comes twice.
    release = asyncio.Event()

    async def answer_when_released(
        host: Host, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(http_response(200, b"done"))

    async def test() -> None:
        hosts = [await Host(name, answer_when_released).start() for name in "hg"]
        registry, other = await Registry().start(), await Registry().start()
        port = free_port()
        config_changes = {
            "listen": f"127.0.0.1:{port}",
            "known": {"index": 1, "snapshot": True, "endpoints": [entry(host) for host in hosts]},
        }
        process = await start(
            write_config(tmp_path, discovery=f"127.0.0.1:{registry.port}", **config_changes)
        )
        idle_client, pending_client, incomplete_client = (
            await connect_with_retry(port),
            await connect_with_retry(port),
            await connect_with_retry(port),
        )
        idle_client.writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
        assert (await idle_client.answer())[0] == 200
        pending_client.send()
        await until(lambda: sum(len(host.received) for host in hosts) == 1)
        await until(lambda: len(registry.calls) == 1)
        encoded = incomplete_client.encode_request()
        incomplete_client.writer.write(encoded[:40])
        write_config(tmp_path, discovery=f"127.0.0.1:{other.port}", **config_changes)
        for each in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(each)
        assert await idle_client.reader.read() == b""  # the proxy has stopped accepting connections
        incomplete_client.writer.write(encoded[40:])
        await until(lambda: sum(len(host.received) for host in hosts) == 2)
        release.set()
        for client in (pending_client, incomplete_client):
            status, headers, body = await client.answer()
            assert (status, headers["connection"], body) == (200, "close", b"done")
            assert await client.reader.read() == b""
        _, log = await process.communicate()
        assert process.returncode == 0 and b"Traceback" not in log, log
        assert (len(registry.calls), len(other.calls)) == (1, 1)
        for host in hosts:
            host.stop()
        registry.stop()
        other.stop()

    run(test())


def test_port_in_use_is_reported_on_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        host = await Host("h").start()
        process = await start(write_config(tmp_path, listen=f"127.0.0.1:{host.port}"))
        _, err = await process.communicate()
        assert process.returncode == 1
        assert err.startswith(b"client_proxy.proxy: ")
        assert err.count(b"\n") == 1
        host.stop()

    run(test())


def test_sighup_reloads_the_discovery_address(tmp_path: Path) -> None:
    # SIGHUP must not end the process. The environment can't change while the process runs, so on a reload the
    # file overrides it.
    async def test() -> None:
        host, other = await Host("h").start(), await Host("g").start()
        old, new = await Registry().start(), await Registry().start()
        port = free_port()

        def config(address: str) -> dict[str, str]:
            known = {"index": 70, "snapshot": True, "endpoints": [entry(host)]}
            return write_config(tmp_path, listen=f"127.0.0.1:{port}", discovery=address, known=known)

        env = config(f"127.0.0.1:{old.port}") | {"LB_DISCOVERY": f"127.0.0.1:{old.port}"}
        process = await start(env)
        assert process.stderr is not None
        client = await connect_with_retry(port)
        await until(lambda: len(old.watches) == 1)
        assert "since=70" in old.calls[0]

        # An unusable file is logged, and the old configuration stays.
        (tmp_path / "config.json").write_text("{")
        process.send_signal(signal.SIGHUP)
        while b"unusable" not in await process.stderr.readline():
            pass
        old.send_chunk(old.change(entry(host), full=True))
        assert (await client.ask())[0] == 200

        config(f"127.0.0.1:{new.port}")
        process.send_signal(signal.SIGHUP)
        await until(lambda: len(new.watches) == 1)
        assert "since" not in new.calls[0]  # an index of the old service is invalid at the new one
        old.stop()  # not a failure, as it is no longer followed
        assert (await client.ask())[0] == 200  # the old list stays until the new service answers
        process.send_signal(signal.SIGHUP)  # an unchanged address keeps the watch
        new.send_chunk(new.change(entry(other), full=True))
        while (await client.ask())[2] != b"from g":
            pass
        assert len(new.calls) == 1

        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert await process.wait() == 0
        assert b"WARNING" not in await process.stderr.read()
        for part in (host, other, new):
            part.stop()

    run(test())
