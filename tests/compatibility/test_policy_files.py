"""Files of servers, policies and rollouts keep the frozen bytes, keys and defaults."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from client_proxy.cli.commands import main
from client_proxy.config.fleet import ServerList, digest_of, read_server_list, seal
from client_proxy.config.models import (
    End,
    PolicyFile,
    PolicyTable,
    RequestClassEntry,
    RolloutPlan,
    RolloutTable,
    ServerEntry,
    parse,
)
from client_proxy.config.policy import read_policy
from client_proxy.consensus.messages import OutcomeReport
from client_proxy.limits.settings import OverloadSettings
from client_proxy.operators import FEATURES
from client_proxy.outlier.settings import OutlierSettings
from client_proxy.rollout.file import with_rollout, without_rollout
from client_proxy.rollout.rollout_executor import RolloutExecutor
from client_proxy.routing.idle_timeout import ConnectionSettings
from client_proxy.routing.settings import LocalitySettings
from client_proxy.toml_table import TomlError
from tests.compatibility.samples import (
    BODY,
    BODY_DIGEST,
    MINIMAL_ROLLOUT,
    NEW_POLICY,
    OLD_POLICY,
    ROLLOUT,
    SEALED_VERSION,
    UNSEALED,
    sample,
)

MINIMAL_SERVER = ServerEntry(
    name="a", address="10.0.0.1:80", hall="", rack=0, weight=1.0, state="ready", warm=False
)
FULL_SERVER = ServerEntry(
    name="a", address="10.0.0.1:80", hall="hall-a", rack=3, weight=2.5, state="draining", warm=True
)
FULL_CLASS = RequestClassEntry(
    name="class-a",
    effect="keyed",
    group="cell",
    window_ms=5000.5,
    aim_ms=100.5,
    deadline_ms=300.5,
    worth=2.5,
)
FULL_POLICY = PolicyTable(
    program="0.1", attempts=4, cold_s=8.5, cold_share=0.25, idle_s=61.5, retry_after=False
)


def test_the_digest_of_a_body_is_frozen() -> None:
    assert digest_of(BODY) == BODY_DIGEST


def test_sealing_a_file_gives_its_sample(tmp_path: Path) -> None:
    stored = sample("fleet-sealed.toml")
    assert seal(UNSEALED, SEALED_VERSION) == stored
    assert seal(stored, SEALED_VERSION) == stored
    path = tmp_path / "servers.toml"
    path.write_bytes(UNSEALED)
    result = CliRunner().invoke(main, ["config", "seal", str(path), "--version", str(SEALED_VERSION)])
    assert result.exit_code == 0, result.output
    assert path.read_bytes() == stored


def test_a_sealed_file_is_read_and_a_changed_one_raises_an_error() -> None:
    stored = sample("fleet-sealed.toml")
    assert read_server_list(stored, "x") == ServerList(digest_of(stored), 7, True, (MINIMAL_SERVER,), stored)
    with pytest.raises(TomlError):
        read_server_list(stored.replace(b"10.0.0.1", b"10.0.0.2"), "x")


def test_a_minimal_file_of_servers_is_read() -> None:
    assert sample("store-body.bin") == BODY
    assert read_server_list(BODY, "x") == ServerList(BODY_DIGEST, None, False, (MINIMAL_SERVER,), BODY)


def test_every_key_of_a_policy_is_read_from_its_sample() -> None:
    stored = sample("policy-full.toml")
    file = parse(PolicyFile, stored.decode(), "x")
    assert file.version == 9
    assert file.end == End(version=9, digest="")
    policy = read_policy(stored, "x")
    assert policy.server_list.servers == (FULL_SERVER,)
    assert policy.server_list.version == 9
    assert policy.table == FULL_POLICY
    assert policy.classes == (FULL_CLASS,)
    operators = policy.operators
    assert operators.halls == LocalitySettings(
        priority_levels={"hall-a": (("hall-a",), ("hall-b",))},
        overprovisioning=1.5,
        spillover_share=0.6,
        spillover_shares={"hall-a": 0.7},
        reserved_share=0.2,
        panic_threshold=0.4,
        ramp_start_share=0.1,
        ramp_s=16.0,
        ramp_cut=0.6,
        ramp_max_slowness=2.75,
        unavailable_after=5,
        probe_interval_ms=1001.0,
        degraded_loss_share=0.3,
        memory_s=121.0,
        balance_margin=0.5,
        congested_inflation=3.5,
    )
    assert operators.overload == OverloadSettings(
        class_order=("class-a",),
        min_shares={"class-a": 0.5},
        target_inflation=1.75,
        growth=0.75,
        cut=0.85,
        tracks_client_retries=False,
        retry_after_ms=(201.0, 701.0),
    )
    assert operators.connections == ConnectionSettings(
        idle_timeout_s=6.0, max_connections=100, max_dials_per_s=50.5
    )
    assert operators.reach == OutlierSettings(
        probe_interval_s=0.75, max_probe_interval_s=2.5, max_ejected_share=0.7
    )


def test_the_feature_names_of_a_policy_are_frozen() -> None:
    assert FEATURES == ("halls", "overload", "connections", "reach")


def test_keys_left_out_of_a_policy_get_their_defaults() -> None:
    policy = read_policy(sample("policy-minimal.toml"), "x")
    assert policy.server_list.servers == (MINIMAL_SERVER,)
    assert policy.server_list.version is None
    assert not policy.server_list.sealed
    assert policy.table == PolicyTable(
        program="0", attempts=3, cold_s=7.5, cold_share=0.3, idle_s=60.0, retry_after=True
    )
    assert policy.classes == (
        RequestClassEntry(
            name="class-a",
            effect="unsafe",
            group="all",
            window_ms=0.0,
            aim_ms=100.0,
            deadline_ms=300.0,
            worth=1.0,
        ),
    )
    operators = policy.operators
    assert operators.halls == LocalitySettings(
        {}, 1.4, 0.5, {}, 0.3, 0.3, 0.2, 15.0, 0.5, 2.5, 4, 1000.0, 0.2, 120.0, 0.25, 3.0
    )
    overload = operators.overload
    assert overload is not None
    assert overload == OverloadSettings(
        (), {}, overload.target_inflation, overload.growth, overload.cut, True, (200, 700)
    )
    assert (overload.target_inflation, overload.growth, overload.cut) == (2.7, 1.0, 2.5)
    assert operators.connections == ConnectionSettings(5.0, None, None)
    assert operators.reach == OutlierSettings(0.5, 2.0, 0.8)
    assert policy.rollout is None
    assert policy.candidate is None


def test_every_field_of_the_rollout_sample_differs_from_its_default() -> None:
    for name, field in RolloutTable.model_fields.items():
        assert getattr(ROLLOUT, name) != field.default, name


@pytest.mark.parametrize(("name", "table"), [("full", ROLLOUT), ("minimal", MINIMAL_ROLLOUT)])
def test_a_rollout_in_the_agreed_policy_equals_its_sample(name: str, table: RolloutTable) -> None:
    stored = sample(f"rollout-{name}.toml")
    assert with_rollout(OLD_POLICY, table).encode() == stored
    assert without_rollout(stored.decode()).rstrip("\n") == OLD_POLICY.rstrip("\n")
    policy = read_policy(stored, "x")
    assert policy.rollout == table
    assert policy.candidate is not None
    assert policy.candidate.server_list.content == NEW_POLICY.encode()


def test_keys_left_out_of_a_rollout_get_their_defaults() -> None:
    table = read_policy(sample("rollout-minimal.toml"), "x").rollout
    assert table is not None
    assert table.model_dump() == {
        "shares": (0.05, 0.25, 0.5, 1.0),
        "past_s": 15.0,
        "warm_s": 5.0,
        "least_s": 20.0,
        "least_requests": 200,
        "most_s": 300.0,
        "borne": 0.02,
        "alpha": 0.01,
        "undecided": "ask",
        "confirm": (),
        "name": "try",
        "new": NEW_POLICY,
        "stage": 0,
        "members": (),
        "what": "running",
        "reason": "",
        "probes": 0,
    }


def test_a_rollout_plan_is_read_and_gets_its_defaults() -> None:
    plan_keys = set(RolloutPlan.model_fields)
    assert parse(RolloutPlan, sample("rollout-plan.toml").decode(), "x") == RolloutPlan(
        **ROLLOUT.model_dump(include=plan_keys)
    )
    defaults = parse(RolloutPlan, "", "x").model_dump()
    assert defaults == MINIMAL_ROLLOUT.model_dump(include=plan_keys)


def test_starting_pausing_and_rolling_back_a_rollout_gives_the_samples() -> None:
    async def run() -> None:
        reports: list[OutcomeReport] = []
        executor = RolloutExecutor(
            "h", 5, lambda: 100.0, reports.append, lambda body, why: None, lambda: True
        )
        started = executor.make_file_with_rollout(OLD_POLICY, MINIMAL_ROLLOUT)
        assert started == sample("rollout-minimal.toml")
        full = sample("rollout-full.toml")
        executor.activate_version(70, read_policy(full, "x"), full)
        paused, reason = executor.apply_order("pause")
        assert (paused, reason) == (sample("rollout-paused.toml"), "rollout try: pause")
        rolled_back, reason = executor.apply_order("back")
        assert (rolled_back, reason) == (sample("rollout-back.toml"), "rollout try: back")
        executor.close()

    asyncio.run(run())
