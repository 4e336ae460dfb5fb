"""Tests of the operators' table `[gossip]`."""

from __future__ import annotations

import pytest

from client_proxy.operators import parse_operators
from client_proxy.toml_table import TomlError


def test_all_faults_of_the_gossip_table_are_named() -> None:
    text = """
[gossip]
keys = "own.keys"
listen = "nowhere:1"
seeds = ["127.0.0.1:7946", "127.0.0.1:99999"]
fanout = 0
period_ms = 200
timeout_ms = 300
colour = 1
"""
    with pytest.raises(TomlError) as caught:
        parse_operators(text, "f")
    lines = str(caught.value)
    for fault in ("f:4: gossip.listen", "f:5: gossip.seeds", "f:6: gossip.fanout", "f:8: gossip.timeout_ms"):
        assert fault in lines
    assert "f:9: gossip.colour: not a known key" in lines
    assert parse_operators("", "f").gossip is None
