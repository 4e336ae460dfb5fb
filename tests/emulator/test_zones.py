"""Loss of a zone in the emulator: several daemons, with locality settings and without them."""

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
SERVER_TYPE = """
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
LOCALITY_ON = OperatorSettings(LocalitySettings(ramp_s=4.0))


def simulate_three_zones(
    incidents: str, length_s: float, operators: OperatorSettings = LOCALITY_ON
) -> tuple[SimulationResult, Report]:
    scenario_text = text(incidents, length_s, CLIENTS, SERVER_TYPE, SERVERS).replace(
        'halls = ["east", "west"]', 'halls = ["east", "middle", "west"]'
    )
    from client_proxy.emulator.scenario_reader import parse_scenario

    result = simulate(parse_scenario(scenario_text), operators=operators)
    return result, build_report(result)


def cross_zone_share(result: SimulationResult, from_s: float, to_s: float) -> float:
    """Return the share of attempts in a time span at servers outside the proxy's own zone."""
    arrivals = [
        arrival
        for arrival in result.event_log.arrivals
        if from_s <= arrival.arrived_s - result.start_s < to_s
    ]
    cross_zone = [
        arrival
        for arrival in arrivals
        if result.specs[arrival.server].zone != result.scenario.zone_of(arrival.proxy)
    ]
    return len(cross_zone) / len(arrivals)


def zone_arrivals(result: SimulationResult, zone: str, from_s: float, to_s: float) -> int:
    """Return the number of attempts at the servers of a zone in a time span."""
    return sum(
        1
        for arrival in result.event_log.arrivals
        if result.specs[arrival.server].zone == zone and from_s <= arrival.arrived_s - result.start_s < to_s
    )


def served_share(result: SimulationResult, class_name: str, from_s: float, to_s: float) -> float:
    """Return the share of a class's requests that were served, among those that began in a time span."""
    requests = [
        request
        for request in result.event_log.requests
        if request.class_name == class_name and from_s <= request.requested_s - result.start_s < to_s
    ]
    return sum(request.outcome == "served" for request in requests) / len(requests)


def test_without_faults_zones_keep_their_own_requests() -> None:
    result, report = simulate_three_zones("", 6.0)
    assert not report.broken
    assert report.served_share > 0.99
    assert cross_zone_share(result, 2.0, 6.0) < 0.15
    without, _ = simulate_three_zones("", 6.0, OperatorSettings())
    assert cross_zone_share(without, 2.0, 6.0) > 0.5


def test_a_zone_that_vanishes_is_avoided_and_ramped_up_when_it_is_back() -> None:
    result, report = simulate_three_zones(incident("vanish", 4.0, for_s=8.0, hall="west", down_s=1.0), 26.0)
    assert not report.broken
    # Unsafe requests are still served: each proxy loses a few before it detects the loss, and none later.
    assert served_share(result, UNSAFE, 4.0, 12.0) > 0.95
    assert served_share(result, UNSAFE, 5.5, 12.0) > 0.985
    assert cross_zone_share(result, 6.0, 12.0) > 0.2
    # The zone is back, cold, at 12 s and listed a second later: it gets a little at first, then its share.
    arrivals_before = zone_arrivals(result, "west", 1.0, 4.0)
    after_return = [zone_arrivals(result, "west", at_s, at_s + 3.0) for at_s in (13.0, 16.0, 23.0)]
    assert after_return[0] < after_return[2]
    assert after_return[0] < 0.6 * arrivals_before
    assert after_return[2] > 0.8 * arrivals_before
    assert not result.event_log.overload_crashes


def test_the_spillover_limit_rejects_nothing_that_idle_servers_could_serve() -> None:
    low_limit = OperatorSettings(LocalitySettings(spillover_share=0.01))
    result, report = simulate_three_zones(incident("vanish", 4.0, hall="west"), 16.0, low_limit)
    assert not report.broken
    # A zone of two servers with two cores can serve 160 requests a second; the two zones left can serve twice
    # that, and get 150.
    for zone in ("east", "middle"):
        spilled = [
            arrival
            for arrival in result.event_log.arrivals
            if result.specs[arrival.server].zone == zone
            and result.scenario.zone_of(arrival.proxy) != zone
            and 6.0 <= arrival.arrived_s - result.start_s < 16.0
        ]
        assert len(spilled) > 100  # the spillover limit by itself would allow 16
    assert served_share(result, UNSAFE, 7.0, 16.0) > 0.98


def test_a_zone_that_vanishes_repeatedly_costs_less_each_time() -> None:
    incidents = "".join(
        incident("vanish", at_s, for_s=5.0, hall="west", down_s=0.0) for at_s in (4.0, 16.0, 28.0)
    )
    result, report = simulate_three_zones(incidents, 38.0)
    assert not report.broken
    # Attempts that failed: those in the zone when it vanished, and those sent there before that was detected.
    failed_attempts = [
        sum(
            1
            for attempt in result.event_log.attempts.values()
            if at_s - 1.0 <= attempt.sent_s - result.start_s < at_s + 4.0 and attempt.status != 200
        )
        for at_s in (4.0, 16.0, 28.0)
    ]
    assert failed_attempts[0] > 0
    assert failed_attempts[2] <= failed_attempts[1] <= failed_attempts[0]
    # The zone carries less before each loss, as its recovery ramps grow longer. Without memory of earlier
    # losses a zone carries 0.83 of the first value before the third loss.
    arrivals_before_loss = [zone_arrivals(result, "west", at_s - 4.0, at_s) for at_s in (4.0, 28.0)]
    assert arrivals_before_loss[1] < 0.7 * arrivals_before_loss[0]


def test_a_zone_with_partial_failures_is_used_least_and_no_unsafe_request_runs_twice() -> None:
    partial_failure = incident("fail", 3.0, for_s=12.0, hall="west", share=0.3, mode="silent")
    result, report = simulate_three_zones(partial_failure, 15.0)
    assert not report.broken
    assert zone_arrivals(result, "west", 10.0, 15.0) < 0.5 * zone_arrivals(result, "east", 10.0, 15.0)


@pytest.mark.parametrize(
    "incidents",
    [
        # A zone vanishes and is still listed; a zone is removed but still answers; all zones vanish at once.
        incident("vanish", 3.0, for_s=3.0, hall="west", down_s=0.0),
        incident("drain", 3.0, for_s=9.0, hall="west"),
        incident("vanish", 3.0, for_s=3.0, down_s=0.0),
    ],
    ids=["still listed", "removed and answering", "all vanished"],
)
def test_service_recovers_after_the_loss_of_zones(incidents: str) -> None:
    result, report = simulate_three_zones(incidents, 14.0)
    assert not report.broken
    assert served_share(result, UNSAFE, 10.0, 13.0) > 0.97


def test_the_proxy_reads_the_operators_file_and_rejects_an_invalid_one(tmp_path: Path) -> None:
    operators_file = tmp_path / "operators.toml"
    operators_file.write_text("[halls]\nspill_share = 7\n")
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
    completed = subprocess.run(
        [sys.executable, "-m", "client_proxy.proxy", "--operators", str(operators_file)],
        env={"LB_CONFIG": str(config)},
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2
    assert completed.stderr.startswith("client_proxy.proxy: ")
    assert completed.stderr.count("\n") == 1
    assert f"{operators_file}:2: halls.spill_share: 7 is not a number from 0 to 1" in completed.stderr


def test_proxy_processes_with_the_operators_file_serve_on_real_sockets(tmp_path: Path) -> None:
    scenario_text = text(length_s=2.0, clients="proxies = 2\nrate_per_s = 30").replace(
        "aim_ms = 500", "aim_ms = 1200"
    )
    file, out = tmp_path / "calm.toml", tmp_path / "out.json"
    file.write_text(scenario_text.replace("aim_ms = 800", "aim_ms = 1500"))
    command = [sys.executable, "-m", "client_proxy.emulator", "replay", str(file), "--clock", "real"]
    command += ["--operators", str(ROOT / "deploy" / "operators.toml"), "--json", str(out), "--quiet"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    report = json.loads(out.read_text())
    assert sum(row["served"] + row["late"] for row in report["classes"].values()) > 30
    assert not report["crashed"]
