"""A file of servers: whole or not at all, every fault with its place, no half taken for a whole."""

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


def text(count: int = 5, first: int = 0, weight: float = 1.0) -> bytes:
    tables = (
        f'[[server]]\nname = "s{n}"\naddress = "127.0.0.1:{8000 + n}"\nweight = {weight}\n'
        for n in range(first, first + count)
    )
    return "\n".join(tables).encode()


def sealed(version: int, count: int = 5, **more: int) -> bytes:
    return seal(text(count, **more), version)


def faults(content: bytes) -> list[str]:
    with pytest.raises(TomlError) as caught:
        read_server_list(content, "f")
    return str(caught.value).splitlines()


def test_a_sealed_file_is_read_back() -> None:
    fleet = read_server_list(sealed(7), "f")
    assert fleet.sealed
    assert fleet.version == 7
    assert len(fleet.usable) == 5
    again = read_server_list(seal(fleet.content, 8), "f")
    assert again.version == 8
    assert again.servers == fleet.servers


def test_every_fault_is_told_with_its_line_and_key() -> None:
    bad = (
        b'[[server]]\nname = "a"\nadress = "127.0.0.1:1"\n\n'
        b'[[server]]\nname = ""\naddress = "host:80"\nweight = -1\n'
    )
    told = faults(bad)
    assert told[0].startswith("f:1: server.0.address: missing")
    assert "f:3: server.0.adress: not a known key" in told
    assert any(line.startswith("f:6: server.1.name: ''") for line in told)
    assert any("f:7: server.1.address: 'host:80': an address of the form IP:port" in line for line in told)
    assert any("f:8: server.1.weight: -1" in line for line in told)


@pytest.mark.parametrize(
    ("content", "fault"),
    [
        (b"", "at least one [[server]]"),
        (text(2) + text(2), "stands more than once"),
        (b"version = 1\n" + text(2), "a file with a version ends with [end]"),
        (b"version = 2\n" + text(2) + b"[end]\nversion = 1\n", "is not the version at the top (2)"),
        (sealed(1).replace(b"8001", b"8091"), "does not match the content above [end]"),
        (b"\xff\xfe", "not UTF-8"),
        (b"[[server", "Expected ']]'"),
        (text(10_001), "at most 10000 items"),
    ],
)
def test_what_is_not_usable_says_why(content: bytes, fault: str) -> None:
    assert any(fault in line for line in faults(content)), faults(content)


def test_ten_thousand_servers_are_taken() -> None:
    assert len(read_server_list(sealed(1, 10_000), "f").servers) == 10_000


def test_a_sealed_file_cut_anywhere_or_written_over_in_place_is_never_taken() -> None:
    old, new = sealed(9), sealed(10, 6)
    for size in range(len(new)):
        with pytest.raises(TomlError):
            read_server_list(new[:size], "f")
        mixed = new[:size] + old[size:]  # an editor that writes in place, byte by byte
        if mixed not in (old, new):
            with pytest.raises(TomlError):
                read_server_list(mixed, "f")


def test_an_unsealed_file_cut_short_may_look_whole_and_is_not_believed_before_it_settles() -> None:
    whole = text(5)
    usable = 0
    running = FileWatcher(WatchSettings(settle_ms=1000.0), "f")
    for step in range(len(whole) + 1):  # a byte every 100 ms
        news = running.handle_poll(100.0 * step, whole[:step])
        assert not any(isinstance(each, Accepted) for each in news)
        try:
            read_server_list(whole[:step], "f")
            usable += 1
        except TomlError:
            pass
    assert usable > 20  # each of these, taken at once, would have been half a fleet or a wrong port
    ended = 100.0 * (len(whole) + 1)
    assert not running.handle_poll(ended, whole)
    (taken,) = running.handle_poll(ended + 1000.0, whole)
    assert isinstance(taken, Accepted)
    assert len(taken.server_list.servers) == 5


# Beside the one that runs


def fleet(count: int = 5, first: int = 0, weight: float = 1.0) -> ServerList:
    return read_server_list(text(count, first, weight), "f")


def test_what_looks_like_a_slip() -> None:
    assert not suspicious_change(fleet(6), fleet(3), 0.5)
    assert "4 of 6 servers would go" in suspicious_change(fleet(6), fleet(2), 0.5)
    assert "no server would get any work" in suspicious_change(fleet(6), fleet(6, weight=0.0), 0.5)
    assert "6 of 6" in suspicious_change(fleet(6), fleet(6, first=10), 0.5)
    assert not suspicious_change(fleet(6), fleet(6, first=10), 1.0)


def start(**stated: float) -> FileWatcher:
    running = FileWatcher(WatchSettings(settle_ms=0.0, **stated), "f")  # type: ignore[arg-type]
    assert isinstance(running.handle_poll(0.0, sealed(5, 6))[0], Accepted)
    return running


def test_a_slip_is_held_until_an_operator_says_so() -> None:
    running = start()
    (held,) = running.handle_poll(1.0, sealed(6, 2))
    assert isinstance(held, HeldBack)
    assert running.server_list is not None
    assert len(running.server_list.servers) == 6
    assert not running.handle_poll(1e9, sealed(6, 2))
    (taken,) = running.force()
    assert isinstance(taken, Accepted)
    assert len(running.server_list.servers) == 2
    assert not running.force()


def test_a_slip_is_taken_after_the_stated_time_but_never_one_without_a_usable_server() -> None:
    running = start(hold_ms=1000.0)
    assert isinstance(running.handle_poll(1.0, sealed(6, 2))[0], HeldBack)
    assert not running.handle_poll(900.0, sealed(6, 2))
    assert isinstance(running.handle_poll(1001.0, sealed(6, 2))[0], Accepted)
    assert isinstance(running.handle_poll(1002.0, seal(text(6, weight=0.0), 7))[0], HeldBack)
    assert not running.handle_poll(1e9, seal(text(6, weight=0.0), 7))


def test_versions_go_up_and_one_refusal_is_told_once() -> None:
    running = start()
    for content, why in (
        (sealed(4, 6), "version 4 after version 5"),
        (sealed(5, 7), "version 5 after version 5"),
        (text(6), "no version, after version 5"),
    ):
        (refused,) = running.handle_poll(1.0, content)
        assert isinstance(refused, Rejected)
        assert why in refused.reason
        running.handle_poll(2.0, sealed(5, 6))
        assert not running.handle_poll(3.0, content)
    assert isinstance(running.handle_poll(4.0, sealed(6, 6))[0], Accepted)


def test_only_sealed_files_where_that_is_stated() -> None:
    running = FileWatcher(WatchSettings(settle_ms=0.0, sealed=True), "f")
    (refused,) = running.handle_poll(0.0, text(3))
    assert isinstance(refused, Rejected)
    assert "only sealed" in refused.reason
    assert isinstance(running.handle_poll(1.0, sealed(1))[0], Accepted)


@fixed_draws("whatever_editors_do_the_running_set_is_one_whole_version_in_order")
@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.data())
def test_whatever_editors_do_the_running_set_is_one_whole_version_in_order(data: st.DataObject) -> None:
    """Half-written, torn, swapped and spoilt files, looked at at any moment."""
    running = FileWatcher(WatchSettings(settle_ms=200.0, leaving_share=1.0), "f")
    good = {n: sealed(n, 1 + n % 4) for n in range(1, 8)}
    digests = {digest_of(content): n for n, content in good.items()}
    now, file, taken = 0.0, b"", []
    for version in range(1, 8):
        new = good[version]
        for _ in range(data.draw(st.integers(0, 4))):
            cut = data.draw(st.integers(0, len(new)))
            file = data.draw(
                st.sampled_from(
                    [new[:cut], new[:cut] + file[cut:], new[:cut] + b"\0" * 9 + new[cut:], b"", new]
                )
            )
            now += data.draw(st.floats(0.0, 500.0))
            news = running.handle_poll(now, data.draw(st.sampled_from([file, file, None])))
            taken += [digests[each.server_list.digest] for each in news if isinstance(each, Accepted)]
        file = new
        now += 300.0
        news = running.handle_poll(now, file)
        taken += [digests[each.server_list.digest] for each in news if isinstance(each, Accepted)]
        assert running.server_list is not None
        assert running.server_list.content == new
    assert taken == sorted(set(taken))
    assert taken[-1] == 7


def test_differences_are_told_by_server() -> None:
    old, new = fleet(3), fleet(3, first=1, weight=2.0)
    assert describe_server_changes(old, new) == [
        "- s0 (127.0.0.1:8000)",
        "+ s3 (127.0.0.1:8003)",
        "  s1: weight 1.0 -> 2.0",
        "  s2: weight 1.0 -> 2.0",
    ]


# Pages


def test_the_reference_page_is_the_models_own() -> None:
    kept = (ROOT / "docs" / "operators" / "configuration-reference.md").read_text()
    assert kept == reference_page(), "run: python -m client_proxy.cli config reference"


def test_the_example_is_usable_and_schemas_can_be_written() -> None:
    example = ROOT / "examples" / "proxy.toml"
    file = parse(ServeFile, example.read_text(), "proxy.toml")
    assert [cls.name for cls in file.class_] == ["extract-issue", "entry-register"]
    schema = json.loads(json.dumps(FleetFile.model_json_schema(by_alias=True)))
    assert "server" in schema["properties"]
