"""Bytes and names of the files that an instance keeps: consensus state, versions, learned state."""

from __future__ import annotations

from dataclasses import MISSING, fields
from hashlib import blake2b
from pathlib import Path

import msgspec
import pytest

from client_proxy.config.version_store import Folder, VersionStore
from client_proxy.consensus.messages import AcceptorId, Ballot, Decided, Version, Vote
from client_proxy.consensus.store import Store
from client_proxy.warm_state.capture import capture_snapshot
from client_proxy.warm_state.snapshot import EndpointClassSnapshot, EndpointSnapshot, Snapshot
from client_proxy.warm_state.snapshot_store import (
    LoadedSnapshot,
    StoredSnapshot,
    load_snapshot,
    save_snapshot,
)
from tests.compatibility.samples import (
    BODY,
    BODY_DIGEST,
    DECIDED,
    MEMORY,
    MINIMAL_MEMORY,
    MINIMAL_MESSAGES,
    MINIMAL_SAVED,
    PAST,
    SAVED,
    UNKNOWN_KEYS_SAVED,
    UNSEALED,
    sample,
)
from tests.driver import Driver

CHECKSUM = 16
STORE_FILES = {
    "seat": "store-seat.bin",
    "decided": "store-decided.bin",
    "past-00000000": "store-past-00000000.bin",
    "past-00000001": "store-past-00000001.bin",
    f"body-{BODY_DIGEST}": "store-body.bin",
}


def checksummed(value: object) -> bytes:
    content = msgspec.msgpack.encode(value)
    return blake2b(content, digest_size=CHECKSUM).digest() + content


def contents(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def test_the_store_writes_its_samples(tmp_path: Path) -> None:
    store = Store(Folder(tmp_path))
    store.save_state(MEMORY)
    store.save_decided(DECIDED)
    for decided in PAST:
        store.save_past(decided)
    assert store.save_body(BODY) == BODY_DIGEST
    assert contents(tmp_path) == {name: sample(stored) for name, stored in STORE_FILES.items()}


def test_the_store_reads_its_samples(tmp_path: Path) -> None:
    for name, stored in STORE_FILES.items():
        (tmp_path / name).write_bytes(sample(stored))
    store = Store(Folder(tmp_path))
    assert store.load_state() == MEMORY
    assert store.decided() == DECIDED
    assert store.history() == PAST
    assert [store.load_past(number) for number in (62, 63, 64)] == PAST
    assert store.body(BODY_DIGEST) == BODY


def test_the_defaults_of_what_stored_consensus_state_leaves_out(tmp_path: Path) -> None:
    assert checksummed(MINIMAL_MEMORY) == sample("store-seat-minimal.bin")
    assert checksummed(MINIMAL_MESSAGES["decided"]) == sample("store-decided-minimal.bin")
    (tmp_path / "seat").write_bytes(sample("store-seat-minimal.bin"))
    (tmp_path / "decided").write_bytes(sample("store-decided-minimal.bin"))
    store = Store(Folder(tmp_path))
    version = Version(70, "d", (AcceptorId(1, 11),), 0, "", "", "")
    decided = Decided(version, Ballot(0, 0, 0), (Vote(AcceptorId(1, 11), b""),))
    memory = store.load_state()
    assert memory is not None
    assert memory.acceptor_id == AcceptorId(1, 11)
    assert memory.decided == decided
    assert memory.promised_ballot == Ballot(0, 0, 0)
    assert memory.accepted_ballot == Ballot(0, 0, 0)
    assert memory.accepted_version is None
    assert store.decided() == decided


@pytest.mark.parametrize("name", ["seat", "decided"])
def test_stored_consensus_state_with_a_spoilt_checksum_is_not_read(name: str, tmp_path: Path) -> None:
    spoilt = bytearray(sample(f"store-{name}.bin"))
    spoilt[0] ^= 1
    (tmp_path / name).write_bytes(spoilt)
    store = Store(Folder(tmp_path))
    assert store.load_state() is None
    assert store.decided() is None


KEPT_FILES = {
    "00000001-4b7a6cc1b87264e6e6414fb59fb88b92.toml": "store-body.bin",
    "00000002-96eb5b8b2c9fcf5e2ac859fa8c59e21f.toml": "kept-second.toml",
}


def test_kept_versions_are_their_samples(tmp_path: Path) -> None:
    kept = VersionStore(Folder(tmp_path))
    kept.save(BODY)
    kept.save(UNSEALED.replace(b"version = 3\n", b""))
    assert contents(tmp_path) == {name: sample(stored) for name, stored in KEPT_FILES.items()}


def test_kept_versions_are_read_from_their_samples(tmp_path: Path) -> None:
    for name, stored in KEPT_FILES.items():
        (tmp_path / name).write_bytes(sample(stored))
    kept = VersionStore(Folder(tmp_path))
    assert kept.faults() == []
    assert [(version.number, version.name) for version in kept.versions()] == list(enumerate(KEPT_FILES, 1))
    newest = kept.last_good()
    assert newest is not None
    assert newest[0].number == 2
    assert newest[1].content == sample("kept-second.toml")


def test_learned_state_is_its_sample(tmp_path: Path) -> None:
    path = tmp_path / "learned"
    save_snapshot(path, SAVED)
    assert contents(tmp_path) == {"learned": sample("learned.bin")}
    path.write_bytes(sample("learned.bin"))
    assert load_snapshot(path, SAVED.captured_unix_ms + 250.0) == LoadedSnapshot(SAVED.snapshot, 250.0)
    assert msgspec.msgpack.decode(sample("learned.bin")[CHECKSUM:], type=StoredSnapshot) == SAVED


def test_every_field_of_the_learned_sample_differs_from_its_default() -> None:
    server = SAVED.snapshot.servers["s1"]
    for each in (SAVED.snapshot, server, server.classes["class-a"]):
        for field in fields(each):
            usual = field.default if field.default_factory is MISSING else field.default_factory()
            # The form is part of the encoding itself: another one is not read.
            assert getattr(each, field.name) != usual or field.name == "form", field.name


def test_the_defaults_of_what_learned_state_leaves_out(tmp_path: Path) -> None:
    assert checksummed(MINIMAL_SAVED) == sample("learned-minimal.bin")
    path = tmp_path / "learned"
    path.write_bytes(sample("learned-minimal.bin"))
    found = load_snapshot(path, 5.0)
    assert found == LoadedSnapshot(Snapshot(1, 100.0, (), (), {}, {}, {}, 1.0, 0.0, 0.0), 0.0)


def test_keys_of_a_later_program_are_passed_over(tmp_path: Path) -> None:
    assert checksummed(UNKNOWN_KEYS_SAVED) == sample("learned-unknown-keys.bin")
    path = tmp_path / "learned"
    path.write_bytes(sample("learned-unknown-keys.bin"))
    found = load_snapshot(path, 5.0)
    assert found is not None
    servers = found.snapshot.servers
    assert servers["s1"] == EndpointSnapshot(None, 1.0, 1.5, 0.0, 0.0, 0.0, 0, 0.0, -1.0, -1.0, -1.0, {})
    assert servers["s2"].classes == {"c": EndpointClassSnapshot(0.5, 0.0, 0, 0.0, False)}


def test_the_names_of_pools_in_learned_state() -> None:
    assert {"near", "far"} <= set(capture_snapshot(Driver().balancer).pools)
