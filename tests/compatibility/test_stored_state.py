"""Files that an instance stores (consensus state, versions, warm state) have the frozen names and bytes."""

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
    ACCEPTOR_STATE,
    BODY,
    BODY_DIGEST,
    DECIDED,
    MINIMAL_ACCEPTOR_STATE,
    MINIMAL_MESSAGES,
    MINIMAL_STORED_SNAPSHOT,
    PAST_VERSIONS,
    STORED_SNAPSHOT,
    STORED_SNAPSHOT_WITH_UNKNOWN_KEYS,
    UNSEALED,
    sample,
)
from tests.driver import Driver

CHECKSUM_BYTES = 16
STORE_FILES = {
    "seat": "store-seat.bin",
    "decided": "store-decided.bin",
    "past-00000000": "store-past-00000000.bin",
    "past-00000001": "store-past-00000001.bin",
    f"body-{BODY_DIGEST}": "store-body.bin",
}


def checksummed(value: object) -> bytes:
    content = msgspec.msgpack.encode(value)
    return blake2b(content, digest_size=CHECKSUM_BYTES).digest() + content


def contents(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def test_the_store_writes_its_samples(tmp_path: Path) -> None:
    store = Store(Folder(tmp_path))
    store.save_state(ACCEPTOR_STATE)
    store.save_decided(DECIDED)
    for decided in PAST_VERSIONS:
        store.save_past(decided)
    assert store.save_body(BODY) == BODY_DIGEST
    assert contents(tmp_path) == {name: sample(stored) for name, stored in STORE_FILES.items()}


def test_the_store_reads_its_samples(tmp_path: Path) -> None:
    for name, stored in STORE_FILES.items():
        (tmp_path / name).write_bytes(sample(stored))
    store = Store(Folder(tmp_path))
    assert store.load_state() == ACCEPTOR_STATE
    assert store.decided() == DECIDED
    assert store.history() == PAST_VERSIONS
    assert [store.load_past(number) for number in (62, 63, 64)] == PAST_VERSIONS
    assert store.body(BODY_DIGEST) == BODY


def test_fields_left_out_of_consensus_state_get_their_defaults(tmp_path: Path) -> None:
    assert checksummed(MINIMAL_ACCEPTOR_STATE) == sample("store-seat-minimal.bin")
    assert checksummed(MINIMAL_MESSAGES["decided"]) == sample("store-decided-minimal.bin")
    (tmp_path / "seat").write_bytes(sample("store-seat-minimal.bin"))
    (tmp_path / "decided").write_bytes(sample("store-decided-minimal.bin"))
    store = Store(Folder(tmp_path))
    version = Version(70, "d", (AcceptorId(1, 11),), 0, "", "", "")
    decided = Decided(version, Ballot(0, 0, 0), (Vote(AcceptorId(1, 11), b""),))
    acceptor_state = store.load_state()
    assert acceptor_state is not None
    assert acceptor_state.acceptor_id == AcceptorId(1, 11)
    assert acceptor_state.decided == decided
    assert acceptor_state.promised_ballot == Ballot(0, 0, 0)
    assert acceptor_state.accepted_ballot == Ballot(0, 0, 0)
    assert acceptor_state.accepted_version is None
    assert store.decided() == decided


@pytest.mark.parametrize("name", ["seat", "decided"])
def test_consensus_state_with_a_corrupted_checksum_is_not_read(name: str, tmp_path: Path) -> None:
    corrupted = bytearray(sample(f"store-{name}.bin"))
    corrupted[0] ^= 1
    (tmp_path / name).write_bytes(corrupted)
    store = Store(Folder(tmp_path))
    assert store.load_state() is None
    assert store.decided() is None


KEPT_FILES = {
    "00000001-4b7a6cc1b87264e6e6414fb59fb88b92.toml": "store-body.bin",
    "00000002-96eb5b8b2c9fcf5e2ac859fa8c59e21f.toml": "kept-second.toml",
}


def test_kept_versions_equal_their_samples(tmp_path: Path) -> None:
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


def test_warm_state_equals_its_sample(tmp_path: Path) -> None:
    path = tmp_path / "learned"
    save_snapshot(path, STORED_SNAPSHOT)
    assert contents(tmp_path) == {"learned": sample("learned.bin")}
    path.write_bytes(sample("learned.bin"))
    assert load_snapshot(path, STORED_SNAPSHOT.captured_unix_ms + 250.0) == LoadedSnapshot(
        STORED_SNAPSHOT.snapshot, 250.0
    )
    assert (
        msgspec.msgpack.decode(sample("learned.bin")[CHECKSUM_BYTES:], type=StoredSnapshot) == STORED_SNAPSHOT
    )


def test_every_field_of_the_warm_state_sample_differs_from_its_default() -> None:
    server = STORED_SNAPSHOT.snapshot.servers["s1"]
    for snapshot_part in (STORED_SNAPSHOT.snapshot, server, server.classes["class-a"]):
        for field in fields(snapshot_part):
            default = field.default if field.default_factory is MISSING else field.default_factory()
            # The form number is part of the encoding; state with another number is not read.
            assert getattr(snapshot_part, field.name) != default or field.name == "form", field.name


def test_fields_left_out_of_warm_state_get_their_defaults(tmp_path: Path) -> None:
    assert checksummed(MINIMAL_STORED_SNAPSHOT) == sample("learned-minimal.bin")
    path = tmp_path / "learned"
    path.write_bytes(sample("learned-minimal.bin"))
    loaded = load_snapshot(path, 5.0)
    assert loaded == LoadedSnapshot(Snapshot(1, 100.0, (), (), {}, {}, {}, 1.0, 0.0, 0.0), 0.0)


def test_unknown_keys_written_by_a_later_version_are_ignored(tmp_path: Path) -> None:
    assert checksummed(STORED_SNAPSHOT_WITH_UNKNOWN_KEYS) == sample("learned-unknown-keys.bin")
    path = tmp_path / "learned"
    path.write_bytes(sample("learned-unknown-keys.bin"))
    loaded = load_snapshot(path, 5.0)
    assert loaded is not None
    servers = loaded.snapshot.servers
    assert servers["s1"] == EndpointSnapshot(None, 1.0, 1.5, 0.0, 0.0, 0.0, 0, 0.0, -1.0, -1.0, -1.0, {})
    assert servers["s2"].classes == {"c": EndpointClassSnapshot(0.5, 0.0, 0, 0.0, False)}


def test_pool_names_in_warm_state_are_frozen() -> None:
    assert {"near", "far"} <= set(capture_snapshot(Driver().balancer).pools)
