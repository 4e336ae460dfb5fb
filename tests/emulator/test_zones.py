"""Losing a hall over the emulator: the daemon itself, several instances, with tiers and without."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from client_proxy.emulator.proxy_settings import proxy_settings
from client_proxy.emulator.report import Report, build_report
from client_proxy.emulator.simulation import SimulationResult, simulate
from client_proxy.operators import OperatorSettings
from client_proxy.routing.settings import LocalitySettings
from tests.support.days import UNSAFE, day, incident, text

ROOT = Path(__file__).parents[2]
KIND = """
[[kind]]
name = "quad"
cores = 2
queue_per_core = 10
cold_from = 0.4
cold_s = 4
"""
SERVERS = "".join(
    f'[[servers]]\nkind = "quad"\nhall = "{hall}"\nrack = {rack}\ncount = 2\n'
    for rack, hall in enumerate(("east", "middle", "west"))
)
CLIENTS = "proxies = 3\nrate_per_s = 150\nretries = 2\ntry_share = 0.6\nbackoff_ms = 100"
ON = OperatorSettings(LocalitySettings(ramp_s=4.0))


def lost(
    incidents: str, length_s: float, operators: OperatorSettings = ON
) -> tuple[SimulationResult, Report]:
    written = text(incidents, length_s, CLIENTS, KIND, SERVERS).replace(
        'halls = ["east", "west"]', 'halls = ["east", "middle", "west"]'
    )
    from client_proxy.emulator.scenario_reader import parse_scenario

    result = simulate(parse_scenario(written), operators=operators)
    return result, build_report(result)


def crossings(result: SimulationResult, from_s: float, to_s: float) -> float:
    """The share of attempts outside the proxy's own hall."""
    inside = [a for a in result.event_log.arrivals if from_s <= a.arrived_s - result.start_s < to_s]
    away = [a for a in inside if result.specs[a.server].zone != result.scenario.zone_of(a.proxy)]
    return len(away) / len(inside)


def taken(result: SimulationResult, hall: str, from_s: float, to_s: float) -> int:
    return sum(
        1
        for a in result.event_log.arrivals
        if result.specs[a.server].zone == hall and from_s <= a.arrived_s - result.start_s < to_s
    )


def served(result: SimulationResult, cls: str, from_s: float, to_s: float) -> float:
    asked = [
        e
        for e in result.event_log.requests
        if e.class_name == cls and from_s <= e.requested_s - result.start_s < to_s
    ]
    return sum(e.outcome == "served" for e in asked) / len(asked)


def test_calm_halls_keep_their_own_requests() -> None:
    result, of = lost("", 6.0)
    assert not of.broken
    assert of.served_share > 0.99
    assert crossings(result, 2.0, 6.0) < 0.15
    without, _ = lost("", 6.0, OperatorSettings())
    assert crossings(without, 2.0, 6.0) > 0.5


def test_a_hall_that_vanishes_silently_is_left_and_fed_step_by_step_when_it_is_back() -> None:
    result, of = lost(incident("vanish", 4.0, for_s=8.0, hall="west", down_s=1.0), 26.0)
    assert not of.broken
    # Entries keep service: a proxy learns it at the cost of a few, and then risks none.
    assert served(result, UNSAFE, 4.0, 12.0) > 0.95
    assert served(result, UNSAFE, 5.5, 12.0) > 0.985
    assert crossings(result, 6.0, 12.0) > 0.2
    # Back and cold at 12 s, listed a second later: a little at first, then all of it.
    usual = taken(result, "west", 1.0, 4.0)
    back = [taken(result, "west", at_s, at_s + 3.0) for at_s in (13.0, 16.0, 23.0)]
    assert back[0] < back[2]
    assert back[0] < 0.6 * usual
    assert back[2] > 0.8 * usual
    assert not result.event_log.overload_crashes


def test_a_spill_limit_refuses_nothing_that_idle_servers_could_serve() -> None:
    stated = OperatorSettings(LocalitySettings(spillover_share=0.01))
    result, of = lost(incident("vanish", 4.0, hall="west"), 16.0, stated)
    assert not of.broken
    # A hall of two servers with two cores bears 160 a second; three quarters of that are asked of two halls.
    for hall in ("east", "middle"):
        spilled = [
            a
            for a in result.event_log.arrivals
            if result.specs[a.server].zone == hall
            and result.scenario.zone_of(a.proxy) != hall
            and 6.0 <= a.arrived_s - result.start_s < 16.0
        ]
        assert len(spilled) > 100  # 16 by the limit alone
    assert served(result, UNSAFE, 7.0, 16.0) > 0.98


def test_a_hall_that_flaps_costs_less_each_time() -> None:
    flaps = "".join(
        incident("vanish", at_s, for_s=5.0, hall="west", down_s=0.0) for at_s in (4.0, 16.0, 28.0)
    )
    result, of = lost(flaps, 38.0)
    assert not of.broken
    # Requests that were in the hall when it went, or went there before it was known.
    hit = [
        sum(
            1
            for t in result.event_log.attempts.values()
            if at_s - 1.0 <= t.sent_s - result.start_s < at_s + 4.0 and t.status != 200
        )
        for at_s in (4.0, 16.0, 28.0)
    ]
    assert hit[0] > 0
    assert hit[2] <= hit[1] <= hit[0]
    # It carries less each time it goes: returns grow longer. Without that memory it carried 0.83.
    exposed = [taken(result, "west", at_s - 4.0, at_s) for at_s in (4.0, 28.0)]
    assert exposed[1] < 0.7 * exposed[0]


def test_a_grey_hall_is_left_to_the_last_and_nothing_is_risked_twice() -> None:
    grey = incident("fail", 3.0, for_s=12.0, hall="west", share=0.3, mode="silent")
    result, of = lost(grey, 15.0)
    assert not of.broken
    assert taken(result, "west", 10.0, 15.0) < 0.5 * taken(result, "east", 10.0, 15.0)


@pytest.mark.parametrize(
    "incidents",
    [
        # Discovery still lists the dark hall; it says gone while servers answer; all halls go at once.
        incident("vanish", 3.0, for_s=3.0, hall="west", down_s=0.0),
        incident("drain", 3.0, for_s=9.0, hall="west"),
        incident("vanish", 3.0, for_s=3.0, down_s=0.0),
    ],
    ids=["still listed", "gone and answering", "all dark"],
)
def test_service_is_back_after_whatever_happened_to_a_hall(incidents: str) -> None:
    result, of = lost(incidents, 14.0)
    assert not of.broken
    assert served(result, UNSAFE, 10.0, 13.0) > 0.97


def test_the_program_reads_the_operators_file_and_refuses_a_bad_one(tmp_path: Path) -> None:
    bad = tmp_path / "operators.toml"
    bad.write_text("[halls]\nspill_share = 7\n")
    config = tmp_path / "config.json"
    config.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:9",
                "settings": proxy_settings(day(), 0, 1),
            }
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "client_proxy.proxy", "--operators", str(bad)],
        env={"LB_CONFIG": str(config)},
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("client_proxy.proxy: ")
    assert done.stderr.count("\n") == 1
    assert f"{bad}:2: halls.spill_share: 7 is not a number from 0 to 1" in done.stderr


def test_processes_with_the_operators_file_serve_on_real_sockets(tmp_path: Path) -> None:
    calm = text(length_s=2.0, clients="proxies = 2\nrate_per_s = 30").replace("aim_ms = 500", "aim_ms = 1200")
    file, out = tmp_path / "calm.toml", tmp_path / "out.json"
    file.write_text(calm.replace("aim_ms = 800", "aim_ms = 1500"))
    command = [sys.executable, "-m", "client_proxy.emulator", "replay", str(file), "--clock", "real"]
    command += ["--operators", str(ROOT / "deploy" / "operators.toml"), "--json", str(out), "--quiet"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)
    assert done.returncode == 0, done.stdout + done.stderr
    of = json.loads(out.read_text())
    assert sum(each["served"] + each["late"] for each in of["classes"].values()) > 30
    assert not of["crashed"]
