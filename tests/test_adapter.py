"""The adapter: the messages it reads and writes, and how it ends on invalid input and crashes."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from client_proxy.adapter import serve
from client_proxy.api.settings import AttemptLimit, Limits, Objective, Prices, Reports, Tenant
from client_proxy.balancer.balancer import Balancer
from client_proxy.operators import OperatorSettings, parse_operators
from client_proxy.settings import read_settings

Json = dict[str, Any]

FACTS: Json = {
    "balancers": 2,
    "bounds": {"max_attempts": 3, "a key of later years": 1},
    "categories": [{"name": "c", "aim_ms": 100.0, "deadline_ms": 400.0, "effect": "retryable", "worth": 1.0}],
    "discovery": "automatic",
    "safety": {
        "cold_ms": 9000.0,
        "cold_share": 0.3,
        "fall_ms": 1500.0,
        "fall_multiple": 3.0,
        "must_ask_in_ms": 10000.0,
    },
    "unknown": {"x": 1},
}
MEMBERS = [{"host": "h1", "lifecycle": "ready"}, {"host": "h2", "lifecycle": "ready", "colour": "blue"}]
REGISTER: Json = {"register": {"list": 0, "members": MEMBERS}}
SYNC: Json = {"sync": {"scope": "restored", "revision": 1, "list": 0}}


def start_message(seed: int = 7) -> Json:
    return {"begin": {"seed": seed, "facts": FACTS}}


def request(handle: int, give_up_at_ms: float = 500.0) -> Json:
    return {"new_request": {"handle": handle, "priority": "c", "give_up_at_ms": give_up_at_ms}}


def batch(n: int, now_ms: float, who: str, *news: Json) -> str:
    return json.dumps({"ts_ms": now_ms, "n": n, "groups": [{"who": who, "news": list(news)}]})


def run(*lines: str) -> tuple[int, list[Json], str]:
    out, err = io.StringIO(), io.StringIO()
    code = serve([line + "\n" for line in lines], out, err)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], err.getvalue()


def test_empty_batch_is_answered_and_the_end_of_input_ends_the_adapter() -> None:
    assert run('{"ts_ms":1,"n":1,"groups":[]}') == (0, [{"n": 1, "groups": []}], "")


def test_a_request_is_sent_and_answered() -> None:
    ok = {
        "resolved": {"handle": 5, "n": 0, "host": "h1", "verdict": 100, "delay_seen_ms": 9.5, "closed": True}
    }
    code, replies, err = run(
        batch(1, 10, "proxy_0", start_message(), REGISTER, SYNC, request(5)), batch(2, 20, "proxy_0", ok)
    )
    (sent,) = replies[0]["groups"][0]["cmds"]
    assert sent["try"]["handle"] == 5
    assert sent["try"]["host"] in ("h1", "h2")
    assert (code, replies[1], err) == (0, {"n": 2, "groups": []}, "")


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [
        ("{oops", "not JSON"),
        ("[1]", "not an object"),
        ('{"n":1,"groups":[]}', "ts_ms"),
        ('{"ts_ms":1,"n":1,"groups":[{"who":"proxy_0","news":[7]}]}', "one key"),
        ('{"ts_ms":1,"n":1,"groups":[{"who":"proxy_0","news":[{"left":5}]}]}', "not an object"),
        (batch(1, 1, "proxy_0", start_message(), {"new_request": {"handle": 1}}), "give_up_at_ms"),
        (
            batch(1, 1, "proxy_0", start_message(), {"new_request": {"handle": "x", "give_up_at_ms": 5}}),
            "handle",
        ),
        (
            batch(1, 1, "proxy_0", {"begin": {"seed": 1, "facts": {**FACTS, "balancers": 0}}}),
            "settings.balancers",
        ),
        (batch(1, 1, "proxy_0", {"left": {"handle": 1}}), "proxy_0"),
        (batch(1, 1, "proxy_0", start_message(), {"sync": {"scope": "replace", "list": 3}}), "3"),
    ],
)
def test_unreadable_line_ends_the_adapter_with_one_line(line: str, expected_text: str) -> None:
    code, replies, err = run(line)
    assert code != 0
    assert replies == []
    assert len(err.splitlines()) == 1
    assert expected_text in err


def test_unknown_event_is_reported_once_and_ignored() -> None:
    new = {"weather": {"rain": True}}
    code, replies, err = run(batch(1, 1, "proxy_0", start_message(), new, new), batch(2, 2, "proxy_0", new))
    assert code == 0
    assert len(replies) == 2
    assert err.count("weather") == 1


def test_every_setting_is_read_into_its_field() -> None:
    bounds = {"cancel": True, "conn_idle_ms": 9.0, "connect_timeout_ms": 8.0, "cpu_us_per_request": 7.0}
    bounds |= {"cpu_us_per_s": 6, "max_attempts": 5, "max_open": 4, "max_retry_after_ms": 3.0}
    bounds |= {"parallel_tries": True, "probes": True, "retry_after": True, "streams_per_conn": 2}
    safety = {"grace_to_answer_ms": 20.0, "drain_grace_ms": 50.0, "key_rest_ms": 60.0}
    safety |= {"free_resends": 2.0, "resend_ratio": 0.1, "resend_span_ms": 2000.0}
    mix = {"whole": 0.1, "worst_window": 0.2, "worst_class": 0.3, "worst_tenant": 0.4}
    mix |= {"tail": 0.5, "tail_slack": 0.02, "log_loss_part": 0.6, "full_at_nines": 2.0}
    prices = {"cross_zone": 0.1, "probe": 0.2, "waste": 0.3, "late_fail": 0.4}
    prices |= {"handshake": 0.5, "connection": 0.6, "discovery": 0.7, "moves": 0.8}
    facts = {
        **FACTS,
        "bounds": bounds,
        "safety": FACTS["safety"] | safety,
        "objective_mix": mix,
        "prices": prices,
        "reporting": {"how": "on_probe", "fields": ["queue"]},
        "family_info": {"warm_keys": True},
        "projects": [{"name": "t", "quota_per_s": 9.0}],
        "step_ms": 5.0,
        "over_share_worth": 0.2,
    }
    facts["categories"] = [FACTS["categories"][0] | {"sequential": True}]
    read = read_settings(facts)
    assert read.limits == Limits(5, True, True, True, True, 3.0, 8.0, 9.0, 2, 4, 6, 7.0)
    assert read.safety.attempts == AttemptLimit(window_ms=2000.0, share=0.1, free=2.0)
    assert (read.safety.answer_grace_ms, read.safety.drain_grace_ms, read.safety.key_quiet_ms) == (20, 50, 60)
    assert read.objective == Objective(0.1, 0.2, 0.3, 0.4, 0.5, 0.02, 0.6, 2.0)
    assert read.prices == Prices(0.1, 0.2, 0.5, 0.6, 0.7, 0.3, 0.4)
    assert read.reports is Reports.ON_PROBE
    assert read.report_fields == ("queue",)
    assert read.classes[0].in_order
    assert read.warm_keys
    assert read.min_step_ms == 5
    assert read.tenants == (Tenant("t", 9.0),)
    assert read.over_quota_weight_share == 0.2


def test_absent_optional_settings_disable_their_rules() -> None:
    read = read_settings(FACTS)
    assert read.safety.attempts is None
    assert read.safety.key_quiet_ms == 0
    assert not read.classes[0].in_order
    assert not read.warm_keys


def test_kill_discards_pending_events_and_a_restart_has_no_state() -> None:
    code, replies, _ = run(
        batch(1, 10, "proxy_0", start_message(), REGISTER, SYNC, request(5)),
        batch(2, 20, "proxy_0", {"left": {"handle": 5}}, request(6), {"power_off": {}}),
        batch(3, 30, "proxy_0", start_message(8), SYNC, {"timeout_fired": {"cookie": 1}}, request(5)),
    )
    assert code == 0
    assert replies[1]["groups"] == []
    assert [list(cmd) for cmd in replies[2]["groups"][0]["cmds"]] == [["try"]]


def test_list_numbers_are_reused_in_event_order() -> None:
    other: Json = {"register": {"list": 0, "members": [{"host": "h9", "lifecycle": "ready"}]}}
    replace: Json = {"sync": {"scope": "replace", "revision": 2, "list": 0}}
    _, replies, _ = run(batch(1, 10, "proxy_0", start_message(), REGISTER, SYNC, other, replace, request(5)))
    assert replies[0]["groups"][0]["cmds"][0]["try"]["host"] == "h9"


def test_crash_of_a_balancer_is_reported_with_its_message(monkeypatch: pytest.MonkeyPatch) -> None:
    def crash(*_: object) -> None:
        raise ZeroDivisionError("a bug")

    monkeypatch.setattr(Balancer, "handle", crash)
    code, replies, err = run(batch(1, 10, "proxy_0", start_message(), REGISTER, SYNC))
    assert code != 0
    assert "a bug" in err
    assert replies[0]["groups"][0]["cmds"] == [{"give_in": {"message": "ZeroDivisionError: a bug"}}]


def two_instance_batches() -> list[str]:
    """Returns the batches of a sequence with two instances, failures and retries."""
    lines = [
        batch(0, 0, who, start_message(i), REGISTER, SYNC) for i, who in enumerate(("proxy_0", "proxy_1"))
    ]
    for i in range(60):
        who, at = f"proxy_{i % 2}", 10.0 * i + 10
        lines.append(batch(i, at, who, request(i, at + 400)))
        verdict = 301 if i % 3 == 0 else 100
        end = {"handle": i, "n": 0, "host": "h1", "verdict": verdict, "closed": verdict == 100}
        lines.append(batch(i, at + 5, who, {"resolved": end}, {"timeout_fired": {"cookie": i // 4}}))
    return lines


def test_actions_do_not_depend_on_the_process_or_the_hash_seed() -> None:
    def run_adapter(lines: list[str], hash_seed: str) -> dict[str, list[Json]]:
        env = {**os.environ, "PYTHONHASHSEED": hash_seed}
        command = [sys.executable, "-m", "client_proxy.adapter"]
        result = subprocess.run(
            command, input="\n".join(lines), env=env, capture_output=True, text=True, check=True
        )
        actions: dict[str, list[Json]] = {"proxy_0": [], "proxy_1": []}
        for reply in map(json.loads, result.stdout.splitlines()):
            for group in reply["groups"]:
                actions[group["who"]] += group["cmds"]
        return actions

    together = run_adapter(two_instance_batches(), "1")
    separate = [
        run_adapter([line for line in two_instance_batches() if who in line], "77")[who] for who in together
    ]
    assert list(together.values()) == separate
    assert all(len(cmds) > 30 for cmds in separate)


def test_operators_file_keeps_requests_in_their_zone(tmp_path: Path) -> None:
    members = [
        {"host": f"{hall}{n}", "lifecycle": "ready", "locality": hall}
        for hall in ("a", "b")
        for n in range(3)
    ]
    start_in_zone_b: Json = {"begin": {"seed": 7, "facts": {**FACTS, "zone": "b"}}}
    sync: Json = {"register": {"list": 0, "members": members}}
    lines = [batch(1, 10, "proxy_0", start_in_zone_b, sync, SYNC)]
    for n in range(3):
        lines.append(batch(2 + n, 20.0 + n, "proxy_0", request(n)))
    operators = parse_operators("[halls]\n", "o.toml")

    def chosen_hosts(operators_given: OperatorSettings) -> list[str]:
        out = io.StringIO()
        assert serve([line + "\n" for line in lines], out, io.StringIO(), operators_given) == 0
        cmds = [
            c for reply in out.getvalue().splitlines() for g in json.loads(reply)["groups"] for c in g["cmds"]
        ]
        return [c["try"]["host"] for c in cmds if "try" in c]

    assert {host[0] for host in chosen_hosts(operators)} == {"b"}
    assert {host[0] for host in chosen_hosts(OperatorSettings())} == {"a", "b"}
    bad = tmp_path / "bad.toml"
    bad.write_text("[halls]\npanic = 2\n")
    result = subprocess.run(
        [sys.executable, "-m", "client_proxy.adapter", "--operators", str(bad)],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 2
    assert f"{bad}:2: halls.panic" in result.stderr
