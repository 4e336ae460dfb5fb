"""Tests of the `[rollout]` table in the agreed policy file."""

from __future__ import annotations

import pytest

from client_proxy.config.models import RolloutTable
from client_proxy.config.policy import read_policy
from client_proxy.rollout.file import with_rollout, without_rollout
from client_proxy.toml_table import TomlError

SERVERS_ONLY = '[[server]]\nname = "a"\naddress = "127.0.0.1:9"\n'
WHOLE_POLICY = '[policy]\nattempts = 2\n[[class]]\nname = "c"\naim_ms = 1\ndeadline_ms = 2\n' + SERVERS_ONLY


def test_a_file_holds_both_policies_and_each_member_uses_its_own() -> None:
    table = RolloutTable(name="try", new=WHOLE_POLICY, stage=1, members=(2,), reason='said "so"')
    text = with_rollout("version = 3\n" + SERVERS_ONLY + "[end]\nversion = 3\n", table)
    policy = read_policy(text.encode(), "x")
    assert policy.rollout is not None
    assert policy.rollout.reason == 'said "so"'
    assert policy.for_member(1).table is None
    assert policy.for_member(2).table is not None
    probing = with_rollout(text, table.model_copy(update={"what": "probing"}))
    assert read_policy(probing.encode(), "x").for_member(2).table is None
    assert without_rollout(text).strip() == SERVERS_ONLY.strip() == without_rollout(probing).strip()
    with pytest.raises(TomlError, match=r"rollout\.new"):
        read_policy(with_rollout(SERVERS_ONLY, table.model_copy(update={"new": "[[server"})).encode(), "x")
    with pytest.raises(TomlError, match="rollout of a rollout"):
        read_policy(with_rollout(SERVERS_ONLY, table.model_copy(update={"new": text})).encode(), "x")
