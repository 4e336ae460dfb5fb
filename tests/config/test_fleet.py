"""Tests of server files: reported faults, detection of incomplete files, and which versions are accepted."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.config.file_watcher import (
    Accepted,
    FileWatcher,
    HeldBack,
    Rejected,
    WatchSettings,
    suspicious_change,
)
from client_proxy.config.fleet import ServerList, describe_server_changes, digest_of, read_server_list, seal
from client_proxy.config.models import FleetFile, ServeFile, parse
from client_proxy.config.reference import reference_page
from client_proxy.toml_table import TomlError
from tests.support.fixed_draws import fixed_draws

ROOT = Path(__file__).parents[2]


def server_tables(count: int = 5, first: int = 0, weight: float = 1.0) -> bytes:
    """Return an unsealed server file."""
    tables = (
        f'[[server]]\nname = "s{n}"\naddress = "127.0.0.1:{8000 + n}"\nweight = {weight}\n'
        for n in range(first, first + count)
    )
    return "\n".join(tables).encode()


def sealed_file(version: int, count: int = 5, **options: int) -> bytes:
    return seal(server_tables(count, **options), version)


def read_faults(content: bytes) -> list[str]:
    """Read an invalid server file; return its faults."""
    with pytest.raises(TomlError) as caught:
        read_server_list(content, "f")
    return str(caught.value).splitlines()


def test_a_sealed_file_is_read_back() -> None:
    original = read_server_list(sealed_file(7), "f")
    assert original.sealed
    assert original.version == 7
    assert len(original.usable) == 5
    resealed = read_server_list(seal(original.content, 8), "f")
    assert resealed.version == 8
    assert resealed.servers == original.servers


def test_every_fault_is_reported_with_its_line_and_key() -> None:
    faulty = (
        b'[[server]]\nname = "a"\nadress = "127.0.0.1:1"\n\n'
        b'[[server]]\nname = ""\naddress = "host:80"\nweight = -1\n'
    )
    faults = read_faults(faulty)
    assert faults[0].startswith("f:1: server.0.address: missing")
    assert "f:3: server.0.adress: not a known key" in faults
    assert any(line.startswith("f:6: server.1.name: ''") for line in faults)
    assert any("f:7: server.1.address: 'host:80': an address of the form IP:port" in line for line in faults)
    assert any("f:8: server.1.weight: -1" in line for line in faults)


@pytest.mark.parametrize(
    ("content", "fault"),
    [
        (b"", "at least one [[server]]"),
        (server_tables(2) + server_tables(2), "stands more than once"),
        (b"version = 1\n" + server_tables(2), "a file with a version ends with [end]"),
        (b"version = 2\n" + server_tables(2) + b"[end]\nversion = 1\n", "is not the version at the top (2)"),
        (sealed_file(1).replace(b"8001", b"8091"), "does not match the content above [end]"),
        (b"\xff\xfe", "not UTF-8"),
        (b"[[server", "Expected ']]'"),
        (server_tables(10_001), "at most 10000 items"),
    ],
)
def test_an_invalid_file_is_rejected_with_its_faults(content: bytes, fault: str) -> None:
    assert any(fault in line for line in read_faults(content)), read_faults(content)


def test_ten_thousand_servers_are_accepted() -> None:
    assert len(read_server_list(sealed_file(1, 10_000), "f").servers) == 10_000


def test_a_sealed_file_truncated_anywhere_or_overwritten_in_place_is_never_accepted() -> None:
    old, new = sealed_file(9), sealed_file(10, 6)
    for size in range(len(new)):
        with pytest.raises(TomlError):
            read_server_list(new[:size], "f")
        mixed = new[:size] + old[size:]  # an editor that overwrites in place, byte by byte
        if mixed not in (old, new):
            with pytest.raises(TomlError):
                read_server_list(mixed, "f")


def test_a_truncated_unsealed_file_may_be_valid_and_is_not_accepted_before_it_settles() -> None:
    complete = server_tables(5)
    valid = 0
    watcher = FileWatcher(WatchSettings(settle_ms=1000.0), "f")
    for size in range(len(complete) + 1):  # a byte every 100 ms
        results = watcher.handle_poll(100.0 * size, complete[:size])
        assert not any(isinstance(result, Accepted) for result in results)
        try:
            read_server_list(complete[:size], "f")
            valid += 1
        except TomlError:
            pass
    assert valid > 20  # accepted at once, each of these would have too few servers or a wrong port
    written_ms = 100.0 * (len(complete) + 1)
    assert not watcher.handle_poll(written_ms, complete)
    (accepted,) = watcher.handle_poll(written_ms + 1000.0, complete)
    assert isinstance(accepted, Accepted)
    assert len(accepted.server_list.servers) == 5


# Versions compared with the active one


def server_list(count: int = 5, first: int = 0, weight: float = 1.0) -> ServerList:
    return read_server_list(server_tables(count, first, weight), "f")


def test_changes_that_are_probably_mistakes_are_suspicious() -> None:
    assert not suspicious_change(server_list(6), server_list(3), 0.5)
    assert "4 of 6 servers would go" in suspicious_change(server_list(6), server_list(2), 0.5)
    assert "no server would get any work" in suspicious_change(
        server_list(6), server_list(6, weight=0.0), 0.5
    )
    assert "6 of 6" in suspicious_change(server_list(6), server_list(6, first=10), 0.5)
    assert not suspicious_change(server_list(6), server_list(6, first=10), 1.0)


def watcher_at_version_5(**options: float) -> FileWatcher:
    """Return a watcher whose active version is 5, with six servers."""
    watcher = FileWatcher(WatchSettings(settle_ms=0.0, **options), "f")  # type: ignore[arg-type]
    assert isinstance(watcher.handle_poll(0.0, sealed_file(5, 6))[0], Accepted)
    return watcher


def test_a_suspicious_change_is_held_back_until_an_operator_forces_it() -> None:
    watcher = watcher_at_version_5()
    (held_back,) = watcher.handle_poll(1.0, sealed_file(6, 2))
    assert isinstance(held_back, HeldBack)
    assert watcher.server_list is not None
    assert len(watcher.server_list.servers) == 6
    assert not watcher.handle_poll(1e9, sealed_file(6, 2))
    (accepted,) = watcher.force()
    assert isinstance(accepted, Accepted)
    assert len(watcher.server_list.servers) == 2
    assert not watcher.force()


def test_a_suspicious_change_is_accepted_after_the_hold_time_unless_no_server_is_usable() -> None:
    watcher = watcher_at_version_5(hold_ms=1000.0)
    assert isinstance(watcher.handle_poll(1.0, sealed_file(6, 2))[0], HeldBack)
    assert not watcher.handle_poll(900.0, sealed_file(6, 2))
    assert isinstance(watcher.handle_poll(1001.0, sealed_file(6, 2))[0], Accepted)
    assert isinstance(watcher.handle_poll(1002.0, seal(server_tables(6, weight=0.0), 7))[0], HeldBack)
    assert not watcher.handle_poll(1e9, seal(server_tables(6, weight=0.0), 7))


def test_versions_must_increase_and_each_rejection_is_reported_once() -> None:
    watcher = watcher_at_version_5()
    for content, reason in (
        (sealed_file(4, 6), "version 4 after version 5"),
        (sealed_file(5, 7), "version 5 after version 5"),
        (server_tables(6), "no version, after version 5"),
    ):
        (rejected,) = watcher.handle_poll(1.0, content)
        assert isinstance(rejected, Rejected)
        assert reason in rejected.reason
        watcher.handle_poll(2.0, sealed_file(5, 6))
        assert not watcher.handle_poll(3.0, content)
    assert isinstance(watcher.handle_poll(4.0, sealed_file(6, 6))[0], Accepted)


def test_only_sealed_files_are_accepted_if_the_settings_require_it() -> None:
    watcher = FileWatcher(WatchSettings(settle_ms=0.0, sealed=True), "f")
    (rejected,) = watcher.handle_poll(0.0, server_tables(3))
    assert isinstance(rejected, Rejected)
    assert "only sealed" in rejected.reason
    assert isinstance(watcher.handle_poll(1.0, sealed_file(1))[0], Accepted)


@fixed_draws("whatever_editors_do_the_running_set_is_one_whole_version_in_order")
@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.data())
def test_whatever_editors_do_each_active_version_is_complete_and_versions_increase(
    data: st.DataObject,
) -> None:
    """The file is polled while it is truncated, partly overwritten, damaged, empty or missing."""
    watcher = FileWatcher(WatchSettings(settle_ms=200.0, leaving_share=1.0), "f")
    complete = {n: sealed_file(n, 1 + n % 4) for n in range(1, 8)}
    version_by_digest = {digest_of(content): n for n, content in complete.items()}
    now_ms, file, accepted = 0.0, b"", []
    for version in range(1, 8):
        new = complete[version]
        for _ in range(data.draw(st.integers(0, 4))):
            cut = data.draw(st.integers(0, len(new)))
            file = data.draw(
                st.sampled_from(
                    [new[:cut], new[:cut] + file[cut:], new[:cut] + b"\0" * 9 + new[cut:], b"", new]
                )
            )
            now_ms += data.draw(st.floats(0.0, 500.0))
            results = watcher.handle_poll(now_ms, data.draw(st.sampled_from([file, file, None])))
            accepted += [
                version_by_digest[result.server_list.digest]
                for result in results
                if isinstance(result, Accepted)
            ]
        file = new
        now_ms += 300.0
        results = watcher.handle_poll(now_ms, file)
        accepted += [
            version_by_digest[result.server_list.digest] for result in results if isinstance(result, Accepted)
        ]
        assert watcher.server_list is not None
        assert watcher.server_list.content == new
    assert accepted == sorted(set(accepted))
    assert accepted[-1] == 7


def test_changes_are_described_by_server() -> None:
    old, new = server_list(3), server_list(3, first=1, weight=2.0)
    assert describe_server_changes(old, new) == [
        "- s0 (127.0.0.1:8000)",
        "+ s3 (127.0.0.1:8003)",
        "  s1: weight 1.0 -> 2.0",
        "  s2: weight 1.0 -> 2.0",
    ]


# Reference page, example and schema


def test_the_reference_page_is_generated_from_the_models() -> None:
    committed = (ROOT / "docs" / "operators" / "configuration-reference.md").read_text()
    assert committed == reference_page(), "run: python -m client_proxy.cli config reference"


def test_the_example_is_valid_and_the_schema_can_be_written() -> None:
    example = ROOT / "examples" / "proxy.toml"
    file = parse(ServeFile, example.read_text(), "proxy.toml")
    assert [request_class.name for request_class in file.class_] == ["extract-issue", "entry-register"]
    schema = json.loads(json.dumps(FleetFile.model_json_schema(by_alias=True)))
    assert "server" in schema["properties"]
