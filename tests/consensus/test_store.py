"""Tests of stored state: torn files, and bodies that must be kept."""

from __future__ import annotations

from pathlib import Path

from client_proxy.config.fleet import digest_of
from client_proxy.config.version_store import Folder
from client_proxy.consensus.acceptor import AcceptorState
from client_proxy.consensus.messages import AcceptorId, Ballot, Decided, Version
from client_proxy.consensus.store import ACCEPTOR_FILE, Store


def test_a_torn_state_file_counts_as_lost(tmp_path: Path) -> None:
    store = Store(Folder(tmp_path))
    genesis = Decided(Version(1, "d", (AcceptorId(1, 1),)), Ballot(), ())
    store.save_state(AcceptorState(AcceptorId(1, 1), genesis))
    assert store.load_state() == AcceptorState(AcceptorId(1, 1), genesis)
    complete = (tmp_path / ACCEPTOR_FILE).read_bytes()
    for length in range(len(complete)):
        (tmp_path / ACCEPTOR_FILE).write_bytes(complete[:length])
        assert store.load_state() is None


def test_needed_bodies_are_kept_and_the_number_of_others_is_bounded(tmp_path: Path) -> None:
    store = Store(Folder(tmp_path))
    needed = (digest_of(b"needed"),)
    for number in range(60):
        store.save_body(b"%d" % number)
        assert store.save_body(b"needed", needed)
        store.save_body(b"more %d" % number, needed)
        assert store.body(needed[0]) == b"needed"
    assert len(list(tmp_path.glob("body-*"))) <= 22
